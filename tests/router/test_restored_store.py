"""A store restored from a copy some seconds old, and what routers keep."""

import asyncio

import pytest

from cranberrysail.router.store import Topic
from tests.router.simulatedfleet import (
    SimulatedFleet,
    make_config,
    make_request,
    plain_answer,
)
from tests.router.virtualloop import run_virtual

HOSTS = {"r1": "10.0.0.1", "r2": "10.0.0.2", "r3": "10.0.0.3"}


def run_fleet(scenario):
    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        world.add_worker("p0", "plain", plain_answer)
        world.add_worker("p1", "plain", plain_answer, zone="b")
        await asyncio.gather(
            *(world.start_router(name=name, host=host) for name, host in HOSTS.items())
        )
        await asyncio.sleep(5.0)
        return await scenario(world)

    return run_virtual(main)


async def restore(world, copy):
    """Let the store be away for half a second and come back from a copy."""
    world.store.down = True
    await asyncio.sleep(0.5)
    world.store.restore(copy)
    world.store.down = False


def at_all(world, observe):
    """Return what is observed at the routers, once if it is the same at all."""
    observed = [observe(router) for router in world.routers.values()]
    return observed[0] if all(o == observed[0] for o in observed) else observed


def usable(world):
    return at_all(world, lambda r: sorted(e.id for e in r.endpoints.usable("plain")))


def zones_out(world):
    return at_all(world, lambda r: sorted(r.endpoints.zones_out))


def tables(world):
    return at_all(world, lambda r: r.routing_state.tables.version)


def test_tables_in_force_never_go_back_to_those_of_the_copy():
    async def main(world):
        copy = world.store.copy()
        world.write_config(make_config(5))
        await asyncio.sleep(1.0)
        await restore(world, copy)
        seen = []
        for _ in range(30):
            await asyncio.sleep(0.1)
            seen.append(tables(world))
        world.write_config(make_config(5))
        await asyncio.sleep(2.0)
        world.write_config(make_config(6))
        await asyncio.sleep(2.0)
        return seen, tables(world)

    assert run_fleet(main) == ([5] * 30, 6)


@pytest.mark.parametrize("written_again", [True, False])
def test_zone_that_the_copy_has_in_service_stays_out_until_it_is_written_again(
    written_again,
):
    async def main(world):
        copy = world.store.copy()
        world.store.append(Topic.OPERATORS, "evacuate/b", b"{}")
        await asyncio.sleep(1.0)
        await restore(world, copy)
        await asyncio.sleep(1.8)
        held = zones_out(world)
        if written_again:
            world.store.append(Topic.OPERATORS, "evacuate/b", b"{}")
        await asyncio.sleep(8.0)
        return held, zones_out(world)

    assert run_fleet(main) == (["b"], ["b"] if written_again else [])


@pytest.mark.parametrize("written_again", [True, False])
def test_endpoint_that_the_copy_lacks_stays_in_service_until_it_is_written_again(
    written_again,
):
    async def main(world):
        copy = world.store.copy()
        world.add_worker("p2", "plain", plain_answer)
        await asyncio.sleep(1.5)
        await restore(world, copy)
        await asyncio.sleep(1.8)
        states = at_all(world, lambda r: r.endpoints.get("p2").state.value)
        if written_again:
            world.write_declaration(world.workers["p2"])
        await asyncio.sleep(5.0)
        return states, usable(world)

    expected = ["p0", "p1"] + ["p2"] * written_again
    assert run_fleet(main) == ("ready", expected)


def test_endpoint_that_left_after_the_copy_gets_nothing_new():
    async def main(world):
        copy = world.store.copy()
        world.workers["p0"].state = "draining"
        world.write_declaration(world.workers["p0"])
        world.store.append(Topic.ENDPOINTS, "p1", None)
        await asyncio.sleep(1.5)
        await restore(world, copy)
        seen = []
        for _ in range(50):
            await asyncio.sleep(0.1)
            seen.append(usable(world))
        return seen

    assert run_fleet(main) == [[]] * 50


def test_endpoint_that_left_returns_as_a_new_incarnation():
    async def main(world):
        copy = world.store.copy()
        world.store.append(Topic.ENDPOINTS, "p1", None)
        await asyncio.sleep(1.5)
        await restore(world, copy)
        await asyncio.sleep(1.5)
        worker = world.workers["p1"]
        worker.born, worker.sequence = 2, 0
        world.write_declaration(worker)
        await asyncio.sleep(1.5)
        return usable(world)

    assert run_fleet(main) == ["p0", "p1"]


def test_removed_endpoint_is_not_forgotten_before_an_older_record_is_read_again():
    async def main(world):
        old = world.workers["p1"].next_declaration()
        world.write_declaration(world.workers["p1"])
        world.store.append(Topic.ENDPOINTS, "p1", None)
        await asyncio.sleep(1.5)
        world.store.append(Topic.ENDPOINTS, "p1", old)
        await asyncio.sleep(1.5)
        return usable(world)

    assert run_fleet(main) == ["p0"]


def test_routers_that_the_copy_lacks_register_again_and_count_meanwhile():
    async def main(world):
        copy = world.store.copy() | {Topic.ROUTERS: 0}
        await restore(world, copy)
        sizes = []
        for _ in range(80):
            await asyncio.sleep(0.1)
            sizes.append(at_all(world, lambda r: len(r.routers)))
        listed = {key for key, _ in world.store.records(Topic.ROUTERS)}
        return set(sizes), listed, len(world.store.records(Topic.ROUTERS))

    sizes, listed, writes = run_fleet(main)
    assert sizes == {3}
    assert listed == set(HOSTS)
    assert writes <= 2 * len(HOSTS)


