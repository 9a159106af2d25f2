"""An exception in one step skips none of the others that must happen."""

import asyncio
from dataclasses import replace

import pytest

from cranberrysail.router.httpclient import HttpClientConn, connect
from cranberrysail.router.memoryaccount import HoldingKind, MemoryHolding
from cranberrysail.router.resourcelimits import ResourceLimits
from tests.router import test_crashdetector, test_waiting_calls
from tests.router.scriptedserver import ADDRESS, Script, ScriptedServer
from tests.router.simulatedfleet import Caller, make_request, plain_answer
from tests.router.test_planned_stop import (
    GRACE_S,
    HOST,
    answer_after,
    make_call,
    start_fleet,
)
from tests.router.test_process import MemorySettings
from tests.router.virtualloop import run_virtual


def fail(*args, **kwargs):
    raise LookupError("a fault of the test")


def fail_log(router, failing_kind):
    """Let the lines of one kind raise an exception."""
    write = router.log.write

    def write_or_fail(kind, **fields):
        if kind == failing_kind:
            fail()
        write(kind, **fields)

    router.log.write = write_or_fail


def fail_first_connection(router, method):
    setattr(min(router.listener.conns, key=id), method, fail)


STOP_FAULTS = {
    "timeouts of calls": lambda r: setattr(r.call_handler, "end_calls_by", fail),
    "refusals": lambda r: setattr(r.call_handler, "refuse_long_calls", fail),
    "log of the begin": lambda r: fail_log(r, "stopping"),
    "log of the end": lambda r: fail_log(r, "stopped"),
    "a connection": lambda r: fail_first_connection(r, "check_timeouts"),
    "all connections": lambda r: setattr(r.listener, "_check_timeouts", fail),
    "its listener": lambda r: setattr(r.listener, "stop_listening", fail),
    "all of it": lambda r: setattr(r.listener, "shutdown", fail),
}


@pytest.mark.parametrize("fault", STOP_FAULTS.values(), ids=STOP_FAULTS)
def test_stop_cuts_no_call_and_ends_in_time_though_a_step_of_it_fails(fault):
    """Guards against a stop that ends the process early, or not at all."""

    async def main(loop):
        world = await start_fleet(loop, answer_after(4.0))
        for _ in range(3):
            await loop.create_connection(Caller, HOST, 8000)
        running = await world.send(make_call(timeout_ms=6000))
        fault(world.router)
        stop_s = loop.time()
        world.router.request_stop()
        await asyncio.wait_for(world.router.stopped.wait(), GRACE_S)
        return running.status, loop.time() - stop_s

    status, elapsed_s = run_virtual(main)
    assert status == 200
    assert elapsed_s < GRACE_S


def test_call_whose_caller_left_is_cancelled_though_the_account_of_memory_fails():
    """Guards against endpoints that work on for callers that have left."""

    async def main(loop):
        world = await start_fleet(loop, answer_after(3.0))
        caller = await world.send(make_call("/look/1"))
        await asyncio.sleep(0.5)
        world.router.resources.charge = fail
        caller.transport.abort()
        await asyncio.sleep(0.5)
        (conn,) = world.worker.conns
        return conn.open

    assert run_virtual(main) is False


def test_memory_is_released_by_all_that_yield_though_one_of_them_fails():
    """Guards against a process that exceeds its memory because of one connection."""

    async def main(loop):
        resources = ResourceLimits(1.0, 0)
        released = []
        for release in (lambda: released.append(1), fail, lambda: released.append(2)):
            holding = MemoryHolding(release, HoldingKind.INCOMING)
            resources.account.charge(holding, resources.account.budget, loop.time())
        resources.relieve()
        return sorted(released)

    assert run_virtual(main) == [1, 2]


def test_connection_does_not_stay_open_unserved_after_the_end_of_a_request_fails():
    """Guards against a kept connection whose next request gets no response."""

    async def main(loop):
        world = await start_fleet(loop, plain_answer)
        caller = await world.send(make_call())
        await asyncio.sleep(0.01)
        (conn,) = world.router.listener.conns
        world.router.resources.connections.request_ended = fail
        await asyncio.sleep(1.0)
        return caller.status, caller.closed, conn.busy

    assert run_virtual(main) == (200, True, False)


