"""Requests to the store of the routers of one availability zone."""

import asyncio
import gc
import random

import pytest

from cranberrysail.router.rendezvous import score
from tests.router.simulatedfleet import SimulatedFleet, make_config, plain_answer
from tests.router.test_tables_in_force import (
    MAX_PARTIAL_OUTAGE_DELAY_S,
    measure_delays,
)
from tests.router.virtualloop import run_virtual

MAX_RESPONSE_DELAY_S = 0.3
MIN_RESPONSE_DELAY_S = 0.005
OBSERVED_S = 30.0
# Routers on slow links that one reader of the store is to serve.
ROUTERS_PER_READER = 8
# Routers that start together, and what each may ask of the store in the first 7 s: the
# list of routers, its registration, the list with the others, and two more.
STARTED = 30
MAX_START_REQUESTS = 5
# Endpoints change twice within a moment, and then not for a time.
CHANGE_GAP_S = 0.05
CHANGE_INTERVAL_S = 2.5


def run_fleet(main):
    """Run a scenario, and free its routers before other code is compiled.

    CPython 3.11 fails to compile while finalizers of many coroutines run.
    """
    try:
        return run_virtual(main)
    finally:
        gc.collect()


async def start_zone(world, routers, relays=True):
    """Start the routers of a zone together; return its first worker."""
    world.write_config(make_config())
    worker = world.add_worker("p0", "plain", plain_answer)
    starts = (
        world.start_router(name=f"r{number}", host=f"10.0.2.{number}", relays=relays)
        for number in range(routers)
    )
    await asyncio.gather(*starts)
    await asyncio.sleep(5.0)
    return worker


def count_store_requests(routers, seed=1, relays=True):
    """Return the requests in a calm time of routers whose responses are late."""

    async def main(loop):
        rng = random.Random(seed)
        world = SimulatedFleet(loop)
        worker = await start_zone(world, routers, relays)
        loop.response_delay_s = lambda: rng.uniform(
            MIN_RESPONSE_DELAY_S, MAX_RESPONSE_DELAY_S
        )
        world.store.request_counts.clear()
        for _ in range(round(OBSERVED_S / CHANGE_INTERVAL_S)):
            world.write_declaration(worker)
            await asyncio.sleep(CHANGE_GAP_S)
            world.write_declaration(worker)
            await asyncio.sleep(CHANGE_INTERVAL_S)
        return sum(world.store.request_counts.values())

    random.seed(seed)
    return run_fleet(main)


def test_metrics_tell_why_the_store_was_read():
    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        router = await world.start_router()
        return router.dump()["store_reads"], router._metrics_page()[1].decode()

    counts, metrics = run_fleet(main)
    assert counts["start"] == 3
    assert counts["no_peer"] > 0
    assert 'cranberrysail_store_reads_total{kind="start"} 3' in metrics


@pytest.mark.parametrize("routers", [8, 34, 100])
def test_late_responses_do_not_send_the_routers_of_a_zone_to_the_store(routers):
    assert count_store_requests(routers) <= 2 * count_store_requests(1)


@pytest.mark.parametrize("routers", [8, 34])
def test_slow_links_do_not_send_each_router_to_the_store(routers):
    readers = -(-routers // ROUTERS_PER_READER)
    requests = count_store_requests(routers, relays=False)
    assert requests <= 2 * readers * count_store_requests(1)


def test_tables_reach_a_router_on_a_slow_link_that_the_store_turns_away():
    async def main(loop):
        world = SimulatedFleet(loop)
        await start_zone(world, 5, relays=False)
        turned_away = next(
            name for name, r in world.routers.items() if not r.routers.preferred_peers()
        )
        world.store.view_for(turned_away).down = True
        await asyncio.sleep(2.0)
        world.write_config(make_config(2))
        return await measure_delays(world, 2, [turned_away])

    assert max(run_fleet(main)) <= MAX_PARTIAL_OUTAGE_DELAY_S


def test_store_that_turns_the_first_routers_away_is_not_read_by_all_others():
    async def main(loop):
        world = SimulatedFleet(loop)
        await start_zone(world, 12)
        first, second, third, *others = sorted(
            world.routers, key=lambda n: score("", n)
        )
        for name in (first, second):
            world.store.view_for(name).down = True
        await asyncio.sleep(4.0)
        world.store.request_counts.clear()
        await asyncio.sleep(10.0)
        counts = world.store.request_counts
        return counts[third], [counts[name] for name in others]

    third, others = run_fleet(main)
    assert max(others) <= third / 4


@pytest.mark.parametrize("registered", [False, True])
def test_routers_that_start_together_do_not_each_read_all_of_the_store(registered):
    async def main(loop):
        world = SimulatedFleet(loop)
        if registered:
            await start_zone(world, STARTED)
            # The history is read only if a key was written twice.
            world.write_declaration(world.workers["p0"])
            world.write_config(make_config())
            for router in world.routers.values():
                world.kill(router, router.cfg.peers.partition(":")[0])
            await asyncio.sleep(1.0)
            world.store.request_counts.clear()
        await start_zone(world, STARTED)
        return sum(world.store.request_counts.values())

    assert run_fleet(main) <= MAX_START_REQUESTS * STARTED
