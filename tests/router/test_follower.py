"""What a router believes while the store misbehaves."""

import asyncio
import json

from cranberrysail.router.store import Topic
from tests.router.virtual import play
from tests.router.world import World, config, plain_answer, request


def scene(play_it):
    async def main(loop):
        world = World(loop)
        world.publish(config())
        world.add_worker("p0", "plain", plain_answer)
        world.add_worker("p1", "plain", plain_answer, zone="b")
        await world.start()
        return await play_it(world)

    return play(main)


def names(world):
    return sorted(e.name for e in world.router.endpoints.usable("plain"))


def test_tables_are_in_force_soon_after_a_silent_store_is_back():
    """Found on a standard day: a long read stayed on a silent connection."""

    async def main(world):
        world.store.silent = True
        await asyncio.sleep(8.0)
        world.publish(config(7))
        await asyncio.sleep(0.5)
        world.store.silent = False
        await asyncio.sleep(5.0)
        return world.router.beliefs.tables.version

    assert scene(main) == 7


def test_tables_are_in_force_though_the_store_does_not_wake_a_read():
    """Found on a day of our own: a read waited 8 s beside a record it should see."""

    async def main(world):
        world.store.deaf = True
        await asyncio.sleep(3.0)
        world.publish(config(5))
        await asyncio.sleep(2.0)
        return world.router.beliefs.tables.version

    assert scene(main) == 5


def test_versions_never_go_back():
    async def main(world):
        world.publish(config(9))
        await asyncio.sleep(0.5)
        world.publish(config(4))
        await asyncio.sleep(0.5)
        return world.router.beliefs.tables.version

    assert scene(main) == 9


def test_tables_that_cannot_be_read_change_nothing():
    async def main(world):
        world.store.write(Topic.OPERATORS, "config", b"{not json")
        world.publish({"version": 3, "routes": 7, "services": []})
        await asyncio.sleep(0.5)
        return world.router.beliefs.tables.version, world.kinds()

    version, kinds = scene(main)
    assert version == 1
    assert "tables_rejected" in kinds


def test_a_draining_worker_gets_nothing_more():
    async def main(world):
        world.workers["p0"].state = "draining"
        world.declare(world.workers["p0"])
        await asyncio.sleep(1.5)
        return names(world)

    assert scene(main) == ["p1"]


def test_a_removed_entry_is_gone_at_once_while_the_store_is_sound():
    async def main(world):
        world.store.write(Topic.ENDPOINTS, "p0", None)
        await asyncio.sleep(1.5)
        return names(world)

    assert scene(main) == ["p1"]


def test_entries_that_lapsed_with_the_store_are_kept_until_workers_return():
    async def main(world):
        world.store.down = True
        await asyncio.sleep(4.0)
        world.store.write(Topic.ENDPOINTS, "p0", None)
        world.store.write(Topic.ENDPOINTS, "p1", None)
        world.store.down = False
        await asyncio.sleep(1.5)
        kept = names(world)
        world.declare(world.workers["p1"])
        await asyncio.sleep(4.0)
        return kept, names(world)

    assert scene(main) == (["p0", "p1"], ["p1"])


def test_a_dropped_history_is_read_anew_and_what_is_missing_is_gone():
    async def main(world):
        world.store.down = True
        await asyncio.sleep(0.1)
        world.store.write(Topic.ENDPOINTS, "p0", None)
        world.store.drop_history(Topic.ENDPOINTS)
        world.store.down = False
        await asyncio.sleep(6.0)
        return names(world)

    assert scene(main) == ["p1"]


def test_foreign_entries_are_passed_over_one_by_one():
    async def main(world):
        good = json.loads(world.workers["p0"].beat())
        for number, change in enumerate(
            ({"state": "odd"}, {"slots": "many"}, {"address": "nowhere"})
        ):
            entry = json.dumps(good | change).encode()
            world.store.write(Topic.ENDPOINTS, f"x{number}", entry)
        world.store.write(Topic.ENDPOINTS, "x9", b"\xff\x00")
        await asyncio.sleep(1.5)
        return names(world), world.kinds().count("declaration_rejected")

    assert scene(main) == (["p0", "p1"], 4)


def test_a_zone_that_is_out_gets_nothing_and_returns_unsure():
    async def main(world):
        world.store.write(Topic.OPERATORS, "evacuate/b", b"{}")
        await asyncio.sleep(0.5)
        out = names(world)
        world.store.write(Topic.OPERATORS, "evacuate/b", None)
        await asyncio.sleep(0.5)
        unsure = world.router.endpoints.get("p1").unsure
        world.declare(world.workers["p1"])
        await asyncio.sleep(1.5)
        return out, unsure, names(world), world.router.endpoints.get("p1").unsure

    assert scene(main) == (["p0"], True, ["p0", "p1"], False)


def test_a_declaration_of_an_earlier_start_changes_nothing():
    async def main(world):
        worker = world.workers["p0"]
        old = worker.beat()
        worker.born, worker.count, worker.cold_ms = 2, 0, 3000
        world.declare(worker)
        await asyncio.sleep(1.0)
        world.store.write(Topic.ENDPOINTS, "p0", old)
        await asyncio.sleep(1.0)
        endpoint = world.router.endpoints.get("p0")
        return endpoint.record.born, endpoint.is_cold(world.loop.time())

    assert scene(main) == (2, True)


def test_calls_are_served_while_the_store_is_away():
    async def main(world):
        world.store.silent = True
        await asyncio.sleep(10.0)
        caller = await world.ask(request("/book/1"))
        return caller.status, world.router.ready

    assert scene(main) == (200, True)
