"""Reading of records from other routers, also while peers or the store fail."""

import asyncio

import msgspec
import pytest

from cranberrysail.router import peers
from cranberrysail.router.peers import PeerStore
from cranberrysail.router.store import Position, StoreError, Topic
from tests.router.scriptedserver import ADDRESS, Script, ScriptedServer
from tests.router.simulatedfleet import SimulatedFleet, make_config, plain_answer
from tests.router.virtualloop import run_virtual

ROUTERS = ("r1", "r2", "r3")


def run_with_routers(scenario):
    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        world.add_worker("p0", "plain", plain_answer)
        world.add_worker("p1", "plain", plain_answer)
        starts = [
            world.start_router(name=name, host=f"10.0.0.{number}")
            for number, name in enumerate(ROUTERS, 1)
        ]
        await asyncio.gather(*starts)
        await asyncio.sleep(5.0)
        return await scenario(world)

    return run_virtual(main)


def store_reader(world):
    """Return the router that reads the store for its zone."""
    return next(n for n in ROUTERS if not world.routers[n].routers.preferred_peers())


async def measure_drain_delays(world, routers):
    """Drain a worker and return the time until each router stops using it."""
    started_s = world.loop.time()
    world.workers["p0"].state = "draining"
    world.write_declaration(world.workers["p0"])
    delays_s = {}
    while len(delays_s) < len(routers) and world.loop.time() - started_s < 10:
        await asyncio.sleep(0.01)
        for name in routers:
            usable = world.routers[name].endpoints.usable("plain")
            if len(usable) == 1:
                delays_s.setdefault(name, world.loop.time() - started_s)
    return delays_s


def test_one_router_of_zone_reads_store_for_all():
    """At full size, 400 routers share 2,000 reads per second, five for each."""

    async def main(world):
        world.store.request_counts.clear()
        await asyncio.sleep(20.0)
        return store_reader(world), dict(world.store.request_counts)

    reader, calls = run_with_routers(main)
    assert calls[reader] <= 5 * 20
    assert all(calls.get(name, 0) <= 2 for name in ROUTERS if name != reader)


@pytest.mark.parametrize("phase", range(12))
def test_draining_worker_is_known_to_all_routers_in_time(phase):
    """The pauses of two routers in a chain added up to more than 2 s."""

    async def main(world):
        await asyncio.sleep(phase / 10)
        return await measure_drain_delays(world, ROUTERS)

    delays_s = run_with_routers(main)
    assert len(delays_s) == 3
    assert max(delays_s.values()) < 1.7


@pytest.mark.parametrize("phase", range(4))
def test_silent_store_of_reader_does_not_delay_peers_beyond_limit(phase):
    async def main(world):
        reader = store_reader(world)
        await asyncio.sleep(phase / 3)
        world.store.view_for(reader).silent = True
        others = [name for name in ROUTERS if name != reader]
        return await measure_drain_delays(world, others)

    delays_s = run_with_routers(main)
    assert len(delays_s) == 2
    assert max(delays_s.values()) < 2.0


def test_router_rejected_by_store_reads_from_peers():
    async def main(world):
        reader = store_reader(world)
        world.store.view_for(reader).down = True
        await asyncio.sleep(1.0)
        world.write_config(make_config(8))
        await asyncio.sleep(3.0)
        return world.routers[reader].routing_state.tables.version

    assert run_with_routers(main) == 8


def test_invalid_router_records_are_ignored():
    async def main(world):
        world.store.append(Topic.ROUTERS, "invalid", b"not a record")
        await asyncio.sleep(2.0)
        return len(world.routers["r1"].routers), world.log_kinds()

    count, kinds = run_with_routers(main)
    assert count == 3
    assert "router_entry_rejected" in kinds


def test_router_that_cannot_read_store_gets_snapshot_from_peer():
    """After a zone had returned, a router on a slow link received no tables."""

    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        world.add_worker("p0", "plain", plain_answer)
        hosts = {"r1": "10.0.0.1", "r2": "10.0.0.2"}
        for name, host in hosts.items():
            await world.start_router(name=name, host=host)
        await asyncio.sleep(3.0)
        reader = next(
            n for n in hosts if not world.routers[n].routers.preferred_peers()
        )
        other = next(n for n in hosts if n != reader)
        world.store.view_for(other).silent = True
        world.kill(world.routers[reader], hosts[reader])
        await asyncio.sleep(0.5)
        for version in (2, 3, 4):
            world.write_config(make_config(version))
        await world.start_router(name=reader, host=hosts[reader])
        await asyncio.sleep(8.0)
        return world.routers[other].routing_state.tables.version

    assert run_virtual(main) == 4


@pytest.mark.parametrize("value", [b"1", b"x" * 4000], ids=["plain", "compressed"])
def test_cut_response_of_a_peer_is_an_error(value):
    records = (("a", value), ("b", value))
    response = peers._PeerResponse(peers._encode(records), 6, 0.1, True)
    body = msgspec.msgpack.encode(response)

    def read(size):
        script = Script([b"HTTP/1.1 200 OK\r\n\r\n" + body[:size]], "close")

        async def main(loop):
            loop.servers["10.0.1.1", 80] = lambda: ScriptedServer([script])
            return await PeerStore(ADDRESS).read(Topic.ENDPOINTS, Position(0, 4), 0.0)

        return run_virtual(main)

    assert read(len(body)).records == records
    for size in range(len(body)):
        with pytest.raises(StoreError):
            read(size)


def test_older_declaration_behind_a_draining_one_does_not_hide_it_from_peers():
    async def main(world):
        worker = world.workers["p0"]
        ready = worker.next_declaration()
        worker.state = "draining"
        for name in ROUTERS:
            if name != store_reader(world):
                world.store.view_for(name).down = True
        world.write_declaration(worker)
        world.store.append(Topic.ENDPOINTS, "p0", ready)
        await asyncio.sleep(2.0)
        routers = world.routers.values()
        return [len(router.endpoints.usable("plain")) for router in routers]

    assert run_with_routers(main) == [1, 1, 1]
