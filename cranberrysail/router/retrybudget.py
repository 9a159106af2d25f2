"""Retry budget: limits how many calls are retried at another endpoint.

Without a limit, retries to a service whose endpoints fail many calls would multiply
its load. Each router may retry a fixed ratio of its own first sends plus an equal
share of the fleet's slack, so the total stays within the bound without coordination
between routers.
"""

from collections import deque
from dataclasses import dataclass, field

__all__ = ["RetryBound", "RetryBudget"]

# Fraction of the fleet's slack that is divided among the routers. The rest allows
# for restarts: a router that restarts has its full share again.
SLACK_SHARE = 0.5


@dataclass(frozen=True)
class RetryBound:
    """Bound on the retries to one service.

    Attributes:
      ratio: Retries allowed per first send.
      slack: Further retries allowed per window, over the whole fleet.
      window_s: Length of the window in seconds.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass
class RetryBudget:
    """This router's first sends and retries within the window, by service."""

    bound: RetryBound
    _first_sends: dict[str, deque[float]] = field(default_factory=dict)
    _retries: dict[str, deque[float]] = field(default_factory=dict)

    def _prune_and_count(self, times: deque[float], now: float) -> int:
        while times and now - times[0] > self.bound.window_s:
            times.popleft()
        return len(times)

    def record_first_send(self, service: str, now: float) -> None:
        """Record that a call is sent for the first time."""
        self._first_sends.setdefault(service, deque()).append(now)
        self._prune_and_count(self._first_sends[service], now)

    def spend(self, service: str, routers: int, now: float) -> bool:
        """Take one retry from the budget; return False if it is exhausted.

        Args:
          service: Name of the service to retry on.
          routers: Number of routers that may be running, including this one.
          now: Current time in seconds.
        """
        firsts = self._prune_and_count(
            self._first_sends.setdefault(service, deque()), now
        )
        retries = self._retries.setdefault(service, deque())
        share = self.bound.slack * SLACK_SHARE / max(1, routers)
        if self._prune_and_count(retries, now) + 1 > self.bound.ratio * firsts + share:
            return False
        retries.append(now)
        return True
