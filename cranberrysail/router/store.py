"""The store in which operators and endpoints declare things: a port."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum

from cranberrysail.errors import CranberryError

__all__ = ["BaseStore", "Page", "StaleError", "StoreError", "StoreGapError", "Topic"]


class Topic(StrEnum):
    """What is kept in the store.

    Attributes:
      OPERATORS: Tables and availability zones that are out.
      ENDPOINTS: Declarations of endpoints.
      ROUTERS: Addresses of routers.
    """

    OPERATORS = "operators"
    ENDPOINTS = "endpoints"
    ROUTERS = "routers"


class StoreError(CranberryError):
    """The store gave no usable answer; the call may be repeated later."""


class StaleError(StoreError):
    """A router's own reading of the store is too old to be passed on."""


class StoreGapError(StoreError):
    """The store no longer keeps the records asked for; read the newest ones."""


@dataclass(frozen=True, slots=True)
class Page:
    """Records in the order in which they were written.

    Attributes:
      records: Keys with values, None where a key was removed.
      end: Where the next read begins.
      whole: True if these are all the records that the topic holds.
    """

    records: tuple[tuple[str, bytes | None], ...]
    end: int
    whole: bool = False


class BaseStore(ABC):
    """A log of records by key."""

    @abstractmethod
    async def newest(self, topic: Topic) -> Page:
        """Return the newest record of each key that has not been removed.

        Raises:
          StoreError: If the store gives no usable answer.
        """

    @abstractmethod
    async def read(self, topic: Topic, start: int, wait_s: float) -> Page:
        """Return the records from an offset on, waiting until there is one.

        Raises:
          StoreGapError: If records from there on have been dropped.
          StoreError: If the store gives no usable answer.
        """

    @abstractmethod
    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Write a record.

        Raises:
          StoreError: If the store gives no usable answer; it may have written.
        """

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""
