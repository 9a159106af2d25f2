"""Messages by which routers share what they know of content that crashes endpoints."""

import math

import msgspec
from xxhash import xxh32_intdigest

from cranberrysail.router.contentrecord import ContentRecord, CrashEvidence
from cranberrysail.router.crashdetector import Crash
from cranberrysail.router.decoding import MessageDecoder
from cranberrysail.router.quarantine import Quarantine

__all__ = ["QUARANTINE_PATH", "ContentItem", "QuarantineGossip", "incarnation_hash"]

# Path at which routers exchange these messages.
QUARANTINE_PATH = "/quarantine"
# Unit of ages in messages.
AGE_UNIT_S = 0.001
# Larger ages are stated as this, which MessagePack can hold.
MAX_AGE = 2**53
# Ids in messages may not be longer.
MAX_ID_CHARS = 256
# Records in one message beyond this number are ignored.
MAX_ITEMS = 64


class ContentItem(msgspec.Struct, frozen=True, array_like=True):
    """What a router knows about some content; ages are in milliseconds.

    Attributes:
      crashes: Hash value of the endpoint's incarnation, age of the crash, and time
        since the content was sent there.
      answered: Time since the content was answered, None if it was not.
      quarantined: Time since it was quarantined, None if it was not.
    """

    content_id: str
    crashes: tuple[tuple[int, int, int], ...]
    answered: int | None
    quarantined: int | None
    quarantines: int


def incarnation_hash(crash: Crash) -> int:
    """Return the hash value by which routers know a crash as the same."""
    endpoint_id, started_ms = crash.endpoint.incarnation
    return xxh32_intdigest(f"{endpoint_id}:{started_ms}".encode())


def to_item(record: ContentRecord, now: float) -> ContentItem:
    """Return a record with ages in place of times."""
    return ContentItem(
        record.content_id,
        tuple(
            (key, _age(e.at_s, now), _age(e.sent_s, now))
            for key, e in record.crashes.items()
        ),
        _age(record.answered_s, now),
        _age(record.quarantined_s, now),
        record.quarantines,
    )


def from_item(item: ContentItem, now: float) -> ContentRecord:
    """Return a record with times on this router's clock."""
    return ContentRecord(
        item.content_id,
        {
            key: CrashEvidence(_time(at, now), _time(sent, now))
            for key, at, sent in item.crashes
        },
        _time(item.answered, now),
        _time(item.quarantined, now),
        max(0, item.quarantines),
    )


def _age(time_s: float, now: float) -> int | None:
    if math.isinf(time_s):
        return None
    return min(max(0, round((now - time_s) / AGE_UNIT_S)), MAX_AGE)


def _time(age: int | None, now: float) -> float:
    return -math.inf if age is None else now - max(0, age) * AGE_UNIT_S


class QuarantineGossip:
    """Encodes this router's records and merges those of other routers."""

    def __init__(self, quarantine: Quarantine) -> None:
        """Create an instance for one router."""
        self._quarantine = quarantine
        self._decoder = MessageDecoder.msgpack(tuple[ContentItem, ...])

    def encode(self, now: float) -> bytes:
        """Return a message with the records that other routers need."""
        shared = self._quarantine.shared_records(now)
        return msgspec.msgpack.encode([to_item(record, now) for record in shared])

    def merge_message(self, message: bytes, now: float) -> None:
        """Merge the records in a message.

        Raises:
          InvalidMessageError: If the message is invalid.
        """
        for item in self._decoder.decode(message)[:MAX_ITEMS]:
            if 0 < len(item.content_id) <= MAX_ID_CHARS:
                self._quarantine.merge(from_item(item, now))

    def digest(self, now: float) -> str:
        """Return a digest by which routers notice that they know different things.

        It does not depend on ages, which differ by the time in transit.
        """
        known = sorted(
            (
                record.content_id,
                sorted(record.open_crashes()),
                now < record.quarantine_end_s,
                record.quarantines,
            )
            for record in self._quarantine.shared_records(now)
        )
        if not known:
            return ""
        return f"{xxh32_intdigest(msgspec.msgpack.encode(known)):08x}"
