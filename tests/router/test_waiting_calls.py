"""Calls that wait for capacity in a router, through whole routers in virtual time."""

import asyncio
import dataclasses

import pytest

from cranberrysail.router.admission import AdmissionBound
from tests.router.simulatedfleet import (
    SEAL,
    SimulatedFleet,
    make_config,
    make_request,
)
from tests.router.virtualloop import run_virtual

WORK_S = 1.0


async def answer(conn, received):
    await asyncio.sleep(WORK_S)
    request_id = received.headers["cranberrysail-attempt-id"]
    conn.reply(200, SEAL, b"id: 1\ndata: done\n\n", request_id)


async def start_fleet(loop, allocates=True):
    world = SimulatedFleet(loop)
    world.write_config(make_config())
    world.worker = world.add_worker("g0", "engines", answer, slots=2)
    router = await world.start_router()
    bound = AdmissionBound(allocates=allocates)
    cfg = dataclasses.replace(router.cfg, admission=bound)
    router.selector.configure(cfg)
    router.call_handler.configure(cfg)
    return world


async def send_calls(world, count, timeout_ms=4000):
    callers = []
    for number in range(count):
        request = make_request(
            "/chat/1", f"a{number}", Cranberrysail_Deadline_Ms=str(timeout_ms)
        )
        callers.append(await world.send(request))
        await asyncio.sleep(0.02)
    return callers


def sent_ids(world):
    return [r.headers["cranberrysail-attempt-id"] for r in world.worker.requests]


@pytest.mark.parametrize("allocates", [True, False])
def test_calls_wait_for_a_slot_only_where_capacity_is_allocated(allocates):
    async def main(loop):
        world = await start_fleet(loop, allocates)
        callers = await send_calls(world, 3)
        await asyncio.sleep(0.3)
        sent = len(sent_ids(world))
        await asyncio.sleep(5.0)
        return sent, [caller.status for caller in callers], world.log_kinds()

    sent, statuses, kinds = run_virtual(main)
    assert sent == (2 if allocates else 3)
    assert statuses == [200, 200, 200]
    assert ("waited" in kinds) is allocates


def test_call_whose_caller_leaves_while_it_waits_is_never_sent():
    async def main(loop):
        world = await start_fleet(loop)
        callers = await send_calls(world, 3)
        await asyncio.sleep(0.1)
        callers[2].transport.abort()
        await asyncio.sleep(5.0)
        room = world.router.call_handler.order.allocation.room
        return sent_ids(world), len(room), world.log_kinds()

    sent, waiting, kinds = run_virtual(main)
    assert sent == ["a0", "a1"]
    assert waiting == 0
    assert "wait_ended" in kinds


def test_waiting_call_is_refused_in_a_planned_stop_and_never_sent():
    async def main(loop):
        world = await start_fleet(loop)
        callers = await send_calls(world, 3)
        await asyncio.sleep(0.1)
        handler = world.router.call_handler
        handler.end_calls_by(loop.time() + 1.5)
        handler.refuse_long_calls()
        await callers[2].answer()
        return sent_ids(world), callers[2]

    sent, caller = run_virtual(main)
    assert sent == ["a0", "a1"]
    assert caller.status == 503
    assert b'"stopping"' in caller.data
