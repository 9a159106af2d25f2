"""Routers that start know what the newest records of the store hide."""

import asyncio
import random
from itertools import combinations

import pytest

from cranberrysail.router.store import Topic
from tests.router.simulatedfleet import make_config, make_request
from tests.router.test_tables_in_force import (
    HOSTS,
    MAX_DELAY_S,
    NAMES,
    RECORDS_BEHIND,
    measure_delays,
    run_fleet,
    stop_responding,
    write_behind,
)

# The users bound routers by times only once they have run for this long.
STABILITY_WINDOW_S = 3.0
MAX_START_DELAY_S = STABILITY_WINDOW_S + MAX_DELAY_S


async def hide_tables(world, record="older"):
    world.write_config(make_config(9))
    await asyncio.sleep(0.5)
    write_behind(world, record)
    await asyncio.sleep(0.5)


async def restart(world, names):
    for name in names:
        world.kill(world.routers[name], HOSTS[name])
    await asyncio.sleep(0.5)
    await asyncio.gather(*(world.start_router(0.0, n, HOSTS[n]) for n in names))


def usable(world):
    """Return the usable endpoints by router."""
    return {
        name: sorted(e.id for e in world.routers[name].endpoints.usable("plain"))
        for name in NAMES
    }


@pytest.mark.parametrize("history", ["kept", "dropped"])
@pytest.mark.parametrize("names", list(combinations(NAMES, 2)))
def test_two_routers_that_start_together_have_the_tables_of_the_third(names, history):
    async def main(world):
        await hide_tables(world)
        if history == "dropped":
            world.store.compact(Topic.OPERATORS)
        await restart(world, names)
        return await measure_delays(world, 9, NAMES)

    assert max(run_fleet(main)) <= MAX_START_DELAY_S


@pytest.mark.parametrize("history", ["kept", "dropped"])
@pytest.mark.parametrize("name", NAMES)
def test_router_that_starts_while_no_peer_responds_has_their_tables_later(
    name, history
):
    async def main(world):
        await hide_tables(world)
        if history == "dropped":
            world.store.compact(Topic.OPERATORS)
        others = [other for other in NAMES if other != name]
        reachable = set(world.loop.unreachable)
        for other in others:
            stop_responding(world, HOSTS[other])
        await restart(world, [name])
        await asyncio.sleep(2.5)
        world.loop.unreachable = reachable
        for transport in world.loop.transports:
            if transport.host in [HOSTS[other] for other in others]:
                transport.reset()
        return await measure_delays(world, 9, NAMES)

    assert max(run_fleet(main)) <= MAX_START_DELAY_S


@pytest.mark.parametrize("record", RECORDS_BEHIND)
def test_routers_that_all_start_have_tables_that_the_history_still_holds(record):
    async def main(world):
        await hide_tables(world, record)
        await restart(world, NAMES)
        return await measure_delays(world, 9, NAMES)

    assert max(run_fleet(main)) <= MAX_START_DELAY_S


@pytest.mark.parametrize("cut_off", NAMES)
def test_snapshot_of_a_router_that_started_hides_no_tables_of_a_restored_store(cut_off):
    async def main(world):
        copy = world.store.copy()
        world.write_config(make_config(2))
        await asyncio.sleep(1.0)
        others = [name for name in NAMES if name != cut_off]
        for name in others:
            world.kill(world.routers[name], HOSTS[name])
        world.store.view_for(cut_off).down = True
        world.store.restore(copy)
        await hide_tables(world)
        await asyncio.gather(*(world.start_router(0.0, n, HOSTS[n]) for n in others))
        await asyncio.sleep(2.0)
        world.store.view_for(cut_off).down = False
        return await measure_delays(world, 9, NAMES)

    assert max(run_fleet(main)) <= MAX_START_DELAY_S


@pytest.mark.parametrize("removed", [False, True])
@pytest.mark.parametrize("names", [("r1",), ("r2", "r3"), NAMES])
def test_older_declaration_does_not_hide_a_drain_from_routers_that_start(
    names, removed
):
    async def main(world):
        worker = world.workers["p0"]
        older = worker.next_declaration()
        worker.state = "draining"
        world.write_declaration(worker)
        if removed:
            world.store.append(Topic.ENDPOINTS, "p0", None)
        await asyncio.sleep(0.5)
        world.store.append(Topic.ENDPOINTS, "p0", older)
        await restart(world, names)
        await asyncio.sleep(MAX_START_DELAY_S)
        return usable(world)

    assert run_fleet(main) == {name: ["p1"] for name in NAMES}


@pytest.mark.parametrize("away_s", [0.0, 0.4, 0.8])
@pytest.mark.parametrize("seed", [0, 3, 23, 39])
def test_call_that_arrives_before_the_tables_is_not_refused(away_s, seed):
    """Pauses between reads are random; with these seeds, calls were refused."""
    random.seed(seed)

    async def main(world):
        world.kill(world.routers["r1"], HOSTS["r1"])
        world.store.view_for("r1").down = True
        await world.start_router(0.0, "r1", HOSTS["r1"])
        caller = await world.send(make_request("/look/1"))
        await asyncio.sleep(away_s)
        world.store.view_for("r1").down = False
        await caller.answer()
        return caller.status

    assert run_fleet(main) == 200


def test_call_to_a_router_that_finds_no_store_is_refused_at_once():
    async def main(world):
        world.store.down = True
        for name in NAMES:
            world.kill(world.routers[name], HOSTS[name])
        await world.start_router(5.0, "r1", HOSTS["r1"])
        sent_s = world.loop.time()
        caller = await world.send_and_wait(make_request("/look/1"))
        return caller.status, world.loop.time() - sent_s

    status, seconds = run_fleet(main)
    assert status == 503
    assert seconds < 0.1
