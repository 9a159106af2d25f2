"""What is known of a call that was sent to an endpoint."""

from dataclasses import dataclass
from enum import StrEnum

from cranberrysail.router.model import Route

__all__ = ["Attempt", "AttemptResult", "NextStep", "next_step"]


class AttemptResult(StrEnum):
    """How an attempt at an endpoint ended.

    Attributes:
      DELIVERED: The caller has the endpoint's whole answer.
      NOT_SENT: No byte of the call went out.
      NOT_RUN: The endpoint said that it did not run the call.
      DISPLACED: Another endpoint has the address and did not run the call.
      FAILED: The endpoint ran the call and answered with a failure.
      UNKNOWN: The call went out and no usable answer came; it may have run.
      BROKEN_OFF: A part of the answer reached the caller, then it broke.
    """

    DELIVERED = "delivered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    DISPLACED = "displaced"
    FAILED = "failed"
    UNKNOWN = "unknown"
    BROKEN_OFF = "broken_off"


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt that ended.

    Attributes:
      why: What was seen, for the log.
    """

    result: AttemptResult
    why: str = ""


class NextStep(StrEnum):
    """What follows an attempt that did not deliver."""

    SEND_AGAIN = "send_again"
    REFUSE = "refuse"
    GIVE_FAILURE = "give_failure"
    ANSWER_UNKNOWN = "answer_unknown"
    BREAK_OFF = "break_off"


CERTAINLY_NOT_RUN = frozenset(
    (AttemptResult.NOT_SENT, AttemptResult.NOT_RUN, AttemptResult.DISPLACED)
)
# Endpoints that may turn one call away; more would only hold it up.
MOST_NOT_RUN = 3


def next_step(
    route: Route, result: AttemptResult, ran: int, not_run: int, budget: bool
) -> NextStep:
    """Return what follows an attempt that did not deliver.

    Args:
      route: The call's route.
      result: How the attempt ended.
      ran: Attempts so far that ran or may have run.
      not_run: Attempts so far that an endpoint turned away.
      budget: Whether the repeat budget allows one more send.
    """
    if result in CERTAINLY_NOT_RUN:
        sound = ran == 0 or (route.repeatable and ran < route.max_attempts)
        if sound and not_run < MOST_NOT_RUN and budget:
            return NextStep.SEND_AGAIN
        return NextStep.REFUSE if ran == 0 else NextStep.ANSWER_UNKNOWN
    if route.repeatable and ran < route.max_attempts and budget:
        return NextStep.SEND_AGAIN
    if result is AttemptResult.FAILED:
        return NextStep.GIVE_FAILURE
    if result is AttemptResult.BROKEN_OFF:
        return NextStep.BREAK_OFF
    return NextStep.ANSWER_UNKNOWN
