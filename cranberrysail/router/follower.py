"""Following the store: from records to beliefs."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from cranberrysail.router.clock import now
from cranberrysail.router.config import RouterConfig
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.endpoints import EndpointDirectory
from cranberrysail.router.loadnews import LoadNews
from cranberrysail.router.model import EndpointRecord, RouteTables
from cranberrysail.router.peers import PeerBook, encode_peer
from cranberrysail.router.recordrelay import RecordRelay
from cranberrysail.router.sources import RecordSources
from cranberrysail.router.store import (
    BaseStore,
    Page,
    StoreError,
    StoreGapError,
    Topic,
)

__all__ = ["BaseDecoder", "Beliefs", "Follower", "RecordError", "TopicFollower"]

# The store answers as soon as there is a record, but at times it misses one while
# a read waits; tables must be in force within two seconds.
OPERATORS_WAIT_S = 1.5
# Routers come and go rarely, and nothing is due at once.
ROUTERS_WAIT_S = 8.0
# Short, since each answer also tells peers that this router reaches the store.
ENDPOINTS_WAIT_S = 0.9
WAITS_S = {
    Topic.OPERATORS: OPERATORS_WAIT_S,
    Topic.ENDPOINTS: ENDPOINTS_WAIT_S,
    Topic.ROUTERS: ROUTERS_WAIT_S,
}
# Pause after a failed read, so that a store that comes back is not overrun.
RETRY_S = 0.25
# Large tables that follow each other are read together after a pause, so that a
# burst of changes leaves room on the link for callers.
LARGE_BYTES = 128 * 1024
AFTER_LARGE_S = 0.5
# Time for the list of routers to be read before this one enters itself.
ENTER_S = 0.25
# Pause after a failed entry.
ENTER_AGAIN_S = 1.0


class RecordError(ValueError):
    """A record of the store cannot be used; it is passed over."""


class BaseDecoder(ABC):
    """Reads a platform's records."""

    @abstractmethod
    def tables(self, value: bytes) -> RouteTables:
        """Return tables.

        Raises:
          RecordError: If the record cannot be used.
        """

    @abstractmethod
    def endpoint(self, key: str, value: bytes) -> EndpointRecord:
        """Return an endpoint's declaration.

        Raises:
          RecordError: If the record cannot be used.
        """

    @abstractmethod
    def is_tables(self, key: str) -> bool:
        """Return whether a key of the operators holds tables."""

    @abstractmethod
    def zone_out(self, key: str) -> str | None:
        """Return the availability zone that a key takes out, if it does."""


@dataclass
class Beliefs:
    """What this router believes of tables and endpoints.

    Attributes:
      tables: Newest tables, None before any came; versions never go back.
      endpoints: The endpoints.
      peers: The routers.
      known: Topics of which a whole list was read.
    """

    endpoints: EndpointDirectory
    peers: PeerBook
    log: DecisionLog
    decoder: BaseDecoder
    changed: Callable[[], None]
    tables: RouteTables | None = None

    def __post_init__(self) -> None:
        self.known: set[Topic] = set()

    @property
    def complete(self) -> bool:
        """Return whether tables and endpoints are known."""
        return self.tables is not None and Topic.ENDPOINTS in self.known

    def apply(self, topic: Topic, page: Page) -> None:
        """Take a page of records.

        Args:
          topic: Where they were read.
          page: The records.
        """
        if topic is Topic.OPERATORS:
            self._operators(page)
        elif topic is Topic.ENDPOINTS:
            self._endpoints(page)
        else:
            self._routers(page)
        if page.whole:
            self.known.add(topic)

    def _routers(self, page: Page) -> None:
        for key in self.peers.apply(page):
            self.log.write("router_entry_rejected", key=key[:64])

    def _operators(self, page: Page) -> None:
        newest = dict(page.records)
        for key, value in newest.items():
            if self.decoder.is_tables(key) and value is not None:
                self._take_tables(value)
        zones = {
            zone: value is not None
            for key, value in newest.items()
            if (zone := self.decoder.zone_out(key)) is not None
        }
        if page.whole:
            for zone in self.endpoints.zones_out - zones.keys():
                zones[zone] = False
        for zone, out in zones.items():
            self._take_zone(zone, out)

    def _take_tables(self, value: bytes) -> None:
        try:
            tables = self.decoder.tables(value)
        except RecordError as exc:
            self.log.write("tables_rejected", why=str(exc), bytes=len(value))
            return
        known = self.tables.version if self.tables else None
        if known is not None and tables.version <= known:
            return
        self.tables = tables
        self.log.write(
            "tables_applied",
            version=tables.version,
            before=known,
            routes=len(tables.routes),
        )
        self.changed()

    def _take_zone(self, zone: str, out: bool) -> None:
        changed = (
            self.endpoints.zone_out(zone) if out else self.endpoints.zone_back(zone)
        )
        if changed:
            self.log.write("zone_changed", zone=zone, out=out)

    def _endpoints(self, page: Page) -> None:
        time_s = now()
        for key, value in page.records:
            if value is None:
                self.endpoints.remove(key, time_s)
                continue
            try:
                record = self.decoder.endpoint(key, value)
            except RecordError as exc:
                self.log.write("declaration_rejected", key=key[:64], why=str(exc))
                continue
            self.endpoints.declare(record, time_s)
        if page.whole:
            names = [key for key, value in page.records if value is not None]
            self.endpoints.keep_only(names, time_s)


