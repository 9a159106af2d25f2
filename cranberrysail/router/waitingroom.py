"""Calls that wait in the router for capacity, in the order in which they are sent.

The most urgent goes first, then the one whose customer has used the least of its share,
then the one with the earliest deadline. The room is bounded by number and by bytes; if
it is full, the call that is last in order is refused.
"""

from bisect import insort
from dataclasses import dataclass, field

__all__ = ["WaitingCall", "WaitingRoom"]

# The excess of a customer is rounded to steps of this, so that deadlines decide among
# customers that use about as much of their shares.
EXCESS_STEP = 0.25


@dataclass(slots=True, eq=False)
class WaitingCall:
    """A call that waits.

    Attributes:
      excess: Its customer's recent use relative to its share, at its arrival.
      limit_s: Time until which it may wait.
      size: Bytes that it holds.
      entered_s: Time from which it waits.
    """

    service: str
    priority: int
    excess: float
    deadline_s: float
    limit_s: float
    size: int
    entered_s: float
    sequence: int = 0

    @property
    def order(self) -> tuple[int, int, float, int]:
        """Return the key by which calls are ordered, the first to be sent first."""
        step = round(self.excess / EXCESS_STEP)
        return (self.priority, step, self.deadline_s, self.sequence)


@dataclass
class WaitingRoom:
    """Waiting calls by service, in order."""

    max_calls: int
    max_bytes: int
    _queues: dict[str, list[WaitingCall]] = field(default_factory=dict)
    _sequence: int = 0
    _bytes: int = 0

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    @property
    def held_bytes(self) -> int:
        """Return the bytes that the waiting calls hold."""
        return self._bytes

    def services(self) -> list[str]:
        """Return the services for which calls wait."""
        return list(self._queues)

    def waiting(self, service: str) -> list[WaitingCall]:
        """Return the waiting calls of a service in order."""
        return self._queues.get(service, [])

    def ahead_of(self, call: WaitingCall) -> int:
        """Return how many calls would be sent before a call that enters now."""
        queue = self._queues.get(call.service, ())
        return sum(other.order < call.order for other in queue)

    def enter(self, call: WaitingCall) -> list[WaitingCall]:
        """Add a call; return the calls that must leave for it, perhaps itself."""
        self._sequence += 1
        call.sequence = self._sequence
        insort(self._queues.setdefault(call.service, []), call, key=lambda c: c.order)
        self._bytes += call.size
        left = []
        while len(self) > self.max_calls or self._bytes > self.max_bytes:
            last = max(
                (queue[-1] for queue in self._queues.values()), key=lambda c: c.order
            )
            self.leave(last)
            left.append(last)
        return left

    def leave(self, call: WaitingCall) -> bool:
        """Remove a call; return False if it is not in the room."""
        queue = self._queues.get(call.service)
        if queue is None or call not in queue:
            return False
        queue.remove(call)
        self._bytes -= call.size
        if not queue:
            del self._queues[call.service]
        return True

    def due(self, now: float) -> list[WaitingCall]:
        """Return the calls that may not wait any longer."""
        return [
            call
            for queue in self._queues.values()
            for call in queue
            if now >= call.limit_s
        ]
