"""Interface of the metadata store that operators, endpoints and routers write to."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from cranberrysail.errors import CranberryError

__all__ = [
    "BaseStore",
    "EraChangedError",
    "LOG_START",
    "OffsetConflictError",
    "OffsetOutOfRangeError",
    "Page",
    "Position",
    "Record",
    "Records",
    "StalePeerError",
    "StoreEra",
    "StoreError",
    "Topic",
]


class Topic(StrEnum):
    """A log of the store.

    Attributes:
      OPERATORS: Route tables, and availability zones taken out of service.
      ENDPOINTS: Declarations of endpoints.
      ROUTERS: Addresses at which routers serve each other.
    """

    OPERATORS = "operators"
    ENDPOINTS = "endpoints"
    ROUTERS = "routers"


class StoreError(CranberryError):
    """The store returned no usable response; the request may be retried later."""


class StalePeerError(StoreError):
    """A peer last read the store too long ago for its records to be used."""


class OffsetOutOfRangeError(StoreError):
    """The records from an offset on are not available; read a snapshot instead.

    Attributes:
      first: Offset from which on records are available, None if not known.
      body: Body of the response that said so.
    """

    def __init__(
        self, message: str, first: int | None = None, body: bytes = b""
    ) -> None:
        super().__init__(message)
        self.first = first
        self.body = body


class OffsetConflictError(StoreError):
    """Another record was appended at the offset; read on, and decide again."""


class EraChangedError(StoreError):
    """The store was restored from a copy; read a snapshot in the new era."""


def _ignore_restore(before: int, era: int) -> None:
    """Do nothing; the default callback."""


class StoreEra:
    """The era of the store, which rises each time it is restored from a copy.

    A restored store lacks the newest records and gives out their offsets again.

    Attributes:
      number: Highest era seen in any response; 0 if the store states none.
      on_restored: Called with the era before and the new one when it has risen.
    """

    def __init__(self) -> None:
        self.number = 0
        self.on_restored: Callable[[int, int], None] = _ignore_restore
        self._known = False

    def observe(self, number: int) -> None:
        """Take in the era that a response states."""
        before, known = self.number, self._known
        self._known = True
        if number <= before:
            return
        self.number = number
        if known:
            self.on_restored(before, number)


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A place in the log of a topic.

    Attributes:
      era: Era of the store, without which the offset means nothing.
      offset: Offset of the next record to read.
    """

    era: int
    offset: int


# Position before all records of all eras.
LOG_START = Position(0, 0)
# A key and its value, which is None if the key was removed.
Record = tuple[str, bytes | None]
Records = tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class Page:
    """Records in the order in which they were written.

    Attributes:
      records: The records; of a snapshot also earlier ones, if they were read.
      next_offset: Offset at which the next read begins.
      is_snapshot: True for a snapshot, that is, the newest record of every key.
      era: Era of the store in which they were read.
      source: Name of the peer that they were read from; empty for the store.
      age_s: Time since that peer last read the topic from the store.
    """

    records: Records
    next_offset: int
    is_snapshot: bool = False
    era: int = 0
    source: str = field(default="", compare=False)
    age_s: float = field(default=0.0, compare=False)

    @property
    def next_position(self) -> Position:
        """Return the position at which the next read begins."""
        return Position(self.era, self.next_offset)


class BaseStore(ABC):
    """A set of logs, one per topic, of records with keys.

    Attributes:
      era: Era of the store, as seen by this client.
    """

    def __init__(self) -> None:
        self.era = StoreEra()

    @abstractmethod
    async def read_snapshot(self, topic: Topic) -> Page:
        """Return the newest record of each key that has not been removed.

        Raises:
          StoreError: If the store returns no usable response.
        """

    @abstractmethod
    async def read(self, topic: Topic, start: int, wait_s: float) -> Page:
        """Return the records from an offset on, or a snapshot that replaces them.

        ``Page.is_snapshot`` tells which.

        Waits until there is at least one, or until ``wait_s`` has passed.

        Raises:
          OffsetOutOfRangeError: If records at or after the offset have been dropped.
          StoreError: If the store returns no usable response.
        """

    @abstractmethod
    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Write a record, or remove it by an empty value.

        Raises:
          StoreError: If the store returns no usable response; the record may
            have been written all the same.
        """

    async def read_for_append(self, topic: Topic, key: str) -> Page:
        """Return a snapshot, without disturbing other reads of the topic.

        Args:
          topic: The topic.
          key: Key of the record that is to be written; there is one write at a time.

        Raises:
          StoreError: If the store returns no usable response.
        """
        return await self.read_snapshot(topic)

    async def append_at(self, topic: Topic, key: str, value: bytes, at: int) -> None:
        """Write a record if the log ends at an offset.

        Raises:
          OffsetConflictError: If the log does not end there.
          StoreError: If the store returns no usable response; the record may
            have been written all the same.
        """
        raise StoreError("conditional writes are not supported; write to the store")

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""
