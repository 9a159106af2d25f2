"""Tests for sharing endpoint loads between routers."""

import asyncio

import msgspec

from cranberrysail.router.endpoints import EndpointDirectory
from cranberrysail.router.load import LoadReport, LoadTracker
from cranberrysail.router.loadexchange import EXCHANGE_INTERVAL_S, exchange_interval_s
from cranberrysail.router.loadgossip import MAX_SENT_AGE_S, LoadGossip, LoadGossipItem
from cranberrysail.router.model import EndpointRecord
from cranberrysail.router.peers import RouterDirectory, encode_router_record
from cranberrysail.router.store import Page
from tests.router.simulatedfleet import (
    Caller,
    SimulatedFleet,
    make_config,
    make_request,
    stream_answer,
)
from tests.router.virtualloop import run_virtual


def load_state(*names, born=1):
    directory, loads = EndpointDirectory(), LoadTracker()
    for name in names:
        record = EndpointRecord(name, born, 1, "s", f"10.0.0.1:{len(name)}", "a", 8)
        directory.declare(record, 0.0)
    return directory, loads, LoadGossip(loads, directory)


def load_of(directory, loads, name, now):
    """Return the expected load; calls last so long that reports keep their weight."""
    return round(loads.estimate(directory.get(name), 99.0, now, 1e9).mean, 3)


def test_load_known_to_one_router_is_shared_with_another():
    theirs, their_loads, their_gossip = load_state("e0", "e1")
    their_loads.record_report(theirs.get("e0"), LoadReport(5, 2, 8), 10.0)
    directory, loads, gossip = load_state("e0", "e1")
    directory.get("e0").open_calls = 3
    gossip.merge(their_gossip.known_loads(10.5, 1.0), 20.0)
    # Without the call that brought the report.
    assert load_of(directory, loads, "e0", 20.0) == 6.0
    assert load_of(directory, loads, "e1", 20.0) == 99.0


def make_item(endpoint, load, age_s):
    directory, loads, gossip = load_state(endpoint)
    loads.record_load(directory.get(endpoint), load, 10.0 - age_s, 10.0)
    (item,) = gossip.known_loads(10.0, 1.0)
    return item


def test_older_report_is_ignored():
    directory, loads, gossip = load_state("e0")
    loads.record_load(directory.get("e0"), 2, 20.0, 20.0)
    gossip.merge((make_item("e0", 7, 1.5),), 21.0)
    assert load_of(directory, loads, "e0", 21.0) == 2.0


def test_report_of_other_incarnation_or_unknown_endpoint_is_ignored():
    directory, loads, gossip = load_state("e0", born=2)
    gossip.merge((make_item("e0", 7, 0.0), make_item("gone", 1, 0.0)), 20.0)
    assert load_of(directory, loads, "e0", 20.0) == 99.0


def test_report_that_comes_back_is_not_taken_as_a_newer_one():
    """Ages shift in transit; reports must not circulate for ever as new ones."""
    directory, loads, gossip = load_state("e0")
    loads.record_report(directory.get("e0"), LoadReport(7, 0, 8), 20.0)
    (item,) = gossip.known_loads(20.1, 1.0)
    gossip.merge((item,), 20.104)
    assert gossip.known_loads(20.2, 0.15) == ()


def test_only_reports_that_arrived_lately_are_shared():
    directory, loads, gossip = load_state("e0", "e1")
    loads.record_load(directory.get("e0"), 2, 10.0, 10.0)
    loads.record_load(directory.get("e1"), 3, 9.0, 10.4)
    assert [item.load for item in gossip.known_loads(10.5, 0.3)] == [3]
    assert len(gossip.known_loads(10.5, 1.0)) == 2
    assert gossip.known_loads(10.0 + MAX_SENT_AGE_S + 0.1, 99.0) == ()


def test_negative_load_and_age_are_clamped_to_zero():
    directory, loads, gossip = load_state("e0")
    item = make_item("e0", 7, 0.0)
    gossip.merge((LoadGossipItem(item.endpoint, -5, -1000),), 20.0)
    assert load_of(directory, loads, "e0", 20.0) == 0.0


def test_messages_of_a_large_fleet_fit_the_budget_for_control_traffic():
    """At full size a zone of 34 routers gets 11 reports a second each."""
    directory, loads, gossip = load_state(*(f"i-{n:010x}" for n in range(3500)))
    reports = round(34 * 11 * EXCHANGE_INTERVAL_S)
    for endpoint in list(directory)[:reports]:
        loads.record_load(endpoint, 40, 9.8, 9.9)
    sent = len(gossip.encode(10.0, EXCHANGE_INTERVAL_S))
    headers = 300
    assert (sent + headers) / EXCHANGE_INTERVAL_S < 5000


