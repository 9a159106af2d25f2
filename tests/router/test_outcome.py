"""What may be sent again, and what a caller is told."""

import itertools

import pytest

from cranberrysail.router.model import CallKind, Route
from cranberrysail.router.outcome import (
    MOST_NOT_RUN,
    AttemptResult,
    NextStep,
    next_step,
)

NOT_RUN = (AttemptResult.NOT_SENT, AttemptResult.NOT_RUN, AttemptResult.DISPLACED)


def route(kind, attempts=1, resumable=False):
    shares = (("s", 1),)
    return Route("r", "h", "/", kind, shares, attempts, resumable=resumable)


ONCE = route(CallKind.ONCE, 3)
SAFE = route(CallKind.IDEMPOTENT, 2)
STREAM = route(CallKind.STREAM, 2)
RESUMABLE = route(CallKind.STREAM, 2, resumable=True)
CASES = list(
    itertools.product(
        (ONCE, SAFE, STREAM, RESUMABLE), AttemptResult, range(3), (True, False)
    )
)


@pytest.mark.parametrize("kind", [ONCE, STREAM])
def test_what_runs_at_most_once_is_never_sent_after_it_may_have_run(kind):
    for result, budget in itertools.product(AttemptResult, (True, False)):
        step = next_step(kind, result, 1, 0, budget)
        assert step is not NextStep.SEND_AGAIN


def test_only_what_has_not_run_is_refused():
    for kind, result, ran, budget in CASES:
        if next_step(kind, result, ran, 1, budget) is NextStep.REFUSE:
            assert ran == 0
            assert result in NOT_RUN


def test_no_call_runs_at_more_endpoints_than_its_route_allows():
    for kind, result, ran, budget in CASES:
        if next_step(kind, result, ran, 1, budget) is NextStep.SEND_AGAIN:
            assert ran < kind.max_attempts


def test_without_budget_nothing_is_sent_again():
    for kind, result, ran, _ in CASES:
        assert next_step(kind, result, ran, 1, False) is not NextStep.SEND_AGAIN


def test_a_booking_that_was_not_run_is_tried_elsewhere_a_few_times():
    most = range(1, MOST_NOT_RUN + 1)
    steps = [next_step(ONCE, AttemptResult.NOT_RUN, 0, n, True) for n in most]
    assert steps == [NextStep.SEND_AGAIN] * (MOST_NOT_RUN - 1) + [NextStep.REFUSE]


def test_a_failure_of_the_endpoint_is_passed_on_in_the_end():
    assert next_step(SAFE, AttemptResult.FAILED, 1, 0, True) is NextStep.SEND_AGAIN
    assert next_step(SAFE, AttemptResult.FAILED, 2, 0, True) is NextStep.GIVE_FAILURE
    assert next_step(ONCE, AttemptResult.FAILED, 1, 0, True) is NextStep.GIVE_FAILURE
