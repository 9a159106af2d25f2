"""Tests of quarantine records in the store and in messages of routers."""

import asyncio

import msgspec
import pytest

from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.memorystore import MemoryStore
from cranberrysail.router.quarantine import ContentStage, Quarantine
from cranberrysail.router.quarantinegossip import QuarantineGossip
from cranberrysail.router.quarantinestore import StoredQuarantine, is_quarantine_key
from cranberrysail.router.store import Topic
from tests.router.test_quarantine import HARMFUL, answer, convict, crash
from tests.router.virtualloop import run_virtual


def start(store, quarantine, rank=0):
    stored = StoredQuarantine(
        quarantine,
        store,
        lambda content_id: rank,
        DecisionLog("r"),
        lambda: quarantine.update(now_s()),
    )
    return stored, asyncio.ensure_future(stored.run())


def now_s():
    return asyncio.get_running_loop().time()


def newest(store):
    records = dict(store.records(Topic.ROUTERS))
    return {k: v for k, v in records.items() if is_quarantine_key(k) and v}


def convicted(content=HARMFUL):
    """Return a quarantine in which some content is quarantined."""
    quarantine = Quarantine()
    quarantine.update(convict(quarantine, content, start_s=now_s() - 5.5))
    return quarantine


def test_router_that_starts_knows_what_others_have_quarantined():
    async def case(loop):
        store = MemoryStore()
        _, task = start(store, convicted())
        await asyncio.sleep(1.0)
        task.cancel()
        fresh = Quarantine()
        stored, other = start(store, fresh)
        stored.apply(tuple(store.records(Topic.ROUTERS)), True)
        other.cancel()
        return fresh

    assert run_virtual(case).stage(HARMFUL) is ContentStage.QUARANTINED


def test_record_that_a_restored_store_lost_is_written_again():
    async def case(loop):
        store = MemoryStore()
        copy = store.copy()
        stored, task = start(store, convicted())
        await asyncio.sleep(1.0)
        stored.apply(tuple(store.records(Topic.ROUTERS)), True)
        store.restore(copy)
        assert not newest(store)
        stored.apply((), True)
        await asyncio.sleep(4.0)
        task.cancel()
        return newest(store)

    assert run_virtual(case)


def test_record_is_written_once_the_store_is_back():
    async def case(loop):
        store = MemoryStore()
        store.down = True
        _, task = start(store, convicted())
        await asyncio.sleep(3.0)
        store.down = False
        await asyncio.sleep(2.0)
        task.cancel()
        return newest(store)

    assert run_virtual(case)


def test_content_whose_key_is_too_long_for_the_store_is_not_written():
    async def case(loop):
        store = MemoryStore()
        _, task = start(store, convicted("s" * 250 + "/part"))
        await asyncio.sleep(1.0)
        assert not task.done()
        task.cancel()
        return newest(store)

    assert not run_virtual(case)


def test_few_routers_write_to_a_store_that_fails():
    async def case(loop):
        store = MemoryStore()
        store.down = True
        known = convicted()
        for rank in range(50):
            quarantine = Quarantine()
            for record in known.records.values():
                quarantine.merge(record)
            quarantine.update(now_s())
            start(store.view_for(f"r{rank}"), quarantine, rank)
        await asyncio.sleep(20.0)
        return sum(store.request_counts.values())

    # Three routers, and a request each 8 s from the fourth on.
    assert 3 <= run_virtual(case) <= 3 * 6


def test_record_of_cleared_content_is_removed_from_the_store():
    async def case(loop):
        store, quarantine = MemoryStore(), convicted()
        stored, task = start(store, quarantine)
        await asyncio.sleep(1.0)
        stored.apply(tuple(store.records(Topic.ROUTERS)), True)
        answer(quarantine, now_s(), HARMFUL)
        await asyncio.sleep(1.0)
        task.cancel()
        return newest(store)

    assert not run_virtual(case)


def test_routers_that_disagree_do_not_rewrite_a_record_in_turn():
    async def case(loop):
        store, suspects, observes = MemoryStore(), Quarantine(), Quarantine()
        for number in range(40):
            crash(observes, 100 + number, now_s() - 5.0, f"s/u{number}")
        for number in range(2):
            for quarantine in (suspects, observes):
                crash(quarantine, number, now_s() - 2.0 + number, HARMFUL)
        assert suspects.stage(HARMFUL) is ContentStage.SUSPECTED
        assert observes.stage(HARMFUL) is ContentStage.OBSERVED
        routers = [start(store, quarantine) for quarantine in (suspects, observes)]
        for _ in range(8):
            await asyncio.sleep(1.0)
            for stored, _ in routers:
                stored.apply(tuple(store.records(Topic.ROUTERS)), True)
        return len(store.records(Topic.ROUTERS))

    assert run_virtual(case) == 1


@pytest.mark.parametrize("value", [b"{", b"[1]", b'{"crashes": [[1]]}', b"\xff"])
def test_invalid_record_is_ignored(value):
    async def case(loop):
        quarantine = Quarantine()
        stored, task = start(MemoryStore(), quarantine)
        stored.apply((("quarantine/s/x", value),), False)
        task.cancel()
        return quarantine

    assert not len(run_virtual(case))


@pytest.mark.parametrize(
    "item",
    [
        ("s/x", [], None, None, 2**62),
        ("s/x", [(1, 2**62, 2**62)], 2**62, 0, 2**62),
        ("s/x", [(number, 0, 0) for number in range(5000)], -5, -5, -5),
        ("x" * 100_000, [], 0, 0, 0),
        ("", [], 0, 0, 0),
    ],
)
def test_extreme_values_in_a_message_are_harmless(item):
    quarantine = Quarantine()
    gossip = QuarantineGossip(quarantine)
    gossip.merge_message(msgspec.msgpack.encode([item] * 2), 100.0)
    quarantine.update(100.0)
    assert len(gossip.encode(100.0)) < 1000
    assert len(quarantine) <= 1


def test_routers_that_know_the_same_have_the_same_digest():
    quarantine, other = Quarantine(), Quarantine()
    now = convict(quarantine)
    gossip, other_gossip = QuarantineGossip(quarantine), QuarantineGossip(other)
    assert other_gossip.digest(now) != gossip.digest(now)
    other_gossip.merge_message(gossip.encode(now), now + 500.0)
    other.update(now + 500.0)
    assert other_gossip.digest(now + 500.0) == gossip.digest(now)
    assert other.stage(HARMFUL) is ContentStage.QUARANTINED


def test_router_that_was_cut_off_does_not_bring_back_a_lifted_quarantine():
    quarantine, other = Quarantine(), Quarantine()
    now = convict(quarantine)
    gossip, other_gossip = QuarantineGossip(quarantine), QuarantineGossip(other)
    other_gossip.merge_message(gossip.encode(now), now)
    quarantine.lift(HARMFUL, now + 1.0)
    gossip.merge_message(other_gossip.encode(now + 30.0), now + 30.0)
    quarantine.update(now + 30.0)
    assert quarantine.stage(HARMFUL) is ContentStage.OBSERVED