def test_report_to_one_router_reaches_all_routers_of_its_zone():
    async def answer_with_load(conn, got):
        attempt = got.headers["cranberrysail-attempt-id"]
        extra = (
            "Cranberrysail-Response-Seal: s\r\nCranberrysail-Server-Load: 40,9,64\r\n"
        )
        conn.reply(200, extra, b"data: x\n\n", attempt)

    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        world.add_worker("e0", "engines", stream_answer, slots=64)
        names = ("r1", "r2", "r3")
        for number, name in enumerate(names, 1):
            await world.start_router(name=name, host=f"10.0.0.{number}")
        await asyncio.sleep(4.0)
        world.workers["e0"].answer = answer_with_load
        await world.send_and_wait(make_request("/chat/1"))
        await asyncio.sleep(1.6)
        loads = []
        for name in names:
            router = world.routers[name]
            stats = router.selector.loads.stats(router.endpoints.get("e0"))
            loads.append(stats.reported_calls)
        return loads

    assert run_virtual(main) == [48, 48, 48]


def test_peer_that_sends_malformed_reports_gets_status_400():
    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        await world.start_router(name="r1", host="10.0.0.1")
        await asyncio.sleep(2.0)
        port = int(world.routers["r1"].cfg.peers.rpartition(":")[2])
        answers = []
        empty, unknown = msgspec.msgpack.encode(()), msgspec.msgpack.encode([["e0"]])
        for query, body in (
            ("within_ms=300", b"\xc1"),
            ("within_ms=300", unknown),
            ("within_ms=x", empty),
            ("", empty),
            ("within_ms=300", empty),
        ):
            _, caller = await loop.create_connection(Caller, "10.0.0.1", port)
            head = f"POST /loads?{query} HTTP/1.1\r\nHost: h"
            sent = f"{head}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
            caller.transport.write(sent)
            await caller.answer()
            answers.append(caller.status)
        return answers

    assert run_virtual(main) == [400, 400, 400, 400, 200]


def test_zones_exchange_loads_through_one_router_each():
    def directory_of(name, zone):
        directory = RouterDirectory(name, zone)
        records = [
            (f"r{n}", encode_router_record("abcd"[n % 4], f"10.0.0.{n}:1", n != 0))
            for n in range(40)
        ]
        directory.apply(Page(tuple(records), 40, is_snapshot=True), 0.0)
        return directory

    exchanging = {}
    for number in range(40):
        name, zone = f"r{number}", "abcd"[number % 4]
        directory = directory_of(name, zone)
        zones = {
            "abcd"[int(p.name[1:]) % 4]
            for turn in range(3)
            for p in directory.load_partners(turn)[:1]
        }
        if zone in zones:
            assert zones == {zone}
        else:
            exchanging[zone] = zones
    assert exchanging == {z: set("abcd") - {z} for z in "abcd"}


def test_loads_still_spread_if_the_first_router_of_a_zone_is_down():
    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        world.add_worker("e0", "engines", stream_answer, slots=64)
        for number in (1, 2, 3):
            await world.start_router(name=f"r{number}", host=f"10.0.0.{number}")
        await asyncio.sleep(2.0)
        routers = world.routers.values()
        first = next(r for r in routers if not r.routers.preferred_peers())
        first.close()
        loop.servers.pop((first.cfg.peers.partition(":")[0], 8003))
        one, other = [r for r in routers if r is not first]
        await asyncio.sleep(2.0)
        endpoint = one.endpoints.get("e0")
        one.selector.loads.record_report(endpoint, LoadReport(7, 2, 64), loop.time())
        await asyncio.sleep(2.0)
        return other.selector.loads.stats(other.endpoints.get("e0")).reported_calls

    assert run_virtual(main) == 8


def test_reports_are_not_sent_back_to_the_router_that_passed_them_on():
    directory, loads, gossip = load_state("e0", "e1")
    gossip.merge((make_item("e0", 7, 0.1),), 20.0, "r2")
    loads.record_report(directory.get("e1"), LoadReport(3, 0, 8), 20.0)
    assert [i.load for i in gossip.known_loads(20.1, 1.0, "r2")] == [2]
    assert len(gossip.known_loads(20.1, 1.0, "r3")) == 2
    # A response has brought a report of its own since.
    loads.record_report(directory.get("e0"), LoadReport(5, 0, 8), 20.2)
    assert len(gossip.known_loads(20.3, 1.0, "r2")) == 2


def test_loads_are_exchanged_more_often_only_where_work_is_weighed():
    assert exchange_interval_s(False, 16) == EXCHANGE_INTERVAL_S
    assert exchange_interval_s(True, 16) < EXCHANGE_INTERVAL_S
    assert exchange_interval_s(True, 100) == EXCHANGE_INTERVAL_S
