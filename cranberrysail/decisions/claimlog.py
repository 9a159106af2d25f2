"""Log records of idempotency claims, and the index built from them."""

from dataclasses import dataclass, field

import msgspec

from cranberrysail.decisions.tablestate import LogRecord

__all__ = [
    "ClaimBatch",
    "ClaimDone",
    "ClaimIndex",
    "ClaimMade",
    "ClaimVoid",
    "encode_batch",
]


class ClaimMade(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """Claims a key; the call whose claim holds the key may run.

    It has no effect if another claim holds the key at this offset, or if it has been
    voided already.
    """

    key: str
    digest: str
    claim_id: str


class ClaimDone(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """The response to a claimed call, without its body if that is too large."""

    key: str
    claim_id: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class ClaimVoid(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Withdraws a claim; its call did not run and never will."""

    key: str
    claim_id: str


class ClaimBatch(msgspec.Struct, frozen=True, array_like=True):
    """One record of a claims stream.

    Attributes:
      uid: Unique id of the record.
    """

    uid: str
    entries: tuple[ClaimMade | ClaimDone | ClaimVoid, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ClaimBatch)


def encode_batch(batch: ClaimBatch) -> bytes:
    """Encode a record of a claims stream."""
    return _encoder.encode(batch)


@dataclass
class ActiveClaim:
    """The claim that holds a key.

    Attributes:
      time_s: When the log accepted the claim's record, in seconds since the epoch.
      response_offset: Offset of the record with the response, 0 if there is none.
    """

    digest: str
    claim_id: str
    time_s: float
    response_offset: int = 0


@dataclass
class ClaimIndex:
    """The claims of one partition, built from its records in offset order.

    Attributes:
      applied_offset: Offset up to which records have been applied.
      active_claims: Claims that hold a key, by key.
      voided: Times of the void records, by claim id. Kept so that a claim record
        after its void has no effect.
      bad_records: Number of records that could not be decoded.
    """

    applied_offset: int = 0
    active_claims: dict[str, ActiveClaim] = field(default_factory=dict)
    voided: dict[str, float] = field(default_factory=dict)
    bad_records: int = 0

    def apply(self, record: LogRecord) -> None:
        """Apply the next record, unless it has been applied already."""
        if record.offset <= self.applied_offset:
            return
        self.applied_offset = record.offset
        batch = decode_batch(record)
        if batch is None:
            self.bad_records += 1
            return
        for entry in batch.entries:
            self._apply_entry(entry, record)

    def _apply_entry(
        self, entry: ClaimMade | ClaimDone | ClaimVoid, record: LogRecord
    ) -> None:
        current = self.active_claims.get(entry.key)
        if isinstance(entry, ClaimMade):
            if current is None and entry.claim_id not in self.voided:
                made = ActiveClaim(entry.digest, entry.claim_id, record.time_s)
                self.active_claims[entry.key] = made
            return
        if isinstance(entry, ClaimVoid):
            self.voided[entry.claim_id] = record.time_s
            without_response = current is not None and not current.response_offset
            if without_response and current.claim_id == entry.claim_id:
                del self.active_claims[entry.key]
            return
        if current is not None and current.claim_id == entry.claim_id:
            current.response_offset = record.offset

    def drop_before(self, time_s: float) -> None:
        """Drop the claims whose records the log no longer keeps."""
        self.active_claims = {
            key: active
            for key, active in self.active_claims.items()
            if active.time_s > time_s
        }
        self.voided = {
            claim_id: voided_s
            for claim_id, voided_s in self.voided.items()
            if voided_s > time_s
        }


def decode_batch(record: LogRecord) -> ClaimBatch | None:
    """Decode a record of a claims stream, or return None if it is malformed."""
    try:
        return _decoder.decode(record.data)
    except (msgspec.DecodeError, RecursionError):
        return None


def find_response(record: LogRecord, claim_id: str) -> ClaimDone | None:
    """Return the response to a claimed call from a record, or None if it has none."""
    batch = decode_batch(record)
    for entry in batch.entries if batch is not None else ():
        if isinstance(entry, ClaimDone) and entry.claim_id == claim_id:
            return entry
    return None
