"""Tables that the store has confirmed are in force in time, whatever else happens."""

import asyncio
import random

import pytest

from cranberrysail.router.store import Topic
from tests.router.simulatedfleet import SimulatedFleet, make_config, plain_answer
from tests.router.virtualloop import run_virtual

HOSTS = {f"r{number}": f"10.0.0.{number}" for number in range(1, 5)}
NAMES = ("r1", "r2", "r3")
# Time that the users allow, and that while the store turns some routers away.
MAX_DELAY_S = 2.0
MAX_PARTIAL_OUTAGE_DELAY_S = MAX_DELAY_S + 5.0


def run_fleet(scenario, names=NAMES):
    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        world.add_worker("p0", "plain", plain_answer)
        world.add_worker("p1", "plain", plain_answer, zone="b")
        await asyncio.gather(
            *(world.start_router(name=name, host=HOSTS[name]) for name in names)
        )
        await asyncio.sleep(5.0)
        return await scenario(world)

    return run_virtual(main)


def version(world, name="r1"):
    return world.routers[name].routing_state.tables.version


def routers_by_rank(world):
    """Return the names of the routers, first the one that reads the store."""
    return sorted(
        world.routers,
        key=lambda name: len(world.routers[name].routers.preferred_peers()),
    )


async def measure_delays(world, wanted, names):
    """Return the time until each router has tables of at least a version in force."""
    started_s = world.loop.time()
    delays_s = {}
    while len(delays_s) < len(names) and world.loop.time() - started_s < 10:
        await asyncio.sleep(0.01)
        for name in names:
            if version(world, name) >= wanted:
                delays_s.setdefault(name, world.loop.time() - started_s)
    return [delays_s.get(name, 10.0) for name in names]


def stop_responding(world, host):
    """Let a host keep its connections and answer nothing, as if it were frozen."""
    for transport in world.loop.transports:
        if transport.host == host:
            transport.drops_writes = transport.peer.drops_writes = True
    world.loop.unreachable |= {
        address for address in world.loop.servers if address[0] == host
    }


def write_behind(world, record):
    if record == "older":
        world.write_config(make_config(4))
    elif record == "invalid":
        world.store.append(Topic.OPERATORS, "config", b"{not json")
    elif record == "undecodable":
        world.write_config({"version": 10, "routes": 7, "services": []})
    else:
        world.store.append(Topic.OPERATORS, "config", None)


RECORDS_BEHIND = ("older", "invalid", "undecodable", "removal")


@pytest.mark.parametrize("record", RECORDS_BEHIND)
def test_record_behind_newer_tables_in_a_page_does_not_hide_them(record):
    async def main(world):
        world.store.down = True
        await asyncio.sleep(0.1)
        world.write_config(make_config(9))
        write_behind(world, record)
        await asyncio.sleep(0.2)
        world.store.down = False
        await asyncio.sleep(MAX_DELAY_S)
        return version(world)

    assert run_fleet(main, names=("r1",)) == 9


@pytest.mark.parametrize("record", RECORDS_BEHIND)
def test_record_behind_newer_tables_does_not_hide_them_from_peers(record):
    async def main(world):
        _, *others = routers_by_rank(world)
        for name in others:
            world.store.view_for(name).down = True
        world.store.down = True
        await asyncio.sleep(0.1)
        world.write_config(make_config(9))
        write_behind(world, record)
        await asyncio.sleep(0.2)
        world.store.down = False
        return await measure_delays(world, 9, others)

    assert max(run_fleet(main)) <= MAX_DELAY_S


@pytest.mark.parametrize("lost", range(1, 4))
@pytest.mark.parametrize("written", range(1, 5))
def test_tables_written_after_the_store_lost_records_are_in_force(lost, written):
    async def main(world):
        copy = world.store.copy()
        for number in range(2, 2 + lost):
            world.write_config(make_config(number))
        await asyncio.sleep(1.0)
        world.store.down = True
        await asyncio.sleep(0.5)
        world.store.restore(copy)
        newest = 1 + lost + written
        for number in range(2 + lost, newest + 1):
            world.write_config(make_config(number))
        world.store.down = False
        return await measure_delays(world, newest, NAMES)

    assert max(run_fleet(main)) <= MAX_DELAY_S


async def freeze_two(world, phase):
    """Freeze the two routers that the last one reads from; return its name."""
    *frozen, last = routers_by_rank(world)
    # Meanwhile the last router also connects to the second.
    world.store.view_for(frozen[0]).silent = True
    await asyncio.sleep(4.0)
    world.store.view_for(frozen[0]).silent = False
    await asyncio.sleep(4.0 + phase / 10)
    for name in frozen:
        stop_responding(world, HOSTS[name])
    await asyncio.sleep(0.01)
    return last


@pytest.mark.parametrize("phase", range(10))
def test_two_hosts_that_freeze_do_not_delay_tables_of_the_third(phase):
    async def main(world):
        last = await freeze_two(world, phase)
        world.write_config(make_config(2))
        return await measure_delays(world, 2, [last])

    assert max(run_fleet(main)) <= MAX_DELAY_S


@pytest.mark.parametrize("phase", range(10))
def test_two_hosts_that_freeze_do_not_delay_a_drain_at_the_third(phase):
    async def main(world):
        router = world.routers[await freeze_two(world, phase)]
        started_s = world.loop.time()
        world.workers["p0"].state = "draining"
        world.write_declaration(world.workers["p0"])
        while len(router.endpoints.usable("plain")) > 1:
            await asyncio.sleep(0.01)
        return world.loop.time() - started_s

    assert run_fleet(main) <= MAX_DELAY_S


@pytest.mark.parametrize("phase", range(10))
def test_peer_that_reads_other_records_only_does_not_delay_tables(phase):
    async def main(world):
        reader, *others = routers_by_rank(world)
        await asyncio.sleep(phase / 10)
        world.store.view_for(reader).silent_topic = Topic.OPERATORS
        world.write_config(make_config(2))
        return await measure_delays(world, 2, others)

    assert max(run_fleet(main)) <= MAX_DELAY_S


def test_router_that_starts_after_a_late_write_of_older_tables_has_the_newest():
    async def main(world):
        world.write_config(make_config(9))
        await asyncio.sleep(0.5)
        world.write_config(make_config(4))
        world.kill(world.routers["r3"], HOSTS["r3"])
        await asyncio.sleep(0.5)
        await world.start_router(0.0, "r3", HOSTS["r3"])
        delays_s = await measure_delays(world, 9, ["r3"])
        world.kill(world.routers["r1"], HOSTS["r1"])
        await world.start_router(0.0, "r1", HOSTS["r1"])
        return delays_s + await measure_delays(world, 9, ["r1"])

    assert max(run_fleet(main)) <= MAX_DELAY_S


@pytest.mark.parametrize("phase", range(5))
def test_router_without_the_store_is_not_delayed_by_hosts_that_freeze(phase):
    async def main(world):
        cut_off = routers_by_rank(world)[0]
        peers = world.routers[cut_off].routers.fallback_peers()
        frozen = [peer.name for peer in peers[:2]]
        world.store.view_for(cut_off).silent = True
        await asyncio.sleep(6.0 + phase / 5)
        for name in frozen:
            stop_responding(world, HOSTS[name])
        world.write_config(make_config(2))
        return await measure_delays(world, 2, [cut_off])

    random.seed(phase)
    assert max(run_fleet(main, tuple(HOSTS))) <= MAX_PARTIAL_OUTAGE_DELAY_S
