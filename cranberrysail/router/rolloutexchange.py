"""Exchange of evidence and phases of roll-outs between routers, while one is running.

A router sends its own counts to the first router of its zone, which adds them up and
exchanges the sums with the first ones of the other zones. Messages have the size of the
zones' sums, whatever the number of routers.
"""

import asyncio
import random
from typing import Annotated

import msgspec

from cranberrysail.router.clock import now
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.decoding import (
    InvalidMessageError,
    MessageDecoder,
    UnsignedInteger,
)
from cranberrysail.router.httpstore import HttpStoreClient
from cranberrysail.router.peers import (
    CONNECT_TIMEOUT_S,
    ROLLOUTS_PATH,
    BaseRolloutSource,
    RegisteredRouter,
    RouterDirectory,
)
from cranberrysail.router.rollout import Rollout
from cranberrysail.router.rolloutevidence import Evidence, Gauges, ZoneEvidence
from cranberrysail.router.rolloutmodel import Phase, RolloutOrder
from cranberrysail.router.rollouts import Rollouts
from cranberrysail.router.store import StoreError

__all__ = ["CountsMessage", "RolloutExchange"]

# Interval at which evidence is judged.
UPDATE_INTERVAL_S = 0.1
# Interval between two exchanges of a router, as of the exchange of loads. A fault under
# load must be known everywhere within a second.
EXCHANGE_INTERVAL_S = 0.3
# The same while calls move, for about two seconds: a fault that appears now must be
# known to all before the share is used up, after 0.9 s of all calls.
SHIFT_INTERVAL_S = 0.2
# Pause between exchanges that follow changes at once.
CHANGE_PAUSE_S = 0.05
# Maximum time for a response.
RESPONSE_TIMEOUT_S = 0.5
# A router that failed is not asked again for this time.
BACKOFF_S = 1.0
# A router to which others of its zone sent counts within this time adds them up, too,
# as it stands in for the first one.
HUB_MEMORY_S = 1.5
# More counts or zones than any deployment has are not merged.
MAX_COUNTS = 4096
MAX_ZONES = 64

_Duration = Annotated[float, msgspec.Meta(gt=0, le=1e7)]
_Counts = Annotated[
    dict[UnsignedInteger, UnsignedInteger], msgspec.Meta(max_length=MAX_COUNTS)
]


class CountsMessage(msgspec.Struct, array_like=True):
    """Counts of a router or a zone.

    Attributes:
      gauged_ms: Time of the count of open calls since the order; None without one.
    """

    counts: _Counts
    losses: tuple[UnsignedInteger, UnsignedInteger]
    gauged_ms: UnsignedInteger | None = None
    open_old: UnsignedInteger = 0
    open_all: UnsignedInteger = 0

    @classmethod
    def of(cls, evidence: ZoneEvidence) -> "CountsMessage":
        """Return a message with counts."""
        gauges = evidence.gauges
        gauged_ms = None
        if gauges.at_s >= 0:
            gauged_ms = round(gauges.at_s * 1000)
        counts = {key: n for key, n in evidence.counts.items() if n}
        losses = (evidence.losses[0], evidence.losses[1])
        return cls(counts, losses, gauged_ms, gauges.open_old, gauges.open_all)

    @property
    def gauges(self) -> Gauges:
        """Return the open calls."""
        if self.gauged_ms is None:
            return Gauges()
        return Gauges(self.gauged_ms / 1000, self.open_old, self.open_all)


class _News(msgspec.Struct, array_like=True):
    """What a router knows of one order.

    Attributes:
      elapsed_ms: Time since any router first read it.
      router: Number of the router's process.
      own: Counts of the router; None in messages that need only those of zones.
      zones: Counts of zones, by name.
      start_is_estimated: Whether the time is known by the time of day only.
    """

    service: str
    to: str
    duration_s: _Duration
    elapsed_ms: UnsignedInteger
    phase: Phase
    reason: str
    router: UnsignedInteger
    zone: str
    own: CountsMessage | None
    zones: Annotated[dict[str, CountsMessage], msgspec.Meta(max_length=MAX_ZONES)]
    start_is_estimated: bool = False


_DECODER: MessageDecoder[list[_News]] = MessageDecoder.msgpack(list[_News])


