"""The cache of recent records, and bursts of large tables."""

import asyncio

import pytest

from cranberrysail.router import recordcache
from cranberrysail.router.recordcache import RecordCache
from cranberrysail.router.store import OffsetOutOfRangeError, Page, Position, Topic
from tests.router.simulatedfleet import SimulatedFleet, make_config, plain_answer
from tests.router.virtualloop import run_virtual


def cache_with(*pages, start=10, snapshot=()):
    cache = RecordCache()
    cache.reset(Topic.OPERATORS, Page(tuple(snapshot), start))
    for page in pages:
        cache.extend(Topic.OPERATORS, start, page)
        start = page.next_offset
    return cache


def read(cache, start, wait_s=0.0):
    position = Position(0, start)
    return run_virtual(lambda loop: cache.read(Topic.OPERATORS, position, wait_s))


def test_records_from_offset_are_returned():
    cache = cache_with(Page((("a", b"1"),), 11), Page((("b", None),), 12))
    assert read(cache, 10) == Page((("a", b"1"), ("b", None)), 12)
    assert read(cache, 11) == Page((("b", None),), 12)
    assert read(cache, 12) == Page((), 12)


def test_only_newest_record_of_key_is_returned():
    pages = [Page((("config", b"%d" % n),), 11 + n) for n in range(50)]
    assert read(cache_with(*pages), 10) == Page((("config", b"49"),), 60)


def test_removal_does_not_hide_the_record_that_it_ended():
    cache = cache_with(
        Page((("a", b"1"),), 11), Page((("a", b"2"), ("a", None)), 13), start=10
    )
    assert read(cache, 10) == Page((("a", b"2"), ("a", None)), 13)
    assert read(cache, 11) == Page((("a", b"2"), ("a", None)), 13)
    assert read(cache, 13) == Page((), 13)


def test_reader_behind_cache_gets_snapshot():
    """A slow link could not carry every version of the tables since the offset."""
    cache = cache_with(
        Page((("b", b"2"), ("c", None)), 11), snapshot=[("a", b"1"), ("c", b"1")]
    )
    assert read(cache, 9) == Page((("a", b"1"), ("b", b"2")), 11, is_snapshot=True)
    assert read(cache, 10) == Page((("b", b"2"), ("c", None)), 11)


def test_uncached_records_raise_gap_error(monkeypatch):
    with pytest.raises(OffsetOutOfRangeError):
        read(RecordCache(), 0)
    monkeypatch.setattr(recordcache, "MAX_KEYS", 1)
    cache = cache_with(Page((("a", b"1"),), 11), Page((("b", b"2"),), 12))
    for start in (9, 10):
        with pytest.raises(OffsetOutOfRangeError):
            read(cache, start)
    assert read(cache, 11) == Page((("b", b"2"),), 12)


def test_records_that_do_not_follow_cached_ones_are_ignored():
    cache = cache_with()
    cache.extend(Topic.OPERATORS, 14, Page((("a", b"1"),), 15))
    assert read(cache, 10) == Page((), 10)


def test_burst_of_large_tables_is_in_force_in_time_with_few_reads():
    """Operators may publish large tables many times a second."""

    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config(1))
        world.add_worker("p0", "plain", plain_answer)
        await world.start_router()
        routes = make_config()["routes"]
        filler = [{**routes[3], "path_prefix": f"/look/{n}/"} for n in range(1400)]
        world.store.request_counts.clear()
        for version in range(2, 32):
            world.write_config(make_config(version, routes=routes + filler))
            await asyncio.sleep(0.06)
        await asyncio.sleep(1.0)
        return world.router.routing_state.tables.version, sum(
            world.store.request_counts.values()
        )

    version, calls = run_virtual(main)
    assert version == 31
    assert calls <= 5 * 3


def test_record_that_was_not_applied_does_not_replace_one_that_was():
    cache = cache_with(Page((("a", b"new"),), 11))
    cache.extend(Topic.OPERATORS, 11, Page((("a", b"old"), ("b", b"1")), 13), {0})
    assert read(cache, 10) == Page((("a", b"new"), ("b", b"1")), 13)
    cache.reset(Topic.OPERATORS, Page((("a", b"old"), ("c", b"2")), 20), {0})
    assert read(cache, 10) == Page((("a", b"new"), ("c", b"2")), 20, is_snapshot=True)


def test_reader_that_waits_is_answered_when_a_snapshot_replaces_the_records():
    async def main(loop):
        cache = cache_with()
        reading = asyncio.ensure_future(
            cache.read(Topic.OPERATORS, Position(0, 10), 5.0)
        )
        await asyncio.sleep(0.1)
        cache.reset(Topic.OPERATORS, Page((("a", b"1"),), 14))
        page = await reading
        return page, loop.time()

    page, at_s = run_virtual(main)
    assert page == Page((("a", b"1"),), 14, is_snapshot=True)
    assert at_s < 1001.0
