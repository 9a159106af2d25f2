"""Reads the store's records continuously and keeps the routing state up to date."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from cranberrysail.router.clock import now
from cranberrysail.router.config import RouterConfig
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.endpoints import EndpointDirectory
from cranberrysail.router.model import EndpointRecord, RouteTables
from cranberrysail.router.peers import RouterDirectory, encode_router_record
from cranberrysail.router.recordcache import RecordCache
from cranberrysail.router.recordsources import RecordSources
from cranberrysail.router.store import (
    BaseStore,
    OffsetOutOfRangeError,
    Page,
    StoreError,
    Topic,
)

__all__ = [
    "BaseRecordDecoder",
    "Follower",
    "InvalidRecordError",
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
# After a page larger than this, reads pause, so that a burst of large tables is read
# at once and leaves bandwidth on the link for callers.
LARGE_PAGE_BYTES = 128 * 1024
LARGE_PAGE_DELAY_S = 0.5
# Interval at which this router, before it registers, checks whether the records of
# routers have been read.
REGISTRATION_POLL_S = 0.25
# Additional pause after a failed registration.
REGISTRATION_RETRY_S = 1.0


class InvalidRecordError(ValueError):
    """A record of the store is invalid and is ignored."""


class BaseRecordDecoder(ABC):
    """Decodes a platform's records."""

    @abstractmethod
    def decode_tables(self, value: bytes) -> RouteTables:
        """Return the decoded route tables.

        Raises:
          InvalidRecordError: If the record is invalid.
        """

    @abstractmethod
    def decode_tables_version(self, value: bytes) -> int:
        """Return the version of route tables, whose other content may be invalid.

        Raises:
          InvalidRecordError: If the record has no version.
        """

    @abstractmethod
    def decode_endpoint(self, key: str, value: bytes) -> EndpointRecord:
        """Return the decoded declaration of an endpoint.

        Raises:
          InvalidRecordError: If the record is invalid.
        """

    @abstractmethod
    def is_tables_key(self, key: str) -> bool:
        """Return whether the operators' record under a key holds route tables."""

    @abstractmethod
    def zone_of_key(self, key: str) -> str | None:
        """Return the availability zone that a key takes out of service, or None."""


