"""Exchange of quarantine records with other routers, as soon as they change."""

import asyncio

from cranberrysail.router.clock import now
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.decoding import InvalidMessageError
from cranberrysail.router.httpstore import HttpStoreClient
from cranberrysail.router.metrics import RouterMetrics
from cranberrysail.router.peers import (
    CONNECT_TIMEOUT_S,
    BaseQuarantineSource,
    RegisteredRouter,
    RouterDirectory,
)
from cranberrysail.router.quarantine import ContentStage, Quarantine, StageChange
from cranberrysail.router.quarantinegossip import QUARANTINE_PATH, QuarantineGossip
from cranberrysail.router.store import StoreError

__all__ = ["QuarantineExchange"]

# Interval at which evidence is judged again as it settles.
UPDATE_INTERVAL_S = 0.25
# Pause between two exchanges, in which several changes are collected.
EXCHANGE_PAUSE_S = 0.05
# Maximum time for a response.
RESPONSE_TIMEOUT_S = 0.5
# A router that failed is not asked again for this time.
BACKOFF_S = 1.0


class QuarantineExchange(BaseQuarantineSource):
    """Judges evidence, and exchanges it with the routers that spread it.

    A router sends changes at once to the first routers of its zone, of which the first
    sends them to the first one of each other zone. All others notice by the digest in
    the next exchange of loads that the first router of their zone knows more.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        routers: RouterDirectory,
        log: DecisionLog,
        metrics: RouterMetrics,
    ) -> None:
        """Create an instance for one router.

        Args:
          quarantine: The records to share.
          routers: The registered routers.
          log: Log of changes and of failed exchanges.
          metrics: Counts changes by stage.
        """
        self._quarantine = quarantine
        self._gossip = QuarantineGossip(quarantine)
        self._routers = routers
        self._log = log
        self._metrics = metrics
        self._clients: dict[str, HttpStoreClient] = {}
        self._backoff_until_s: dict[str, float] = {}
        # Digest of what each router is known to have.
        self._digests: dict[str, str] = {}
        self._heard: set[str] = set()
        self._wake = asyncio.Event()
        self._digest = ""

    @property
    def digest(self) -> str:
        """Return a digest of the records as of the last update, empty if none."""
        return self._digest

    def encode(self) -> bytes:
        """Return a message with the records."""
        return self._gossip.encode(now())

    def merge_message(self, message: bytes) -> None:
        """Merge the records of another router.

        Raises:
          InvalidMessageError: If the message is invalid.
        """
        self._gossip.merge_message(message, now())
        self.update()

    def heard(self, router: str, digest: str) -> None:
        """Record the digest of another router; exchange records if it differs."""
        if digest == self.digest:
            return
        self._heard.add(router)
        self._wake.set()

    def update(self) -> None:
        """Judge the evidence anew and share what has changed."""
        for change in self._quarantine.update(now()):
            self._report(change)
        self._digest = self._gossip.digest(now())
        self._wake.set()

    def _report(self, change: StageChange) -> None:
        restricted = change.stage is not ContentStage.OBSERVED
        self._metrics.count("content_stages", change.stage.value)
        self._log.write(
            f"content_{change.stage.value}" if restricted else "content_cleared",
            content=change.content_id,
            before=change.before,
            crashes=change.crashes,
            span_s=round(change.span_s, 2),
        )

    async def run(self) -> None:
        """Judge and exchange records until cancelled."""
        while True:
            try:
                async with asyncio.timeout(UPDATE_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                if len(self._quarantine):
                    self.update()
                continue
            self._wake.clear()
            await self._exchange_with_all()
            await asyncio.sleep(EXCHANGE_PAUSE_S)

    async def _exchange_with_all(self) -> None:
        heard, self._heard = self._heard, set()
        partners = {p.name: p for p in self._routers.quarantine_partners()}
        for name in heard:
            peer = self._routers.get(name)
            if peer is not None:
                partners[name] = peer
        digest = self.digest
        due = [
            partner
            for name, partner in partners.items()
            if (name in heard or self._digests.get(name, "") != digest)
            and now() >= self._backoff_until_s.get(name, 0.0)
        ]
        await asyncio.gather(*(self._exchange(partner) for partner in due))

    async def _exchange(self, partner: RegisteredRouter) -> None:
        client = self._clients.setdefault(
            partner.address, HttpStoreClient(partner.address, CONNECT_TIMEOUT_S)
        )
        try:
            response = await client.request(
                "quarantine", "POST", QUARANTINE_PATH, self.encode(), RESPONSE_TIMEOUT_S
            )
            self.merge_message(response.body)
        except (StoreError, InvalidMessageError) as exc:
            self._backoff_until_s[partner.name] = now() + BACKOFF_S
            self._log.write("content_not_shared", peer=partner.name, why=str(exc))
            return
        self._digests[partner.name] = self.digest

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()
