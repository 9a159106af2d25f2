"""The routing state of a router, also while the store fails."""

import asyncio
import json

from cranberrysail.router.store import Topic
from tests.router.simulatedfleet import (
    SimulatedFleet,
    make_config,
    make_request,
    plain_answer,
)
from tests.router.virtualloop import run_virtual


def run_with_router(scenario):
    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        world.add_worker("p0", "plain", plain_answer)
        world.add_worker("p1", "plain", plain_answer, zone="b")
        await world.start_router()
        return await scenario(world)

    return run_virtual(main)


def usable_names(world):
    return sorted(e.id for e in world.router.endpoints.usable("plain"))


def test_tables_are_in_force_soon_after_silent_store_recovers():
    """A long read kept waiting on a dead connection after the store recovered."""

    async def main(world):
        world.store.silent = True
        await asyncio.sleep(8.0)
        world.write_config(make_config(7))
        await asyncio.sleep(0.5)
        world.store.silent = False
        await asyncio.sleep(5.0)
        return world.router.routing_state.tables.version

    assert run_with_router(main) == 7


def test_tables_are_in_force_if_store_misses_wakeup():
    """A read waited 8 s although there was a new record."""

    async def main(world):
        world.store.misses_wakeups = True
        await asyncio.sleep(3.0)
        world.write_config(make_config(5))
        await asyncio.sleep(2.0)
        return world.router.routing_state.tables.version

    assert run_with_router(main) == 5


def test_older_tables_are_ignored():
    async def main(world):
        world.write_config(make_config(9))
        await asyncio.sleep(0.5)
        world.write_config(make_config(4))
        await asyncio.sleep(0.5)
        return world.router.routing_state.tables.version

    assert run_with_router(main) == 9


def test_invalid_tables_are_rejected():
    async def main(world):
        world.store.append(Topic.OPERATORS, "config", b"{not json")
        world.write_config({"version": 3, "routes": 7, "services": []})
        await asyncio.sleep(0.5)
        return world.router.routing_state.tables.version, world.log_kinds()

    version, kinds = run_with_router(main)
    assert version == 1
    assert "tables_rejected" in kinds


def test_draining_worker_is_not_usable():
    async def main(world):
        world.workers["p0"].state = "draining"
        world.write_declaration(world.workers["p0"])
        await asyncio.sleep(1.5)
        return usable_names(world)

    assert run_with_router(main) == ["p1"]


def test_worker_removed_while_store_is_available_is_not_usable():
    async def main(world):
        world.store.append(Topic.ENDPOINTS, "p0", None)
        await asyncio.sleep(1.5)
        return usable_names(world)

    assert run_with_router(main) == ["p1"]


def test_workers_removed_during_store_failure_are_kept_until_one_declares_itself():
    async def main(world):
        world.store.down = True
        await asyncio.sleep(4.0)
        world.store.append(Topic.ENDPOINTS, "p0", None)
        world.store.append(Topic.ENDPOINTS, "p1", None)
        world.store.down = False
        await asyncio.sleep(1.5)
        usable_after_failure = usable_names(world)
        world.write_declaration(world.workers["p1"])
        await asyncio.sleep(4.0)
        return usable_after_failure, usable_names(world)

    assert run_with_router(main) == (["p0", "p1"], ["p1"])


def test_endpoints_missing_from_snapshot_are_removed_after_dropped_history():
    async def main(world):
        world.store.down = True
        await asyncio.sleep(0.1)
        world.store.append(Topic.ENDPOINTS, "p0", None)
        world.store.compact(Topic.ENDPOINTS)
        world.store.down = False
        await asyncio.sleep(6.0)
        return usable_names(world)

    assert run_with_router(main) == ["p1"]


def test_invalid_declarations_are_rejected_one_by_one():
    async def main(world):
        valid = json.loads(world.workers["p0"].next_declaration())
        for number, change in enumerate(
            ({"state": "odd"}, {"slots": "many"}, {"address": "nowhere"})
        ):
            declaration = json.dumps(valid | change).encode()
            world.store.append(Topic.ENDPOINTS, f"x{number}", declaration)
        world.store.append(Topic.ENDPOINTS, "x9", b"\xff\x00")
        await asyncio.sleep(1.5)
        return usable_names(world), world.log_kinds().count("declaration_rejected")

    assert run_with_router(main) == (["p0", "p1"], 4)


def test_zone_out_of_service_is_not_usable_and_returns_unsure():
    async def main(world):
        world.store.append(Topic.OPERATORS, "evacuate/b", b"{}")
        await asyncio.sleep(0.5)
        out = usable_names(world)
        world.store.append(Topic.OPERATORS, "evacuate/b", None)
        await asyncio.sleep(0.5)
        unsure = world.router.endpoints.get("p1").maybe_restarted
        world.write_declaration(world.workers["p1"])
        await asyncio.sleep(1.5)
        return (
            out,
            unsure,
            usable_names(world),
            world.router.endpoints.get("p1").maybe_restarted,
        )

    assert run_with_router(main) == (["p0"], True, ["p0", "p1"], False)


def test_declaration_of_earlier_incarnation_is_ignored():
    async def main(world):
        worker = world.workers["p0"]
        old = worker.next_declaration()
        worker.born, worker.sequence, worker.cold_ms = 2, 0, 3000
        world.write_declaration(worker)
        await asyncio.sleep(1.0)
        world.store.append(Topic.ENDPOINTS, "p0", old)
        await asyncio.sleep(1.0)
        endpoint = world.router.endpoints.get("p0")
        return endpoint.record.started_ms, endpoint.is_cold(world.loop.time())

    assert run_with_router(main) == (2, True)


def test_calls_are_served_while_store_is_silent():
    async def main(world):
        world.store.silent = True
        await asyncio.sleep(10.0)
        caller = await world.send_and_wait(make_request("/book/1"))
        return caller.status, world.router.ready

    assert run_with_router(main) == (200, True)


def test_log_tells_where_tables_were_read_and_which_were_ignored():
    async def main(world):
        world.write_config(make_config(9))
        await asyncio.sleep(0.5)
        world.write_config(make_config(4))
        await asyncio.sleep(0.5)
        return dict(world.log_lines)

    lines = run_with_router(main)
    assert lines["tables_applied"].items() >= {"version": 9, "source": "store"}.items()
    assert lines["tables_ignored"].items() >= {"version": 4, "in_force": 9}.items()
