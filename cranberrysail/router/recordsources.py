"""Reads the store's records from peers, the store or, if it fails, other peers."""

import asyncio
from dataclasses import dataclass, field, replace
from enum import StrEnum

from cranberrysail.router.clock import now
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.metrics import RouterMetrics
from cranberrysail.router.peers import (
    MAX_RECORD_AGE_S,
    MAX_WAIT_S,
    RESPONSE_TIMEOUT_S,
    PeerStore,
    RegisteredRouter,
    RouterDirectory,
)
from cranberrysail.router.store import (
    LOG_START,
    BaseStore,
    EraChangedError,
    OffsetOutOfRangeError,
    Page,
    Position,
    Record,
    Records,
    StalePeerError,
    StoreError,
    Topic,
)

__all__ = ["ReadReason", "RecordSources"]

# Backoff after a peer failed; it doubles with each further failure. The maximum is
# low, since a peer may be back within a second, and meanwhile this router, possibly
# on a slow link, reads the store itself.
INITIAL_BACKOFF_S = 2.0
MAX_BACKOFF_S = 4.0
# Delay before a stale peer is asked again. Short, since it may read the store at any
# moment.
STALE_PEER_RETRY_S = 0.3
# How often peers that have not read a restored store yet are asked again before this
# router reads the snapshot from the store, so that few of a zone do.
RESTORED_PEER_RETRIES = 2
# After a failed read of the store, the fallback peers are asked before it for this
# long.
STORE_RETRY_S = 1.5
# Time beyond the maximum age of records for a peer's response to arrive, after which
# the store is read.
PEER_OVERTIME_S = 0.3
# A store that shows less than was applied for longer than this has lost records, even
# if it does not say so by its era.
MAX_BEHIND_S = 30.0
# A router that starts waits this long for the list of routers. Those of a fleet that
# starts as a whole register within half a second.
START_ROUTERS_WAIT_S = 1.0
# A router that starts asks this many peers for a snapshot before it reads the store.
# One that has started as well is waited for, as it may be reading the snapshot; one
# that is dead accepts no connection, which takes less time.
START_PEERS = 2
START_PEER_WAIT_S = 0.75
START_PEER_TIMEOUT_S = 0.8
# Topics whose records say which of a key is newer, so that earlier ones tell more than
# the newest of each key.
ORDERED_TOPICS = {Topic.OPERATORS, Topic.ENDPOINTS}
# Minimum interval between reads of the store. Endpoints change in bursts, and one
# read after a short pause reads several changes.
STORE_READ_INTERVAL_S = {Topic.ENDPOINTS: 0.6, Topic.ROUTERS: 0.5}


class ReadReason(StrEnum):
    """Reason for a request that reads from the store.

    Attributes:
      START: A snapshot for a router that has applied nothing yet.
      SNAPSHOT: A snapshot after a failure, a restore, or records that were dropped.
      HISTORY: Records before those of a snapshot.
      NO_PEER: This router has no preferred peers, as the first one of its zone.
      PEER_OUTDATED: The records of its preferred peers are too old.
      PEER_FAILED: Its preferred peers failed, or are left alone after a failure.
      TOO_OLD: Its own records are too old for a peer to be asked.
    """

    START = "start"
    SNAPSHOT = "snapshot"
    HISTORY = "history"
    NO_PEER = "no_peer"
    PEER_OUTDATED = "peer_outdated"
    PEER_FAILED = "peer_failed"
    TOO_OLD = "too_old"


@dataclass
class _Backoff:
    """When a peer is tried again, and the delay after its next failure.

    Attributes:
      outdated: True if its last response was of an earlier era of the store.
      failed: True if its last request failed; False if its records were too old.
    """

    outdated: bool = False
    failed: bool = False
    until_s: float = 0.0
    delay_s: float = INITIAL_BACKOFF_S


