"""Recent records of the store, for the routers beside this one."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from cranberrysail.router.store import Page, StoreGapError, Topic

__all__ = ["RecordRelay"]

# Records are kept so that a router that was away for seconds finds them.
KEEP_BYTES = 192 * 1024
KEEP_RECORDS = 256

Record = tuple[str, bytes | None]


@dataclass
class _Recent:
    """The newest records of one topic, in order.

    Attributes:
      first: Offset of the oldest that is kept.
    """

    first: int = 0
    bytes: int = 0
    records: deque[Record] = field(default_factory=deque)
    news: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def extend(self, records: tuple[Record, ...]) -> None:
        for record in records:
            self.records.append(record)
            self.bytes += len(record[1] or b"")
        while len(self.records) > KEEP_RECORDS or self.bytes > KEEP_BYTES:
            _, value = self.records.popleft()
            self.bytes -= len(value or b"")
            self.first += 1
        self.news.set()
        self.news = asyncio.Event()


@dataclass
class RecordRelay:
    """What this router has read, by topic."""

    _topics: dict[Topic, _Recent] = field(default_factory=dict)

    def restart(self, topic: Topic, end: int) -> None:
        """Begin anew after a whole list was read.

        Args:
          topic: The topic.
          end: Offset at which reading goes on.
        """
        self._topics[topic] = _Recent(first=end)

    def extend(self, topic: Topic, page: Page) -> None:
        """Add records that follow those kept."""
        recent = self._topics.get(topic)
        if recent is not None and recent.end + len(page.records) == page.end:
            recent.extend(page.records)

    async def read(self, topic: Topic, start: int, wait_s: float) -> Page:
        """Return records from an offset on, waiting until there is one.

        Raises:
          StoreGapError: If records from there on are not kept.
        """
        recent = self._topics.get(topic)
        if recent is None or start < recent.first:
            raise StoreGapError("these records are not kept here; read the store")
        try:
            async with asyncio.timeout(wait_s):
                while recent.end <= start:
                    await recent.news.wait()
        except TimeoutError:
            return Page((), start)
        if start < recent.first:
            raise StoreGapError("these records are not kept here; read the store")
        records = tuple(recent.records)[start - recent.first :]
        return Page(records, start + len(records))
