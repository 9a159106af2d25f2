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
from collections import Counter, deque
from collections.abc import Callable, Iterable, Set
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "ContentRecord",
    "ContentRefusal",
    "ContentStage",
    "CrashEvidence",
    "Quarantine",
    "StageChange",
]

# Successive crashes after which content is suspected, at least and at most. It is
# quarantined after one more than are required.
SUSPECTED_CRASHES = 2
MAX_SUSPECTED_CRASHES = 4
# More are required where crashes are frequent, so that a call meets that many in a row
# by chance with this probability, but no more than the maximum.
CHANCE_PROBABILITY = 0.001
MAX_REQUIRED_CRASHES = 6
# Crashes, at whatever times, after which content is quarantined that has not been
# answered lately.
QUARANTINED_TOTAL = 5
# The share of calls that meet a crash is that of this last time, in which this number
# of answers beyond those that were seen is assumed.
OUTCOME_WINDOW_S = 10.0
ASSUMED_ANSWERS = 20
# Answers to calls are remembered for this time.
ANSWER_MEMORY_S = 60.0
# Evidence of a crash counts towards a quarantine once other routers have had time to
# tell what they know.
SETTLING_S = 1.0
# Time without any call after the second crash on suspected content; it doubles with
# each further crash.
HOLD_S = 1.0
MAX_HOLD_S = 2.0
# After that the routers may send a call one after the other, at this interval, but all
# of them within the maximum.
TRIAL_STAGGER_S = 0.5
MAX_TRIAL_STAGGER_S = 5.0
# Time in which the outcome of such a call becomes known.
TRIAL_S = 1.0
# A call with several suspected contents shows less about each, and waits longer.
INDISTINCT_WAIT_S = 2.0
# Duration of the first quarantine; it doubles with each further one.
QUARANTINE_S = 120.0
MAX_QUARANTINE_S = 3600.0
# Evidence is kept for this time after the last crash or the end of a quarantine.
EVIDENCE_MEMORY_S = 600.0
# Content that was cleared is kept for this time, so that other routers hear of it.
CLEARED_MEMORY_S = 60.0
# Maximum numbers of records, of crashes in one and of remembered answers.
MAX_RECORDS = 256
MAX_CRASHES = 8
MAX_ANSWERED = 512
# Records that are shared with other routers.
MAX_SHARED = 32
# A single crash is shared for this time.
SINGLE_CRASH_SHARED_S = 60.0
# Last answers of each service that are compared with the content of crashes.
RECENT_ANSWERS = 8


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
      trial_until_s: Time until which the outcome of a call of this router is awaited.
    """

    content_id: str
    crashes: dict[int, CrashEvidence] = field(default_factory=dict)
    answered_s: float = -math.inf
    quarantined_s: float = -math.inf
    quarantines: int = 0
    local: bool = False
    trial_until_s: float = -math.inf

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
        doublings = max(0, self.quarantines - 1)
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


@dataclass(frozen=True, slots=True)
class _Blame:
    """Crashes that some content explains better than any other.

    Attributes:
      evidence: The crashes, in order of time.
      required: Successive crashes that are not put down to chance.
      distinct: False if other content is in the same crashes.
    """

    evidence: tuple[CrashEvidence, ...]
    required: int
    distinct: bool


def _count_successive(evidence: Iterable[CrashEvidence]) -> int:
    """Return how many crashes, in order of time, follow a send after the one before."""
    count, last_s = 0, -math.inf
    for crash in evidence:
        if crash.sent_s >= last_s:
            count, last_s = count + 1, crash.at_s
    return count


def _in_order(evidence: Iterable[CrashEvidence]) -> tuple[CrashEvidence, ...]:
    return tuple(sorted(evidence, key=lambda e: e.at_s))


@dataclass
class _Outcomes:
    """Outcomes of this router's calls at the endpoints of one service, of late.

    Attributes:
      answers: Second and number of answers in it, oldest first.
      crashes: Time of each crash and calls that were unanswered at it, by hash value of
        the endpoint's incarnation.
      recent: Time and content of the last answers.
    """

    answers: deque[list[int]] = field(default_factory=deque)
    crashes: dict[int, tuple[float, int]] = field(default_factory=dict)
    recent: deque[tuple[float, frozenset[str]]] = field(
        default_factory=lambda: deque(maxlen=RECENT_ANSWERS)
    )

    def add_answer(self, content_ids: tuple[str, ...], now: float) -> None:
        second = int(now)
        if not self.answers or self.answers[-1][0] != second:
            self.answers.append([second, 0])
            self._forget_old(now)
        self.answers[-1][1] += 1
        self.recent.append((now, frozenset(content_ids)))

    def add_crash(self, incarnation: int, at_s: float, calls: int, now: float) -> None:
        self._forget_old(now)
        self.crashes[incarnation] = (at_s, calls)

    def _forget_old(self, now: float) -> None:
        while self.answers and self.answers[0][0] < now - OUTCOME_WINDOW_S:
            self.answers.popleft()
        for incarnation, (at_s, _) in list(self.crashes.items()):
            if at_s < now - OUTCOME_WINDOW_S:
                del self.crashes[incarnation]

    def crash_share(self, excluded: Set[int]) -> float:
        """Return the share of calls that met a crash, without the excluded ones."""
        lost = sum(
            calls for key, (_, calls) in self.crashes.items() if key not in excluded
        )
        answers = sum(count for _, count in self.answers)
        return lost / (lost + answers + ASSUMED_ANSWERS)


class Quarantine:
    """Content on which endpoints crash, as far as this router knows."""

    def __init__(self) -> None:
        self._records: dict[str, ContentRecord] = {}
        self._blames: dict[str, _Blame] = {}
        self._stages: dict[str, ContentStage] = {}
        # Last answers by content, oldest first.
        self._answered: dict[str, float] = {}
        self._outcomes: dict[str, _Outcomes] = {}

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
        outcomes = self._outcomes.setdefault(service, _Outcomes())
        outcomes.add_crash(incarnation, at_s, calls, now)
        for content_id, sent_s in last_sent_s.items():
            record = self._find_or_add(content_id)
            record.add_crash(incarnation, CrashEvidence(at_s, sent_s))
            record.local = True
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
            outcomes = self._outcomes.setdefault(service, _Outcomes())
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
        self._blames = self._assign_blame(now)
        for content_id, blame in self._blames.items():
            record = self._records[content_id]
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

    def _assign_blame(self, now: float) -> dict[str, _Blame]:
        """Return the content that explains successive crashes, and which of them.

        Content that explains most crashes goes first, and what it explains speaks no
        longer against other content.
        """
        unexplained = {
            content_id: crashes
            for content_id, record in self._records.items()
            if len(crashes := record.open_crashes()) >= SUSPECTED_CRASHES
        }
        blames: dict[str, _Blame] = {}

        def strength(content_id: str) -> tuple[bool, int, int]:
            record = self._records[content_id]
            evidence = _in_order(unexplained[content_id].values())
            return (
                not record.was_answered_lately(now),
                _count_successive(evidence),
                len(evidence),
            )

        while unexplained:
            best = max(unexplained, key=strength)
            unanswered, successive, _ = strength(best)
            explained = unexplained[best].keys()
            required = self._required_crashes(self._records[best], now)
            least = min(required, MAX_SUSPECTED_CRASHES)
            # Once it is quarantined, only other content can explain its crashes.
            if now < self._records[best].quarantine_end_s:
                least = SUSPECTED_CRASHES
            if successive < least:
                del unexplained[best]
                continue
            group = [
                content_id
                for content_id, crashes in unexplained.items()
                if crashes.keys() == explained and strength(content_id)[0] == unanswered
            ]
            for content_id in group:
                evidence = _in_order(unexplained.pop(content_id).values())
                blames[content_id] = _Blame(evidence, required, len(group) == 1)
            unexplained = {
                content_id: rest
                for content_id, crashes in unexplained.items()
                if (rest := {k: e for k, e in crashes.items() if k not in explained})
            }
        return blames

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

    def _is_proven(self, record: ContentRecord, blame: _Blame, now: float) -> bool:
        if record.last_crash_s <= record.quarantined_s:
            return False
        if not self._are_others_answered(record, blame):
            return False
        settled = [e for e in blame.evidence if now - e.at_s >= SETTLING_S]
        least = blame.required + 1 + (not blame.distinct)
        total = max(QUARANTINED_TOTAL, least)
        if len(settled) >= total and not record.was_answered_lately(now):
            return True
        return _count_successive(settled) >= least

    def _are_others_answered(self, record: ContentRecord, blame: _Blame) -> bool:
        """Return whether calls without the content were answered since the crashes.

        Otherwise the endpoints may crash whatever they are sent.
        """
        since_s = blame.evidence[0].at_s
        outcomes = self._outcomes.get(record.service)
        return outcomes is not None and any(
            at_s >= since_s and record.content_id not in content_ids
            for at_s, content_ids in outcomes.recent
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
        successive = _count_successive(self.blamed_crashes(record.content_id))
        doublings = max(0, successive - SUSPECTED_CRASHES)
        hold_s = min(HOLD_S * 2**doublings, MAX_HOLD_S)
        routers = max(1, routers)
        share = min(rank_of(record.content_id), routers) / routers
        stagger_s = share * min(TRIAL_STAGGER_S * routers, MAX_TRIAL_STAGGER_S)
        if indistinct:
            stagger_s += INDISTINCT_WAIT_S
        start_s = max(record.last_crash_s + hold_s, record.quarantine_end_s)
        return max(start_s + stagger_s, record.trial_until_s) - now