class RolloutExchange(BaseRolloutSource):
    """Judges the evidence of the orders, and exchanges it with other routers."""

    def __init__(
        self,
        rollouts: Rollouts,
        zone: str,
        routers: RouterDirectory,
        log: DecisionLog,
    ) -> None:
        """Create an instance for one router.

        Args:
          rollouts: The orders.
          zone: Zone of this router.
          routers: The registered routers.
          log: Log of failed exchanges.
        """
        self._rollouts = rollouts
        self._zone = zone
        self._routers = routers
        self._log = log
        self._clients: dict[str, HttpStoreClient] = {}
        self._backoff_until_s: dict[str, float] = {}
        self._asked_by_zone_s = float("-inf")
        self._changed = asyncio.Event()
        self._turn = 0
        rollouts.on_change = self._changed.set

    def encode(self) -> bytes:
        """Return a response with all orders that are shared."""
        return self._encode(with_own=False, with_zones=True)

    def _encode(self, with_own: bool, with_zones: bool) -> bytes:
        return msgspec.msgpack.encode(
            [
                self._news(rollout, with_own, with_zones)
                for rollout in self._rollouts.active().values()
            ]
        )

    def _encode_request(self, partner: RegisteredRouter) -> bytes:
        """Return a request: the first router of a zone needs a router's counts only."""
        is_own_zone = partner.zone == self._zone
        return self._encode(with_own=is_own_zone, with_zones=not is_own_zone)

    def _news(self, rollout: Rollout, with_own: bool, with_zones: bool) -> _News:
        evidence: Evidence = rollout.evidence
        zones = evidence.zones if with_zones else {}
        return _News(
            rollout.order.service,
            rollout.order.to,
            rollout.order.duration_s,
            max(0, round(rollout.elapsed_s(now()) * 1000)),
            rollout.phase,
            rollout.reason,
            self._rollouts.router_id,
            self._zone,
            CountsMessage.of(evidence.own) if with_own else None,
            {name: CountsMessage.of(zone) for name, zone in zones.items()},
            rollout.start_is_estimated,
        )

    def merge_message(self, message: bytes, is_request: bool) -> None:
        """Merge what another router knows.

        Args:
          message: The message.
          is_request: Whether the other router sent it by itself.

        Raises:
          InvalidMessageError: If the message is invalid.
        """
        for news in _DECODER.decode(message):
            self._merge(news, is_request)

    def _merge(self, news: _News, is_request: bool) -> None:
        order = RolloutOrder(news.service, news.to, news.duration_s)
        rollout = self._rollouts.hear(
            order,
            news.elapsed_ms / 1000,
            news.phase,
            news.reason,
            news.start_is_estimated,
        )
        if rollout is None:
            return
        evidence: Evidence = rollout.evidence
        own = news.own
        if is_request and own is not None and news.zone == self._zone:
            self._asked_by_zone_s = now()
            # Failures of the new version are judged and passed on at once.
            if evidence.merge_router(news.router, own.counts, own.losses, own.gauges):
                self._changed.set()
        for name, zone in news.zones.items():
            evidence.merge_zone(name, zone.counts, zone.losses, zone.gauges)

    async def run(self) -> None:
        """Judge evidence, and exchange it while an order is running."""
        due_s = 0.0
        while True:
            await self._wait_for_change()
            # Changes of phase, and failures of a new version, are passed on at once.
            changed = self._changed.is_set()
            self._changed.clear()
            self._rollouts.is_hub = self._is_hub()
            self._rollouts.update()
            if not self._rollouts.active():
                continue
            if not (changed or self._changed.is_set() or now() >= due_s):
                continue
            self._changed.clear()
            due_s = now() + self._interval_s * random.uniform(0.9, 1.1)
            await asyncio.gather(*(self._exchange(p) for p in self._partners()))
            await asyncio.sleep(CHANGE_PAUSE_S)

    @property
    def _interval_s(self) -> float:
        """Return the time until the next exchange."""
        active = self._rollouts.active().values()
        if any(rollout.phase is Phase.SHIFT for rollout in active):
            return SHIFT_INTERVAL_S
        return EXCHANGE_INTERVAL_S

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(UPDATE_INTERVAL_S):
                await self._changed.wait()
        except TimeoutError:
            pass

    def _is_hub(self) -> bool:
        if now() - self._asked_by_zone_s <= HUB_MEMORY_S:
            return True
        return self._routers.is_first_of_zone

    def _partners(self) -> list[RegisteredRouter]:
        """Return the routers to exchange with now.

        The first router of a zone exchanges with the first ones of all other zones, all
        others with the first router of their zone that responds.
        """
        self._turn += 1
        if self._routers.is_first_of_zone:
            return [p for p in self._routers.quarantine_partners() if self._is_due(p)]
        partners = self._routers.load_partners(self._turn)
        return [p for p in partners if self._is_due(p)][:1]

    def _is_due(self, partner: RegisteredRouter) -> bool:
        return now() >= self._backoff_until_s.get(partner.address, 0.0)

    async def _exchange(self, partner: RegisteredRouter) -> None:
        client = self._clients.setdefault(
            partner.address, HttpStoreClient(partner.address, CONNECT_TIMEOUT_S)
        )
        try:
            response = await client.request(
                "rollouts",
                "POST",
                ROLLOUTS_PATH,
                self._encode_request(partner),
                RESPONSE_TIMEOUT_S,
            )
            self.merge_message(response.body, is_request=False)
        except (StoreError, InvalidMessageError) as exc:
            self._backoff_until_s[partner.address] = now() + BACKOFF_S
            self._log.write("rollouts_not_exchanged", peer=partner.name, why=str(exc))

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()
