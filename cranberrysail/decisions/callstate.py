"""State of a call, and the queue of calls that wait for capacity in a pool."""

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum

from cranberrysail.decisions.events import CallArrived
from cranberrysail.decisions.placement import Candidate

__all__ = ["CallPhase", "CallState", "PendingAdmission", "WaitQueue"]


class CallPhase(StrEnum):
    """Phase of an open call.

    Attributes:
      CLAIMING: Waits for the verdict on its idempotency key.
      ASKING: Requests admission at an endpoint.
      WAITING: Is queued until the pool has capacity.
      RUNNING: Is admitted; an attempt is in progress.
    """

    CLAIMING = "claiming"
    ASKING = "asking"
    WAITING = "waiting"
    RUNNING = "running"


@dataclass(frozen=True)
class PendingAdmission:
    """An admission request that has no reply yet."""

    endpoint: str
    owner: str
    sent_s: float


@dataclass
class CallState:
    """An open call.

    Attributes:
      remaining: Candidates of this round at which admission has not been requested.
      first_ranked: The chat's first-ranked endpoint in this round, or empty.
      requests_in_round: Admission requests in this round or, for a queued call, since
        it was last taken from the queue.
      endpoint: Endpoint of the running attempt, empty if none is running.
      failed_endpoints: Endpoints at which an attempt failed.
      maybe_ran: True once an endpoint may have processed part of the request.
      has_waited: True once the call has been queued.
      claim_id: Id of the claim on the call's idempotency key, or empty.
      last_denial: Why the last admission request failed, as a DenyReason value or text
        for the caller's error; empty if none failed.
    """

    arrived: CallArrived
    arrived_s: float
    phase: CallPhase
    phase_since_s: float
    remaining: deque[Candidate] = field(default_factory=deque)
    first_ranked: str = ""
    requests_in_round: int = 0
    pending_admission: PendingAdmission | None = None
    endpoint: str = ""
    failed_endpoints: set[str] = field(default_factory=set)
    attempts: int = 0
    maybe_ran: bool = False
    has_waited: bool = False
    claim_id: str = ""
    last_denial: str = ""

    @property
    def pool(self) -> str:
        """Return the pool that the call's route names."""
        return self.arrived.route.pool


class WaitQueue:
    """Bounded queue of calls that wait for capacity in one pool."""

    def __init__(self, capacity: int) -> None:
        """Create an empty queue.

        Args:
          capacity: Maximum number of queued calls.
        """
        self._capacity = capacity
        self._calls: dict[int, CallState] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: CallState) -> CallState | None:
        """Add a call, and return the one evicted if the queue was full.

        The evicted call is one of the least urgent priority. Among these it
        belongs to the customer with the most queued calls, and is its latest; it
        may be the added call.
        """
        self._calls[call.arrived.call_id] = call
        if len(self._calls) <= self._capacity:
            return None
        counts = Counter(c.arrived.customer for c in self._calls.values())
        evicted = max(
            self._calls.values(),
            key=lambda c: (
                c.arrived.route.priority,
                counts[c.arrived.customer],
                c.arrived_s,
            ),
        )
        del self._calls[evicted.arrived.call_id]
        return evicted

    def remove(self, call_id: int) -> None:
        """Remove a call if it is queued."""
        self._calls.pop(call_id, None)

    def next_calls(self, count: int, running: Counter) -> list[CallState]:
        """Return the calls to retry next, without removing them.

        The most urgent priority goes first. Within a priority the customer with
        the fewest running and already selected calls goes first, then the call
        that arrived first.

        Args:
          count: Maximum number of calls to return.
          running: Running calls by customer.
        """
        selected: list[CallState] = []
        usage = Counter(running)
        waiting = sorted(self._calls.values(), key=lambda c: c.arrived_s)
        while waiting and len(selected) < count:
            chosen = min(
                waiting,
                key=lambda c: (c.arrived.route.priority, usage[c.arrived.customer]),
            )
            waiting.remove(chosen)
            usage[chosen.arrived.customer] += 1
            selected.append(chosen)
        return selected

    def calls(self) -> list[CallState]:
        """Return all queued calls."""
        return list(self._calls.values())