def test_waiting_call_is_sent_at_its_limit_after_a_check_of_its_service_has_failed():
    """Guards against calls that wait until their deadline."""

    async def hang(conn, received):
        await asyncio.sleep(60.0)

    async def main(loop):
        world = await test_waiting_calls.start_fleet(loop)
        world.worker.answer = hang
        await test_waiting_calls.send_calls(world, 3)
        order = world.router.call_handler.order
        wake, order._wake = order._wake, fail
        await asyncio.sleep(0.1)
        order._wake = wake
        await asyncio.sleep(3.0)
        return test_waiting_calls.sent_ids(world)

    assert run_virtual(main) == ["a0", "a1", "a2"]


def test_settings_are_applied_to_all_parts_though_one_of_them_rejects_them():
    """Guards against a change of the settings of which a part is never applied."""

    async def main(loop):
        world = await start_fleet(loop, plain_answer)
        router = world.router
        router.selector.configure = fail
        cfg = replace(router.cfg, memory_mb=50.0)
        router._settings = MemorySettings(cfg)
        router.reload("a test")
        return router.resources.account.budget, ResourceLimits(50.0).account.budget

    applied, expected = run_virtual(main)
    assert applied == expected


def test_call_does_not_wait_for_its_deadline_after_reading_a_lost_connection_fails(
    monkeypatch,
):
    """Guards against a call that hears nothing of the end of its connection."""
    monkeypatch.setattr(HttpClientConn, "_receive_rest", fail)

    async def main(loop):
        loop.servers["10.0.1.1", 80] = lambda: ScriptedServer([Script([], "reset")])
        conn = await connect(ADDRESS, 1.0)
        conn.send(b"GET / HTTP/1.1\r\n\r\n")
        with pytest.raises(Exception, match="connection lost"):
            await asyncio.wait_for(conn.wait_for_head(), 1.0)

    run_virtual(main)


def test_crash_counts_against_its_content_though_it_cannot_be_logged():
    """Guards against content that crashes endpoints on and on."""

    async def answer(conn, received):
        await asyncio.sleep(0.05)
        fail_log(fleet.router, "endpoint_crashed")
        test_crashdetector.end_worker(conn.worker)

    fleet = None

    async def main(loop):
        nonlocal fleet
        fleet = test_crashdetector.SimulatedFleet(loop)
        fleet.write_config(test_crashdetector.make_config())
        fleet.add_worker("e1", "engines", answer)
        await fleet.start_router()
        request = make_request("/chat/", Cranberrysail_Prompt_Prefix="aa:10,c0:5")
        await fleet.send_and_wait(request)
        await asyncio.sleep(0.5)
        return list(fleet.router.quarantine.records)

    assert run_virtual(main) == ["engines/aa"]


def test_call_is_sent_elsewhere_though_a_failed_connection_cannot_be_logged():
    """Guards against calls that fail since a change of an endpoint is half-done."""

    async def main(loop):
        world = await start_fleet(loop, plain_answer)
        for number in range(3):
            world.add_worker(f"gone{number}", "plain", plain_answer)
            del loop.servers[f"10.0.1.{number + 2}", 80]
        await asyncio.sleep(1.0)
        fail_log(world.router, "endpoint")
        requests = [make_call("/look/1", f"a{number}") for number in range(6)]
        return [(await world.send_and_wait(request)).status for request in requests]

    assert run_virtual(main) == [200] * 6


def test_one_connection_does_not_keep_others_from_their_timeouts():
    """Guards against connections that are never closed since one cannot be checked."""

    async def main(loop):
        world = await start_fleet(loop, plain_answer)
        callers = [(await loop.create_connection(Caller, HOST, 8000))[1] for _ in "abc"]
        for conn in world.router.listener.conns:
            conn.check_timeouts = fail
            break
        await asyncio.sleep(20.0)
        return sum(caller.closed for caller in callers)

    assert run_virtual(main) == 2


def test_rotation_is_updated_though_the_cleaning_up_of_state_fails():
    """Guards against callers that are kept in a zone that is cut off."""

    async def main(loop):
        world = await start_fleet(loop, plain_answer)
        world.router.call_handler.sweep = fail
        updates = []
        world.router._update_rotation = lambda: updates.append(loop.time())
        await asyncio.sleep(2.0)
        return len(updates)

    assert run_virtual(main) >= 7