@dataclass
class RoutingState:
    """This router's view of tables, endpoints and routers.

    Attributes:
      endpoints: The endpoints.
      routers: The registered routers, including this one.
      log: Log of applied and rejected records.
      decoder: Decodes the platform's records.
      on_tables_changed: Called after newer tables were applied.
      tables: Tables of the highest version read, None if there are none yet.
      loaded_topics: Topics of which a snapshot has been applied.
    """

    endpoints: EndpointDirectory
    routers: RouterDirectory
    log: DecisionLog
    decoder: BaseRecordDecoder
    on_tables_changed: Callable[[], None]
    tables: RouteTables | None = None

    def __post_init__(self) -> None:
        self.loaded_topics: set[Topic] = set()

    @property
    def is_loaded(self) -> bool:
        """Return whether tables and a snapshot of the endpoints have been applied."""
        return self.tables is not None and Topic.ENDPOINTS in self.loaded_topics

    def apply(self, topic: Topic, page: Page) -> set[int]:
        """Apply a page of records.

        Args:
          topic: The topic from which they were read.
          page: The records.

        Returns:
          Indexes of the records that were not applied, as they are invalid or older
          than what is known of their key.
        """
        if topic is Topic.OPERATORS:
            not_applied = self._apply_operators(page)
        elif topic is Topic.ENDPOINTS:
            not_applied = self._apply_endpoints(page)
        else:
            not_applied = self._apply_routers(page)
        if page.is_snapshot:
            self.loaded_topics.add(topic)
        return not_applied

    def _apply_routers(self, page: Page) -> set[int]:
        rejected = self.routers.apply(page)
        for index in rejected:
            self.log.write("router_entry_rejected", key=page.records[index][0][:64])
        return rejected

    def _apply_operators(self, page: Page) -> set[int]:
        not_applied = self._apply_newest_tables(page)
        zones = {
            zone: value is not None
            for key, value in page.records
            if (zone := self.decoder.zone_of_key(key)) is not None
        }
        if page.is_snapshot:
            for zone in self.endpoints.zones_out - zones.keys():
                zones[zone] = False
        for zone, out in zones.items():
            self._set_zone_out(zone, out)
        return not_applied

    def _apply_newest_tables(self, page: Page) -> set[int]:
        """Apply the valid tables of the highest version, wherever they stand."""
        indexes = [
            index
            for index, (key, _) in enumerate(page.records)
            if self.decoder.is_tables_key(key)
        ]
        versions = {}
        for index in indexes:
            version = self._tables_version(page.records[index][1])
            if version is not None:
                versions[index] = version
        applied = None
        for index in sorted(versions, key=lambda i: (versions[i], i), reverse=True):
            if self._apply_tables(versions[index], page, index):
                applied = index
                break
        for index, version in versions.items():
            if applied is None or index > applied:
                self._log_older_tables(version, page)
        return set(indexes) - {applied}

    def _tables_version(self, value: bytes | None) -> int | None:
        if value is None:
            return None
        try:
            return self.decoder.decode_tables_version(value)
        except InvalidRecordError as exc:
            self.log.write("tables_rejected", why=str(exc), bytes=len(value))
            return None

    def _log_older_tables(self, version: int, page: Page) -> None:
        if self.tables is not None and version < self.tables.version:
            self.log.write(
                "tables_ignored",
                version=version,
                in_force=self.tables.version,
                **_origin_fields(page),
            )

    def _apply_tables(self, version: int, page: Page, index: int) -> bool:
        """Apply tables unless older ones; return whether they are in force."""
        previous = self.tables.version if self.tables else None
        if previous is not None and version <= previous:
            return version == previous
        value = page.records[index][1]
        try:
            tables = self.decoder.decode_tables(value)
        except InvalidRecordError as exc:
            self.log.write("tables_rejected", why=str(exc), bytes=len(value))
            return False
        self.tables = tables
        self.log.write(
            "tables_applied",
            version=tables.version,
            before=previous,
            routes=len(tables.routes),
            **_origin_fields(page),
        )
        self.on_tables_changed()
        return True

    def _set_zone_out(self, zone: str, out: bool) -> None:
        changed = (
            self.endpoints.exclude_zone(zone)
            if out
            else self.endpoints.restore_zone(zone)
        )
        if changed:
            self.log.write("zone_changed", zone=zone, out=out)

    def _apply_endpoints(self, page: Page) -> set[int]:
        time_s = now()
        not_applied = set()
        for index, (key, value) in enumerate(page.records):
            if value is None:
                self.endpoints.remove(key, time_s)
                continue
            try:
                record = self.decoder.decode_endpoint(key, value)
            except InvalidRecordError as exc:
                self.log.write("declaration_rejected", key=key[:64], why=str(exc))
                not_applied.add(index)
                continue
            if not self.endpoints.declare(record, time_s):
                not_applied.add(index)
        if page.is_snapshot:
            endpoint_ids = [key for key, value in page.records if value is not None]
            self.endpoints.retain(endpoint_ids, time_s)
        return not_applied


def _origin_fields(page: Page) -> dict[str, object]:
    """Return the log fields that tell where a page was read and how old it may be."""
    return {
        "source": page.source or "store",
        "age_s": round(page.age_s, 2),
        "next_offset": page.next_offset,
    }


