"""An in-memory store with fault injection, for tests."""

import asyncio
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from cranberrysail.router.store import (
    BaseStore,
    OffsetConflictError,
    OffsetOutOfRangeError,
    Page,
    StoreError,
    Topic,
)

__all__ = ["MemoryStore"]

# Time after which a request to a silent store fails.
REQUEST_TIMEOUT_S = 3.0


@dataclass
class _SharedState:
    """Records and counters shared by all views of one store."""

    records: dict[Topic, list[tuple[str, bytes | None]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    first_offset: dict[Topic, int] = field(default_factory=lambda: defaultdict(int))
    era: int = 1
    appended: asyncio.Event = field(default_factory=asyncio.Event)
    request_counts: Counter = field(default_factory=Counter)


class MemoryStore(BaseStore):
    """Keeps records in memory; each client has a view that can fail on its own.

    Attributes:
      down: True while every request fails at once.
      away: True while every request fails at once, for a fault that overlaps ``down``.
      silent: True while requests fail only after a timeout.
      misses_wakeups: True while reads return only after their whole wait, even if
        there are records.
      silent_topic: Topic of which reads fail only after a timeout, or None.
      shown: Number of records of each topic that reads show, as if they were behind;
        None if they show all.
    """

    def __init__(self, shared: _SharedState | None = None, client: str = "") -> None:
        """Create a view.

        Args:
          shared: State shared with other views, or None for a new store.
          client: Name under which requests through this view are counted.
        """
        super().__init__()
        self._shared = shared or _SharedState()
        self._client = client
        # Views by client. In a client's view the empty name leads to the view from
        # which it was created.
        self._views: dict[str, MemoryStore] = {}
        self.down = False
        self.away = False
        self.silent = False
        self.misses_wakeups = False
        self.silent_topic: Topic | None = None
        self.shown: dict[Topic, int] | None = None

    def view_for(self, client: str) -> "MemoryStore":
        """Return the view of a client; faults set here apply to it too."""
        if client not in self._views:
            view = MemoryStore(self._shared, client)
            view._views[""] = self
            self._views[client] = view
        return self._views[client]

    @property
    def request_counts(self) -> Counter:
        """Return the number of requests of each client."""
        return self._shared.request_counts

    def _has_fault(self, fault: str) -> bool:
        parent = self._views.get("") if self._client else None
        return getattr(self, fault) or (parent is not None and getattr(parent, fault))

    def append(self, topic: Topic, key: str, value: bytes | None) -> None:
        """Append a record at once, without faults, as an operator or endpoint would."""
        self._shared.records[topic].append((key, value))
        self._wake_readers()

    def _wake_readers(self) -> None:
        self._shared.appended.set()
        self._shared.appended = asyncio.Event()

    @property
    def current_era(self) -> int:
        """Return the era, which rises with each restore."""
        return self._shared.era

    def bounds(self, topic: Topic) -> tuple[int, int]:
        """Return the first offset that is retained, and the end offset."""
        return self._shared.first_offset[topic], len(self._shared.records[topic])

    def records(self, topic: Topic) -> list[tuple[str, bytes | None]]:
        """Return the records of a topic, from offset 0 on."""
        return self._shared.records[topic]

    def compact(self, topic: Topic) -> None:
        """Make all offsets before the end unreadable, as a compaction would."""
        self._shared.first_offset[topic] = len(self._shared.records[topic])

    def copy(self) -> dict[Topic, int]:
        """Return a copy of the store, as the number of records of each topic."""
        return {topic: len(records) for topic, records in self._shared.records.items()}

    def restore(
        self, copy: dict[Topic, int]
    ) -> dict[Topic, list[tuple[str, bytes | None]]]:
        """Drop what was written since a copy was made, and return it.

        Its offsets are given out again.
        """
        lost = {}
        for topic, records in self._shared.records.items():
            start = copy.get(topic, 0)
            lost[topic] = records[start:]
            del records[start:]
            first = self._shared.first_offset[topic]
            self._shared.first_offset[topic] = min(first, len(records))
        self._shared.era += 1
        self._wake_readers()
        return lost

    async def _raise_if_failing(
        self, topic: Topic | None = None, wait_s: float = 0.0
    ) -> None:
        self._shared.request_counts[self._client] += 1
        if self._has_fault("silent") or (topic and self.silent_topic is topic):
            await asyncio.sleep(REQUEST_TIMEOUT_S + wait_s)
            raise StoreError("no response from the store")
        if self._has_fault("down") or self._has_fault("away"):
            raise StoreError("the store is down")
        self.era.observe(self._shared.era)

    def _end_shown(self, topic: Topic) -> int:
        """Return the end offset that reads show."""
        end = len(self._shared.records[topic])
        parent = self._views.get("") if self._client else None
        for view in (self, parent):
            if view is not None and view.shown is not None:
                end = min(end, view.shown.get(topic, 0))
        return end

    async def read_snapshot(self, topic: Topic) -> Page:
        """Return the newest record of each key."""
        await self._raise_if_failing(topic)
        end = self._end_shown(topic)
        newest = dict(self._shared.records[topic][:end])
        records = tuple((k, v) for k, v in newest.items() if v is not None)
        return Page(records, end, is_snapshot=True, era=self._shared.era)

    async def read(self, topic: Topic, start: int, wait_s: float) -> Page:
        """Return the records from an offset on."""
        await self._raise_if_failing(topic, wait_s)
        era = self._shared.era
        first, end = self.bounds(topic)[0], self._end_shown(topic)
        if not first <= start <= end:
            raise OffsetOutOfRangeError(f"there is no offset {start}", first)
        try:
            async with asyncio.timeout(wait_s):
                while (
                    self._has_fault("misses_wakeups") or self._end_shown(topic) <= start
                ):
                    await self._shared.appended.wait()
        except TimeoutError:
            pass
        if self._has_fault("silent") or self.silent_topic is topic:
            await asyncio.sleep(REQUEST_TIMEOUT_S)
            raise StoreError("no response from the store")
        if self._shared.era != era:
            raise StoreError("the connection was reset")
        records = tuple(self._shared.records[topic][start : self._end_shown(topic)])
        return Page(records, start + len(records), era=era)

    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Append a record, unless a fault is set; an empty value removes the key."""
        await self._raise_if_failing()
        self.append(topic, key, value or None)

    async def append_at(self, topic: Topic, key: str, value: bytes, at: int) -> None:
        """Append a record if the log ends at an offset, unless a fault is set."""
        await self._raise_if_failing()
        end = len(self._shared.records[topic])
        if at != end:
            raise OffsetConflictError(f"the log ends at {end}, not {at}")
        self.append(topic, key, value or None)

    def close(self) -> None:
        """Do nothing, as there are no connections."""
