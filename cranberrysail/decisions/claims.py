"""Claiming idempotency keys through the platform's log."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import xxhash

from cranberrysail.decisions.actions import AppendStream, ReadStream
from cranberrysail.decisions.blackboard import Blackboard, MemberState
from cranberrysail.decisions.claimlog import (
    ClaimBatch,
    ClaimDone,
    ClaimEntry,
    ClaimIndex,
    ClaimMade,
    ClaimVoid,
    encode_batch,
    find_answer,
)
from cranberrysail.decisions.controller import CONTROLLERS, BaseController, on
from cranberrysail.decisions.events import (
    AppendDone,
    AppendFailed,
    StreamFailed,
    StreamRead,
    Tick,
)
from cranberrysail.decisions.messages import ClaimAsk, ClaimReply, ClaimSettle
from cranberrysail.decisions.tablestate import LogRecord
from cranberrysail.hashing import best

__all__ = ["PARTITIONS", "ClaimVerdict", "ClaimsController", "claims_owner"]

PARTITIONS = 64
DECIDE_S = 2.5
RUNNING_WAIT_S = 2.5
READ_AGAIN_S = 0.2
GIVEN_UP_S = 30.0
SETTLE_LINGER_S = 0.5
CLOCK_SKEW_S = 300.0
MAX_RECORDED_BYTES = 64 * 1024


class ClaimVerdict(StrEnum):
    """What becomes of a keyed call.

    Attributes:
      RUN: This call holds the claim and may run.
      DONE: An earlier call ran; here is its answer.
      NOT_KEPT: An earlier call ran; its answer was too large to be kept.
      RUNNING: An earlier call holds the claim and has no answer so far.
      MISMATCH: The key came with another request.
      EXPIRED: The key is older than the records, or from the future.
      UNAVAILABLE: The log did not decide in time.
      ABANDONED: The claimant did not and will not run the call.
    """

    RUN = "run"
    DONE = "done"
    NOT_KEPT = "not_kept"
    RUNNING = "running"
    MISMATCH = "mismatch"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"
    ABANDONED = "abandoned"


def partition_of(key: str) -> str:
    """Return the stream that holds the claims on a key."""
    return f"claims-{xxhash.xxh64_intdigest(key.encode()) % PARTITIONS}"


def claims_owner(board: Blackboard, key: str) -> str:
    """Return the router of this region that claims a key."""
    names = [
        member.name
        for member in board.members.values()
        if member.region == board.settings.region
        and member.state in (MemberState.ALIVE, MemberState.SUSPECT)
    ]
    return best(partition_of(key), names) or board.name


@dataclass
class _PendingAsk:
    source: str
    ask: ClaimAsk
    since_s: float
    claim: str = ""
    read_from_s: float = 0.0


@dataclass(frozen=True)
class _GivenUp:
    key: str
    since_s: float


@dataclass
class _Partition:
    stream: str
    index: ClaimIndex = field(default_factory=ClaimIndex)
    asks: list[_PendingAsk] = field(default_factory=list)
    answers: dict[int, list[_PendingAsk]] = field(default_factory=dict)
    outgoing: list[ClaimMade | ClaimDone | ClaimVoid] = field(default_factory=list)
    flush_s: float | None = None
    given_up: dict[str, _GivenUp] = field(default_factory=dict)
    appending: dict[str, tuple] = field(default_factory=dict)
    loaded: bool = False
    lapsed_s: float = 0.0
    reading: bool = False
    next_read_s: float = 0.0
    read_started_s: float = 0.0


@CONTROLLERS.register("claims")
class ClaimsController(BaseController):
    """Decides for its partitions which call of a key may run."""

    def __init__(self, board: Blackboard) -> None:
        super().__init__(board)
        self._partitions: dict[str, _Partition] = {}
        self._count = 0

    def _partition(self, key: str) -> _Partition:
        stream = partition_of(key)
        if stream not in self._partitions:
            self._partitions[stream] = _Partition(stream)
        return self._partitions[stream]

    def _new_id(self) -> str:
        self._count += 1
        return f"{self.board.name}/{self.board.incarnation:x}/{self._count}"

    @on(ClaimAsk)
    def ask(self, source: str, message: ClaimAsk, now: float) -> None:
        """Begin to claim a key."""
        part = self._partition(message.key)
        pending = _PendingAsk(source, message, now)
        if message.issued_s > now + CLOCK_SKEW_S:
            self._reply(pending, ClaimVerdict.EXPIRED)
            return
        if message.issued_s < now - message.max_age_s:
            self._reply(pending, ClaimVerdict.EXPIRED)
            return
        part.asks.append(pending)
        self._step(part, now)

    @on(ClaimSettle)
    def settle(self, source: str, message: ClaimSettle, now: float) -> None:
        """Record how a claimed call ended."""
        part = self._partition(message.key)
        if message.verdict == ClaimVerdict.ABANDONED:
            part.outgoing.append(ClaimVoid(message.key, message.claim))
            self._flush(part)
            return
        body = message.body if len(message.body) <= MAX_RECORDED_BYTES else None
        done = ClaimDone(
            message.key, message.claim, message.status, message.headers, body
        )
        part.outgoing.append(done)
        waited = any(p.ask.key == message.key for p in part.asks)
        part.flush_s = now if waited else (part.flush_s or now + SETTLE_LINGER_S)

    @on(Tick)
    def tick(self, event: Tick, now: float) -> None:
        """Read on, flush, and give up what took too long."""
        for part in self._partitions.values():
            for pending in list(part.asks):
                if now - pending.since_s > DECIDE_S:
                    self._give_up(part, pending, now)
            if part.flush_s is not None and now >= part.flush_s:
                self._flush(part)
            self._read(part, now)

    def _give_up(self, part: _Partition, pending: _PendingAsk, now: float) -> None:
        part.asks.remove(pending)
        entry = part.index.entries.get(pending.ask.key)
        if part.loaded and entry is not None and entry.claim != pending.claim:
            self._reply(pending, ClaimVerdict.RUNNING)
        else:
            self._reply(pending, ClaimVerdict.UNAVAILABLE)
        if pending.claim:
            part.given_up[pending.claim] = _GivenUp(pending.ask.key, now)
        self.board.counters["claims.given_up"] += 1

    def _flush(self, part: _Partition) -> None:
        part.flush_s = None
        if not part.outgoing:
            return
        batch = ClaimBatch(self._new_id(), tuple(part.outgoing))
        part.outgoing = []
        part.appending[batch.uid] = batch.entries
        self.board.counters["claims.appends"] += 1
        self.act(AppendStream(part.stream, batch.uid, encode_batch(batch)))

    def _read(self, part: _Partition, now: float) -> None:
        if part.reading or not (part.asks or part.answers or part.given_up):
            return
        if now < part.next_read_s:
            return
        part.reading = True
        part.read_started_s = now
        after = min([part.index.loaded, *(at - 1 for at in part.answers)])
        self.act(ReadStream(part.stream, after))

    @on(AppendDone)
    def append_done(self, event: AppendDone, now: float) -> None:
        """Read up to the record that the log took."""
        part = self._partitions.get(event.stream)
        if part is None:
            return
        part.appending.pop(event.uid, None)
        part.next_read_s = now
        self._read(part, now)

    @on(AppendFailed)
    def append_failed(self, event: AppendFailed, now: float) -> None:
        """Send settlements again; a claim is looked for, never sent again."""
        part = self._partitions.get(event.stream)
        if part is None:
            return
        entries = part.appending.pop(event.uid, ())
        for entry in entries:
            if not isinstance(entry, ClaimMade):
                part.outgoing.append(entry)
            elif not event.maybe_appended:
                self._refuse_claim(part, entry)
        if part.outgoing:
            part.flush_s = now + SETTLE_LINGER_S

    def _refuse_claim(self, part: _Partition, made: ClaimMade) -> None:
        for pending in list(part.asks):
            if pending.claim == made.claim:
                part.asks.remove(pending)
                self._reply(pending, ClaimVerdict.UNAVAILABLE)

    @on(StreamFailed)
    def stream_failed(self, event: StreamFailed, now: float) -> None:
        """Read again after a pause."""
        part = self._partitions.get(event.stream)
        if part is not None:
            part.reading = False
            part.next_read_s = now + READ_AGAIN_S

    @on(StreamRead)
    def stream_read(self, event: StreamRead, now: float) -> None:
        """Take records and decide what they settle."""
        part = self._partitions.get(event.stream)
        if part is None:
            return
        part.reading = False
        part.next_read_s = now + READ_AGAIN_S
        for record in event.records:
            part.index.apply(record)
            self._answer_from(part, record)
        if part.index.loaded < event.first - 1:
            part.index.loaded = event.first - 1
        if event.lapsed_s > part.lapsed_s:
            part.lapsed_s = event.lapsed_s
            part.index.forget_before(event.lapsed_s)
        if part.index.loaded < event.end:
            part.next_read_s = now
        else:
            part.loaded = True
            for pending in part.asks:
                pending.read_from_s = part.read_started_s
        self._void_given_up(part, now)
        self._step(part, now)
        self._read(part, now)

    def _void_given_up(self, part: _Partition, now: float) -> None:
        for claim, lost in list(part.given_up.items()):
            entry = part.index.entries.get(lost.key)
            if entry is not None and entry.claim == claim:
                part.outgoing.append(ClaimVoid(lost.key, claim))
                del part.given_up[claim]
            elif now - lost.since_s > GIVEN_UP_S:
                del part.given_up[claim]
        self._flush(part)

    def _step(self, part: _Partition, now: float) -> None:
        if not part.loaded:
            self._read(part, now)
            return
        for pending in list(part.asks):
            self._decide(part, pending, now)
        self._flush(part)
        self._read(part, now)

    def _decide(self, part: _Partition, pending: _PendingAsk, now: float) -> None:
        ask = pending.ask
        entry = part.index.entries.get(ask.key)
        if ask.issued_s <= part.lapsed_s:
            self._finish(part, pending, ClaimVerdict.EXPIRED)
        elif entry is None:
            self._make(part, pending)
        elif entry.claim == pending.claim:
            self._finish(part, pending, ClaimVerdict.RUN)
        elif entry.digest != ask.digest:
            self._finish(part, pending, ClaimVerdict.MISMATCH)
        elif entry.done_offset:
            self._want_answer(part, pending, entry)
        elif now - pending.since_s > RUNNING_WAIT_S:
            self._finish(part, pending, ClaimVerdict.RUNNING)

    def _make(self, part: _Partition, pending: _PendingAsk) -> None:
        if pending.claim and pending.claim not in part.index.void:
            return
        pending.claim = self._new_id()
        ask = pending.ask
        part.outgoing.append(ClaimMade(ask.key, ask.digest, pending.claim))

    def _want_answer(
        self, part: _Partition, pending: _PendingAsk, entry: ClaimEntry
    ) -> None:
        part.asks.remove(pending)
        pending.claim = entry.claim
        part.answers.setdefault(entry.done_offset, []).append(pending)
        part.next_read_s = 0.0

    def _answer_from(self, part: _Partition, record: LogRecord) -> None:
        for pending in part.answers.pop(record.offset, ()):
            done = find_answer(record, pending.claim)
            if done is None or done.body is None:
                self._reply(pending, ClaimVerdict.NOT_KEPT)
                continue
            reply = ClaimReply(
                pending.ask.call,
                pending.ask.key,
                ClaimVerdict.DONE,
                done.claim,
                done.status,
                done.headers,
                done.body,
            )
            self.send(pending.source, reply)

    def _finish(
        self, part: _Partition, pending: _PendingAsk, verdict: ClaimVerdict
    ) -> None:
        part.asks.remove(pending)
        lost = pending.claim and verdict is not ClaimVerdict.RUN
        if lost and pending.claim not in part.index.void:
            part.given_up[pending.claim] = _GivenUp(pending.ask.key, pending.since_s)
        self._reply(pending, verdict)

    def _reply(self, pending: _PendingAsk, verdict: ClaimVerdict) -> None:
        self.board.counters[f"claims.{verdict.value}"] += 1
        ask = pending.ask
        claim = pending.claim if verdict is ClaimVerdict.RUN else ""
        self.send(pending.source, ClaimReply(ask.call, ask.key, verdict, claim))

    def dump(self) -> dict[str, Any]:
        """Return the partitions that this router has read."""
        return {
            stream: {
                "loaded": part.index.loaded,
                "keys": len(part.index.entries),
                "waiting": len(part.asks),
                "given_up": len(part.given_up),
                "bad_records": part.index.bad_records,
            }
            for stream, part in sorted(self._partitions.items())
        }
