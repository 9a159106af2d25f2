"""What a router makes of reports and answers."""

import pytest

from cranberrysail.router.endpoints import Endpoint, EndpointState
from cranberrysail.router.load import REPORT_LIFE_S, EndpointView, LoadBook, LoadReport
from cranberrysail.router.model import EndpointRecord


def endpoint(name="e"):
    record = EndpointRecord(name, 1, 1, "s", "10.0.0.1:80", "a", 8)
    return Endpoint(record, EndpointState.READY, 0.0)


def test_own_calls_are_not_counted_twice():
    book = LoadBook()
    one = endpoint()
    one.open = 2
    book.report(one, LoadReport(5, 1, 8), 10.0)
    assert book.load(one, 0.0, 10.0) == 6
    one.open = 3
    assert book.load(one, 0.0, 10.5) == 7


def test_an_old_report_gives_way_to_what_others_have():
    book = LoadBook()
    one, two = endpoint("a"), endpoint("b")
    book.report(one, LoadReport(6, 0, 8), 10.0)
    book.report(two, LoadReport(2, 0, 8), 13.0)
    mean = book.mean_others([one, two], 13.0)
    assert 2.0 < mean < 4.0
    assert mean < book.load(one, mean, 13.0) < 6.0
    late_s = 10.0 + REPORT_LIFE_S + 0.1
    assert book.mean_others([one, two], late_s) == 2.0
    assert book.load(one, 2.0, late_s) == 2.0


def test_answers_that_read_a_long_prompt_do_not_make_an_engine_slow():
    """Found by a model: homes gave way though they were not loaded."""
    view = EndpointView()
    for number in range(20):
        view.judge(2.0 if number % 2 else 0.5, False, number / 10)
    assert view.burden(2.0) == 1.0


def test_a_slow_endpoint_counts_as_loaded_and_is_forgiven_with_time():
    view = EndpointView()
    for number in range(20):
        view.judge(6.0, False, number / 10)
    assert view.burden(2.0) > 2.0
    assert view.burden(20.0) == 1.0


def test_an_engine_whose_streams_run_slowly_counts_as_loaded():
    """Found by the load tool: a few streams in seconds must be enough."""
    view = EndpointView()
    for at_s in (10.0, 12.0, 14.0):
        view.note_pace(4.0, at_s)
    assert view.burden(14.0) > 1.5
    assert view.burden(40.0) == pytest.approx(1.0, abs=0.1)


def test_a_little_slower_is_not_slow():
    view = EndpointView()
    for at_s in range(20):
        view.note_pace(1.4 if at_s % 2 else 0.9, float(at_s))
    assert view.burden(20.0) == 1.0


def test_an_endpoint_that_fails_calls_counts_as_loaded():
    view = EndpointView()
    for number in range(20):
        view.judge(1.0, number % 2 == 0, number / 10)
    assert 1.5 < view.burden(2.0) < 3.0


def test_an_endpoint_that_says_nothing_is_silent():
    view = EndpointView()
    assert not view.silent(5.0)
    view.pending[1] = 5.0
    assert not view.silent(5.5)
    assert view.silent(6.0)
    view.heard_s = 5.9
    assert not view.silent(6.0)


def test_views_of_endpoints_that_are_gone_are_dropped():
    book = LoadBook()
    book.view(endpoint("a")).others = 5
    book.keep(set())
    assert book.view(endpoint("a")).others == 0
