"""Quarantine of content on which endpoints crash.

An endpoint may crash on something that a call carries, such as one part of its prompt.
If each crash were only held against the endpoint, the next call with that part would go
to the next endpoint, until none is left. Content of the calls that were unanswered when
an endpoint crashed is therefore remembered, with what speaks for and against it:

- An endpoint that answers a call has not crashed on any of its content, so all crashes
  before that are no longer held against it.
- Crashes at the same moment, as of a rack that loses power, count once: content is sent
  to an endpoint after the one before has crashed, and crashes that one too.
- Content that is in more of the crashes explains them for other content, too.

Content that remains becomes suspected after two such crashes: for a short time no call
with it is sent, and then single calls, one router after the other. After a further
crash it is quarantined: calls with it are refused until the quarantine ends, and then
it is suspected again.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from cranberrysail.router.blame import SUSPECTED_CRASHES, Blame, assign_blame
from cranberrysail.router.contentrecord import (
    ANSWER_MEMORY_S,
    ContentRecord,
    CrashEvidence,
    count_successive,
    successive_crashes,
)
from cranberrysail.router.serviceoutcomes import ServiceOutcomes

__all__ = ["ContentRefusal", "ContentStage", "Quarantine", "StageChange"]

# More than the least number of crashes are required where crashes are frequent, so that
# a call meets that many in a row by chance with this probability, up to a maximum.
CHANCE_PROBABILITY = 0.001
MAX_REQUIRED_CRASHES = 6
# Crashes, at whatever times, after which content is quarantined that has not been
# answered lately.
QUARANTINED_TOTAL = 5
# Evidence of a crash counts towards a quarantine once other routers have had time to
# tell what they know.
SETTLING_S = 1.0
# Time without any call after the second crash on suspected content; it doubles with
# each further crash.
HOLD_S = 1.0
MAX_HOLD_S = 2.0
# The time from this number of successive crashes on, if calls without the content were
# answered before the last one. It doubles, too.
LONG_HOLD_CRASHES = 5
LONG_HOLD_S = 8.0
MAX_LONG_HOLD_S = 64.0
# After that the routers may send a call one after the other, at this interval, but all
# of them within the maximum.
TRIAL_STAGGER_S = 0.5
MAX_TRIAL_STAGGER_S = 5.0
# Time in which the outcome of such a call becomes known.
TRIAL_S = 1.0
# A call with several suspected contents shows less about each, and waits longer.
INDISTINCT_WAIT_S = 2.0
# Evidence is kept for this time after the last crash or the end of a quarantine.
EVIDENCE_MEMORY_S = 600.0
# Content that was cleared is kept for this time, so that other routers hear of it.
CLEARED_MEMORY_S = 60.0
# Maximum numbers of records and of remembered answers.
MAX_RECORDS = 256
MAX_ANSWERED = 512
# Contents of one crash beyond this number are ignored.
MAX_IDS_OF_CRASH = 1024
# Records that are shared with other routers.
MAX_SHARED = 32
# A single crash is shared for this time.
SINGLE_CRASH_SHARED_S = 60.0


class ContentStage(StrEnum):
    """What is held against some content.

    Attributes:
      OBSERVED: Nothing that restricts it.
      SUSPECTED: Only single calls with it are sent.
      QUARANTINED: No call with it is sent.
    """

    OBSERVED = "observed"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class ContentRefusal:
    """Why a call is not sent to any endpoint.

    Attributes:
      crashes: Crashes that are held against the content.
      wait_s: Time until a call with it may be sent.
    """

    content_id: str
    stage: ContentStage
    crashes: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class StageChange:
    """A change of the stage of some content.

    Attributes:
      crashes: Crashes that are held against it.
      span_s: Time between the first and the last of them.
    """

    content_id: str
    before: ContentStage
    stage: ContentStage
    crashes: int
    span_s: float


class Quarantine:
    """Content on which endpoints crash, as far as this router knows."""

    def __init__(self) -> None:
        self._records: dict[str, ContentRecord] = {}
        self._blames: dict[str, Blame] = {}
        self._stages: dict[str, ContentStage] = {}
        # Last answers by content, oldest first.
        self._answered: dict[str, float] = {}
        self._outcomes: dict[str, ServiceOutcomes] = {}

    def __len__(self) -> int:
        return len(self._records)

    @property
    def records(self) -> dict[str, ContentRecord]:
        """Return the records by content id."""
        return self._records

    def stage(self, content_id: str) -> ContentStage:
        """Return the stage of some content as of the last update."""
        return self._stages.get(content_id, ContentStage.OBSERVED)

    def shared_records(self, now: float) -> list[ContentRecord]:
        """Return the records that other routers need, the most important ones first."""
        needed = [
            record
            for record in self._records.values()
            if len(record.open_crashes()) >= SUSPECTED_CRASHES
            or now < record.quarantine_end_s
            or now - record.last_crash_s < SINGLE_CRASH_SHARED_S
        ]
        needed.sort(
            key=lambda r: (
                now < r.quarantine_end_s,
                len(r.open_crashes()),
                r.last_crash_s,
            ),
            reverse=True,
        )
        return needed[:MAX_SHARED]

    def stage_counts(self) -> Counter[ContentStage]:
        """Return how many contents are in each stage."""
        return Counter(self._stages.values())

    def blamed_crashes(self, content_id: str) -> tuple[CrashEvidence, ...]:
        """Return the crashes that are held against some content."""
        blame = self._blames.get(content_id)
        return blame.evidence if blame else ()

    def is_known_good(self, content_ids: Iterable[str], now: float) -> bool:
        """Return whether answers to calls with each of these are remembered."""
        return all(
            now - self._answered.get(i, -math.inf) < ANSWER_MEMORY_S
            for i in content_ids
        )

    # Evidence

    def record_crash(
        self,
        service: str,
        incarnation: int,
        at_s: float,
        last_sent_s: dict[str, float],
        calls: int,
        now: float,
    ) -> None:
        """Record that an endpoint crashed.

        Args:
          service: The endpoint's service.
          incarnation: Hash value of the endpoint's incarnation.
          at_s: Time of the crash.
          last_sent_s: Content of the calls that were unanswered at it, with the times
            at which it was last sent there.
          calls: Number of these calls.
          now: Current time in seconds.
        """
        outcomes = self._outcomes.setdefault(service, ServiceOutcomes())
        outcomes.add_crash(incarnation, at_s, calls, now)
        # Content that is known from other crashes goes first.
        content_ids = sorted(last_sent_s, key=lambda i: i not in self._records)
        for content_id in content_ids[:MAX_IDS_OF_CRASH]:
            record = self._find_or_add(content_id)
            evidence = CrashEvidence(at_s, last_sent_s[content_id])
            record.add_crash(incarnation, evidence)
            record.local = record.witnessed = True
        self._limit_records()

    def record_answer(self, content_ids: tuple[str, ...], now: float) -> bool:
        """Record that an endpoint answers a call.

        Returns:
          Whether that clears any content of a crash.
        """
        cleared = False
        for content_id in content_ids:
            self._answered.pop(content_id, None)
            self._answered[content_id] = now
            record = self._records.get(content_id)
            if record is not None:
                cleared |= self._clear(record, now)
        while len(self._answered) > MAX_ANSWERED:
            del self._answered[next(iter(self._answered))]
        if content_ids:
            service = content_ids[0].partition("/")[0]
            outcomes = self._outcomes.setdefault(service, ServiceOutcomes())
            outcomes.add_answer(content_ids, now)
        return cleared

    def _clear(self, record: ContentRecord, now: float) -> bool:
        was_clear = not record.open_crashes() and not record.quarantines
        record.answered_s = now
        if was_clear:
            return False
        record.quarantines = 0
        record.local = True
        return True

    def lift(self, content_id: str, now: float) -> bool:
        """Clear content at an operator's request; return False if it is not known."""
        record = self._records.get(content_id)
        if record is None:
            return False
        self._clear(record, now)
        return True

    def merge(self, other: ContentRecord) -> None:
        """Add what another router, or the store, knows about some content."""
        record = self._find_or_add(other.content_id)
        before = (len(record.open_crashes()), record.quarantined_s)
        record.merge(other)
        if (len(record.open_crashes()), record.quarantined_s) != before:
            record.local = False
        self._limit_records()

    def _find_or_add(self, content_id: str) -> ContentRecord:
        record = self._records.get(content_id)
        if record is None:
            answered_s = self._answered.get(content_id, -math.inf)
            record = ContentRecord(content_id, answered_s=answered_s)
            self._records[content_id] = record
        return record

    def _limit_records(self) -> None:
        excess = len(self._records) - MAX_RECORDS
        if excess <= 0:
            return

        def importance(record: ContentRecord) -> tuple[bool, int, float]:
            return (
                record.quarantines > 0,
                len(record.open_crashes()),
                record.last_crash_s,
            )

        for record in sorted(self._records.values(), key=importance)[:excess]:
            del self._records[record.content_id]

    # Decisions

    def update(self, now: float) -> list[StageChange]:
        """Judge all content by the evidence; return the changes."""
        self._forget_old(now)
        self._blames = assign_blame(self._records, self._required_crashes, now)
        for content_id, blame in self._blames.items():
            record = self._records[content_id]
            if self._are_others_answered(record, blame):
                record.distinguished_s = record.last_crash_s
            if self._is_proven(record, blame, now):
                record.quarantined_s = now
                record.quarantines += 1
        stages = {
            content_id: stage
            for content_id, record in self._records.items()
            if (stage := self._judge(record, now)) is not ContentStage.OBSERVED
        }
        before, self._stages = self._stages, stages
        return [
            self._describe_change(content_id, before)
            for content_id in before.keys() | stages.keys()
            if before.get(content_id) is not stages.get(content_id)
        ]

    def _describe_change(
        self, content_id: str, before: dict[str, ContentStage]
    ) -> StageChange:
        crashes = self.blamed_crashes(content_id)
        return StageChange(
            content_id,
            before.get(content_id, ContentStage.OBSERVED),
            self.stage(content_id),
            len(crashes),
            crashes[-1].at_s - crashes[0].at_s if crashes else 0.0,
        )

    def _forget_old(self, now: float) -> None:
        for record in list(self._records.values()):
            last_s = max(record.last_crash_s, record.quarantine_end_s)
            memory_s = EVIDENCE_MEMORY_S
            if not record.open_crashes() and now >= record.quarantine_end_s:
                last_s, memory_s = record.answered_s, CLEARED_MEMORY_S
            if now - last_s > memory_s:
                del self._records[record.content_id]

    def _required_crashes(self, record: ContentRecord, now: float) -> int:
        """Return the number of successive crashes that are not put down to chance."""
        required = SUSPECTED_CRASHES
        outcomes = self._outcomes.get(record.service)
        share = outcomes.crash_share(record.crashes.keys()) if outcomes else 0.0
        if share > 0:
            by_chance = math.log(CHANCE_PROBABILITY) / math.log(share)
            required = max(required, math.ceil(by_chance))
        required += record.was_answered_lately(now)
        return min(required, MAX_REQUIRED_CRASHES)

    def _is_proven(self, record: ContentRecord, blame: Blame, now: float) -> bool:
        if record.last_crash_s <= record.quarantined_s:
            return False
        if record.distinguished_s < record.last_crash_s:
            return False
        settled = [e for e in blame.evidence if now - e.at_s >= SETTLING_S]
        least = blame.required + 1 + (not blame.distinct)
        total = max(QUARANTINED_TOTAL, least)
        if len(settled) >= total and not record.was_answered_lately(now):
            return True
        return count_successive(settled) >= least

    def _are_others_answered(self, record: ContentRecord, blame: Blame) -> bool:
        """Return whether calls without the content were answered before the last crash.

        That is between it and the one before. Otherwise the endpoints may crash
        whatever they are sent.
        """
        successive = successive_crashes(blame.evidence)
        since_s, until_s = successive[-2].at_s, successive[-1].at_s
        outcomes = self._outcomes.get(record.service)
        return outcomes is not None and any(
            since_s <= at_s <= until_s and record.content_id not in content_ids
            for at_s, content_ids in outcomes.samples
        )

    def _judge(self, record: ContentRecord, now: float) -> ContentStage:
        if record.content_id not in self._blames:
            return ContentStage.OBSERVED
        if now < record.quarantine_end_s:
            return ContentStage.QUARANTINED
        return ContentStage.SUSPECTED

    def check(
        self,
        content_ids: tuple[str, ...],
        rank_of: Callable[[str], int],
        routers: int,
        now: float,
    ) -> ContentRefusal | None:
        """Return why a call must not be sent, None if it may be.

        A call with suspected content that may be sent is a trial; other calls with it
        wait for its outcome.

        Args:
          content_ids: Content of the call.
          rank_of: Returns the rank of this router among all routers for some content.
          routers: Number of routers.
          now: Current time in seconds.
        """
        if not self._stages:
            return None
        records = [
            self._records[i]
            for i in content_ids
            if i in self._stages and i in self._records
        ]
        waits = [
            self._wait_s(record, len(records) > 1, rank_of, routers, now)
            for record in records
        ]
        if any(wait_s > 0 for wait_s in waits):
            wait_s, record = max(zip(waits, records, strict=True), key=lambda w: w[0])
            return ContentRefusal(
                record.content_id,
                self.stage(record.content_id),
                len(self.blamed_crashes(record.content_id)),
                wait_s,
            )
        for record in records:
            record.trial_until_s = now + TRIAL_S
        return None

    def _wait_s(
        self,
        record: ContentRecord,
        indistinct: bool,
        rank_of: Callable[[str], int],
        routers: int,
        now: float,
    ) -> float:
        if now < record.quarantine_end_s:
            return record.quarantine_end_s - now
        hold_s = self._hold_s(record)
        routers = max(1, routers)
        share = min(rank_of(record.content_id), routers) / routers
        stagger_s = share * min(TRIAL_STAGGER_S * routers, MAX_TRIAL_STAGGER_S)
        if indistinct:
            stagger_s += INDISTINCT_WAIT_S
        start_s = max(record.last_crash_s + hold_s, record.quarantine_end_s)
        return max(start_s + stagger_s, record.trial_until_s) - now

    def _hold_s(self, record: ContentRecord) -> float:
        """Return for how long no call with suspected content is sent after a crash."""
        successive = count_successive(self.blamed_crashes(record.content_id))
        distinguished = record.distinguished_s >= record.last_crash_s
        if distinguished and successive >= LONG_HOLD_CRASHES:
            doublings = successive - LONG_HOLD_CRASHES
            return min(LONG_HOLD_S * 2**doublings, MAX_LONG_HOLD_S)
        doublings = max(0, successive - SUSPECTED_CRASHES)
        return min(HOLD_S * 2**doublings, MAX_HOLD_S)
