"""Requests to the store of the routers of one availability zone."""

import asyncio
import random

import pytest

from tests.router.simulatedfleet import SimulatedFleet, make_config, plain_answer
from tests.router.virtualloop import run_virtual

MAX_RESPONSE_DELAY_S = 0.3
MIN_RESPONSE_DELAY_S = 0.005
OBSERVED_S = 30.0
# Endpoints change twice within a moment, and then not for a time.
CHANGE_GAP_S = 0.05
CHANGE_INTERVAL_S = 2.5


def count_store_requests(routers, seed=1):
    """Return the requests in a calm time of routers whose responses are late."""

    async def main(loop):
        rng = random.Random(seed)
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        worker = world.add_worker("p0", "plain", plain_answer)
        starts = (
            world.start_router(name=f"r{number}", host=f"10.0.2.{number}")
            for number in range(routers)
        )
        await asyncio.gather(*starts)
        await asyncio.sleep(5.0)
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
    return run_virtual(main)


def test_metrics_tell_why_the_store_was_read():
    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        router = await world.start_router()
        return router.dump()["store_reads"], router._metrics_page()[1].decode()

    counts, metrics = run_virtual(main)
    assert counts["start"] == 3
    assert counts["no_peer"] > 0
    assert 'cranberrysail_store_reads_total{kind="start"} 3' in metrics


@pytest.mark.parametrize("routers", [8, 34, 100])
def test_late_responses_do_not_send_the_routers_of_a_zone_to_the_store(routers):
    assert count_store_requests(routers) <= 2 * count_store_requests(1)
