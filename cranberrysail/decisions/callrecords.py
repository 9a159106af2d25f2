"""A bounded record of decisions, for explaining them."""

from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ["CallRecord", "DecisionRing", "Step"]

MAX_STEPS = 40


@dataclass(frozen=True)
class Step:
    """One step of a call, as a sentence."""

    at_s: float
    text: str


@dataclass
class CallRecord:
    """What was decided about one call."""

    request_id: str
    customer: str
    route: str
    arrived_s: float
    steps: list[Step] = field(default_factory=list)

    def sentences(self) -> list[str]:
        """Return the steps with the time since arrival."""
        return [
            f"+{(step.at_s - self.arrived_s) * 1000:.0f} ms: {step.text}"
            for step in self.steps
        ]


class DecisionRing:
    """Keeps the records of the latest calls."""

    def __init__(self, capacity: int = 512) -> None:
        """Create an empty ring.

        Args:
          capacity: Number of calls that are kept.
        """
        self._capacity = capacity
        self._records: OrderedDict[str, CallRecord] = OrderedDict()

    def begin(self, record: CallRecord) -> None:
        """Start the record of a call and drop the oldest if full."""
        self._records[record.request_id] = record
        while len(self._records) > self._capacity:
            self._records.popitem(last=False)

    def note(self, request_id: str, now: float, text: str) -> None:
        """Add a step to a call's record."""
        record = self._records.get(request_id)
        if record is None or len(record.steps) >= MAX_STEPS:
            return
        record.steps.append(Step(now, text))

    def find(self, request_id: str) -> CallRecord | None:
        """Return the record of a call if it is still kept."""
        return self._records.get(request_id)

    def __len__(self) -> int:
        return len(self._records)
