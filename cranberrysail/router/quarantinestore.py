"""Quarantine records in the store, where routers that start find them.

They share the topic of the routers, which every router reads in full when it starts.
"""

import asyncio
import math
import random
from collections.abc import Callable

import msgspec

from cranberrysail.router.clock import now, unix_time
from cranberrysail.router.contentrecord import ContentRecord, CrashEvidence
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.decoding import (
    Integer,
    InvalidMessageError,
    MessageDecoder,
    UnsignedInteger,
)
from cranberrysail.router.quarantine import ContentStage, Quarantine
from cranberrysail.router.store import BaseStore, Records, StoreError, Topic

__all__ = ["StoredQuarantine", "is_quarantine_key"]

KEY_PREFIX = "quarantine/"
# Longer keys cannot be stored; their records are only exchanged between routers.
MAX_KEY_BYTES = 255
# Interval at which records are compared with those in the store.
COMPARE_INTERVAL_S = 0.25
# Pause between two writes of a record, in which the first one is read back.
REWRITE_INTERVAL_S = 1.0
# After a failure the pause doubles up to this, as a store that is away charges for
# requests, too.
MAX_REWRITE_INTERVAL_S = 8.0
# Routers that write a change which they have not seen themselves. They leave it to
# those that have for this time, and a random time beyond it.
REMOTE_WRITERS = 3
REMOTE_DELAY_S = 1.0
REMOTE_SPREAD_S = 2.0
# Other routers that saw an earlier crash on the content leave it to those.
WITNESS_DELAY_S = 4.0
# Records beyond this number are not written.
MAX_STORED = 32

# The crashes, whether it is quarantined, and how often it was.
_Signature = tuple[tuple[int, ...], bool, int]


class _StoredRecord(msgspec.Struct):
    """A record in the store; times are in Unix milliseconds.

    Attributes:
      crashes: Hash value of the endpoint's incarnation, time of the crash, and time at
        which the content was last sent there.
      quarantined: Time at which the content was quarantined, None if it was not.
    """

    crashes: list[tuple[UnsignedInteger, Integer, Integer]]
    quarantined: Integer | None = None
    quarantines: Integer = 0


_STORED_DECODER = MessageDecoder.json(_StoredRecord)


def is_quarantine_key(key: str) -> bool:
    """Return whether a key of the topic of routers holds a quarantine record."""
    return key.startswith(KEY_PREFIX)


def _key(content_id: str) -> str:
    return KEY_PREFIX + content_id


def _to_unix_ms(time_s: float) -> int:
    return round((unix_time() - (now() - time_s)) * 1000)


def _from_unix_ms(unix_ms: int) -> float:
    # Clocks of hosts differ; nothing in the store lies in the future.
    return now() - max(0.0, unix_time() - unix_ms / 1000)


def _encode(record: ContentRecord) -> bytes:
    quarantined = None
    if not math.isinf(record.quarantined_s):
        quarantined = _to_unix_ms(record.quarantined_s)
    crashes = [
        (key, _to_unix_ms(e.at_s), _to_unix_ms(e.sent_s))
        for key, e in record.open_crashes().items()
    ]
    return msgspec.json.encode(_StoredRecord(crashes, quarantined, record.quarantines))


def _decode(content_id: str, value: bytes) -> ContentRecord:
    stored = _STORED_DECODER.decode(value)
    crashes = {
        key: CrashEvidence(_from_unix_ms(at), _from_unix_ms(sent))
        for key, at, sent in stored.crashes
    }
    record = ContentRecord(content_id, crashes, quarantines=max(0, stored.quarantines))
    if stored.quarantined is not None:
        record.quarantined_s = _from_unix_ms(stored.quarantined)
    return record


def _signature(record: ContentRecord) -> _Signature:
    return (
        tuple(sorted(record.open_crashes())),
        now() < record.quarantine_end_s,
        record.quarantines,
    )


