"""A store in memory, with the failures of a real one."""

import asyncio
from collections import defaultdict

from cranberrysail.router.store import BaseStore, Page, StoreError, StoreGapError, Topic

__all__ = ["MemoryStore"]

SILENT_S = 3.0


class MemoryStore(BaseStore):
    """Keeps records in memory.

    Attributes:
      down: True while every call fails at once.
      silent: True while calls fail only after a timeout.
      calls: Number of calls.
    """

    def __init__(self) -> None:
        self._records: dict[Topic, list[tuple[str, bytes | None]]] = defaultdict(list)
        self._first: dict[Topic, int] = defaultdict(int)
        self._news = asyncio.Event()
        self.down = False
        self.silent = False
        self.calls = 0

    def write(self, topic: Topic, key: str, value: bytes | None) -> None:
        """Append a record, as an operator or an endpoint does."""
        self._records[topic].append((key, value))
        self._news.set()
        self._news = asyncio.Event()

    def drop_history(self, topic: Topic) -> None:
        """Forget all but the newest record of each key."""
        self._first[topic] = len(self._records[topic])

    async def _fail(self, wait_s: float = 0.0) -> None:
        self.calls += 1
        if self.silent:
            await asyncio.sleep(SILENT_S + wait_s)
            raise StoreError("no answer")
        if self.down:
            raise StoreError("down")

    async def newest(self, topic: Topic) -> Page:
        """Return the newest record of each key."""
        await self._fail()
        newest = dict(self._records[topic])
        records = tuple((k, v) for k, v in newest.items() if v is not None)
        return Page(records, len(self._records[topic]))

    async def read(self, topic: Topic, start: int, wait_s: float) -> Page:
        """Return the records from an offset on."""
        await self._fail(wait_s)
        if start < self._first[topic]:
            raise StoreGapError("dropped")
        try:
            async with asyncio.timeout(wait_s):
                while len(self._records[topic]) <= start:
                    await self._news.wait()
        except TimeoutError:
            pass
        if self.silent:
            await asyncio.sleep(SILENT_S)
            raise StoreError("no answer")
        records = tuple(self._records[topic][start:])
        return Page(records, start + len(records))

    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Write a record."""
        await self._fail()
        self.write(topic, key, value)

    def close(self) -> None:
        """Do nothing: there are no connections."""
