"""Reads of the store that are behind what a router has applied."""

import asyncio

from cranberrysail.router.store import Topic
from tests.router.simulatedfleet import make_config
from tests.router.test_tables_in_force import (
    MAX_DELAY_S,
    NAMES,
    measure_delays,
    run_fleet,
)


def test_snapshot_that_is_behind_takes_nothing_back():
    async def main(world):
        behind = world.store.copy()
        world.write_config(make_config(2))
        world.store.append(Topic.OPERATORS, "evacuate/b", b"{}")
        world.store.append(Topic.ENDPOINTS, "p0", None)
        await asyncio.sleep(2.0)
        world.store.shown = behind
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
        world.write_config(make_config(3))
        return seen, await measure_delays(world, 3, NAMES)

    seen, delays_s = run_fleet(main)
    assert seen == [(["b"], 2)] * (60 * len(NAMES))
    assert max(delays_s) <= MAX_DELAY_S
