"""Takes over route tables of a higher version from other routers.

The newest record of the store may be an older version than one that some router has in
force, and a router may not reach the store. So routers tell each other their versions
with each exchange of loads, and one that hears of a higher version fetches them,
whatever the store shows.
"""

import asyncio

from cranberrysail.router.clock import now
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.follower import RoutingState
from cranberrysail.router.httpstore import HttpStoreClient
from cranberrysail.router.peers import (
    CONNECT_TIMEOUT_S,
    RESPONSE_TIMEOUT_S,
    TABLES_PATH,
    BaseTablesSource,
    RegisteredRouter,
    RouterDirectory,
    decode_tables_response,
)
from cranberrysail.router.recordcache import RecordCache
from cranberrysail.router.store import Record, StoreError, Topic

__all__ = ["PeerTables"]

# Delay before tables are fetched; their record usually arrives meanwhile.
FETCH_DELAY_S = 0.3
# A router from which tables could not be fetched is not asked again for this time.
FAILED_RETRY_S = 1.0
# The same for one whose tables were no newer than those in force.
FRUITLESS_RETRY_S = 5.0


class PeerTables(BaseTablesSource):
    """Fetches tables from routers that have a higher version in force."""

    def __init__(
        self,
        state: RoutingState,
        routers: RouterDirectory,
        cache: RecordCache,
        log: DecisionLog,
    ) -> None:
        """Create an instance for one router.

        Args:
          state: The state whose tables are compared and replaced.
          routers: The registered routers, from which alone tables are fetched.
          cache: The cache of records that this router serves to peers.
          log: Log of versions that this router lacked.
        """
        self._state = state
        self._routers = routers
        self._cache = cache
        self._log = log
        self._versions: dict[str, int] = {}
        self._heard = asyncio.Event()
        self._retry_at_s: dict[str, float] = {}

    @property
    def version(self) -> int:
        """Return the version of the tables in force, 0 if there are none."""
        return self._state.tables.version if self._state.tables else 0

    @property
    def record(self) -> Record | None:
        """Return the record of the tables in force, None if there are none."""
        return self._state.tables_record

    def heard(self, router: str, version: int) -> None:
        """Record the version of the tables that another router has in force."""
        if self._is_worth_asking(router, version):
            self._versions[router] = version
            self._heard.set()

    def _is_worth_asking(self, router: str, version: int) -> bool:
        retry_at_s = self._retry_at_s.get(router, float("-inf"))
        return version > self.version and now() >= retry_at_s

    async def run(self) -> None:
        """Fetch tables of higher versions until cancelled."""
        while True:
            await self._heard.wait()
            self._heard.clear()
            await asyncio.sleep(FETCH_DELAY_S)
            versions, self._versions = self._versions, {}
            # Without the operators' records the zones out of service are not known.
            if Topic.OPERATORS not in self._state.eras:
                continue
            for name in sorted(versions, key=versions.get, reverse=True):
                peer = self._routers.get(name)
                if peer is not None and self._is_worth_asking(name, versions[name]):
                    await self._fetch(peer, versions[name])

    async def _fetch(self, peer: RegisteredRouter, version: int) -> None:
        before = self.version
        self._log.write(
            "tables_behind", peer=peer.name, version=version, in_force=before
        )
        client = HttpStoreClient(peer.address, CONNECT_TIMEOUT_S)
        try:
            response = await client.request(
                "tables", "GET", TABLES_PATH, b"", RESPONSE_TIMEOUT_S
            )
            record = decode_tables_response(response.body)
        except StoreError as exc:
            self._log.write("tables_not_fetched", peer=peer.name, why=str(exc))
            self._retry_at_s[peer.name] = now() + FAILED_RETRY_S
            return
        finally:
            client.close()
        if self._state.apply_tables(record, peer.name):
            self._cache.replace(Topic.OPERATORS, *record)
        if self.version == before:
            self._retry_at_s[peer.name] = now() + FRUITLESS_RETRY_S