@dataclass
class RecordSources:
    """Reads from the first source that responds.

    Attributes:
      store: The store.
      routers: The registered routers, including this one.
      log: Log of failed reads.
      metrics: Counts the requests to the store by reason.
      store_last_read_s: Time at which the store last responded, by topic.
    """

    store: BaseStore
    routers: RouterDirectory
    log: DecisionLog
    metrics: RouterMetrics
    store_last_read_s: dict[Topic, float] = field(default_factory=dict)
    _routers_known: asyncio.Event = field(default_factory=asyncio.Event)
    _store_failing: bool = False
    _store_retry_at_s: float = 0.0
    _store_read_started_s: dict[Topic, float] = field(default_factory=dict)
    _behind_since_s: dict[Topic, float] = field(default_factory=dict)
    _clients: dict[str, PeerStore] = field(default_factory=dict)
    _backoffs: dict[str, _Backoff] = field(default_factory=dict)

    async def read_snapshot(
        self, topic: Topic, min_position: Position, recent_offset: int | None = None
    ) -> Page:
        """Return the newest record of each key.

        Asks peers first, since they compress the records. The store does not, and a
        router on a slow link may not receive its response in time.

        An older record may have been written behind a newer one of its key, which a
        snapshot then lacks. So what the store retains of the history is read, too, by a
        router that has applied nothing yet, and as far as a restored store may have
        been given records again.

        Args:
          topic: The topic.
          min_position: Position up to which records have been applied; a snapshot that
            ends before it is ignored.
          recent_offset: Offset before all records that a restored store may have been
            given again.

        Raises:
          StoreError: If no source returns a usable response.
        """
        page = await self._read_snapshot_before_store(topic, min_position)
        if page is not None:
            return page
        starts = min_position == LOG_START
        self._count(ReadReason.START if starts else ReadReason.SNAPSHOT)
        try:
            page = await self.store.read_snapshot(topic)
            self._raise_if_outdated(page)
            self._raise_if_behind(topic, page, min_position)
            if starts and topic in ORDERED_TOPICS:
                page = await self._add_history(topic, page)
            elif recent_offset is not None and page.era > min_position.era:
                page = await self._add_recent(topic, page, recent_offset)
        except EraChangedError:
            raise
        except StoreError as exc:
            self.log.write("store_failed", topic=topic.value, why=str(exc))
            page = await self._read_peer_snapshot(
                topic, min_position, self.routers.fallback_peers()
            )
            if page is None:
                raise
            return page
        self.store_last_read_s[topic] = now()
        return page

    async def _read_snapshot_before_store(
        self, topic: Topic, min_position: Position
    ) -> Page | None:
        """Return the snapshot of a preferred peer, None if no peer has one."""
        if min_position == LOG_START and topic is not Topic.ROUTERS:
            page = await self._read_start_snapshot(topic)
            if page is not None:
                return page
        for retry in range(RESTORED_PEER_RETRIES + 1):
            if retry:
                await asyncio.sleep(STALE_PEER_RETRY_S)
            page = await self._read_peer_snapshot(
                topic, min_position, self.routers.preferred_peers()
            )
            if page is not None:
                return page
            if not self._has_outdated_peer():
                break
        return None

    def routers_read(self) -> None:
        """Let the other topics of a router that starts be read from its peers."""
        if self.routers.can_order_zone():
            self._routers_known.set()

    async def _read_start_snapshot(self, topic: Topic) -> Page | None:
        """Return a peer's snapshot once the routers are known; None without one.

        Peers that start at the same time are waited for, so that few of many routers
        that start at once read the store, whose bandwidth they share.
        """
        try:
            async with asyncio.timeout(START_ROUTERS_WAIT_S):
                await self._routers_known.wait()
        except TimeoutError:
            return None
        start = Position(self.store.era.number, 0)
        for peer in self.routers.preferred_peers()[:START_PEERS]:
            page = await self._read_peer(
                peer, topic, start, START_PEER_WAIT_S, START_PEER_TIMEOUT_S
            )
            if page is not None and page.is_snapshot:
                return page
        return None

    def _has_outdated_peer(self) -> bool:
        addresses = [peer.address for peer in self.routers.preferred_peers()]
        return any(self._backoffs[a].outdated for a in addresses if a in self._backoffs)

    async def _read_peer_snapshot(
        self,
        topic: Topic,
        min_position: Position,
        peers: list[RegisteredRouter],
        max_age_s: float | None = None,
    ) -> Page | None:
        start = Position(self.store.era.number, 0)
        for peer in peers:
            page = await self._read_peer(
                peer, topic, start, 0.0, RESPONSE_TIMEOUT_S, max_age_s
            )
            if (
                page is not None
                and page.is_snapshot
                and page.next_position >= min_position
            ):
                self._behind_since_s.pop(topic, None)
                return page
        return None

    async def _add_history(self, topic: Topic, snapshot: Page) -> Page:
        """Return a snapshot with all earlier records that the store retains."""
        if snapshot.next_offset <= len(snapshot.records):
            return snapshot
        history = await self._read_history(topic, snapshot, 0)
        return replace(snapshot, records=(*history, *snapshot.records))

    async def _add_recent(self, topic: Topic, snapshot: Page, offset: int) -> Page:
        """Return a snapshot with earlier records of its keys before the newest ones."""
        keys = {key for key, _ in snapshot.records}
        recent = [
            (key, value)
            for key, value in await self._read_history(topic, snapshot, offset)
            if value is not None and key in keys
        ]
        return replace(snapshot, records=(*recent, *snapshot.records))

    async def _read_history(self, topic: Topic, snapshot: Page, offset: int) -> Records:
        """Return the retained records from an offset to the end of a snapshot."""
        records: list[Record] = []
        while offset < snapshot.next_offset:
            self._count(ReadReason.HISTORY)
            try:
                page = await self.store.read(topic, offset, 0.0)
            except OffsetOutOfRangeError as exc:
                if exc.first is not None and exc.first > offset:
                    offset = exc.first
                    continue
                self.log.write("recent_not_read", topic=topic.value, why=str(exc))
                break
            if page.era != snapshot.era:
                raise EraChangedError(f"the store is in its era {page.era}")
            if page.next_offset == offset:
                break
            records += page.records
            offset = page.next_offset
        return tuple(records)

    def _raise_if_outdated(self, page: Page) -> None:
        if page.era < self.store.era.number:
            raise StoreError(
                f"the store responded in its era {page.era}, after "
                f"{self.store.era.number} had begun; read again"
            )

    def _raise_if_behind(
        self, topic: Topic, page: Page, min_position: Position
    ) -> None:
        """Reject a snapshot that lacks records which have been applied."""
        if page.next_position >= min_position:
            self._behind_since_s.pop(topic, None)
            return
        since_s = self._behind_since_s.setdefault(topic, now())
        self.log.write(
            "offset_went_back",
            topic=topic.value,
            before=min_position.offset,
            next_offset=page.next_offset,
            era=page.era,
        )
        if now() - since_s > MAX_BEHIND_S:
            del self._behind_since_s[topic]
            return
        raise StoreError(
            f"the store's snapshot ends at offset {page.next_offset}, before "
            f"{min_position.offset} that was read already; read again"
        )

    async def read(
        self, topic: Topic, start: Position, wait_s: float, as_of_s: float
    ) -> Page:
        """Return the records from a position on.

        Peers are waited for only as long as the records of this router are not too
        old, so that peers that do not respond, one after another, do not delay the
        read of the store.

        Args:
          topic: The topic.
          start: Position from which to read.
          wait_s: Maximum time to wait for a record.
          as_of_s: Time at which the store had no records beyond the position.

        Raises:
          EraChangedError: If the position is of an earlier era of the store.
          OffsetOutOfRangeError: If the store has dropped them.
          StoreError: If no source returns a usable response.
        """
        fresh_until_s = as_of_s + MAX_RECORD_AGE_S[topic]
        reason = ReadReason.NO_PEER
        for peer in self.routers.preferred_peers():
            fresh_for_s = fresh_until_s - now()
            if fresh_for_s <= 0:
                if reason is ReadReason.NO_PEER:
                    reason = ReadReason.TOO_OLD
                break
            page = await self._read_peer(
                peer,
                topic,
                start,
                min(wait_s, fresh_for_s),
                fresh_for_s + PEER_OVERTIME_S,
            )
            if page is not None:
                return page
            failed = self._backoffs[peer.address].failed
            reason = ReadReason.PEER_FAILED if failed else ReadReason.PEER_OUTDATED
        if now() < self._store_retry_at_s:
            page = await self._read_fallback_peers(topic, start, wait_s)
            if page is not None:
                return page
        try:
            # A store that failed is only probed, as a waiting read would not tell.
            store_wait_s = 0.0 if self._store_failing else wait_s
            self._count(reason)
            return await self._read_store(topic, start, store_wait_s)
        except (OffsetOutOfRangeError, EraChangedError):
            raise
        except StoreError as exc:
            self.log.write("store_failed", topic=topic.value, why=str(exc))
            self._store_failing = True
            self._store_retry_at_s = now() + STORE_RETRY_S
            page = await self._read_fallback_peers(topic, start, wait_s)
            if page is None:
                raise
            return page

    async def _read_store(self, topic: Topic, start: Position, wait_s: float) -> Page:
        paused_s = await self._wait_for_interval(topic)
        # Peers expect the next read to end as early as without the pause.
        wait_s = max(0.0, wait_s - paused_s)
        page = await self.store.read(topic, start.offset, wait_s)
        self._raise_if_outdated(page)
        if page.era > start.era:
            raise EraChangedError(f"the store is in its era {page.era}")
        self.store_last_read_s[topic] = now()
        self._behind_since_s.pop(topic, None)
        self._store_failing = False
        return page

    async def _read_fallback_peers(
        self, topic: Topic, start: Position, wait_s: float
    ) -> Page | None:
        for peer in self.routers.fallback_peers():
            timeout_s = min(wait_s, MAX_WAIT_S) + RESPONSE_TIMEOUT_S
            page = await self._read_peer(peer, topic, start, wait_s, timeout_s)
            if page is not None:
                return page
        return None

    async def _wait_for_interval(self, topic: Topic) -> float:
        """Pause until the minimum interval since the last read; return the pause."""
        asked_s = now()
        due_s = self._store_read_started_s.get(topic, 0.0) + STORE_READ_INTERVAL_S.get(
            topic, 0.0
        )
        if due_s > asked_s:
            await asyncio.sleep(due_s - asked_s)
        self._store_read_started_s[topic] = now()
        return now() - asked_s

    async def _read_peer(
        self,
        peer: RegisteredRouter,
        topic: Topic,
        start: Position,
        wait_s: float,
        timeout_s: float,
        max_age_s: float | None = None,
    ) -> Page | None:
        """Return a peer's page; None if it has no usable response."""
        backoff = self._backoffs.setdefault(peer.address, _Backoff())
        if now() < backoff.until_s:
            return None
        client = self._clients.setdefault(peer.address, PeerStore(peer.address))
        try:
            page = await client.read(topic, start, wait_s, timeout_s, max_age_s)
            self.store.era.observe(page.era)
            backoff.outdated = page.era < self.store.era.number
            if backoff.outdated:
                raise StalePeerError(f"the peer is in era {page.era} of the store")
        except StalePeerError:
            backoff.failed = False
            backoff.until_s = now() + STALE_PEER_RETRY_S
            return None
        except StoreError as exc:
            self.log.write(
                "peer_left_alone",
                peer=peer.name,
                topic=topic.value,
                why=str(exc),
                seconds=backoff.delay_s,
            )
            backoff.failed = True
            backoff.until_s = now() + backoff.delay_s
            backoff.delay_s = min(backoff.delay_s * 2, MAX_BACKOFF_S)
            return None
        backoff.delay_s = INITIAL_BACKOFF_S
        return replace(page, source=peer.name)

    def _count(self, reason: ReadReason) -> None:
        self.metrics.count("store_reads", reason.value)

    def since_store_read_s(self, topic: Topic) -> float:
        """Return the time since a topic was last read from the store."""
        return now() - self.store_last_read_s.get(topic, float("-inf"))

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()
        self.store.close()
