"""Claims on idempotency keys, decided by their order in the platform's log service.

Keys are divided into partitions. Each has a stream of the log and, in each region, an
owner among the routers. A claim takes effect only if no other claim holds its key at
its place in the stream and it has not been voided. The call whose claim holds the key
may run; so at most one call runs even if several routers act as owner.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import xxhash

from cranberrysail.decisions.actions import AppendRecord, ReadStream
from cranberrysail.decisions.blackboard import Blackboard, MemberState
from cranberrysail.decisions.claimlog import (
    ActiveClaim,
    ClaimBatch,
    ClaimDone,
    ClaimIndex,
    ClaimMade,
    ClaimVoid,
    encode_batch,
    find_response,
)
from cranberrysail.decisions.controller import CONTROLLERS, BaseController, on
from cranberrysail.decisions.events import (
    AppendDone,
    AppendFailed,
    StreamFailed,
    StreamRead,
    Tick,
)
from cranberrysail.decisions.messages import ClaimOutcome, ClaimReply, ClaimRequest
from cranberrysail.decisions.tablestate import LogRecord
from cranberrysail.hashing import highest_ranked

__all__ = ["PARTITION_COUNT", "ClaimVerdict", "ClaimsController", "claims_owner"]

PARTITION_COUNT = 64
# Time after which an undecided claim request is answered: RUNNING if another claim
# holds the key, else UNAVAILABLE.
DECISION_TIMEOUT_S = 2.5
# Time for which a claim request waits for the response to an earlier call with its key.
RUNNING_WAIT_S = 2.5
# Time until a stream is read again once its end was reached or a read failed.
READ_INTERVAL_S = 0.2
# Time for which the stream is searched for an orphaned claim in order to void it.
ORPHAN_TTL_S = 30.0
# Time for which responses and voids are collected into one record, and before those of
# a failed append are appended again.
OUTCOME_BATCH_DELAY_S = 0.5
# A key whose timestamp lies further in the future than this is rejected.
MAX_CLOCK_SKEW_S = 300.0
# Responses with a larger body are recorded without it.
MAX_RECORDED_BODY_BYTES = 64 * 1024


class ClaimVerdict(StrEnum):
    """Decision on a call with an idempotency key.

    Attributes:
      RUN: The call holds the claim and may run.
      DONE: An earlier call ran; the reply carries its response.
      NOT_KEPT: An earlier call ran, but no response can be read from the log. Its
        body was too large to be recorded, or the record is malformed.
      RUNNING: An earlier call holds the claim and has no response yet.
      MISMATCH: The key was used with a different request.
      EXPIRED: The key is older than the retained records, or dated in the future.
      UNAVAILABLE: The log gave no decision in time, or the claim was not appended.
      ABANDONED: The claim's holder did not run the call and never will.
    """

    RUN = "run"
    DONE = "done"
    NOT_KEPT = "not_kept"
    RUNNING = "running"
    MISMATCH = "mismatch"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"
    ABANDONED = "abandoned"


def claims_stream(key: str) -> str:
    """Return the name of the log stream for the claims on a key."""
    return f"claims-{xxhash.xxh64_intdigest(key.encode()) % PARTITION_COUNT}"


def claims_owner(board: Blackboard, key: str) -> str:
    """Return the router of this region that owns the partition of a key."""
    names = [
        member.name
        for member in board.members.values()
        if member.region == board.settings.region
        and member.state in (MemberState.ALIVE, MemberState.SUSPECT)
    ]
    return highest_ranked(claims_stream(key), names) or board.name


@dataclass
class _PendingRequest:
    """A claim request that has no reply yet.

    Attributes:
      source: Name of the router that sent it.
      claim_id: Id of the claim appended for it or, once it awaits an earlier call's
        response, of that call's claim; empty if there is none.
      read_from_s: Start of the latest read that reached the end of the stream while
        the request had no verdict; 0 if none did.
    """

    source: str
    request: ClaimRequest
    received_s: float
    claim_id: str = ""
    read_from_s: float = 0.0


@dataclass(frozen=True)
class _OrphanedClaim:
    """A claim that may be in the log although its call was told not to run.

    It has to be voided, as it would block the key otherwise.

    Attributes:
      since_s: Start of ORPHAN_TTL_S: when the request timed out or, if it got a
        verdict, when it was received.
    """

    key: str
    since_s: float


@dataclass
class _Partition:
    """State of one partition of the keys.

    Attributes:
      pending_requests: Claim requests without a verdict.
      awaiting_response: Claim requests by the offset of the record with the response
        that they await.
      outgoing: Entries for the next record.
      flush_at_s: When the outgoing entries are to be appended, if it is set.
      orphaned: Orphaned claims by id.
      appending: Entries of records whose append is unconfirmed, by record id.
      caught_up: True once the index has reached the end of the stream.
      lapsed_s: Time of the newest record that the log's retention dropped, in seconds
        since the epoch; 0 if none.
      reading: True while a read of the stream is in progress.
      next_read_s: When the stream may be read next.
      read_started_s: When the latest read of the stream was started; 0 if none was.
    """

    stream: str
    index: ClaimIndex = field(default_factory=ClaimIndex)
    pending_requests: list[_PendingRequest] = field(default_factory=list)
    awaiting_response: dict[int, list[_PendingRequest]] = field(default_factory=dict)
    outgoing: list[ClaimMade | ClaimDone | ClaimVoid] = field(default_factory=list)
    flush_at_s: float | None = None
    orphaned: dict[str, _OrphanedClaim] = field(default_factory=dict)
    appending: dict[str, tuple] = field(default_factory=dict)
    caught_up: bool = False
    lapsed_s: float = 0.0
    reading: bool = False
    next_read_s: float = 0.0
    read_started_s: float = 0.0


@CONTROLLERS.register("claims")
class ClaimsController(BaseController):
    """Decides which call with a key may run, for the keys sent to this router."""

    def __init__(self, board: Blackboard) -> None:
        super().__init__(board)
        self._partitions: dict[str, _Partition] = {}
        self._id_count = 0

    def _partition(self, key: str) -> _Partition:
        stream = claims_stream(key)
        if stream not in self._partitions:
            self._partitions[stream] = _Partition(stream)
        return self._partitions[stream]

    def _new_id(self) -> str:
        self._id_count += 1
        return f"{self.board.name}/{self.board.incarnation:x}/{self._id_count}"

    @on(ClaimRequest)
    def claim_request(self, source: str, message: ClaimRequest, now: float) -> None:
        """Accept a request to claim a key.

        A key that is too old or dated in the future gets the verdict EXPIRED.
        """
        part = self._partition(message.key)
        pending = _PendingRequest(source, message, now)
        if message.issued_s > now + MAX_CLOCK_SKEW_S:
            self._reply(pending, ClaimVerdict.EXPIRED)
            return
        if message.issued_s < now - message.max_age_s:
            self._reply(pending, ClaimVerdict.EXPIRED)
            return
        part.pending_requests.append(pending)
        self._advance(part, now)

    @on(ClaimOutcome)
    def claim_outcome(self, source: str, message: ClaimOutcome, now: float) -> None:
        """Record the response to a claimed call, or void an abandoned claim."""
        part = self._partition(message.key)
        if message.verdict == ClaimVerdict.ABANDONED:
            part.outgoing.append(ClaimVoid(message.key, message.claim_id))
            self._flush(part)
            return
        body = message.body if len(message.body) <= MAX_RECORDED_BODY_BYTES else None
        done = ClaimDone(
            message.key, message.claim_id, message.status, message.headers, body
        )
        part.outgoing.append(done)
        has_waiter = any(p.request.key == message.key for p in part.pending_requests)
        part.flush_at_s = (
            now if has_waiter else (part.flush_at_s or now + OUTCOME_BATCH_DELAY_S)
        )

    @on(Tick)
    def tick(self, event: Tick, now: float) -> None:
        """Time out claim requests, append outgoing entries and read the streams."""
        for part in self._partitions.values():
            for pending in list(part.pending_requests):
                if now - pending.received_s > DECISION_TIMEOUT_S:
                    self._time_out(part, pending, now)
            if part.flush_at_s is not None and now >= part.flush_at_s:
                self._flush(part)
            self._read(part, now)

    def _time_out(self, part: _Partition, pending: _PendingRequest, now: float) -> None:
        part.pending_requests.remove(pending)
        active = part.index.active_claims.get(pending.request.key)
        if (
            part.caught_up
            and active is not None
            and active.claim_id != pending.claim_id
        ):
            self._reply(pending, ClaimVerdict.RUNNING)
        else:
            self._reply(pending, ClaimVerdict.UNAVAILABLE)
        if pending.claim_id:
            part.orphaned[pending.claim_id] = _OrphanedClaim(pending.request.key, now)
        self.board.counters["claims.given_up"] += 1

    def _flush(self, part: _Partition) -> None:
        part.flush_at_s = None
        if not part.outgoing:
            return
        batch = ClaimBatch(self._new_id(), tuple(part.outgoing))
        part.outgoing = []
        part.appending[batch.uid] = batch.entries
        self.board.counters["claims.appends"] += 1
        self.emit(AppendRecord(part.stream, batch.uid, encode_batch(batch)))

    def _read(self, part: _Partition, now: float) -> None:
        if part.reading or not (
            part.pending_requests or part.awaiting_response or part.orphaned
        ):
            return
        if now < part.next_read_s:
            return
        part.reading = True
        part.read_started_s = now
        after_offset = min(
            [
                part.index.applied_offset,
                *(offset - 1 for offset in part.awaiting_response),
            ]
        )
        self.emit(ReadStream(part.stream, after_offset))

    @on(AppendDone)
    def append_done(self, event: AppendDone, now: float) -> None:
        """Read the stream up to the appended record."""
        part = self._partitions.get(event.stream)
        if part is None:
            return
        part.appending.pop(event.uid, None)
        part.next_read_s = now
        self._read(part, now)

    @on(AppendFailed)
    def append_failed(self, event: AppendFailed, now: float) -> None:
        """Append responses and voids again, but never a claim.

        A claim that may have been appended is looked for in the stream instead. The
        request of one that certainly was not is answered UNAVAILABLE.
        """
        part = self._partitions.get(event.stream)
        if part is None:
            return
        entries = part.appending.pop(event.uid, ())
        for entry in entries:
            if not isinstance(entry, ClaimMade):
                part.outgoing.append(entry)
            elif not event.maybe_appended:
                self._fail_claim(part, entry)
        if part.outgoing:
            part.flush_at_s = now + OUTCOME_BATCH_DELAY_S

    def _fail_claim(self, part: _Partition, made: ClaimMade) -> None:
        for pending in list(part.pending_requests):
            if pending.claim_id == made.claim_id:
                part.pending_requests.remove(pending)
                self._reply(pending, ClaimVerdict.UNAVAILABLE)

    @on(StreamFailed)
    def stream_failed(self, event: StreamFailed, now: float) -> None:
        """Schedule another read of the stream."""
        part = self._partitions.get(event.stream)
        if part is not None:
            part.reading = False
            part.next_read_s = now + READ_INTERVAL_S

    @on(StreamRead)
    def stream_read(self, event: StreamRead, now: float) -> None:
        """Apply the records read and decide the claim requests that now can be."""
        part = self._partitions.get(event.stream)
        if part is None:
            return
        part.reading = False
        part.next_read_s = now + READ_INTERVAL_S
        for record in event.records:
            part.index.apply(record)
            self._send_responses(part, record)
        if part.index.applied_offset < event.first - 1:
            part.index.applied_offset = event.first - 1
        if event.lapsed_s > part.lapsed_s:
            part.lapsed_s = event.lapsed_s
            part.index.drop_before(event.lapsed_s)
        if part.index.applied_offset < event.end:
            part.next_read_s = now
        else:
            part.caught_up = True
            for pending in part.pending_requests:
                pending.read_from_s = part.read_started_s
        self._void_orphaned(part, now)
        self._advance(part, now)
        self._read(part, now)

    def _void_orphaned(self, part: _Partition, now: float) -> None:
        for claim_id, orphan in list(part.orphaned.items()):
            active = part.index.active_claims.get(orphan.key)
            if active is not None and active.claim_id == claim_id:
                part.outgoing.append(ClaimVoid(orphan.key, claim_id))
                del part.orphaned[claim_id]
            elif now - orphan.since_s > ORPHAN_TTL_S:
                del part.orphaned[claim_id]
        self._flush(part)

    def _advance(self, part: _Partition, now: float) -> None:
        if not part.caught_up:
            self._read(part, now)
            return
        for pending in list(part.pending_requests):
            self._decide(part, pending, now)
        self._flush(part)
        self._read(part, now)

    def _decide(self, part: _Partition, pending: _PendingRequest, now: float) -> None:
        request = pending.request
        active = part.index.active_claims.get(request.key)
        if request.issued_s <= part.lapsed_s:
            self._finish(part, pending, ClaimVerdict.EXPIRED)
        elif active is None:
            self._make_claim(part, pending)
        elif active.claim_id == pending.claim_id:
            self._finish(part, pending, ClaimVerdict.RUN)
        elif active.digest != request.digest:
            self._finish(part, pending, ClaimVerdict.MISMATCH)
        elif active.response_offset:
            self._await_response(part, pending, active)
        elif now - pending.received_s > RUNNING_WAIT_S:
            self._finish(part, pending, ClaimVerdict.RUNNING)

    def _make_claim(self, part: _Partition, pending: _PendingRequest) -> None:
        if pending.claim_id and pending.claim_id not in part.index.voided:
            return
        pending.claim_id = self._new_id()
        request = pending.request
        part.outgoing.append(ClaimMade(request.key, request.digest, pending.claim_id))

    def _await_response(
        self, part: _Partition, pending: _PendingRequest, active: ActiveClaim
    ) -> None:
        part.pending_requests.remove(pending)
        pending.claim_id = active.claim_id
        part.awaiting_response.setdefault(active.response_offset, []).append(pending)
        part.next_read_s = 0.0

    def _send_responses(self, part: _Partition, record: LogRecord) -> None:
        for pending in part.awaiting_response.pop(record.offset, ()):
            done = find_response(record, pending.claim_id)
            if done is None or done.body is None:
                self._reply(pending, ClaimVerdict.NOT_KEPT)
                continue
            reply = ClaimReply(
                pending.request.call_id,
                pending.request.key,
                ClaimVerdict.DONE,
                done.claim_id,
                done.status,
                done.headers,
                done.body,
            )
            self.send(pending.source, reply)

    def _finish(
        self, part: _Partition, pending: _PendingRequest, verdict: ClaimVerdict
    ) -> None:
        part.pending_requests.remove(pending)
        orphaned = pending.claim_id and verdict is not ClaimVerdict.RUN
        if orphaned and pending.claim_id not in part.index.voided:
            part.orphaned[pending.claim_id] = _OrphanedClaim(
                pending.request.key, pending.received_s
            )
        self._reply(pending, verdict)

    def _reply(self, pending: _PendingRequest, verdict: ClaimVerdict) -> None:
        self.board.counters[f"claims.{verdict.value}"] += 1
        request = pending.request
        claim_id = pending.claim_id if verdict is ClaimVerdict.RUN else ""
        self.send(
            pending.source, ClaimReply(request.call_id, request.key, verdict, claim_id)
        )

    def dump(self) -> dict[str, Any]:
        """Return the state of the partitions that this router has served.

        ``loaded`` is the offset up to which the stream has been applied, ``keys`` the
        number of keys with a claim, ``waiting`` that of requests without a verdict,
        and ``given_up`` that of orphaned claims that are not voided yet.
        """
        return {
            stream: {
                "loaded": part.index.applied_offset,
                "keys": len(part.index.active_claims),
                "waiting": len(part.pending_requests),
                "given_up": len(part.orphaned),
                "bad_records": part.index.bad_records,
            }
            for stream, part in sorted(self._partitions.items())
        }
