"""Tests for the decision that follows a failed attempt."""

import itertools

import pytest

from cranberrysail.router.model import CallKind, Route
from cranberrysail.router.outcome import (
    MAX_DECLINED,
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
def test_at_most_once_call_is_not_sent_again_after_it_may_have_run(kind):
    for result, budget in itertools.product(AttemptResult, (True, False)):
        step = next_step(kind, result, 1, 0, budget)
        assert step is not NextStep.SEND_AGAIN


def test_only_calls_that_did_not_run_are_refused():
    for kind, result, ran, budget in CASES:
        if next_step(kind, result, ran, 1, budget) is NextStep.REFUSE:
            assert ran == 0
            assert result in NOT_RUN


def test_call_runs_at_no_more_endpoints_than_max_attempts():
    for kind, result, ran, budget in CASES:
        if next_step(kind, result, ran, 1, budget) is NextStep.SEND_AGAIN:
            assert ran < kind.max_attempts


def test_no_call_is_sent_again_without_budget():
    for kind, result, ran, _ in CASES:
        assert next_step(kind, result, ran, 1, False) is not NextStep.SEND_AGAIN


def test_rejected_booking_is_tried_at_a_few_other_endpoints():
    declined = range(1, MAX_DECLINED + 1)
    steps = [next_step(ONCE, AttemptResult.NOT_RUN, 0, n, True) for n in declined]
    assert steps == [NextStep.SEND_AGAIN] * (MAX_DECLINED - 1) + [NextStep.REFUSE]


def test_last_endpoint_failure_is_passed_to_caller():
    assert next_step(SAFE, AttemptResult.FAILED, 1, 0, True) is NextStep.SEND_AGAIN
    assert next_step(SAFE, AttemptResult.FAILED, 2, 0, True) is NextStep.GIVE_FAILURE
    assert next_step(ONCE, AttemptResult.FAILED, 1, 0, True) is NextStep.GIVE_FAILURE


def test_response_that_cannot_be_continued_is_broken_off():
    for kind, result, ran, budget in CASES:
        step = next_step(kind, result, ran, 0, budget, can_continue=False)
        assert step is NextStep.BREAK_OFF
