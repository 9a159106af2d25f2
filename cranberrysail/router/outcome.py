"""Results of attempts at endpoints, and the decision what to do after a failure."""

from dataclasses import dataclass
from enum import StrEnum

from cranberrysail.router.bodyframing import BodyFraming
from cranberrysail.router.model import Route

__all__ = ["Attempt", "AttemptResult", "NextStep", "ReceivedResponse", "next_step"]


class AttemptResult(StrEnum):
    """How an attempt at an endpoint ended.

    Attributes:
      DELIVERED: The endpoint's whole response was sent to the caller.
      NOT_SENT: No byte of the request was sent.
      NOT_RUN: The endpoint declared that it did not execute the call.
      DISPLACED: Another endpoint now has the address; it did not execute the call.
      FAILED: An error response (5xx) arrived that does not say that the call was not
        executed; it counts as executed.
      UNKNOWN: The request was sent but no usable response arrived; the call may have
        been executed.
      BROKEN_OFF: The response was interrupted after part of it was sent to the caller.
    """

    DELIVERED = "delivered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    DISPLACED = "displaced"
    FAILED = "failed"
    UNKNOWN = "unknown"
    BROKEN_OFF = "broken_off"


@dataclass(frozen=True, slots=True)
class ReceivedResponse:
    """What was received of an endpoint's response, for the log.

    Attributes:
      status: HTTP status.
      framing: What delimits the body.
      body_bytes: Bytes of the body that were received.
      whole_events: Complete events of the call so far, over all attempts; None if the
        response is no stream.
      partial_bytes: Bytes after the last complete event.
    """

    status: int
    framing: BodyFraming
    body_bytes: int
    whole_events: int | None = None
    partial_bytes: int = 0


@dataclass(frozen=True, slots=True)
class Attempt:
    """A finished attempt.

    Attributes:
      why: Reason for the result, for the log.
      received: The endpoint's response; None if no head was received.
    """

    result: AttemptResult
    why: str = ""
    received: ReceivedResponse | None = None


class NextStep(StrEnum):
    """What to do after an attempt that did not deliver a response.

    Attributes:
      SEND_AGAIN: Make another attempt.
      REFUSE: Respond that the call was not executed; the caller may retry.
      GIVE_FAILURE: Forward the error response of the endpoint, or abort the caller's
        connection if part of a response was sent.
      ANSWER_UNKNOWN: Respond that the call may have been executed; but abort the
        caller's connection if part of a response was sent, or else forward an earlier
        error response of an endpoint, if there is one.
      BREAK_OFF: Abort the caller's connection, since part of a response was sent.
    """

    SEND_AGAIN = "send_again"
    REFUSE = "refuse"
    GIVE_FAILURE = "give_failure"
    ANSWER_UNKNOWN = "answer_unknown"
    BREAK_OFF = "break_off"


NOT_EXECUTED = frozenset(
    (AttemptResult.NOT_SENT, AttemptResult.NOT_RUN, AttemptResult.DISPLACED)
)
# Declined attempts after which no other endpoint is tried, since that would only delay
# the refusal of the call.
MAX_DECLINED = 3


def next_step(
    route: Route,
    result: AttemptResult,
    executions: int,
    declined: int,
    within_budget: bool,
    can_continue: bool = True,
) -> NextStep:
    """Return what to do after an attempt that did not deliver a response.

    Args:
      route: The call's route.
      result: Result of the attempt.
      executions: Attempts so far that were executed or may have been.
      declined: Attempts so far whose endpoint responded that it did not execute the
        call.
      within_budget: Whether the retry budget allows another attempt.
      can_continue: Whether another attempt can continue the response as far as it was
        sent to the caller.
    """
    if not can_continue:
        return NextStep.BREAK_OFF
    if result in NOT_EXECUTED:
        may_send = executions == 0 or (
            route.retryable and executions < route.max_attempts
        )
        if may_send and declined < MAX_DECLINED and within_budget:
            return NextStep.SEND_AGAIN
        return NextStep.REFUSE if executions == 0 else NextStep.ANSWER_UNKNOWN
    if route.retryable and executions < route.max_attempts and within_budget:
        return NextStep.SEND_AGAIN
    if result is AttemptResult.FAILED:
        return NextStep.GIVE_FAILURE
    if result is AttemptResult.BROKEN_OFF:
        return NextStep.BREAK_OFF
    return NextStep.ANSWER_UNKNOWN
