"""Interface of the metadata store that operators, endpoints and routers write to."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import StrEnum

from cranberrysail.errors import CranberryError

__all__ = [
    "BaseStore",
    "OffsetOutOfRangeError",
    "Page",
    "StalePeerError",
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
    """The records from an offset on are not available; read a snapshot instead."""


@dataclass(frozen=True, slots=True)
class Page:
    """Records in the order in which they were written.

    Attributes:
      records: Pairs of key and value; the value is None if the key was removed.
      next_offset: Offset at which the next read begins.
      is_snapshot: True for a snapshot, that is, the newest record of every key.
      source: Name of the peer that they were read from; empty for the store.
      age_s: Time since that peer last read the topic from the store.
    """

    records: tuple[tuple[str, bytes | None], ...]
    next_offset: int
    is_snapshot: bool = False
    source: str = field(default="", compare=False)
    age_s: float = field(default=0.0, compare=False)


class BaseStore(ABC):
    """A set of logs, one per topic, of records with keys."""

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
        """Write a record.

        Raises:
          StoreError: If the store returns no usable response; the record may
            have been written all the same.
        """

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""