def _ignore_change(follower: "TopicFollower") -> None:
    """Do nothing; the default callback."""


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
        self._topic = topic
        self._state = state
        self._offset: int | None = None
        self._applied_offset = 0
        self._as_of_s = float("-inf")
        self._read_task: asyncio.Task | None = None
        self._interrupted = False
        self.failing = False
        self.last_read_s = now()
        self.on_failing_changed: Callable[[TopicFollower], None] = _ignore_change

    async def run(self) -> None:
        """Read the topic until cancelled."""
        while True:
            try:
                await self._read_interruptibly()
            except OffsetOutOfRangeError:
                self._state.log.write("history_dropped", topic=self._topic.value)
                self._offset = None
            except StoreError as exc:
                self._mark_failing(str(exc))
                await asyncio.sleep(RETRY_DELAY_S * (1.0 + random.random()))
            else:
                self._mark_recovered()

    def interrupt_read(self) -> None:
        """Cancel a waiting read.

        Its connection may be dead without an error, which the next read shows.
        """
        if self._read_task is not None:
            self._interrupted = True
            self._read_task.cancel()

    async def _read_interruptibly(self) -> None:
        self._read_task = asyncio.ensure_future(self._read_and_apply())
        try:
            await self._read_task
        except asyncio.CancelledError:
            if not self._interrupted:
                self._read_task.cancel()
                raise
            raise StoreError("interrupted to check the connection") from None
        finally:
            self._interrupted = False
            self._read_task = None

    async def _read_and_apply(self) -> None:
        if self._offset is None:
            page = await self._sources.read_snapshot(self._topic, self._applied_offset)
        else:
            page = await self._sources.read(
                self._topic, self._offset, self._wait_s, self._as_of_s
            )
        if page.next_offset < self._applied_offset:
            self._state.log.write(
                "offset_went_back",
                topic=self._topic.value,
                before=self._applied_offset,
                **_origin_fields(page),
            )
        not_applied = self._state.apply(self._topic, page)
        if page.is_snapshot:
            self._cache.reset(self._topic, page, not_applied)
        else:
            self._cache.extend(self._topic, self._offset, page, not_applied)
        self._offset = self._applied_offset = page.next_offset
        self.last_read_s = now()
        self._as_of_s = max(self._as_of_s, now() - page.age_s)
        if sum(len(value or b"") for _, value in page.records) > LARGE_PAGE_BYTES:
            await asyncio.sleep(LARGE_PAGE_DELAY_S)

    @property
    def _wait_s(self) -> float:
        """Return the maximum wait of a read; 0 while reads fail, to probe the store."""
        if self.failing:
            return 0.0
        return max(0.0, READ_WAIT_S[self._topic] - (now() - self.last_read_s))

    def _mark_failing(self, why: str) -> None:
        if self._topic is Topic.ENDPOINTS:
            self._state.endpoints.store_failed(now())
        if not self.failing:
            self.failing = True
            self._state.log.write("store_lost", topic=self._topic.value, why=why)
            self.on_failing_changed(self)

    def _mark_recovered(self) -> None:
        if not self.failing:
            return
        self.failing = False
        if self._topic is Topic.ENDPOINTS:
            self._state.endpoints.store_recovered(now())
        self._state.log.write(
            "store_regained", topic=self._topic.value, offset=self._offset
        )
        self.on_failing_changed(self)


class Follower:
    """Reads all topics continuously and registers this router in the store."""

    def __init__(
        self,
        cfg: RouterConfig,
        store: BaseStore,
        state: RoutingState,
    ) -> None:
        """Create a follower.

        Args:
          cfg: Settings of the router.
          store: The store.
          state: The state to apply records to.
        """
        self._cfg = cfg
        self._store = store
        self._state = state
        self.sources = RecordSources(store, state.routers, state.log)
        self.cache = RecordCache()
        self.topic_followers = [
            TopicFollower(self.sources, self.cache, topic, state)
            for topic in (Topic.ROUTERS, Topic.OPERATORS, Topic.ENDPOINTS)
        ]
        for follower in self.topic_followers:
            follower.on_failing_changed = self._interrupt_others

    def _interrupt_others(self, changed: TopicFollower) -> None:
        """Interrupt the reads of other topics, which may wait on dead connections."""
        for follower in self.topic_followers:
            if follower is not changed and (changed.failing or follower.failing):
                follower.interrupt_read()

    def interrupt_all(self) -> None:
        """Interrupt all reads, since connections may have died during a suspension."""
        for follower in self.topic_followers:
            follower.interrupt_read()

    async def run(self) -> None:
        """Read all topics until cancelled."""
        async with asyncio.TaskGroup() as group:
            for follower in self.topic_followers:
                group.create_task(follower.run())
            group.create_task(self._register())

    async def _register(self) -> None:
        """Register this router in the store, unless it is registered."""
        cfg = self._cfg
        record = encode_router_record(cfg.zone, cfg.peers, cfg.relays)
        while True:
            await asyncio.sleep(REGISTRATION_POLL_S)
            if Topic.ROUTERS not in self._state.loaded_topics:
                continue
            if self._state.routers.is_registered(cfg.name, cfg.peers):
                return
            try:
                await self._store.put(Topic.ROUTERS, cfg.name, record)
            except StoreError as exc:
                self._state.log.write("entry_failed", why=str(exc))
                await asyncio.sleep(REGISTRATION_RETRY_S)
