"""Where a router reads the store's records: peers, the store, other peers."""

import asyncio
from dataclasses import dataclass, field

from cranberrysail.router.clock import now
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.loadnews import LoadNews
from cranberrysail.router.peers import Peer, PeerBook, PeerStore
from cranberrysail.router.store import (
    BaseStore,
    Page,
    StaleError,
    StoreError,
    StoreGapError,
    Topic,
)

__all__ = ["RecordSources"]

# A peer that failed is left alone for this long at first, and then twice as long
# after each further failure; but it may be back within a second, and who reads the
# store by itself meanwhile may have a slow link.
SHUN_S = 2.0
MOST_SHUN_S = 4.0
# A peer without a fresh reading may have one at any moment.
STALE_S = 0.3
# A store that failed is asked again after this long while peers have its records.
STORE_AGAIN_S = 1.5
# Endpoints' changes come in bursts; a short pause reads several with one call.
STORE_EVERY_S = {Topic.ENDPOINTS: 0.6}


@dataclass
class _Shunned:
    until_s: float = 0.0
    next_s: float = SHUN_S


@dataclass
class RecordSources:
    """Reads from the best source that answers.

    Attributes:
      store: The store itself.
      book: The other routers.
      log: Where peers that fail are noted.
      news: What peers tell each other of endpoints' loads.
      store_read_s: When the store itself last answered.
    """

    store: BaseStore
    book: PeerBook
    log: DecisionLog
    news: LoadNews
    store_read_s: float = float("-inf")
    _store_until_s: float = 0.0
    _asked_s: dict[Topic, float] = field(default_factory=dict)
    _peers: dict[str, PeerStore] = field(default_factory=dict)
    _shunned: dict[str, _Shunned] = field(default_factory=dict)

    async def newest(self, topic: Topic, at_least: int) -> Page:
        """Return the newest record of each key.

        Peers compress it, and a router with a slow link may not get it otherwise.

        Args:
          topic: The topic.
          at_least: Offset up to which all is known; an older list is of no use.

        Raises:
          StoreError: If no source gives a usable answer.
        """
        for peer in self.book.before_store():
            page = await self._from_peer(peer, topic, 0, 0.0)
            if page is not None and page.whole and page.end >= at_least:
                return page
        page = await self.store.newest(topic)
        self.store_read_s = now()
        return page

    async def read(self, topic: Topic, start: int, wait_s: float) -> Page:
        """Return the records from an offset on.

        Raises:
          StoreGapError: If the store has dropped them.
          StoreError: If no source answers.
        """
        for peer in self.book.before_store():
            page = await self._from_peer(peer, topic, start, wait_s)
            if page is not None:
                return page
        if now() < self._store_until_s:
            page = await self._from_others(topic, start, wait_s)
            if page is not None:
                return page
        try:
            return await self._from_store(topic, start, wait_s)
        except StoreGapError:
            raise
        except StoreError as exc:
            self.log.write("store_failed", topic=topic.value, why=str(exc))
            self._store_until_s = now() + STORE_AGAIN_S
            page = await self._from_others(topic, start, wait_s)
            if page is None:
                raise
            return page

    async def _from_store(self, topic: Topic, start: int, wait_s: float) -> Page:
        await self._pace(topic)
        try:
            page = await self.store.read(topic, start, wait_s)
        except StoreGapError:
            self.store_read_s = now()
            raise
        self.store_read_s = now()
        return page

    async def _from_others(
        self, topic: Topic, start: int, wait_s: float
    ) -> Page | None:
        for peer in self.book.after_store():
            page = await self._from_peer(peer, topic, start, wait_s)
            if page is not None:
                return page
        return None

    async def _pace(self, topic: Topic) -> None:
        """Wait until the store may be asked again."""
        due_s = self._asked_s.get(topic, 0.0) + STORE_EVERY_S.get(topic, 0.0)
        if due_s > now():
            await asyncio.sleep(due_s - now())
        self._asked_s[topic] = now()

    async def _from_peer(
        self, peer: Peer, topic: Topic, start: int, wait_s: float
    ) -> Page | None:
        shunned = self._shunned.setdefault(peer.address, _Shunned())
        if now() < shunned.until_s:
            return None
        client = self._peers.setdefault(
            peer.address, PeerStore(peer.address, self.news)
        )
        try:
            page = await client.read(topic, start, wait_s)
        except StaleError:
            shunned.until_s = now() + STALE_S
            return None
        except StoreError as exc:
            self.log.write(
                "peer_left_alone",
                peer=peer.name,
                topic=topic.value,
                why=str(exc),
                seconds=shunned.next_s,
            )
            shunned.until_s = now() + shunned.next_s
            shunned.next_s = min(shunned.next_s * 2, MOST_SHUN_S)
            return None
        shunned.next_s = SHUN_S
        return page

    @property
    def age_s(self) -> float:
        """Return how long ago the store itself answered."""
        return now() - self.store_read_s

    def close(self) -> None:
        """Close all connections."""
        for client in self._peers.values():
            client.close()
        self.store.close()
