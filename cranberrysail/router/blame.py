"""Which content explains the crashes of endpoints."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from cranberrysail.router.contentrecord import (
    ContentRecord,
    CrashEvidence,
    count_successive,
    in_order,
)

__all__ = ["SUSPECTED_CRASHES", "Blame", "assign_blame"]

# Successive crashes after which content is suspected, at least and at most.
SUSPECTED_CRASHES = 2
MAX_SUSPECTED_CRASHES = 4


@dataclass(frozen=True, slots=True)
class Blame:
    """Crashes that some content explains better than any other.

    Attributes:
      evidence: The crashes, in order of time; ``SUSPECTED_CRASHES`` of them or more are
        successive.
      required: Successive crashes that are not put down to chance.
      distinct: False if other content is in the same crashes.
    """

    evidence: tuple[CrashEvidence, ...]
    required: int
    distinct: bool


def assign_blame(
    records: Mapping[str, ContentRecord],
    required_crashes: Callable[[ContentRecord, float], int],
    now: float,
) -> dict[str, Blame]:
    """Return the content that explains successive crashes, and which of them.

    Content that explains most crashes goes first, and what it explains speaks no
    longer against other content.

    Args:
      records: What is known about content, by its id.
      required_crashes: Returns the number of successive crashes of some content that
        are not put down to chance.
      now: Current time in seconds.
    """
    unexplained = {
        content_id: crashes
        for content_id, record in records.items()
        if len(crashes := record.open_crashes()) >= SUSPECTED_CRASHES
    }
    blames: dict[str, Blame] = {}

    def strength(content_id: str) -> tuple[bool, int, int]:
        evidence = in_order(unexplained[content_id].values())
        return (
            not records[content_id].was_answered_lately(now),
            count_successive(evidence),
            len(evidence),
        )

    def least(content_id: str) -> int:
        """Return the number of successive crashes from which on content is blamed."""
        # Once it is quarantined, only other content can explain its crashes.
        if now < records[content_id].quarantine_end_s:
            return SUSPECTED_CRASHES
        return min(required_crashes(records[content_id], now), MAX_SUSPECTED_CRASHES)

    while unexplained:
        best = max(unexplained, key=strength)
        unanswered, successive, _ = strength(best)
        if successive < least(best):
            del unexplained[best]
            continue
        explained = unexplained[best].keys()
        required = required_crashes(records[best], now)
        group = [
            content_id
            for content_id, crashes in unexplained.items()
            if crashes.keys() == explained and strength(content_id)[0] == unanswered
        ]
        for content_id in group:
            evidence = in_order(unexplained.pop(content_id).values())
            # Content that was sent to all endpoints before the first of them crashed
            # may be in each crash by one cause, whatever that is.
            if count_successive(evidence) >= least(content_id):
                blames[content_id] = Blame(evidence, required, len(group) == 1)
        unexplained = {
            content_id: rest
            for content_id, crashes in unexplained.items()
            if (rest := {k: e for k, e in crashes.items() if k not in explained})
        }
    return blames
