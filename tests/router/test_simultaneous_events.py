"""Stops, reloads and timeouts that fall into one pass of the event loop."""

import asyncio
import random
from dataclasses import replace

import pytest

from cranberrysail.router.coldlimit import ColdBound
from tests.router.simulatedfleet import Caller, make_request, plain_answer
from tests.router.test_planned_stop import GRACE_S, HOST, start_fleet
from tests.router.test_process import MemorySettings
from tests.router.virtualloop import run_virtual

TIMEOUT_MS = 2500
# Timers this close to each other run in one pass, in this order.
STEP_S = 1e-10
CALLS = 12


async def hang_for_calls(conn, received):
    """Respond to short calls never, and to others after 50 ms."""
    if received.headers["cranberrysail-deadline-ms"] > "3000":
        await plain_answer(conn, received)
    await asyncio.sleep(60.0)


def make_call(attempt, timeout_ms=TIMEOUT_MS):
    fields = {"Cranberrysail_Deadline_Ms": str(timeout_ms)}
    return make_request("/book/1", attempt, b"two seats", **fields)


async def open_calls(world):
    """Send calls that hang; return their callers and the times of their timeouts."""
    callers = [await world.send(make_call(f"c{n}")) for n in range(CALLS)]
    await asyncio.sleep(1.0)
    timeouts = world.router.call_handler._timeouts
    assert len(timeouts) == CALLS
    return callers, sorted(timeout.when() for timeout in timeouts)


async def stop_beside_timeouts(loop, events):
    """Let events happen at given times relative to the timeout of one of the calls.

    Returns the world, the callers, one with an idle connection, and the time of the
    stop.
    """
    world = await start_fleet(loop, hang_for_calls)
    router = world.router
    router._settings = MemorySettings(replace(router.cfg, cold=ColdBound(9.0, 9.0)))
    _, idle = await loop.create_connection(Caller, HOST, 8000)
    callers, times = await open_calls(world)
    actions = {"stop": router.request_stop, "reload": lambda: router.reload("a test")}
    at_s = times[CALLS // 2]
    for name, offset_s in events:
        loop.call_at(at_s + offset_s, actions[name])
    await asyncio.sleep(at_s - loop.time() + 0.5)
    return world, callers, idle, at_s


def assert_stop_is_carried_out(events):
    """Check that the stop begins, ends in time, and leaves no caller without answer."""

    async def main(loop):
        world, callers, idle, stop_s = await stop_beside_timeouts(loop, events)
        await asyncio.sleep(stop_s + 4.0 - loop.time())
        closed_after_4_s = idle.closed
        await asyncio.wait_for(world.router.stopped.wait(), GRACE_S)
        return world, callers, closed_after_4_s, loop.time() - stop_s

    world, callers, closed, elapsed_s = run_virtual(main)
    assert closed
    assert elapsed_s < GRACE_S
    kinds = world.log_kinds()
    assert kinds.count("stopping") == kinds.count("stopped") == 1
    assert [caller.status for caller in callers] == [504] * CALLS


@pytest.mark.parametrize("offset", [-1, 1, 2])
def test_stop_is_not_lost_when_a_call_times_out_in_the_same_pass(offset):
    assert_stop_is_carried_out([("stop", offset * STEP_S)])


@pytest.mark.parametrize("seed", range(40))
def test_stop_is_not_lost_among_timeouts_reloads_and_further_signals(seed):
    rng = random.Random(seed)
    events = [
        (name, rng.choice([-1, 1]) * rng.choice([1, 2, 3, 3e6]) * STEP_S)
        for name in ["stop", *rng.choices(["stop", "reload"], k=rng.randrange(4))]
    ]
    assert_stop_is_carried_out(events)
