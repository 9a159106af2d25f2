"""Admission control: when a call is refused early, and the retry delay it is given.

If a service is full or has no endpoint, a caller that is refused immediately with a
retry delay is served sooner than one that waits until its call times out.
"""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "AdmissionBound",
    "RefusalReason",
    "expected_wait_s",
    "jittered_retry_after_s",
]


class RefusalReason(StrEnum):
    """Reason for refusing a call that was not executed.

    Attributes:
      NO_TABLES: Route tables or endpoints have not been read yet.
      NO_ENDPOINT: No endpoint is left to which the call may be sent.
      COLD: Every remaining endpoint is cold, and the rate limit for cold endpoints is
        reached.
      FULL: The call would queue for too long.
      PAUSED: Every remaining endpoint has asked this router to send nothing for a time.
      ENDPOINT_REFUSED: Endpoints declined the call or could not be connected to.
      TOO_LATE: The deadline passed before the call was executed.
      CONTENT: Endpoints crash on something that the call carries.
      STOPPING: The router stops before the call would be sure to end.
      PRESSED: The endpoints of a plain service have long queues.
      OVER_SHARE: They have, and the call's customer has used more than its share.
      LONG_WAIT: The call would wait in the router for longer than it may, or more
        entitled calls need its place.
    """

    NO_TABLES = "no_tables"
    NO_ENDPOINT = "no_endpoint"
    COLD = "cold"
    FULL = "full"
    PAUSED = "paused"
    ENDPOINT_REFUSED = "endpoint_refused"
    TOO_LATE = "too_late"
    CONTENT = "content"
    STOPPING = "stopping"
    PRESSED = "pressed"
    OVER_SHARE = "over_share"
    LONG_WAIT = "long_wait"


@dataclass(frozen=True, slots=True)
class AdmissionBound:
    """Limits on queueing time and on retry delays.

    Attributes:
      max_wait_share: Fraction of a call's remaining time that it may spend waiting for
        a slot; a call that would wait longer is refused.
      min_retry_s: Minimum of the expected wait that the retry delay is based on. The
        delay may be shorter, since the two limits below take precedence.
      max_retry_s: Maximum retry delay.
      max_retry_share: Maximum retry delay as a fraction of the caller's remaining time.
      allocates: True if scarce capacity is allocated by urgency, deadline and fair
        shares; otherwise calls are sent at once or refused.
      max_waiting: Maximum number of calls that wait in the router. A host with a
        hundredth of the callers of a large site has a few at a time.
      max_waiting_bytes: Maximum size of their requests.
      urgent_wait_share: Fraction of its target latency for which a call of priority 0
        waits in the router. Engines order their queues by priority, so it is served
        sooner there: with 32 routers and a rush of long calls, 0.3 of the target cut
        the urgent calls in time from 0.70 to 0.41.
    """

    max_wait_share: float = 0.5
    min_retry_s: float = 0.2
    max_retry_s: float = 1.5
    max_retry_share: float = 0.33
    allocates: bool = False
    max_waiting: int = 64
    max_waiting_bytes: int = 4 * 1024 * 1024
    urgent_wait_share: float = 0.0


def expected_wait_s(load: float, slots: int, service_time_s: float) -> float:
    """Return the expected time that a call queues for a slot at an endpoint.

    Args:
      load: Open calls at the endpoint.
      slots: Calls that the endpoint processes concurrently.
      service_time_s: Mean time that a call occupies a slot.
    """
    queued = load + 1 - slots
    return max(0.0, queued) * service_time_s / max(1, slots)


def jittered_retry_after_s(
    bound: AdmissionBound, wait_s: float, remaining_s: float, jitter: float
) -> float:
    """Return the delay after which a refused caller should retry.

    Args:
      bound: Limits on the delay.
      wait_s: Expected time until an endpoint has a free slot.
      remaining_s: Time until the caller's deadline.
      jitter: Random number from 0 to 1, which keeps callers from retrying at the same
        time.
    """
    delay_s = max(bound.min_retry_s, wait_s) * (1.0 + 0.5 * jitter)
    delay_s = min(delay_s, bound.max_retry_s, remaining_s * bound.max_retry_share)
    return round(max(0.05, delay_s), 3)