def test_router_that_did_not_register_again_is_dropped():
    async def main(world):
        copy = world.store.copy()
        world.store.append(
            Topic.ROUTERS, "r9", b'{"zone":"b","address":"10.0.0.9:8003"}'
        )
        await asyncio.sleep(1.5)
        await restore(world, copy)
        await asyncio.sleep(2.0)
        before = at_all(world, lambda r: len(r.routers))
        await asyncio.sleep(6.0)
        return before, at_all(world, lambda r: len(r.routers))

    assert run_fleet(main) == (4, 3)


@pytest.mark.parametrize("cut_off", list(HOSTS))
def test_router_that_cannot_reach_the_restored_store_learns_of_it_from_peers(cut_off):
    async def main(world):
        copy = world.store.copy()
        world.write_config(make_config(2))
        world.write_config(make_config(3))
        await asyncio.sleep(1.0)
        world.store.view_for(cut_off).down = True
        await restore(world, copy)
        world.write_config(make_config(4))
        await asyncio.sleep(3.0)
        return tables(world), at_all(
            world, lambda r: r.follower.sources.store.era.number
        )

    assert run_fleet(main) == (4, 2)


def test_peer_in_an_earlier_era_does_not_take_a_router_back():
    async def main(world):
        names = sorted(
            HOSTS, key=lambda n: len(world.routers[n].routers.preferred_peers())
        )
        copy = world.store.copy()
        for version in range(2, 8):
            world.write_config(make_config(version))
        await asyncio.sleep(1.0)
        # The first router reads the store for its zone, and answers its peers.
        world.store.view_for(names[0]).silent = True
        await restore(world, copy)
        world.write_config(make_config(8))
        await asyncio.sleep(4.0)
        world.write_config(make_config(9))
        await asyncio.sleep(2.0)
        return [world.routers[n].routing_state.tables.version for n in names[1:]]

    assert run_fleet(main) == [9, 9]


def test_older_tables_written_again_behind_newer_ones_do_not_hide_them():
    async def main(world):
        copy = world.store.copy()
        world.write_config(make_config(2))
        await asyncio.sleep(1.0)
        world.store.down = True
        await asyncio.sleep(0.5)
        world.store.restore(copy)
        world.write_config(make_config(3))
        world.write_config(make_config(2))
        world.store.down = False
        await asyncio.sleep(2.0)
        return tables(world)

    assert run_fleet(main) == 3


def test_older_tables_do_not_hide_newer_ones_if_earlier_history_was_dropped():
    async def main(world):
        world.write_config(make_config(2))
        await asyncio.sleep(1.0)
        copy = world.store.copy()
        world.store.compact(Topic.OPERATORS)
        world.write_config(make_config(3))
        await asyncio.sleep(1.0)
        world.store.down = True
        await asyncio.sleep(0.5)
        world.store.restore(copy)
        world.write_config(make_config(4))
        world.write_config(make_config(3))
        world.store.down = False
        await asyncio.sleep(2.0)
        return tables(world)

    assert run_fleet(main) == 4


def test_older_declaration_written_again_behind_a_draining_one_does_not_hide_it():
    async def main(world):
        worker = world.workers["p0"]
        copy = world.store.copy()
        ready = worker.next_declaration()
        world.store.append(Topic.ENDPOINTS, "p0", ready)
        await asyncio.sleep(1.0)
        world.store.down = True
        await asyncio.sleep(0.5)
        world.store.restore(copy)
        worker.state = "draining"
        world.write_declaration(worker)
        world.store.append(Topic.ENDPOINTS, "p0", ready)
        world.store.down = False
        await asyncio.sleep(2.0)
        return usable(world)

    assert run_fleet(main) == ["p1"]


def test_endpoint_that_restarted_lately_is_kept_through_a_restore():
    async def main(world):
        world.store.append(Topic.ENDPOINTS, "p1", None)
        await asyncio.sleep(1.0)
        worker = world.workers["p1"]
        worker.born, worker.sequence = 2, 0
        world.write_declaration(worker)
        await asyncio.sleep(2.0)
        await restore(world, world.store.copy())
        seen = set()
        for _ in range(40):
            await asyncio.sleep(0.1)
            seen.add(str(usable(world)))
        return seen

    assert run_fleet(main) == {"['p0', 'p1']"}


def test_store_that_is_restored_twice_is_followed():
    async def main(world):
        for number in range(2):
            copy = world.store.copy()
            world.write_config(make_config(2 + 3 * number))
            world.write_config(make_config(3 + 3 * number))
            await asyncio.sleep(0.7)
            await restore(world, copy)
            world.write_config(make_config(4 + 3 * number))
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
        return tables(world)

    assert run_fleet(main) == 7


def test_restore_is_logged_with_what_is_held_and_calls_are_served():
    async def main(world):
        copy = world.store.copy()
        world.store.append(Topic.OPERATORS, "evacuate/b", b"{}")
        await asyncio.sleep(1.0)
        await restore(world, copy)
        await asyncio.sleep(1.0)
        caller = await world.send_and_wait(make_request("/book/1"))
        line = dict(world.log_lines)["store_restored"]
        return caller.status, line

    status, line = run_fleet(main)
    assert status == 200
    expected = {"before": 1, "era": 2, "tables": 1, "zones_out": ["b"], "endpoints": 2}
    assert line.items() >= expected.items()
