"""Reads the store's records continuously and keeps the routing state up to date."""

import asyncio
import random
from collections import deque
from collections.abc import Awaitable, Callable

from cranberrysail.router.clock import now
from cranberrysail.router.config import RouterConfig
from cranberrysail.router.metrics import RouterMetrics
from cranberrysail.router.peers import encode_router_record
from cranberrysail.router.recordcache import RecordCache
from cranberrysail.router.recordsources import RecordSources
from cranberrysail.router.routingstate import BaseRecordDecoder, RoutingState
from cranberrysail.router.store import (
    BaseStore,
    EraChangedError,
    OffsetOutOfRangeError,
    Position,
    StoreError,
    Topic,
)

__all__ = [
    "BaseRecordDecoder",
    "Follower",
    "RoutingState",
    "TopicFollower",
]

# Maximum wait of a read for new records of operators. The store responds as soon as
# there is a record, but at times does not wake a waiting read; tables must be in
# force within two seconds.
OPERATORS_WAIT_S = 1.2
# Long, since the records of routers change rarely and are never urgent.
ROUTERS_WAIT_S = 8.0
# Short, since each response also shows this router's peers that its records are up to
# date.
ENDPOINTS_WAIT_S = 0.9
READ_WAIT_S = {
    Topic.OPERATORS: OPERATORS_WAIT_S,
    Topic.ENDPOINTS: ENDPOINTS_WAIT_S,
    Topic.ROUTERS: ROUTERS_WAIT_S,
}
# Pause after a failed read, so that a recovering store is not overloaded.
RETRY_DELAY_S = 0.25
# Shortly after a start calls wait for what is read, for about a second at most, so that
# reads are tried again sooner: by half the pause, and without a random addition.
START_S = 1.5
START_RETRY_DELAY_S = RETRY_DELAY_S / 2
# After a page larger than this, reads pause, so that a burst of large tables is read
# at once and leaves bandwidth on the link for callers.
LARGE_PAGE_BYTES = 128 * 1024
LARGE_PAGE_DELAY_S = 0.5
# Interval at which this router, before it registers, checks whether the records of
# routers have been read.
REGISTRATION_POLL_S = 0.25
# Additional pause after a registration, until its record has been read, or its failure.
REGISTRATION_RETRY_S = 1.0
# The routers that a restored store no longer lists register again at random times
# within this period, so that the store is not overloaded.
REGISTRATION_SPREAD_S = 2.0
# Maximum age of the copy that a store is restored from.
COPY_AGE_S = 30.0


def _ignore_change(follower: "TopicFollower") -> None:
    """Do nothing; the default callback."""


class _OffsetHistory:
    """Offsets that were reached lately, oldest first."""

    def __init__(self) -> None:
        self._reached: deque[tuple[float, int]] = deque()

    def add(self, offset: int, now: float) -> None:
        if self._reached and self._reached[-1][1] == offset:
            return
        self._reached.append((now, offset))
        while len(self._reached) > 1 and self._reached[1][0] < now - COPY_AGE_S:
            self._reached.popleft()

    def clear(self) -> None:
        self._reached.clear()

    @property
    def oldest(self) -> int | None:
        """Return the offset of ``COPY_AGE_S`` ago, or the first one after that."""
        return self._reached[0][1] if self._reached else None