class StoredQuarantine:
    """Reads quarantine records from the store and writes those that it lacks."""

    def __init__(
        self,
        quarantine: Quarantine,
        store: BaseStore,
        rank_of: Callable[[str], int],
        log: DecisionLog,
        on_merged: Callable[[], None],
    ) -> None:
        """Create an instance for one router.

        Args:
          quarantine: The records of this router.
          store: The store.
          rank_of: Returns the rank of this router among all routers for some content.
          log: Log of failed writes and invalid records.
          on_merged: Called after records of the store were merged.
        """
        self._quarantine = quarantine
        self._store = store
        self._rank_of = rank_of
        self._interval_s = REWRITE_INTERVAL_S
        self._log = log
        self._on_merged = on_merged
        self._stored: dict[str, _Signature] = {}
        self._write_at_s: dict[str, float] = {}

    def apply(self, records: Records, is_snapshot: bool) -> None:
        """Merge records of the store.

        Args:
          records: Keys and values, None for a record that was removed.
          is_snapshot: True if they are all that the store has.
        """
        if is_snapshot:
            self._stored.clear()
        for key, value in records:
            content_id = key.removeprefix(KEY_PREFIX)
            if not value:
                self._stored.pop(content_id, None)
                continue
            try:
                record = _decode(content_id, value)
            except InvalidMessageError as exc:
                self._log.write("content_rejected", key=key[:64], why=str(exc))
                continue
            self._stored[content_id] = _signature(record)
            self._quarantine.merge(record)
        if records:
            self._on_merged()

    async def run(self) -> None:
        """Write changed records, and remove those that ended, until cancelled."""
        while True:
            await asyncio.sleep(COMPARE_INTERVAL_S)
            for content_id in self._find_changed():
                await self._write(content_id)

    def _find_changed(self) -> list[str]:
        """Return the content whose record in the store is to be replaced now."""
        wanted = self._wanted()
        changed = [
            content_id
            for content_id in wanted.keys() | self._stored.keys()
            if wanted.get(content_id) != self._stored.get(content_id)
            and (content_id in wanted or self._has_ended(content_id))
            and self._delay_s(content_id) is not None
        ]
        self._write_at_s = {
            i: self._write_at_s.get(i, now() + self._delay_s(i)) for i in changed
        }
        return sorted(i for i, at_s in self._write_at_s.items() if now() >= at_s)

    def _wanted(self) -> dict[str, _Signature]:
        return {
            record.content_id: _signature(record)
            for record in self._quarantine.shared_records(now())[:MAX_STORED]
            if len(_key(record.content_id).encode()) <= MAX_KEY_BYTES
            and self._quarantine.stage(record.content_id) is not ContentStage.OBSERVED
        }

    def _has_ended(self, content_id: str) -> bool:
        """Return whether nothing is held against content any more.

        Routers may disagree whether other content explains its crashes. Their record
        stays in the store.
        """
        record = self._quarantine.records.get(content_id)
        if record is None:
            return True
        return not record.open_crashes() and now() >= record.quarantine_end_s

    def _delay_s(self, content_id: str) -> float | None:
        """Return after which time a change is written, None if others write it."""
        record = self._quarantine.records.get(content_id)
        if record is not None and record.local:
            return 0.0
        spread_s = REMOTE_SPREAD_S * random.random()
        if self._rank_of(content_id) < REMOTE_WRITERS:
            return REMOTE_DELAY_S + spread_s
        if record is not None and record.witnessed:
            return WITNESS_DELAY_S + spread_s
        return None

    async def _write(self, content_id: str) -> None:
        value = b""
        if content_id in self._wanted():
            value = _encode(self._quarantine.records[content_id])
        self._write_at_s[content_id] = now() + self._interval_s
        try:
            await self._store.put(Topic.ROUTERS, _key(content_id), value)
            self._interval_s = REWRITE_INTERVAL_S
        except StoreError as exc:
            self._interval_s = min(2 * self._interval_s, MAX_REWRITE_INTERVAL_S)
            self._log.write("content_not_stored", content=content_id, why=str(exc))
