"""Whether a call that cannot be served is refused at once, and until when.

Answers a service that is full or gone: a caller who is told at once when to come
back is served sooner than one who waits until its time is over.
"""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["AdmissionBound", "RefusalReason", "expected_wait_s", "retry_after_s"]


class RefusalReason(StrEnum):
    """Why a call is refused without having run."""

    NO_TABLES = "no_tables"
    NO_ENDPOINT = "no_endpoint"
    COLD = "cold"
    FULL = "full"
    ENDPOINT_REFUSED = "endpoint_refused"
    TOO_LATE = "too_late"


@dataclass(frozen=True, slots=True)
class AdmissionBound:
    """When a queue is too long to be of use.

    Attributes:
      wait_share: Part of a call's time that it may wait for a slot.
      least_retry_s: Shortest time after which callers return.
      most_retry_s: Longest time after which callers return.
      patience_share: Callers wait at most this part of their time.
    """

    wait_share: float = 0.5
    least_retry_s: float = 0.2
    most_retry_s: float = 1.5
    patience_share: float = 0.33


def expected_wait_s(load: float, slots: int, work_s: float) -> float:
    """Return the time that a call waits for a slot at an endpoint.

    Args:
      load: Open calls there.
      slots: Calls that it works on at once.
      work_s: Mean time of a call in a slot.
    """
    ahead = load + 1 - slots
    return max(0.0, ahead) * work_s / max(1, slots)


def retry_after_s(
    bound: AdmissionBound, backlog_s: float, left_s: float, spread: float
) -> float:
    """Return when a refused caller should come back.

    Args:
      bound: Bounds on the answer.
      backlog_s: Time until there is room.
      left_s: Time that the caller has left.
      spread: A number from 0 to 1, so that callers do not return together.
    """
    wait_s = max(bound.least_retry_s, backlog_s) * (1.0 + 0.5 * spread)
    wait_s = min(wait_s, bound.most_retry_s, left_s * bound.patience_share)
    return round(max(0.05, wait_s), 3)
