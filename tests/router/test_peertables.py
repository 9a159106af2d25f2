"""Versions of tables that routers tell each other, and tables they fetch."""

import asyncio

import pytest

from cranberrysail.router.peers import parse_version
from cranberrysail.router.store import Topic
from tests.router.simulatedfleet import Caller, make_config
from tests.router.test_tables_in_force import (
    HOSTS,
    run_fleet,
    stop_responding,
    version,
)


def kinds(world, kind):
    return [fields for logged, fields in world.log_lines if logged == kind]


@pytest.mark.parametrize("claimed", [7, 10**17])
def test_version_that_a_peer_does_not_have_is_not_asked_for_again_and_again(claimed):
    async def main(world):
        router = world.routers["r1"]
        for _ in range(40):
            router.peer_tables.heard("r2", claimed)
            await asyncio.sleep(0.1)
        return version(world), len(kinds(world, "tables_behind"))

    assert run_fleet(main) == (1, 1)


def test_peer_whose_tables_cannot_be_fetched_is_left_alone_for_a_second():
    async def main(world):
        stop_responding(world, HOSTS["r2"])
        for _ in range(30):
            world.routers["r1"].peer_tables.heard("r2", 7)
            await asyncio.sleep(0.1)
        return len(kinds(world, "tables_not_fetched"))

    assert run_fleet(main) <= 3


def test_version_of_an_unknown_router_is_ignored():
    async def main(world):
        world.routers["r1"].peer_tables.heard("r9", 7)
        await asyncio.sleep(2.0)
        return version(world), kinds(world, "tables_behind")

    assert run_fleet(main) == (1, [])


def test_tables_reach_routers_that_the_store_turns_away_and_that_read_from_no_peer():
    async def main(world):
        for name in ("r2", "r3"):
            world.store.view_for(name).silent = True
            for follower in world.routers[name].follower.topic_followers:
                follower.interrupt_read()
            world.routers[name].follower.sources._read_peer = no_page
        world.write_config(make_config(2))
        await asyncio.sleep(2.0)
        return [version(world, name) for name in ("r1", "r2", "r3")]

    async def no_page(*args, **kw):
        return None

    assert run_fleet(main) == [2, 2, 2]


def test_tables_of_a_peer_are_not_applied_before_the_zones_out_of_service_are_known():
    async def main(world):
        world.write_config(make_config(2))
        world.kill(world.routers["r3"], HOSTS["r3"])
        world.store.view_for("r3").silent_topic = Topic.OPERATORS
        router = await world.start_router(0.0, "r3", HOSTS["r3"])
        router.follower.sources._read_peer = no_page
        await asyncio.sleep(3.0)
        return router.routing_state.tables, kinds(world, "tables_behind")

    async def no_page(*args, **kw):
        return None

    assert run_fleet(main) == (None, [])


def test_exchange_with_a_router_of_a_build_without_versions():
    async def main(world):
        _, caller = await world.loop.create_connection(Caller, HOSTS["r1"], 8003)
        head = "POST /loads?within_ms=300 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
        caller.transport.write(head.encode() + b"\r\n\x90")
        return (await caller.answer()).split(b"\r\n")

    lines = run_fleet(main)
    assert lines[0].startswith(b"HTTP/1.1 200")
    assert b"tables-version: 1" in lines


@pytest.mark.parametrize("text", ["", "-1", "1.5", "nan", "1e9", "9" * 19, "²"])
def test_invalid_version_counts_as_none(text):
    assert parse_version(text) == 0
