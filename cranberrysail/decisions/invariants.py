"""Invariants that are checked at run time; checks and violations are counted."""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = ["Invariant", "InvariantCounts", "Violation"]

# Violations whose details are kept for the dump.
MAX_RECENT_VIOLATIONS = 32


class Invariant(StrEnum):
    """Properties that must always hold.

    Attributes:
      LOAD_BOUND: No grant takes an endpoint beyond the load bound that its owner
        computes.
      COLD_LIMIT: No grant takes a cold or warming endpoint beyond its ramp limit.
      OUT_OF_SERVICE: No call goes to a zone or host that is out of service.
      LEAVING: No call goes to an endpoint that is leaving.
      WHOLE_ANSWER: A response that ends without an error is complete.
      NOT_RUN_TRUE: A call that is reported as not run has not run.
      AT_MOST_ONCE: A call that is not safe to repeat runs at most once.
      STOP_CUTS_NOTHING: After a planned stop the process exits with no call open.
      TABLES_FORWARD: The version of the tables never decreases.
    """

    LOAD_BOUND = "load_bound"
    COLD_LIMIT = "cold_limit"
    OUT_OF_SERVICE = "out_of_service"
    LEAVING = "leaving"
    WHOLE_ANSWER = "whole_answer"
    NOT_RUN_TRUE = "not_run_true"
    AT_MOST_ONCE = "at_most_once"
    STOP_CUTS_NOTHING = "stop_cuts_nothing"
    TABLES_FORWARD = "tables_forward"


@dataclass(frozen=True)
class Violation:
    """One failed check.

    Attributes:
      at_s: When it failed, in seconds since the epoch.
    """

    invariant: Invariant
    at_s: float
    detail: str


@dataclass
class InvariantCounts:
    """Counts checks and keeps the most recent violations.

    Attributes:
      checked: Number of checks by invariant.
      violated: Number of failed checks by invariant.
      recent: The most recent violations, oldest first.
    """

    checked: dict[Invariant, int] = field(
        default_factory=lambda: dict.fromkeys(Invariant, 0)
    )
    violated: dict[Invariant, int] = field(
        default_factory=lambda: dict.fromkeys(Invariant, 0)
    )
    recent: list[Violation] = field(default_factory=list)

    def check(self, invariant: Invariant, holds: bool, now: float, detail: str) -> bool:
        """Count a check, record a violation, and return whether it holds."""
        self.checked[invariant] += 1
        if holds:
            return True
        self.violated[invariant] += 1
        self.recent.append(Violation(invariant, now, detail))
        del self.recent[:-MAX_RECENT_VIOLATIONS]
        return False

    @property
    def total_violated(self) -> int:
        """Return the number of failed checks of all invariants."""
        return sum(self.violated.values())
