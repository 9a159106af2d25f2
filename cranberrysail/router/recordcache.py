"""Cache of the store's recent records, which this router serves to its peers."""

import asyncio
from collections.abc import Set
from dataclasses import dataclass, field

from cranberrysail.router.store import OffsetOutOfRangeError, Page, Position, Topic

__all__ = ["RecordCache"]

# Maximum number of keys of a topic; beyond it the key with the oldest
# record is evicted.
MAX_KEYS = 2048


@dataclass(frozen=True, slots=True)
class _CachedRecord:
    """The newest record of a key.

    Attributes:
      end: End offset of the page it came in.
      value: Its value, None if the key was removed.
      ended: Record with a value that a removal ended. A reader that lacks it could not
        tell whether records of the key that follow the removal are older.
    """

    end: int
    value: bytes | None
    ended: "_CachedRecord | None" = None


@dataclass
class _TopicCache:
    """The newest record of each key of one topic, oldest first.

    Attributes:
      era: Era of the store in which the records were read.
      first_offset: Offset from which on no record is missing.
      next_offset: Offset after the newest record.
      has_all_keys: True while no key has been evicted.
      records: Records by key.
      updated: Set, and then replaced, when records are added.
    """

    era: int
    first_offset: int
    next_offset: int
    has_all_keys: bool = True
    records: dict[str, _CachedRecord] = field(default_factory=dict)
    updated: asyncio.Event = field(default_factory=asyncio.Event)

    def extend(self, page: Page, not_applied: Set[int]) -> None:
        for index, (key, value) in enumerate(page.records):
            if index in not_applied and key in self.records:
                continue
            self.put(key, value, page.next_offset)
        while len(self.records) > MAX_KEYS:
            oldest = next(iter(self.records))
            self.first_offset = self.records.pop(oldest).end
            self.has_all_keys = False
        self.next_offset = page.next_offset
        self.wake_readers()

    def put(self, key: str, value: bytes | None, end: int) -> None:
        before = self.records.pop(key, None)
        ended = None
        if value is None and before is not None:
            ended = before if before.value is not None else before.ended
        self.records[key] = _CachedRecord(end, value, ended)

    def wake_readers(self) -> None:
        self.updated.set()
        self.updated = asyncio.Event()

    def records_from(self, start: int) -> Page:
        """Return the newest record of each key written from an offset on.

        A removal follows the record that it ended, if that was written since, too.
        Before the first offset kept, returns the newest record of every key.

        Raises:
          OffsetOutOfRangeError: If records from the offset on are not cached.
        """
        if start < self.first_offset:
            return self.snapshot()
        records = []
        for key, cached in self.records.items():
            if cached.end <= start:
                continue
            if cached.ended is not None and cached.ended.end > start:
                records.append((key, cached.ended.value))
            records.append((key, cached.value))
        return Page(tuple(records), self.next_offset, era=self.era)

    def snapshot(self) -> Page:
        if not self.has_all_keys:
            raise OffsetOutOfRangeError(
                "the requested records are not cached; read the store"
            )
        records = tuple(
            (key, cached.value)
            for key, cached in self.records.items()
            if cached.value is not None
        )
        return Page(records, self.next_offset, is_snapshot=True, era=self.era)


@dataclass
class RecordCache:
    """The records that this router has applied, by topic.

    A record that was not applied does not replace one of its key that was.
    """

    _topics: dict[Topic, _TopicCache] = field(default_factory=dict)
    _loaded: dict[Topic, asyncio.Event] = field(
        default_factory=lambda: {topic: asyncio.Event() for topic in Topic}
    )

    async def wait_until_loaded(self, topic: Topic, wait_s: float) -> None:
        """Wait until there is a snapshot of a topic, or for a maximum time."""
        if topic in self._topics:
            return
        try:
            async with asyncio.timeout(wait_s):
                await self._loaded[topic].wait()
        except TimeoutError:
            pass

    def reset(
        self, topic: Topic, page: Page, not_applied: Set[int] = frozenset()
    ) -> None:
        """Replace the records of a topic by a snapshot.

        Args:
          topic: The topic.
          page: The snapshot.
          not_applied: Indexes of records that were not applied.
        """
        cached = _TopicCache(page.era, page.next_offset, page.next_offset)
        previous = self._topics.get(topic)
        if previous is not None:
            for index in not_applied:
                key = page.records[index][0]
                known = previous.records.get(key)
                if known is not None and known.value is not None:
                    cached.put(key, known.value, page.next_offset)
        cached.extend(page, not_applied)
        self._topics[topic] = cached
        self._loaded[topic].set()
        if previous is not None:
            previous.wake_readers()

    def replace(self, topic: Topic, key: str, value: bytes) -> None:
        """Replace a record by one that was applied, but not read with its offset."""
        cached = self._topics.get(topic)
        if cached is None:
            return
        known = cached.records.get(key)
        if known is None or known.value != value:
            cached.put(key, value, cached.next_offset)

    def extend(
        self,
        topic: Topic,
        start: int,
        page: Page,
        not_applied: Set[int] = frozenset(),
    ) -> None:
        """Add records; ignored unless they directly follow the cached ones.

        Args:
          topic: The topic.
          start: Offset from which the records were read.
          page: The records.
          not_applied: Indexes of records that were not applied.
        """
        cached = self._topics.get(topic)
        if (
            cached is not None
            and cached.era == page.era
            and cached.next_offset == start
            and page.next_offset > start
        ):
            cached.extend(page, not_applied)

    async def read(self, topic: Topic, position: Position, wait_s: float) -> Page:
        """Return the records from a position on, waiting until there is one.

        Only the newest record of each key is returned, so that a burst of table
        versions is sent as one. A reader that is behind the cached records, or in an
        earlier era of the store, gets the newest record of every key. One in a later
        era gets none.

        Raises:
          OffsetOutOfRangeError: If records from the position on are not cached.
        """
        if topic not in self._topics:
            raise OffsetOutOfRangeError("no records are cached yet; read the store")
        try:
            async with asyncio.timeout(wait_s):
                while self._has_none_beyond(topic, position):
                    await self._topics[topic].updated.wait()
        except TimeoutError:
            pass
        cached = self._topics[topic]
        if cached.era < position.era:
            return Page((), cached.next_offset, era=cached.era)
        if cached.era > position.era:
            return cached.snapshot()
        if cached.next_offset <= position.offset:
            return Page((), position.offset, era=position.era)
        return cached.records_from(position.offset)

    def _has_none_beyond(self, topic: Topic, position: Position) -> bool:
        cached = self._topics[topic]
        return cached.era == position.era and cached.next_offset <= position.offset