class TopicFollower:
    """Reads one topic continuously, and recovers from failures of the store.

    Attributes:
      failing: True while reads of the topic fail.
      last_read_s: Time of the last successful read.
      on_failing_changed: Called with this follower when its reads start to fail and
        when they recover.
    """

    def __init__(
        self,
        sources: RecordSources,
        cache: RecordCache,
        topic: Topic,
        state: RoutingState,
    ) -> None:
        """Create a follower.

        Args:
          sources: The sources to read from.
          cache: The cache of records to serve to peers.
          topic: The topic to read.
          state: The state to apply records to.
        """
        self._sources = sources
        self._cache = cache
        self.topic = topic
        self._state = state
        self._position: Position | None = None
        self._applied = Position(0, 0)
        self._reached = _OffsetHistory()
        self._as_of_s = float("-inf")
        self._read_task: asyncio.Task | None = None
        self._interruption: StoreError | None = None
        self.failing = False
        self._started_s = now()
        self.last_read_s = now()
        self.on_failing_changed: Callable[[TopicFollower], None] = _ignore_change

    async def run(self) -> None:
        """Read the topic until cancelled."""
        while True:
            try:
                await self._read_interruptibly()
            except OffsetOutOfRangeError:
                self._state.log.write("history_dropped", topic=self.topic.value)
                self._position = None
            except EraChangedError:
                self._position = None
            except StoreError as exc:
                self._mark_failing(str(exc))
                await asyncio.sleep(self._retry_delay_s())
            else:
                self._mark_recovered()

    def _retry_delay_s(self) -> float:
        if not self._state.is_loaded and now() - self._started_s < START_S:
            return START_RETRY_DELAY_S
        return RETRY_DELAY_S * (1.0 + random.random())

    def interrupt_read(self, why: StoreError | None = None) -> None:
        """Cancel a waiting read, unless called by it.

        Args:
          why: Error that the read ends with. By default, its connection may be dead
            without an error, which the next read shows.
        """
        if self._read_task in (None, asyncio.current_task()):
            return
        self._interruption = why or StoreError("interrupted to check the connection")
        self._read_task.cancel()

    async def _read_interruptibly(self) -> None:
        self._read_task = asyncio.ensure_future(self._read_and_apply())
        try:
            await self._read_task
        except asyncio.CancelledError:
            if self._interruption is None:
                self._read_task.cancel()
                raise
            raise self._interruption from None
        finally:
            self._interruption = None
            self._read_task = None

    async def _read_and_apply(self) -> None:
        if (
            self._position is None
            or self._position.era < self._sources.store.era.number
        ):
            page = await self._sources.read_snapshot(
                self.topic, self._applied, self._reached.oldest
            )
        else:
            page = await self._sources.read(
                self.topic, self._position, self._wait_s, self._as_of_s
            )
        if not page.is_snapshot and page.era != self._position.era:
            raise EraChangedError(f"records of era {page.era} of the store")
        not_applied = self._state.apply(self.topic, page)
        if self.topic is Topic.ROUTERS:
            self._sources.routers_read()
        if page.is_snapshot:
            self._cache.reset(self.topic, page, not_applied)
        else:
            self._cache.extend(self.topic, self._position.offset, page, not_applied)
        if self.topic is Topic.OPERATORS and self._state.tables_record is not None:
            # It may have been fetched from a peer, and the page has an older version.
            self._cache.replace(self.topic, *self._state.tables_record)
        if page.era != self._applied.era:
            self._reached.clear()
        self._reached.add(page.next_offset, now())
        self._position = self._applied = page.next_position
        self.last_read_s = now()
        self._as_of_s = max(self._as_of_s, now() - page.age_s)
        if sum(len(value or b"") for _, value in page.records) > LARGE_PAGE_BYTES:
            await asyncio.sleep(LARGE_PAGE_DELAY_S)

    @property
    def _wait_s(self) -> float:
        """Return the maximum wait of a read; 0 while reads fail, to probe the store."""
        if self.failing:
            return 0.0
        return max(0.0, READ_WAIT_S[self.topic] - (now() - self.last_read_s))

    def _mark_failing(self, why: str) -> None:
        if self.topic is Topic.ENDPOINTS:
            self._state.endpoints.store_failed(now())
        if not self.failing:
            self.failing = True
            self._state.log.write("store_lost", topic=self.topic.value, why=why)
            self.on_failing_changed(self)

    def _mark_recovered(self) -> None:
        if not self.failing:
            return
        self.failing = False
        if self.topic is Topic.ENDPOINTS:
            self._state.endpoints.store_recovered(now())
        self._state.log.write(
            "store_regained",
            topic=self.topic.value,
            offset=self._applied.offset,
            era=self._applied.era,
        )
        self.on_failing_changed(self)


class Follower:
    """Reads all topics continuously and registers this router in the store."""

    def __init__(
        self,
        cfg: RouterConfig,
        store: BaseStore,
        state: RoutingState,
        metrics: RouterMetrics,
    ) -> None:
        """Create a follower.

        Args:
          cfg: Settings of the router.
          store: The store.
          state: The state to apply records to.
          metrics: Counts the requests to the store.
        """
        self._cfg = cfg
        self._store = store
        self._state = state
        self.sources = RecordSources(store, state.routers, state.log, metrics)
        self.cache = RecordCache()
        self.topic_followers = [
            TopicFollower(self.sources, self.cache, topic, state)
            for topic in (Topic.ROUTERS, Topic.OPERATORS, Topic.ENDPOINTS)
        ]
        for follower in self.topic_followers:
            follower.on_failing_changed = self._interrupt_others
        store.era.on_restored = self._on_store_restored

    def _on_store_restored(self, before: int, era: int) -> None:
        """Read all topics anew: offsets of the era before mean nothing now."""
        tables = self._state.tables
        self._state.log.write(
            "store_restored",
            before=before,
            era=era,
            tables=tables.version if tables else None,
            zones_out=sorted(self._state.endpoints.zones_out),
            endpoints=len(self._state.endpoints),
            routers=len(self._state.routers),
        )
        for follower in self.topic_followers:
            follower.interrupt_read(EraChangedError(f"the store is in era {era}"))

    def _interrupt_others(self, changed: TopicFollower) -> None:
        """Interrupt the reads of other topics, which may wait on dead connections."""
        for follower in self.topic_followers:
            if follower is not changed and (changed.failing or follower.failing):
                follower.interrupt_read()

    def interrupt_all(self) -> None:
        """Interrupt all reads, since connections may have died during a suspension."""
        for follower in self.topic_followers:
            follower.interrupt_read()

    def background_tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the tasks that read all topics and register this router, by name."""
        return {
            **{f"follow_{f.topic.value}": f.run for f in self.topic_followers},
            "register": self._register,
        }

    async def _register(self) -> None:
        """Register this router in the store whenever it is not registered."""
        cfg = self._cfg
        record = encode_router_record(cfg.zone, cfg.peers, cfg.relays)
        registered_before = False
        while True:
            await asyncio.sleep(REGISTRATION_POLL_S)
            if Topic.ROUTERS not in self._state.eras:
                continue
            if self._is_registered():
                registered_before = True
                continue
            if registered_before:
                await asyncio.sleep(REGISTRATION_SPREAD_S * random.random())
                if self._is_registered():
                    continue
            try:
                await self._store.put(Topic.ROUTERS, cfg.name, record)
            except StoreError as exc:
                self._state.log.write("entry_failed", why=str(exc))
            await asyncio.sleep(REGISTRATION_RETRY_S)

    def _is_registered(self) -> bool:
        return self._state.routers.is_registered(self._cfg.name, self._cfg.peers)
