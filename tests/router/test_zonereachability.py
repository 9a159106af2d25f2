"""Tests of availability zones that cannot be reached, and of leaving the rotation."""

import asyncio
from dataclasses import replace

from cranberrysail.router.endpoints import EndpointDirectory
from cranberrysail.router.model import EndpointRecord
from cranberrysail.router.rotation import Rotation, is_zone_cut_off
from cranberrysail.router.zonereachability import TEST_INTERVAL_S, ZoneReachability
from tests.router.simulatedfleet import (
    SimulatedFleet,
    make_config,
    make_request,
    plain_answer,
    stream_answer,
)
from tests.router.virtualloop import run_virtual

ZONES = ("a", "b", "c")


def directory(per_zone=2):
    endpoints = EndpointDirectory()
    for zone in ZONES:
        for number in range(per_zone):
            name = f"{zone}{number}"
            record = EndpointRecord(name, 1, 1, "s", "10.0.0.9:80", zone, 8)
            endpoints.declare(record, 0.0)
    return endpoints


def test_failed_connection_alone_makes_no_zone_unreachable():
    """Guards against the loss of a zone of which one endpoint has crashed."""
    zones = ZoneReachability()
    zones.connection_failed("b")
    assert zones.begin_tests(1.0) == ["b"]
    zones.record_test("b", True)
    assert zones.unreachable == set()


def test_zone_is_tested_once_in_each_interval():
    zones = ZoneReachability()
    zones.connection_failed("b")
    assert zones.begin_tests(1.0) == ["b"]
    zones.connection_failed("b")
    assert zones.begin_tests(1.0 + TEST_INTERVAL_S / 2) == []
    assert zones.begin_tests(1.0 + TEST_INTERVAL_S) == ["b"]
    assert zones.begin_tests(9.0) == []


def test_unreachable_zone_is_tested_until_it_is_reached():
    changes = []
    zones = ZoneReachability(lambda zone, reachable: changes.append((zone, reachable)))
    zones.connection_failed("b")
    zones.begin_tests(1.0)
    zones.record_test("b", False)
    assert zones.begin_tests(2.0) == ["b"]
    zones.record_test("b", True)
    assert zones.begin_tests(3.0) == []
    assert changes == [("b", False), ("b", True)]


def test_endpoints_of_an_unreachable_zone_get_no_calls():
    endpoints = directory()
    endpoints.connection_failed(endpoints.get("b0"), 1.0, "reset")
    endpoints.reachability.record_test("b", False)
    assert {e.record.zone for e in endpoints.usable("s")} == {"a", "c"}
    endpoints.reachability.record_test("b", True)
    endpoints.zone_reached("b", 2.0)
    assert len(endpoints.usable("s")) == 6
    assert endpoints.get("b0").backoff_until_s <= 2.0


def test_only_a_zone_that_is_cut_off_from_most_others_leaves_the_rotation():
    """Guards against routers that leave the rotation while others could do no more."""
    endpoints = list(directory())
    assert is_zone_cut_off(endpoints, "a", {"b", "c"}, set())
    assert not is_zone_cut_off(endpoints, "a", {"b"}, set())
    assert not is_zone_cut_off(endpoints, "a", set(), set())
    assert not is_zone_cut_off(endpoints, "a", set(ZONES), set())
    assert not is_zone_cut_off(endpoints, "a", {"b", "c"}, {"b", "c"})


def test_rotation_tells_how_long_it_was_left():
    rotation = Rotation()
    assert not rotation.update(False, 1.0)
    assert rotation.update(True, 2.0)
    assert not rotation.update(True, 3.0)
    assert rotation.left_for(1.0, 3.0)
    assert not rotation.left_for(2.0, 3.0)
    assert rotation.update(False, 4.0)
    assert not rotation.left_for(0.0, 5.0)


def play_cut(cut):
    """Return statuses and failed attempts of calls at a router that is cut off.

    Args:
      cut: Called with the loop and the address of each endpoint beyond the cut.
    """

    async def main(loop):
        fleet = SimulatedFleet(loop)
        for zone in ZONES:
            for number in range(4):
                answer = stream_answer
                fleet.add_worker(f"{zone}{number}", "engines", answer, zone=zone)
            if zone != "a":
                fleet.add_worker(f"{zone}p", "plain", plain_answer, zone=zone)
        fleet.write_config(make_config())
        router = await fleet.start_router()
        router.cfg = replace(router.cfg, tolerated_zones=1)
        for worker in fleet.workers.values():
            if worker.zone != "a":
                host, _, port = worker.address.partition(":")
                cut(loop, (host, int(port)))
        await fleet.send_and_wait(make_request("/look/1", "first"))
        await asyncio.sleep(4.0)
        fleet.log_lines.clear()
        callers = [
            await fleet.send_and_wait(make_request(path, f"c{path}"))
            for path in ("/look/2", "/chat/2", "/chat/3", "/chat/4")
        ]
        return [c.status for c in callers], fleet.log_kinds(), router

    return run_virtual(main)


def refuse(loop, address):
    del loop.servers[address]


def drop(loop, address):
    loop.unreachable.add(address)


def test_router_that_is_cut_off_tries_no_endpoint_in_vain():
    """Guards against calls that connect to one endpoint after the other in a cut."""
    for cut in (refuse, drop):
        statuses, log_kinds, router = play_cut(cut)
        assert statuses == [503, 200, 200, 200]
        assert "attempt_ended" not in log_kinds
        assert router.rotation.left_s is not None
        assert router._ready_page()[0] == 503
