"""Recent records for peers, and bursts of large tables."""

import asyncio

import pytest

from cranberrysail.router import recordrelay
from cranberrysail.router.recordrelay import RecordRelay
from cranberrysail.router.store import Page, StoreGapError, Topic
from tests.router.virtual import play
from tests.router.world import World, config, plain_answer


def relay_with(*pages, start=10, whole=()):
    made = RecordRelay()
    made.restart(Topic.OPERATORS, Page(tuple(whole), start))
    for page in pages:
        made.extend(Topic.OPERATORS, start, page)
        start = page.end
    return made


def read(relay, start, wait_s=0.0):
    return play(lambda loop: relay.read(Topic.OPERATORS, start, wait_s))


def test_records_after_an_offset_are_passed_on():
    relay = relay_with(Page((("a", b"1"),), 11), Page((("b", None),), 12))
    assert read(relay, 10) == Page((("a", b"1"), ("b", None)), 12)
    assert read(relay, 11) == Page((("b", None),), 12)
    assert read(relay, 12) == Page((), 12)


def test_a_burst_of_tables_is_passed_on_as_the_newest():
    pages = [Page((("config", b"%d" % n),), 11 + n) for n in range(50)]
    assert read(relay_with(*pages), 10) == Page((("config", b"49"),), 60)


def test_who_is_behind_gets_the_newest_of_all_keys():
    """Found on a grown site: a slow link could not carry every version since."""
    relay = relay_with(
        Page((("b", b"2"), ("c", None)), 11), whole=[("a", b"1"), ("c", b"1")]
    )
    assert read(relay, 9) == Page((("a", b"1"), ("b", b"2")), 11, whole=True)
    assert read(relay, 10) == Page((("b", b"2"), ("c", None)), 11)


def test_what_is_not_kept_is_a_gap(monkeypatch):
    with pytest.raises(StoreGapError):
        read(RecordRelay(), 0)
    monkeypatch.setattr(recordrelay, "KEEP_KEYS", 1)
    relay = relay_with(Page((("a", b"1"),), 11), Page((("b", b"2"),), 12))
    for start in (9, 10):
        with pytest.raises(StoreGapError):
            read(relay, start)
    assert read(relay, 11) == Page((("b", b"2"),), 12)


def test_records_that_do_not_follow_are_not_taken():
    relay = relay_with()
    relay.extend(Topic.OPERATORS, 14, Page((("a", b"1"),), 15))
    assert read(relay, 10) == Page((), 10)


def test_a_burst_of_large_tables_is_in_force_in_time_with_few_reads():
    """Answers operators who change large tables many times a second."""

    async def main(loop):
        world = World(loop)
        world.publish(config(1))
        world.add_worker("p0", "plain", plain_answer)
        await world.start()
        routes = config()["routes"]
        filler = [{**routes[3], "path_prefix": f"/look/{n}/"} for n in range(1400)]
        world.store.calls.clear()
        for version in range(2, 32):
            world.publish(config(version, routes=routes + filler))
            await asyncio.sleep(0.06)
        await asyncio.sleep(1.0)
        return world.router.beliefs.tables.version, sum(world.store.calls.values())

    version, calls = play(main)
    assert version == 31
    assert calls <= 5 * 3