def _nothing(topic: "TopicFollower") -> None:
    """Tell nobody."""


class TopicFollower:
    """Keeps up with one topic, whatever the store does.

    Attributes:
      failing: True while the store gives no usable answer.
      changed: Called when the store is lost or regained.
    """

    def __init__(
        self,
        sources: RecordSources,
        relay: RecordRelay,
        topic: Topic,
        beliefs: Beliefs,
    ) -> None:
        """Create a follower.

        Args:
          sources: Where to read.
          relay: What to tell of it to peers.
          topic: What to follow.
          beliefs: What to tell.
        """
        self._sources = sources
        self._relay = relay
        self._topic = topic
        self._beliefs = beliefs
        self._offset: int | None = None
        self._known = 0
        self._reading: asyncio.Task | None = None
        self._doubted = False
        self.failing = False
        self.read_s = now()
        self.changed: Callable[[TopicFollower], None] = _nothing

    async def run(self) -> None:
        """Follow the topic for ever."""
        while True:
            try:
                await self._step_or_doubt()
            except StoreGapError:
                self._beliefs.log.write("history_dropped", topic=self._topic.value)
                self._offset = None
            except StoreError as exc:
                self._failed(str(exc))
                await asyncio.sleep(RETRY_S * (1.0 + random.random()))
            else:
                self._back()

    def doubt(self) -> None:
        """End a read that waits, since the store failed or came back elsewhere.

        The connection may have gone silent; the next read tells.
        """
        if self._reading is not None:
            self._doubted = True
            self._reading.cancel()

    async def _step_or_doubt(self) -> None:
        self._reading = asyncio.ensure_future(self._step())
        try:
            await self._reading
        except asyncio.CancelledError:
            if not self._doubted:
                self._reading.cancel()
                raise
            raise StoreError("another read of the store failed") from None
        finally:
            self._doubted = False
            self._reading = None

    async def _step(self) -> None:
        if self._offset is None:
            page = await self._sources.newest(self._topic, self._known)
        else:
            page = await self._sources.read(self._topic, self._offset, self._wait_s)
        if page.whole:
            self._relay.restart(self._topic, page)
        else:
            self._relay.extend(self._topic, self._offset, page)
        self._beliefs.apply(self._topic, page)
        self._offset = self._known = page.end
        self.read_s = now()
        if sum(len(value or b"") for _, value in page.records) > LARGE_BYTES:
            await asyncio.sleep(AFTER_LARGE_S)

    @property
    def _wait_s(self) -> float:
        """Return how long a read may wait; one that tests the store does not."""
        if self.failing:
            return 0.0
        return WAITS_S[self._topic]

    def _failed(self, why: str) -> None:
        if self._topic is Topic.ENDPOINTS:
            self._beliefs.endpoints.store_failed(now())
        if not self.failing:
            self.failing = True
            self._beliefs.log.write("store_lost", topic=self._topic.value, why=why)
            self.changed(self)

    def _back(self) -> None:
        if not self.failing:
            return
        self.failing = False
        if self._topic is Topic.ENDPOINTS:
            self._beliefs.endpoints.store_back(now())
        self._beliefs.log.write(
            "store_regained", topic=self._topic.value, offset=self._offset
        )
        self.changed(self)


class Follower:
    """Keeps up with all topics."""

    def __init__(
        self, cfg: RouterConfig, store: BaseStore, beliefs: Beliefs, news: LoadNews
    ) -> None:
        """Create a follower.

        Args:
          cfg: Settings of the router.
          store: The store.
          beliefs: What to tell.
          news: What peers tell each other of endpoints' loads.
        """
        self._cfg = cfg
        self._store = store
        self._beliefs = beliefs
        self.sources = RecordSources(store, beliefs.peers, beliefs.log, news)
        self.relay = RecordRelay()
        self.topics = [
            TopicFollower(self.sources, self.relay, topic, beliefs)
            for topic in (Topic.ROUTERS, Topic.OPERATORS, Topic.ENDPOINTS)
        ]
        for topic in self.topics:
            topic.changed = self._doubt_others

    def _doubt_others(self, changed: TopicFollower) -> None:
        """Test the store anew where a read may wait on a dead connection."""
        for topic in self.topics:
            if topic is not changed and (changed.failing or topic.failing):
                topic.doubt()

    def doubt_all(self) -> None:
        """Test every connection, since this router stood still."""
        for topic in self.topics:
            topic.doubt()

    async def run(self) -> None:
        """Follow everything for ever."""
        async with asyncio.TaskGroup() as group:
            for topic in self.topics:
                group.create_task(topic.run())
            group.create_task(self._enter())

    async def _enter(self) -> None:
        """Enter this router into the store, unless it stands there."""
        cfg = self._cfg
        entry = encode_peer(cfg.zone, cfg.peers, cfg.relays)
        while True:
            await asyncio.sleep(ENTER_S)
            if Topic.ROUTERS not in self._beliefs.known:
                continue
            if self._beliefs.peers.has(cfg.name, cfg.peers):
                return
            try:
                await self._store.put(Topic.ROUTERS, cfg.name, entry)
            except StoreError as exc:
                self._beliefs.log.write("entry_failed", why=str(exc))
                await asyncio.sleep(ENTER_AGAIN_S)
