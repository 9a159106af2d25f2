"""A budget for sending a call to a second endpoint.

Answers a service whose endpoints fail many calls: repeats must not grow into a
second load. Each router spends a share of its own first sends and of the fleet's
slack, so that the sum over all routers holds with no message between them.
"""

from collections import deque
from dataclasses import dataclass, field

__all__ = ["RepeatBound", "RepeatBudget"]

# Part of the fleet's slack that routers divide; a router that restarts begins
# with a full share again.
SLACK_USED = 0.5


@dataclass(frozen=True)
class RepeatBound:
    """The bound on repeats to one service.

    Attributes:
      ratio: Repeats for each first send.
      slack: Repeats beyond that in one window, over the whole fleet.
      window_s: Length of the window in seconds.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass
class RepeatBudget:
    """First sends and repeats of this router, by service."""

    bound: RepeatBound
    _firsts: dict[str, deque[float]] = field(default_factory=dict)
    _repeats: dict[str, deque[float]] = field(default_factory=dict)

    def _count(self, times: deque[float], now: float) -> int:
        while times and now - times[0] > self.bound.window_s:
            times.popleft()
        return len(times)

    def first(self, service: str, now: float) -> None:
        """Count the first send of a call."""
        self._firsts.setdefault(service, deque()).append(now)
        self._count(self._firsts[service], now)

    def spend(self, service: str, routers: int, now: float) -> bool:
        """Take a repeat and return whether there was one.

        Args:
          service: Service that the repeat goes to.
          routers: Routers that may be running, this one included.
          now: Current time in seconds.
        """
        firsts = self._count(self._firsts.setdefault(service, deque()), now)
        repeats = self._repeats.setdefault(service, deque())
        share = self.bound.slack * SLACK_USED / max(1, routers)
        if self._count(repeats, now) + 1 > self.bound.ratio * firsts + share:
            return False
        repeats.append(now)
        return True
