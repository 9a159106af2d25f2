"""Placement by the work of calls: forecasts of first events, and what they change."""

import hashlib
import math
import random

import pytest

from cranberrysail.router.config import RouterConfig
from cranberrysail.router.endpoints import EndpointDirectory
from cranberrysail.router.load import LoadReport, LoadTracker
from cranberrysail.router.loadgossip import LoadGossip
from cranberrysail.router.model import EndpointRecord, RouteTables, Service
from cranberrysail.router.peers import RouterDirectory
from cranberrysail.router.placement import PlacementBound
from cranberrysail.router.prefillbacklog import (
    PACE_PERIOD_S,
    CallWork,
    PaceEstimate,
    PrefillModel,
)
from cranberrysail.router.rendezvous import score
from cranberrysail.router.selector import Selector

SLOTS = 24
ENGINES = RouteTables(1, (), {"s": Service("s", engine_slots=SLOTS)})
PLAIN = RouteTables(1, (), {"s": Service("s")})
PROMPT = ("prompt", "own")
CHAT = CallWork(830, 700, 0.25)
SUMMARY = CallWork(12_000, 10_500, 1.2)
TRIALS = 200


class Fleet:
    """One router's view of a service's endpoints."""

    def __init__(self, endpoints, weighs_work=True, slots=SLOTS):
        self.directory, self.loads = EndpointDirectory(), LoadTracker()
        self.slots = slots
        for number in range(endpoints):
            address = f"10.1.0.{number}:80"
            self.directory.declare(
                EndpointRecord(f"e{number}", 1, 1, "s", address, "a", slots), 0.0
            )
        bound = PlacementBound(weighs_work=weighs_work)
        cfg = RouterConfig("r1", "a", *[""] * 5, placement=bound)
        routers = RouterDirectory("r1", "a")
        rng = random.Random(3)
        self.selector = Selector(cfg, self.directory, self.loads, routers, rng)

    def ranked(self):
        key = lambda e: score(PROMPT[0], e.id)  # noqa: E731
        return sorted(self.directory, key=key, reverse=True)

    def report(self, endpoint, running, waiting, pace=None, at_s=10.0):
        report = LoadReport(running, waiting, self.slots, pace)
        self.loads.record_report(endpoint, report, at_s)

    def learn(self, base_s, call_s, samples=400):
        """Let the router see first events of calls behind 0 to 4 others."""
        model = self.selector._prefill_model("s")
        rng = random.Random(1)
        for _ in range(samples):
            ahead = max(0, rng.randrange(-2, 5))
            model.record_call(500.0)
            model.record_first_event(500.0, base_s + ahead * call_s, ahead)

    def choose(self, work, now=10.0, tables=ENGINES):
        parts = PROMPT if tables is ENGINES else ()
        return self.selector.choose(tables, "s", parts, set(), 8.0, now, work)

    def share_at(self, endpoint, work, now=10.0, tables=ENGINES):
        chosen = [self.choose(work, now, tables).endpoint for _ in range(TRIALS)]
        return chosen.count(endpoint) / TRIALS


def test_short_urgent_call_avoids_an_engine_with_a_backlog_and_a_long_one_stays():
    """Guards against chats queuing behind long prompts that count as few calls."""
    fleet = Fleet(9)
    fleet.learn(0.05, 0.06)
    home = fleet.ranked()[0]
    for endpoint in fleet.directory:
        fleet.report(endpoint, 1, 0)
    fleet.report(home, 0, 4, at_s=10.1)
    assert fleet.share_at(home, CHAT, now=10.15) < 0.1
    assert fleet.share_at(home, SUMMARY, now=10.15) > 0.9


def test_call_that_leaves_its_home_fetches_the_cache_from_there():
    fleet = Fleet(9)
    fleet.learn(0.05, 0.06)
    home, second, *_ = fleet.ranked()
    for endpoint in fleet.directory:
        fleet.report(endpoint, 1, 0)
    fleet.report(home, 0, 5, at_s=10.1)
    choices = [fleet.choose(CHAT, now=10.1) for _ in range(TRIALS)]
    spilled = [c for c in choices if c.endpoint is second]
    assert len(spilled) > TRIALS * 0.8
    assert all(c.cache_source is home and c.left_late for c in spilled)
    assert spilled[0].work_fields()["expected_wait_ms"] > 0


def test_call_stays_home_if_it_is_late_everywhere():
    """Guards against losing caches for nothing when all engines are behind."""
    fleet = Fleet(9)
    fleet.learn(0.05, 0.06)
    for endpoint in fleet.directory:
        fleet.report(endpoint, 1, 6)
    assert fleet.share_at(fleet.ranked()[0], CHAT) > 0.8


def test_old_report_of_a_backlog_does_not_drive_calls_away():
    fleet = Fleet(9)
    fleet.learn(0.05, 0.06)
    home = fleet.ranked()[0]
    for endpoint in fleet.directory:
        fleet.report(endpoint, 1, 0)
    fleet.report(home, 0, 4, at_s=10.1)
    assert fleet.share_at(home, CHAT, now=13.0) > 0.7


def test_own_calls_without_a_first_event_count_at_once():
    fleet = Fleet(9)
    fleet.learn(0.05, 0.06)
    home = fleet.ranked()[0]
    for endpoint in fleet.directory:
        fleet.report(endpoint, 0, 0)
    stats = fleet.loads.stats(home)
    for number in range(4):
        stats.begin_attempt(number, fleet.choose(CHAT).forecast, 10.0)
    assert fleet.share_at(home, CHAT) < 0.1
    for number in range(4):
        stats.end_attempt(number)
    assert fleet.share_at(home, CHAT) > 0.9


