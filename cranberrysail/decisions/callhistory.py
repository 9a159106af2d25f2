"""History of the most recent calls, for the operators' explain page."""

from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["CallHistory", "RecentCalls", "Step"]

# Steps kept per call; later ones are dropped.
MAX_STEPS = 40


@dataclass(frozen=True)
class Step:
    """An event in the life of a call, as text for operators.

    Attributes:
      at_s: When it happened, in seconds since the epoch.
    """

    at_s: float
    text: str


@dataclass
class CallHistory:
    """The steps of one call, oldest first."""

    request_id: str
    customer: str
    route: str
    arrived_s: float
    steps: list[Step] = field(default_factory=list)

    def format_steps(self) -> list[str]:
        """Return one line per step, with the time since the call arrived."""
        return [
            f"+{(step.at_s - self.arrived_s) * 1000:.0f} ms: {step.text}"
            for step in self.steps
        ]


class RecentCalls:
    """Keeps the histories of the most recent calls."""

    def __init__(self, capacity: int = 512) -> None:
        """Create an empty collection.

        Args:
          capacity: Maximum number of calls.
        """
        self._capacity = capacity
        self._histories: OrderedDict[str, CallHistory] = OrderedDict()

    def begin(self, history: CallHistory) -> None:
        """Add the history of a new call and evict the oldest if full."""
        self._histories[history.request_id] = history
        while len(self._histories) > self._capacity:
            self._histories.popitem(last=False)

    def add_step(self, request_id: str, now: float, text: str) -> None:
        """Append a step to a call's history, unless that is full or not kept."""
        history = self._histories.get(request_id)
        if history is None or len(history.steps) >= MAX_STEPS:
            return
        history.steps.append(Step(now, text))

    def find(self, request_id: str) -> CallHistory | None:
        """Return the history of a call, or None if it is not kept."""
        return self._histories.get(request_id)

    def __len__(self) -> int:
        return len(self._histories)
