"""How often a cold endpoint is sent a call, over the whole fleet.

Answers a zone whose endpoints come back cold while callers press: each falls
over well above the rate that it bears. A router cannot ask the others in time,
and some may be cut off, so each takes an equal share of the bound. The shares of
all routers that could run add up to no more than the bound. Where there are more
routers than calls, only those that rank first for an endpoint send it any.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = ["ColdBound", "ColdLimiter"]

# The bound holds for any second.
WINDOW_S = 1.0
# Calls sent in one window may arrive in the next; a longer window covers that.
MARGIN_S = 0.1
# Part of the bound that is used where routers are ranked: their lists may differ.
RANKED_PART = 0.75


@dataclass(frozen=True)
class ColdBound:
    """The bound on the calls of one second to one cold endpoint.

    Attributes:
      overage: Multiple of the rate that an endpoint declares.
      slack: Calls beyond that.
    """

    overage: float
    slack: float

    def calls(self, rate: float) -> float:
        """Return the calls of one second that the whole fleet may send."""
        return rate * self.overage + self.slack


@dataclass
class ColdLimiter:
    """This router's share of the bound, by endpoint."""

    bound: ColdBound
    _sent: dict[str, deque[float]] = field(default_factory=dict)

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
          rate: Calls a second that the endpoint bears when cold.
          routers: Routers that may be running, this one included.
          rank: Returns how many routers rank before this one for an endpoint.
          now: Current time in seconds.
        """
        bound = self.bound.calls(rate)
        share = int(bound / max(1, routers))
        if share < 1 and rank(endpoint) >= int(bound * RANKED_PART):
            return False
        sent = self._sent.get(endpoint)
        if not sent:
            return True
        while sent and now - sent[0] > WINDOW_S + MARGIN_S:
            sent.popleft()
        return len(sent) < max(1, share)

    def note(self, endpoint: str, now: float) -> None:
        """Count a call; calls to warm endpoints count too, should they turn cold."""
        sent = self._sent.setdefault(endpoint, deque(maxlen=64))
        sent.append(now)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._sent.pop(endpoint, None)
