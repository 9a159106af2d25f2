"""Reads of the store that are behind what a router has applied."""

import asyncio

import pytest

from cranberrysail.router.store import Topic
from tests.router.simulatedfleet import make_config
from tests.router.test_tables_in_force import (
    HOSTS,
    MAX_DELAY_S,
    NAMES,
    measure_delays,
    routers_by_rank,
    run_fleet,
    stop_responding,
)

# Calls of three routers for two topics in 6 s, if each pauses after a failed read.
MAX_CALLS = 3 * 2 * 6 / 0.25


@pytest.mark.parametrize("history", ["kept", "dropped"])
def test_snapshot_that_is_behind_takes_nothing_back(history):
    async def main(world):
        behind = world.store.copy()
        world.write_config(make_config(2))
        world.store.append(Topic.OPERATORS, "evacuate/b", b"{}")
        world.store.append(Topic.ENDPOINTS, "p0", None)
        await asyncio.sleep(2.0)
        world.store.shown = behind
        if history == "dropped":
            world.store.compact(Topic.OPERATORS)
            world.store.compact(Topic.ENDPOINTS)
        world.store.request_counts.clear()
        seen = []
        for step in range(60):
            await asyncio.sleep(0.1)
            if step == 30:
                world.store.shown = None
            seen += [
                (sorted(r.endpoints.zones_out), r.routing_state.tables.version)
                for r in world.routers.values()
                if r.endpoints.get("p0") is None
            ]
        calls = sum(world.store.request_counts.values())
        world.write_config(make_config(3))
        return seen, calls, await measure_delays(world, 3, NAMES)

    seen, calls, delays_s = run_fleet(main)
    assert seen == [(["b"], 2)] * (60 * len(NAMES))
    assert max(delays_s) <= MAX_DELAY_S
    assert calls < MAX_CALLS


def test_store_that_lost_records_without_a_new_era_is_followed_in_the_end():
    async def main(world):
        copy = world.store.copy()
        world.store.append(Topic.OPERATORS, "evacuate/b", b"{}")
        await asyncio.sleep(2.0)
        world.store.restore(copy)
        world.store._shared.era = 1
        await asyncio.sleep(45.0)
        world.write_config(make_config(3))
        return await measure_delays(world, 3, NAMES)

    assert max(run_fleet(main)) <= MAX_DELAY_S


def test_store_that_is_behind_again_after_peers_made_up_for_it_takes_nothing_back():
    async def main(world):
        first, *others = routers_by_rank(world)
        behind = world.store.copy()
        world.store.append(Topic.OPERATORS, "evacuate/b", b"{}")
        await asyncio.sleep(2.0)
        world.store.view_for(first).shown = behind
        await asyncio.sleep(5.0)
        world.store.view_for(first).shown = None
        await asyncio.sleep(35.0)
        for name in others:
            stop_responding(world, HOSTS[name])
        world.store.view_for(first).shown = behind
        seen = []
        for _ in range(30):
            await asyncio.sleep(0.1)
            seen.append(sorted(world.routers[first].endpoints.zones_out))
        return seen

    assert run_fleet(main) == [["b"]] * 30
