"""The state of one call and the queue of calls that wait for a pool."""

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum

from cranberrysail.decisions.events import CallArrived
from cranberrysail.decisions.placement import Candidate

__all__ = ["Asking", "CallPhase", "CallState", "WaitQueue"]


class CallPhase(StrEnum):
    """Where a call stands."""

    CLAIMING = "claiming"
    ASKING = "asking"
    WAITING = "waiting"
    RUNNING = "running"


@dataclass(frozen=True)
class Asking:
    """An Ask without an answer so far."""

    endpoint: str
    owner: str
    since_s: float


@dataclass
class CallState:
    """A call between its arrival and its end.

    Attributes:
      plan: Endpoints that are still to be asked in this round.
      home: The chat's first endpoint in this round.
      failed: Endpoints at which an attempt failed.
      maybe_ran: True once a byte of the request may have been processed.
      waited: True once the call has waited for room.
      claim: Id of the claim on the call's idempotency key, if any.
    """

    arrived: CallArrived
    arrived_s: float
    phase: CallPhase
    since_s: float
    plan: deque[Candidate] = field(default_factory=deque)
    home: str = ""
    asks: int = 0
    asking: Asking | None = None
    endpoint: str = ""
    failed: set[str] = field(default_factory=set)
    attempts: int = 0
    maybe_ran: bool = False
    waited: bool = False
    claim: str = ""
    last_deny: str = ""

    @property
    def pool(self) -> str:
        """Return the name of the call's pool."""
        return self.arrived.route.pool


class WaitQueue:
    """Calls that wait for one pool, bounded."""

    def __init__(self, capacity: int) -> None:
        """Create an empty queue.

        Args:
          capacity: Most calls that wait.
        """
        self._capacity = capacity
        self._calls: dict[int, CallState] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: CallState) -> CallState | None:
        """Add a call and return the one that must give way, if any."""
        self._calls[call.arrived.call] = call
        if len(self._calls) <= self._capacity:
            return None
        counts = Counter(c.arrived.customer for c in self._calls.values())
        worst = max(
            self._calls.values(),
            key=lambda c: (
                c.arrived.route.priority,
                counts[c.arrived.customer],
                c.arrived_s,
            ),
        )
        del self._calls[worst.arrived.call]
        return worst

    def remove(self, call: int) -> None:
        """Remove a call if it waits."""
        self._calls.pop(call, None)

    def next_calls(self, count: int, running: Counter) -> list[CallState]:
        """Return the calls to try next.

        Args:
          count: Most calls to return.
          running: Running calls by customer; those with few go first.
        """
        taken: list[CallState] = []
        ahead = Counter(running)
        waiting = sorted(self._calls.values(), key=lambda c: c.arrived_s)
        while waiting and len(taken) < count:
            chosen = min(
                waiting,
                key=lambda c: (c.arrived.route.priority, ahead[c.arrived.customer]),
            )
            waiting.remove(chosen)
            ahead[chosen.arrived.customer] += 1
            taken.append(chosen)
        return taken

    def calls(self) -> list[CallState]:
        """Return all waiting calls."""
        return list(self._calls.values())
