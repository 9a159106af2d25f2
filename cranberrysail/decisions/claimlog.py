"""Records of idempotency claims, and their order in one partition."""

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
    """A claim on a key; the first that is not void may run."""

    key: str
    digest: str
    claim: str


class ClaimDone(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """The answer of a claimed call; no body if it was too large."""

    key: str
    claim: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class ClaimVoid(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """The claimant declares that it did not run the call and never will."""

    key: str
    claim: str


class ClaimBatch(msgspec.Struct, frozen=True, array_like=True):
    """One record of a claims stream."""

    uid: str
    entries: tuple[ClaimMade | ClaimDone | ClaimVoid, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ClaimBatch)


def encode_batch(batch: ClaimBatch) -> bytes:
    """Encode a record of a claims stream."""
    return _encoder.encode(batch)


@dataclass
class ClaimEntry:
    """The claim in force on a key.

    Attributes:
      done_offset: Offset of the record with the answer, 0 if there is none.
    """

    digest: str
    claim: str
    time_s: float
    done_offset: int = 0


@dataclass
class ClaimIndex:
    """The claims of one partition, from its records in offset order.

    Attributes:
      loaded: Offset up to which records are taken into account.
      void: Claims that were declared void, by the time of the record.
    """

    loaded: int = 0
    entries: dict[str, ClaimEntry] = field(default_factory=dict)
    void: dict[str, float] = field(default_factory=dict)
    bad_records: int = 0

    def apply(self, record: LogRecord) -> None:
        """Take the next record; one that is already loaded changes nothing."""
        if record.offset <= self.loaded:
            return
        self.loaded = record.offset
        batch = decode_batch(record)
        if batch is None:
            self.bad_records += 1
            return
        for entry in batch.entries:
            self._apply_entry(entry, record)

    def _apply_entry(
        self, entry: ClaimMade | ClaimDone | ClaimVoid, record: LogRecord
    ) -> None:
        current = self.entries.get(entry.key)
        if isinstance(entry, ClaimMade):
            if current is None and entry.claim not in self.void:
                made = ClaimEntry(entry.digest, entry.claim, record.time_s)
                self.entries[entry.key] = made
            return
        if isinstance(entry, ClaimVoid):
            self.void[entry.claim] = record.time_s
            unused = current is not None and not current.done_offset
            if unused and current.claim == entry.claim:
                del self.entries[entry.key]
            return
        if current is not None and current.claim == entry.claim:
            current.done_offset = record.offset

    def forget_before(self, time_s: float) -> None:
        """Drop claims whose records the log has dropped."""
        self.entries = {
            key: entry for key, entry in self.entries.items() if entry.time_s > time_s
        }
        self.void = {claim: at for claim, at in self.void.items() if at > time_s}


def decode_batch(record: LogRecord) -> ClaimBatch | None:
    """Decode a record of a claims stream, or return None if it is not one."""
    try:
        return _decoder.decode(record.data)
    except (msgspec.DecodeError, RecursionError):
        return None


def find_answer(record: LogRecord, claim: str) -> ClaimDone | None:
    """Return the answer of a claim from the record that carries it."""
    batch = decode_batch(record)
    for entry in batch.entries if batch is not None else ():
        if isinstance(entry, ClaimDone) and entry.claim == claim:
            return entry
    return None
