"""Regular exchange of load reports, and of the versions of tables, between routers."""

import asyncio
import random
from collections.abc import Callable
from urllib.parse import quote

from cranberrysail.router.clock import now
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.decoding import InvalidMessageError
from cranberrysail.router.httpstore import HttpStoreClient
from cranberrysail.router.loadgossip import LOADS_PATH, MAX_SENT_AGE_S, LoadGossip
from cranberrysail.router.peers import (
    CONNECT_TIMEOUT_S,
    QUARANTINE_HEADER,
    VERSION_HEADER,
    BaseQuarantineSource,
    BaseTablesSource,
    RegisteredRouter,
    RouterDirectory,
    parse_version,
)
from cranberrysail.router.store import StoreError

__all__ = ["EXCHANGE_INTERVAL_S", "OVERLAP_S", "LoadExchange", "exchange_interval_s"]

# Interval between two exchanges of a router. Calls take about a second, and a report
# that is much older says little about the load at present.
EXCHANGE_INTERVAL_S = 0.3
# The interval where work is weighed: a backlog lasts a few tenths of a second, and
# older reports of it make more first events late.
SHORT_INTERVAL_S = 0.2
# Routers of a zone up to which the interval is short: one router answers all others.
MAX_SHORT_INTERVAL_ROUTERS = 24
# Maximum time for a response.
RESPONSE_TIMEOUT_S = 0.5
# Reports that reached a router this long before the last exchange are sent again, as
# they may have arrived while it was under way.
OVERLAP_S = 0.05
# A partner that failed is not asked again for this time.
BACKOFF_S = 1.0


def exchange_interval_s(weighs_work: bool, zone_size: int) -> float:
    """Return the interval between two exchanges of a router.

    Args:
      weighs_work: Whether calls are placed by their work.
      zone_size: Number of routers in the zone.
    """
    if weighs_work and zone_size <= MAX_SHORT_INTERVAL_ROUTERS:
        return SHORT_INTERVAL_S
    return EXCHANGE_INTERVAL_S


class LoadExchange:
    """Exchanges loads with other routers at regular intervals."""

    def __init__(
        self,
        name: str,
        load_gossip: LoadGossip,
        tables: BaseTablesSource,
        quarantine: BaseQuarantineSource,
        routers: RouterDirectory,
        log: DecisionLog,
        weighs_work: Callable[[], bool],
    ) -> None:
        """Create an instance for one router.

        Args:
          name: Name of this router.
          load_gossip: Loads to share, and where to merge those of others.
          tables: Tables in force, and where to tell of those of others.
          quarantine: Where to tell of the quarantine records of others.
          routers: The registered routers.
          log: Log of failed exchanges.
          weighs_work: Returns whether calls are placed by their work.
        """
        self._name = name
        self._tables = tables
        self._quarantine = quarantine
        self._load_gossip = load_gossip
        self._routers = routers
        self._log = log
        self._weighs_work = weighs_work
        self._clients: dict[str, HttpStoreClient] = {}
        self._last_exchange_s: dict[str, float] = {}
        self._backoff_until_s: dict[str, float] = {}
        self._turn = 0

    async def run(self) -> None:
        """Exchange loads until cancelled."""
        while True:
            # Random, so that the routers of a zone do not ask one router all at once.
            interval_s = exchange_interval_s(
                self._weighs_work(), self._routers.zone_size
            )
            await asyncio.sleep(interval_s * random.uniform(0.8, 1.2))
            self._turn += 1
            partners = [
                p
                for p in self._routers.load_partners(self._turn)
                if now() >= self._backoff_until_s.get(p.address, 0.0)
            ]
            if partners:
                await self._exchange(partners[0])

    async def _exchange(self, partner: RegisteredRouter) -> None:
        started_s = now()
        last_s = self._last_exchange_s.get(partner.address, float("-inf"))
        within_s = min(MAX_SENT_AGE_S, started_s - last_s + OVERLAP_S)
        client = self._clients.setdefault(
            partner.address, HttpStoreClient(partner.address, CONNECT_TIMEOUT_S)
        )
        target = (
            f"{LOADS_PATH}?within_ms={within_s * 1000:.0f}"
            f"&router={quote(self._name, safe='')}&tables={self._tables.version}"
        )
        sent = self._load_gossip.encode(started_s, within_s, partner.name)
        try:
            response = await client.request(
                "loads", "POST", target, sent, RESPONSE_TIMEOUT_S
            )
            self._load_gossip.merge_message(response.body, now(), partner.name)
        except (StoreError, InvalidMessageError) as exc:
            self._backoff_until_s[partner.address] = now() + BACKOFF_S
            self._log.write("loads_not_exchanged", peer=partner.name, why=str(exc))
            return
        headers = {name: value.decode("latin-1") for name, value in response.headers}
        if VERSION_HEADER in headers:
            version = parse_version(headers[VERSION_HEADER])
            self._tables.heard(partner.name, version)
        self._quarantine.heard(partner.name, headers.get(QUARANTINE_HEADER, ""))
        self._last_exchange_s[partner.address] = started_s

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()