def test_slow_pace_counts_while_its_report_is_fresh():
    """Guards against acting on a pace that has changed since it was reported."""
    fleet = Fleet(3, weighs_work=False, slots=6)
    slow, *others = fleet.directory
    for endpoint in others:
        fleet.report(endpoint, 1, 0, 100)
    fleet.report(slow, 1, 0, 250)
    assert fleet.share_at(slow, CallWork(due_s=0.3), 10.01, PLAIN) < 0.05
    late_s = 10.0 + PACE_PERIOD_S
    assert fleet.share_at(slow, CallWork(due_s=0.3), late_s, PLAIN) > 0.15


def test_pace_returns_to_the_mean_of_all_endpoints():
    paces = PaceEstimate()
    for _ in range(500):
        paces.add_sample(1.2)
    assert paces.expected(2.5, 0.0) == pytest.approx(2.5)
    assert 1.2 < paces.expected(2.5, PACE_PERIOD_S / 2) < 2.5
    assert paces.expected(2.5, PACE_PERIOD_S) == pytest.approx(1.2, abs=0.01)


def test_model_learns_the_time_of_a_call_ahead_of_others():
    model = PrefillModel()
    rng = random.Random(2)
    for _ in range(600):
        ahead, tokens = rng.randrange(4), rng.choice((130, 1500))
        model.record_call(tokens)
        seconds = 0.05 + 0.06 * ahead + tokens / 100_000
        model.record_first_event(tokens, seconds, ahead)
    assert model.token_s == pytest.approx(1e-5, rel=0.5)
    assert model.call_s == pytest.approx(0.06, rel=0.35)
    assert 0.03 < model.base_s < 0.08


def test_model_survives_odd_samples():
    model = PrefillModel()
    for tokens, seconds, ahead in ((0, 0.0, 0), (1e12, 1e-9, 0), (0, 1e6, 10**9)):
        model.record_call(tokens)
        model.record_first_event(tokens, seconds, ahead)
    assert math.isfinite(model.seconds(3, 1000)) and model.seconds(3, 1000) >= 0


def test_backlog_and_pace_are_passed_to_other_routers():
    mine, theirs = Fleet(3), Fleet(3)
    mine.report(mine.directory.get("e1"), 2, 3, 250)
    message = LoadGossip(mine.loads, mine.directory).encode(10.1, 5.0)
    LoadGossip(theirs.loads, theirs.directory).merge_message(message, 10.2)
    stats = theirs.loads.stats(theirs.directory.get("e1"))
    assert (stats.other_waiting, stats.pace) == (3, 2.5)


def test_routers_of_the_release_before_understand_the_message_and_are_understood():
    import msgspec

    class OldItem(msgspec.Struct, frozen=True, array_like=True):
        endpoint: int
        load: int
        age: int

    mine, theirs = Fleet(2), Fleet(2)
    mine.report(mine.directory.get("e0"), 4, 1)
    message = LoadGossip(mine.loads, mine.directory).encode(10.1, 5.0)
    old = msgspec.msgpack.decode(message, type=tuple[OldItem, ...])
    assert old[0].load == 4
    gossip = LoadGossip(theirs.loads, theirs.directory)
    gossip.merge_message(msgspec.msgpack.encode(old), 10.2)
    assert theirs.loads.stats(theirs.directory.get("e0")).reported_calls == 4


def choices_digest(seed, work=None):
    """Return a digest of 400 choices at two services with random reports."""
    rng = random.Random(seed)
    directory, loads = EndpointDirectory(), LoadTracker()
    for n in range(20):
        service, zone = "s" if n < 16 else "p", "ab"[n % 2]
        record = EndpointRecord(f"e{n}", 1, 1, service, f"10.1.0.{n}:80", zone, 6)
        directory.declare(record, 0.0)
    tables = RouteTables(1, (), {"s": Service("s", engine_slots=6), "p": Service("p")})
    cfg = RouterConfig("r1", "a", *[""] * 5)
    routers = RouterDirectory("r1", "a")
    selector = Selector(cfg, directory, loads, routers, random.Random(seed))
    chosen, now = [], 1.0
    for n in range(400):
        now += 0.01
        endpoint = directory.get(f"e{rng.randrange(20)}")
        report = LoadReport(rng.randrange(7), rng.randrange(3), 6)
        loads.record_report(endpoint, report, now)
        service = "s" if n % 3 else "p"
        parts = ("a", f"q{rng.randrange(4)}", "own") if service == "s" else ()
        choice = selector.choose(tables, service, parts, set(), 5.0, now, work)
        chosen.append(choice.endpoint.id if choice.endpoint else str(choice.reason))
        if choice.endpoint and n % 2:
            choice.endpoint.open_calls += 1
        if n % 5 == 0:
            for endpoint in directory:
                endpoint.open_calls = max(0, endpoint.open_calls - 1)
    return hashlib.sha256(" ".join(chosen).encode()).hexdigest()[:16]


@pytest.mark.parametrize(
    ("seed", "digest"),
    [(1, "436a18e4c65392c0"), (2, "2af6a2da0a5159ee"), (3, "c11b8dc819041e4a")],
)
@pytest.mark.parametrize("work", [None, CHAT])
def test_choices_without_pressure_and_pace_are_those_of_the_release_before(
    seed, digest, work
):
    """The digests were taken with the code before placement by work (fd2bfe4)."""
    assert choices_digest(seed, work) == digest
