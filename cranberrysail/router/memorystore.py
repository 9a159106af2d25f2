"""A store in memory, with the failures of a real one."""

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from cranberrysail.router.store import BaseStore, Page, StoreError, StoreGapError, Topic

__all__ = ["MemoryStore"]

# A call to a silent store fails after this long.
SILENT_S = 3.0


@dataclass
class _Contents:
    """What all views of one store share."""

    records: dict[Topic, list[tuple[str, bytes | None]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    first: dict[Topic, int] = field(default_factory=lambda: defaultdict(int))
    news: asyncio.Event = field(default_factory=asyncio.Event)
    calls: Counter = field(default_factory=Counter)


class MemoryStore(BaseStore):
    """Keeps records in memory; each caller has a view that can fail by itself.

    Attributes:
      down: True while every call fails at once.
      silent: True while calls fail only after a timeout.
      deaf: True while reads that wait are not woken by a record.
    """

    def __init__(self, contents: _Contents | None = None, caller: str = "") -> None:
        """Create a view.

        Args:
          contents: What it shares with other views, or None for a new store.
          caller: Name under which its calls are counted.
        """
        self._contents = contents or _Contents()
        self._caller = caller
        self._views: dict[str, MemoryStore] = {}
        self.down = False
        self.silent = False
        self.deaf = False

    def seen_by(self, caller: str) -> "MemoryStore":
        """Return the view of a caller; what fails here fails there too."""
        if caller not in self._views:
            view = MemoryStore(self._contents, caller)
            view._views[""] = self
            self._views[caller] = view
        return self._views[caller]

    @property
    def calls(self) -> Counter:
        """Return the number of calls by caller."""
        return self._contents.calls

    def _is(self, fault: str) -> bool:
        origin = self._views.get("") if self._caller else None
        return getattr(self, fault) or (origin is not None and getattr(origin, fault))

    def write(self, topic: Topic, key: str, value: bytes | None) -> None:
        """Append a record, as an operator or an endpoint does."""
        self._contents.records[topic].append((key, value))
        self._contents.news.set()
        self._contents.news = asyncio.Event()

    def drop_history(self, topic: Topic) -> None:
        """Forget all but the newest record of each key."""
        self._contents.first[topic] = len(self._contents.records[topic])

    async def _fail(self, wait_s: float = 0.0) -> None:
        self._contents.calls[self._caller] += 1
        if self._is("silent"):
            await asyncio.sleep(SILENT_S + wait_s)
            raise StoreError("no answer")
        if self._is("down"):
            raise StoreError("down")

    async def newest(self, topic: Topic) -> Page:
        """Return the newest record of each key."""
        await self._fail()
        newest = dict(self._contents.records[topic])
        records = tuple((k, v) for k, v in newest.items() if v is not None)
        return Page(records, len(self._contents.records[topic]), whole=True)

    async def read(self, topic: Topic, start: int, wait_s: float) -> Page:
        """Return the records from an offset on."""
        await self._fail(wait_s)
        if start < self._contents.first[topic]:
            raise StoreGapError("dropped")
        try:
            async with asyncio.timeout(wait_s):
                while self._is("deaf") or len(self._contents.records[topic]) <= start:
                    await self._contents.news.wait()
        except TimeoutError:
            pass
        if self._is("silent"):
            await asyncio.sleep(SILENT_S)
            raise StoreError("no answer")
        records = tuple(self._contents.records[topic][start:])
        return Page(records, start + len(records))

    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Write a record."""
        await self._fail()
        self.write(topic, key, value)

    def close(self) -> None:
        """Do nothing: there are no connections."""
