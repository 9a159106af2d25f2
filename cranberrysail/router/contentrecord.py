"""What is known about content on which endpoints may crash."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = [
    "ANSWER_MEMORY_S",
    "ContentRecord",
    "CrashEvidence",
    "count_successive",
    "in_order",
    "successive_crashes",
]

# Duration of the first quarantine; it doubles with each further one.
QUARANTINE_S = 60.0
MAX_QUARANTINE_S = 3600.0
MAX_DOUBLINGS = 6
# Answers to calls are remembered for this time.
ANSWER_MEMORY_S = 60.0
# Maximum number of crashes in a record.
MAX_CRASHES = 8


@dataclass(frozen=True, slots=True)
class CrashEvidence:
    """An endpoint crashed while a call with the content was unanswered.

    Attributes:
      at_s: Time of the crash.
      sent_s: Time at which the content was last sent to the endpoint.
    """

    at_s: float
    sent_s: float

    def merged(self, other: "CrashEvidence") -> "CrashEvidence":
        """Return the evidence of two routers about the same crash."""
        return CrashEvidence(min(self.at_s, other.at_s), max(self.sent_s, other.sent_s))


@dataclass(slots=True)
class ContentRecord:
    """What is known about some content.

    Attributes:
      crashes: Evidence by hash value of the endpoint's incarnation.
      answered_s: Last time at which an endpoint was known to answer a call with it.
      quarantined_s: Time at which it was last quarantined.
      quarantines: How often it was quarantined.
      local: True if the last change was observed by this router itself.
      witnessed: True if this router has itself observed one of the crashes.
      trial_until_s: Time until which the outcome of a call of this router is awaited.
      distinguished_s: Time of the last crash before which calls without the content
        were answered, and those with it were not.
    """

    content_id: str
    crashes: dict[int, CrashEvidence] = field(default_factory=dict)
    answered_s: float = -math.inf
    quarantined_s: float = -math.inf
    quarantines: int = 0
    local: bool = False
    witnessed: bool = False
    trial_until_s: float = -math.inf
    distinguished_s: float = -math.inf

    @property
    def service(self) -> str:
        """Return the service whose endpoints crash."""
        return self.content_id.partition("/")[0]

    @property
    def last_crash_s(self) -> float:
        """Return the time of the last crash."""
        return max((e.at_s for e in self.crashes.values()), default=-math.inf)

    @property
    def quarantine_end_s(self) -> float:
        """Return the time until which it is quarantined."""
        if self.quarantined_s <= self.answered_s:
            return -math.inf
        doublings = min(max(0, self.quarantines - 1), MAX_DOUBLINGS)
        return self.quarantined_s + min(QUARANTINE_S * 2**doublings, MAX_QUARANTINE_S)

    def open_crashes(self) -> dict[int, CrashEvidence]:
        """Return the crashes after the last answer."""
        return {k: e for k, e in self.crashes.items() if e.at_s > self.answered_s}

    def was_answered_lately(self, now: float) -> bool:
        """Return whether an answer to a call with it is remembered."""
        return now - self.answered_s < ANSWER_MEMORY_S

    def add_crash(self, incarnation: int, evidence: CrashEvidence) -> None:
        """Add evidence; that of the last crashes is kept."""
        known = self.crashes.get(incarnation)
        self.crashes[incarnation] = (
            evidence if known is None else known.merged(evidence)
        )
        while len(self.crashes) > MAX_CRASHES:
            del self.crashes[min(self.crashes, key=lambda k: self.crashes[k].at_s)]

    def merge(self, other: "ContentRecord") -> None:
        """Add what another router knows."""
        for incarnation, evidence in other.crashes.items():
            self.add_crash(incarnation, evidence)
        self.answered_s = max(self.answered_s, other.answered_s)
        self.quarantined_s = max(self.quarantined_s, other.quarantined_s)
        self.quarantines = max(self.quarantines, other.quarantines)
        if self.quarantined_s <= self.answered_s:
            self.quarantines = 0


def successive_crashes(evidence: Iterable[CrashEvidence]) -> list[CrashEvidence]:
    """Return the crashes whose content was sent after the crash before.

    Args:
      evidence: Crashes in order of time.
    """
    found: list[CrashEvidence] = []
    for crash in evidence:
        if not found or crash.sent_s >= found[-1].at_s:
            found.append(crash)
    return found


def count_successive(evidence: Iterable[CrashEvidence]) -> int:
    """Return the number of successive crashes, given in order of time."""
    return len(successive_crashes(evidence))


def in_order(evidence: Iterable[CrashEvidence]) -> tuple[CrashEvidence, ...]:
    """Return crashes in order of time."""
    return tuple(sorted(evidence, key=lambda e: e.at_s))
