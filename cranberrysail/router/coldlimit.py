"""Fleet-wide rate limit on calls to cold endpoints.

An endpoint is cold while it warms up after a start. When the endpoints of a zone
restart under full traffic, each of them fails if it gets calls well above the rate
that it can serve while cold. Routers cannot coordinate in time, and some may be
partitioned, so each router limits itself to an equal share of the bound. The shares
of all routers that may be running add up to at most the bound. If there are more
routers than calls per second, only the routers that rank highest for an endpoint
send it calls.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = ["ColdBound", "ColdLimiter"]

# The bound applies to every interval of one second.
WINDOW_S = 1.0
# Calls sent in one window may arrive in the next, so the window is made longer.
WINDOW_MARGIN_S = 0.1
# Fraction of the bound that is used when routers are ranked, since their lists of
# routers may differ.
RANKED_BOUND_FRACTION = 0.75


@dataclass(frozen=True)
class ColdBound:
    """Bound on the calls per second to one cold endpoint.

    Attributes:
      overage: Multiple of the rate that a cold endpoint can serve.
      slack: Additional calls per second.
    """

    overage: float
    slack: float

    def max_calls_per_s(self, rate: float) -> float:
        """Return the calls per second that the whole fleet may send."""
        return rate * self.overage + self.slack


@dataclass
class ColdLimiter:
    """Enforces this router's share of the bound for each endpoint.

    A share of more than 64 calls per second is not enforced, since only the last 64
    send times of an endpoint are kept.
    """

    bound: ColdBound
    _send_times: dict[str, deque[float]] = field(default_factory=dict)

    def allows(
        self,
        endpoint: str,
        rate: float,
        routers: int,
        rank: Callable[[str], int],
        now: float,
    ) -> bool:
        """Return whether a call may be sent to a cold endpoint now.

        Args:
          endpoint: Id of the endpoint.
          rate: Calls per second that the endpoint can serve while cold.
          routers: Number of routers that may be running, including this one.
          rank: Returns how many routers rank before this one for an endpoint id.
          now: Current time in seconds.
        """
        bound = self.bound.max_calls_per_s(rate)
        share = int(bound / max(1, routers))
        if share < 1 and rank(endpoint) >= int(bound * RANKED_BOUND_FRACTION):
            return False
        sent = self._send_times.get(endpoint)
        if not sent:
            return True
        while sent and now - sent[0] > WINDOW_S + WINDOW_MARGIN_S:
            sent.popleft()
        return len(sent) < max(1, share)

    def record_call(self, endpoint: str, now: float) -> None:
        """Record a call, also to a warm endpoint, since it may turn cold."""
        # With 64 send times kept, a share above 64 never limits calls.
        sent = self._send_times.setdefault(endpoint, deque(maxlen=64))
        sent.append(now)

    def forget(self, endpoint: str) -> None:
        """Delete the records of a removed endpoint."""
        self._send_times.pop(endpoint, None)
