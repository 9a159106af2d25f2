"""Tests for limits that hold over all routers without coordination."""

import random

from cranberrysail.router.admission import (
    AdmissionBound,
    expected_wait_s,
    jittered_retry_after_s,
)
from cranberrysail.router.coldlimit import ColdBound, ColdLimiter
from cranberrysail.router.peers import RouterDirectory, encode_router_record
from cranberrysail.router.retrybudget import RetryBound, RetryBudget
from cranberrysail.router.store import Page

COLD = ColdBound(1.5, 5)
REPEATS = RetryBound(0.2, 56, 10.0)


def busiest_second(times):
    times = sorted(times)
    return max(sum(1 for t in times if s <= t < s + 1.0) for s in times)


def simulate_cold_calls(routers, known_routers, rate, seed):
    """Send calls through all routers; return the busiest second's and total calls."""
    rng = random.Random(seed)
    limiters = [ColdLimiter(COLD) for _ in range(routers)]
    peer_books = [RouterDirectory(f"r{n}", "a") for n in range(routers)]
    entries = tuple(
        (f"r{n}", encode_router_record("a", f"10.0.0.{n}:1", True))
        for n in range(routers)
    )
    for book in peer_books:
        book.apply(Page(entries, routers, is_snapshot=True), 0.0)
    sent = []
    now = 0.0
    while now < 20.0:
        now += rng.expovariate(400.0)
        number = rng.randrange(routers)
        limiter = limiters[number]
        if limiter.allows("e", rate, known_routers, peer_books[number].rank, now):
            limiter.record_call("e", now)
            sent.append(now)
    return busiest_second(sent), len(sent)


def test_cold_endpoint_gets_no_more_than_bound_from_all_routers():
    for routers, rate in ((8, 16.0), (7, 11.0), (80, 16.0), (3, 4.0)):
        busiest, count = simulate_cold_calls(routers, routers, rate, routers)
        assert busiest <= COLD.max_calls_per_s(rate)
        assert count > 0


def test_cold_endpoint_gets_calls_even_from_many_routers():
    _, count = simulate_cold_calls(80, 80, 16.0, 1)
    assert count > 20 * COLD.max_calls_per_s(16.0) / 3


def test_router_without_list_of_peers_sends_nothing_to_cold_endpoint():
    limiter = ColdLimiter(COLD)
    assert not limiter.allows("e", 16.0, 64, RouterDirectory("r", "a").rank, 0.0)


def test_calls_sent_while_warm_count_when_endpoint_turns_cold():
    limiter = ColdLimiter(COLD)
    for number in range(10):
        limiter.record_call("e", number / 100)
    assert not limiter.allows("e", 16.0, 8, lambda _: 0, 0.5)
    assert limiter.allows("e", 16.0, 8, lambda _: 0, 1.5)


def test_retries_of_all_routers_stay_within_bound():
    rng = random.Random(3)
    budgets = [RetryBudget(REPEATS) for _ in range(8)]
    firsts, retries = [], []
    now = 0.0
    while now < 40.0:
        now += rng.expovariate(200.0)
        budget = rng.choice(budgets)
        budget.record_first_send("s", now)
        firsts.append(now)
        if budget.spend("s", 8, now):
            retries.append(now)
    for start in range(30):
        window = [t for t in retries if start <= t < start + 10]
        base = [t for t in firsts if start <= t < start + 10]
        assert len(window) <= REPEATS.ratio * len(base) + REPEATS.slack


def test_some_retries_are_allowed_without_traffic():
    budget = RetryBudget(REPEATS)
    assert [budget.spend("s", 8, 0.0) for _ in range(5)] == [True] * 3 + [False] * 2


def test_expected_wait_grows_when_all_slots_are_taken():
    assert expected_wait_s(3, 6, 0.1) == 0.0
    assert abs(expected_wait_s(11, 6, 0.1) - 0.1) < 1e-9


def test_retry_delay_is_bounded_and_jittered():
    bound = AdmissionBound()
    rng = random.Random(1)
    times = [jittered_retry_after_s(bound, 0.5, 4.0, rng.random()) for _ in range(50)]
    assert all(0.5 <= t <= 0.75 for t in times)
    assert len(set(times)) > 40
    assert jittered_retry_after_s(bound, 10.0, 1.5, 0.5) <= 1.5 / 3
    assert jittered_retry_after_s(bound, 10.0, 60.0, 0.5) <= bound.max_retry_s
