"""Recent records of the store, for the routers beside this one."""

import asyncio
from dataclasses import dataclass, field

from cranberrysail.router.store import Page, StoreGapError, Topic

__all__ = ["RecordRelay"]

# Keys of which the newest record is kept; beyond that the oldest goes.
KEEP_KEYS = 2048


@dataclass
class _Recent:
    """The newest record of each key of one topic, oldest first.

    Attributes:
      first: Offset from which on nothing is missing.
      complete: True while the newest record of every key is here.
      end: Offset after the newest.
      records: Values by key, each with the end of the page that brought it.
    """

    first: int
    end: int
    complete: bool = True
    records: dict[str, tuple[int, bytes | None]] = field(default_factory=dict)
    news: asyncio.Event = field(default_factory=asyncio.Event)

    def extend(self, page: Page) -> None:
        for key, value in page.records:
            self.records.pop(key, None)
            self.records[key] = (page.end, value)
        while len(self.records) > KEEP_KEYS:
            oldest = next(iter(self.records))
            self.first = self.records.pop(oldest)[0]
            self.complete = False
        self.end = page.end
        self.news.set()
        self.news = asyncio.Event()

    def since(self, start: int) -> Page:
        """Return what follows an offset; of each key only the newest record.

        Raises:
          StoreGapError: If records from there on are not kept.
        """
        if start < self.first:
            return self._all()
        records = tuple(
            (key, value) for key, (end, value) in self.records.items() if end > start
        )
        return Page(records, self.end)

    def _all(self) -> Page:
        if not self.complete:
            raise StoreGapError("these records are not kept here; read the store")
        records = tuple(
            (key, value)
            for key, (_, value) in self.records.items()
            if value is not None
        )
        return Page(records, self.end, whole=True)


@dataclass
class RecordRelay:
    """What this router has read, by topic."""

    _topics: dict[Topic, _Recent] = field(default_factory=dict)

    def restart(self, topic: Topic, page: Page) -> None:
        """Begin anew after a whole list was read.

        Args:
          topic: The topic.
          page: The list.
        """
        recent = _Recent(page.end, page.end)
        recent.extend(page)
        self._topics[topic] = recent

    def extend(self, topic: Topic, start: int, page: Page) -> None:
        """Add records that follow those kept.

        Args:
          topic: The topic.
          start: Offset at which they were asked for.
          page: The records.
        """
        recent = self._topics.get(topic)
        if recent is not None and recent.end == start and page.end > start:
            recent.extend(page)

    async def read(self, topic: Topic, start: int, wait_s: float) -> Page:
        """Return records from an offset on, waiting until there is one.

        Of each key only the newest record is returned, so that a burst of tables
        is passed on as one. Who asks for records from before what is kept gets the
        newest of every key.

        Raises:
          StoreGapError: If records from there on are not kept.
        """
        recent = self._topics.get(topic)
        if recent is None:
            raise StoreGapError("nothing is kept here so far; read the store")
        if start < recent.first:
            return recent.since(start)
        try:
            async with asyncio.timeout(wait_s):
                while recent.end <= start:
                    await recent.news.wait()
        except TimeoutError:
            return Page((), start)
        return recent.since(start)
