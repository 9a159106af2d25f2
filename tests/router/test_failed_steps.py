"""An exception in one step skips none of the others that must happen."""

import asyncio

import pytest

from tests.router.simulatedfleet import Caller
from tests.router.test_planned_stop import (
    GRACE_S,
    HOST,
    answer_after,
    make_call,
    start_fleet,
)
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
