"""Tests for load reports and endpoint health."""

import math
import random
import statistics
from collections import Counter

import pytest

from cranberrysail.router.config import RouterConfig
from cranberrysail.router.endpoints import Endpoint, EndpointDirectory, EndpointState
from cranberrysail.router.load import (
    REPORT_MAX_AGE_S,
    EndpointStats,
    LoadEstimate,
    LoadReport,
    LoadTracker,
)
from cranberrysail.router.model import EndpointRecord, RouteTables, Service
from cranberrysail.router.peers import RouterDirectory
from cranberrysail.router.selector import Selector

TABLES = RouteTables(1, (), {"s": Service("s")})


def endpoint(name="e"):
    record = EndpointRecord(name, 1, 1, "s", "10.0.0.1:80", "a", 8)
    return Endpoint(record, EndpointState.READY, 0.0)


def make_selector(seed=1):
    """Return a selector with eight endpoints, and the endpoints in two halves."""
    directory = EndpointDirectory()
    for number in range(8):
        address = f"10.0.0.{number}:80"
        directory.declare(
            EndpointRecord(f"e{number}", 1, 1, "s", address, "a", 16), 0.0
        )
    cfg = RouterConfig("r", "a", *[""] * 5)
    routers = RouterDirectory("r", "a")
    selector = Selector(cfg, directory, LoadTracker(), routers, random.Random(seed))
    endpoints = list(directory)
    return selector, endpoints[:4], endpoints[4:]


def test_own_calls_are_not_counted_twice():
    book = LoadTracker()
    one = endpoint()
    one.open_calls = 2
    book.record_report(one, LoadReport(5, 1, 8), 10.0)
    assert book.estimate(one, 0.0, 10.0, 1.0) == LoadEstimate(6.0, 0.0)
    one.open_calls = 3
    assert book.estimate(one, 0.0, 10.0, 1.0).mean == 7


def test_report_loses_weight_as_its_calls_end():
    book = LoadTracker()
    one = endpoint()
    book.record_report(one, LoadReport(6, 0, 8), 10.0)
    means = [book.estimate(one, 2.0, 10.0 + age, 1.0).mean for age in (0, 1, 3, 9)]
    assert means[0] == 6.0
    assert means == sorted(means, reverse=True)
    assert means[1] == pytest.approx(2.0 + 4.0 * math.exp(-1.0))
    assert means[3] == pytest.approx(2.0, abs=0.01)
    expired_s = 10.0 + REPORT_MAX_AGE_S + 0.1
    assert book.estimate(one, 2.0, expired_s, 100.0).mean == 2.0


def test_estimate_has_the_mean_and_spread_of_calls_that_come_and_go():
    """Compares the estimate with a simulated endpoint that has no queue."""
    rng = random.Random(1)
    age_s, residual_s, typical, reported = 0.7, 1.0, 4.0, 9
    loads = []
    for _ in range(4000):
        still_open = sum(
            rng.expovariate(1 / residual_s) > age_s for _ in range(reported)
        )
        arrived, at_s = 0, rng.expovariate(typical / residual_s)
        while at_s < age_s:
            arrived += rng.expovariate(1 / residual_s) > age_s - at_s
            at_s += rng.expovariate(typical / residual_s)
        loads.append(still_open + arrived)
    book = LoadTracker()
    one = endpoint()
    book.record_load(one, reported, 10.0, 10.0)
    estimate = book.estimate(one, typical, 10.0 + age_s, residual_s)
    assert estimate.mean == pytest.approx(statistics.mean(loads), rel=0.03)
    assert estimate.deviation == pytest.approx(statistics.stdev(loads), rel=0.05)


def test_mean_is_that_of_the_endpoints_if_all_report():
    book = LoadTracker()
    rng = random.Random(1)
    endpoints = [endpoint(str(number)) for number in range(400)]
    for each in endpoints:
        at_s = 10.0 - rng.expovariate(1.0)
        book.record_load(each, rng.choice((2, 4, 9)), at_s, 10.0)
    believed = statistics.mean(book.expected_other_calls(endpoints, 10.0))
    assert believed == pytest.approx(5.0, rel=0.07)


def test_latency_spread_from_prompt_length_does_not_mark_engine_slow():
    """Reading long prompts must not raise the effective load of an engine.

    Otherwise calls spill from engines that are not loaded.
    """
    stats = EndpointStats()
    for number in range(20):
        stats.record_response(2.0 if number % 2 else 0.5, False, number / 10)
    assert stats.penalty(2.0) == 1.0


def test_slow_endpoint_has_higher_load_until_slowness_decays():
    stats = EndpointStats()
    for number in range(20):
        stats.record_response(6.0, False, number / 10)
    assert stats.penalty(2.0) > 2.0
    assert stats.penalty(20.0) == 1.0


def test_engine_with_slow_streams_has_higher_load():
    """A few streams within seconds must suffice to detect a slow engine."""
    stats = EndpointStats()
    for at_s in (10.0, 12.0, 14.0):
        stats.record_interval_ratio(4.0, at_s)
    assert stats.penalty(14.0) > 1.5
    assert stats.penalty(40.0) == pytest.approx(1.0, abs=0.1)


def test_slightly_longer_intervals_do_not_mark_engine_slow():
    stats = EndpointStats()
    for at_s in range(20):
        stats.record_interval_ratio(1.4 if at_s % 2 else 0.9, float(at_s))
    assert stats.penalty(20.0) == 1.0


def test_failing_endpoint_has_higher_load():
    stats = EndpointStats()
    for number in range(20):
        stats.record_response(1.0, number % 2 == 0, number / 10)
    assert 1.5 < stats.penalty(2.0) < 3.0


def test_endpoint_without_response_is_unresponsive():
    stats = EndpointStats()
    assert not stats.is_unresponsive(5.0)
    stats.pending[1] = 5.0
    assert not stats.is_unresponsive(5.5)
    assert stats.is_unresponsive(6.0)
    stats.last_byte_s = 5.9
    assert not stats.is_unresponsive(6.0)


def test_views_of_removed_endpoints_are_dropped():
    book = LoadTracker()
    book.stats(endpoint("a")).other_calls = 5
    book.retain(set())
    assert book.stats(endpoint("a")).other_calls == 0


def test_idle_endpoints_without_reports_do_not_raise_the_mean():
    """Endpoints that get no calls report nothing, and must not count as loaded."""
    selector, busy, idle = make_selector()
    for step in range(1, 40):
        now = step / 10
        for each in busy:
            selector.loads.record_load(each, 6, now, now)
    choice = selector.choose(TABLES, "s", (), set(), 1.0, 4.0)
    true_mean = 6 * len(busy) / (len(busy) + len(idle))
    assert choice.mean_load == pytest.approx(true_mean, rel=0.2)


def test_calls_that_take_no_time_do_not_break_the_choice():
    selector, busy, _ = make_selector()
    selector.record_service_time("s", 0.0)
    selector.loads.record_load(busy[0], 3, 1.0, 1.0)
    assert selector.choose(TABLES, "s", (), set(), 1.0, 1.5).endpoint


def test_routers_with_the_same_old_reports_do_not_all_choose_one_endpoint():
    chosen = Counter()
    for seed in range(200):
        selector, busy, idle = make_selector(seed)
        selector.record_service_time("s", 0.1)
        for number, each in enumerate(busy + idle):
            selector.loads.record_load(each, 1 if number == 3 else 5, 4.0, 4.0)
        chosen[selector.choose(TABLES, "s", (), set(), 1.0, 5.0).endpoint.id] += 1
    assert max(chosen.values()) < 200 / 4
