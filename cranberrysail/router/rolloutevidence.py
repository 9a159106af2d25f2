"""Evidence about the versions of a service: counts of responses, and their merging.

Each router counts cumulatively for one order, by route and side: the old versions and
the new one. All counts only rise. So the counts of a zone, which its routers add up,
merge by the maximum, and in whatever order messages arrive, none counts twice.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

import xxhash

__all__ = [
    "Counts",
    "Evidence",
    "Field",
    "Gauges",
    "Ground",
    "Side",
    "ZoneEvidence",
    "bad_reason",
    "count_of",
    "route_id",
]

# Number of a counter: the route's id times this, plus side and field.
FIELDS_PER_ROUTE = 8
# Routes are told apart by so many values, of which a counter's number takes three bytes
# in a message. The tables of a deployment have some tens; two with one value are judged
# together.
ROUTE_IDS = 1 << 12
# Periods in which lost responses are counted once each, since the crash of one endpoint
# loses many at once. The order's duration is divided into at most so many periods.
MAX_LOSS_PERIODS = 60
# Shorter periods would count a crash twice, as a lost response may be noticed late.
MIN_LOSS_PERIOD_S = 0.5
# Periods with losses from which on a version is taken to lose responses by itself. A
# crash counts at most in two.
MIN_LOSS_PERIODS = 3
# Failures and slow responses below which there is no verdict: two may be chance even
# where the old version had none.
MIN_FAILURES = 3
MIN_SLOW = 6
# Probability below which an excess is taken not to be chance. The test is repeated some
# hundred times per order, overall and for each route.
FAILURE_CHANCE = 2e-4
SLOW_CHANCE = 1e-6
# Rates assumed of an old version at least, as its counts are small at first, too. Slow
# responses come in groups, when an endpoint's host is busy.
MIN_FAILURE_RATE = 0.005
MIN_SLOW_RATE = 0.1

Counts = Mapping[int, int]


class Side(IntEnum):
    """Whether an endpoint has one of the old versions or the new one."""

    OLD = 0
    NEW = 1


class Field(IntEnum):
    """What is counted.

    Attributes:
      RESPONSES: Responses, and failures without one except lost connections.
      FAILURES: Those of them that show a fault of the endpoint.
      TIMED: Those whose duration was judged.
      SLOW: Those of them that were slow.
    """

    RESPONSES = 0
    FAILURES = 1
    TIMED = 2
    SLOW = 3


class Ground(StrEnum):
    """On what ground a version is bad."""

    FAILURES = "failures"
    SLOW = "slow"
    LOSSES = "lost connections"


def route_id(name: str) -> int:
    """Return the id of a route in messages."""
    return xxhash.xxh3_64_intdigest(name.encode()) % ROUTE_IDS


def _key(route: int, side: Side, what: Field) -> int:
    return route * FIELDS_PER_ROUTE + side * len(Field) + what


def count_of(counts: Counts, side: Side, what: Field, route: int | None = None) -> int:
    """Return a count of one route, or of all routes."""
    if route is not None:
        return counts.get(_key(route, side, what), 0)
    offset = side * len(Field) + what
    return sum(n for key, n in counts.items() if key % FIELDS_PER_ROUTE == offset)


@dataclass(frozen=True, slots=True)
class Gauges:
    """Open calls and the time at which they were counted, since the order.

    Attributes:
      at_s: Time of the count, in seconds since the first read of the order.
      open_old: Open calls at endpoints of the old versions.
      open_all: Open calls at all endpoints of the service.
    """

    at_s: float = float("-inf")
    open_old: int = 0
    open_all: int = 0


@dataclass(slots=True)
class ZoneEvidence:
    """The counts of the routers of one zone.

    Attributes:
      losses: Periods with lost responses, as a set of bits, for each side.
    """

    counts: Counter[int] = field(default_factory=Counter)
    losses: list[int] = field(default_factory=lambda: [0, 0])
    gauges: Gauges = field(default_factory=Gauges)

    def merge(self, counts: Counts, losses: Iterable[int], gauges: Gauges) -> None:
        """Merge counts of the same zone."""
        for key, count in counts.items():
            if count > self.counts[key]:
                self.counts[key] = count
        self.losses = [a | b for a, b in zip(self.losses, losses, strict=True)]
        if gauges.at_s > self.gauges.at_s:
            self.gauges = gauges


class Evidence:
    """The evidence of one order as far as a router knows it.

    Attributes:
      own: Counts of this router.
      routers: Counts of the routers of this zone, by a number for each of their
        processes.
      zones: Counts by zone.
    """

    def __init__(self, router_id: int, zone: str, duration_s: float) -> None:
        """Create empty evidence.

        Args:
          router_id: Number of this router's process.
          zone: Zone of this router.
          duration_s: Time from the order to its deadline.
        """
        self._router_id = router_id
        self._zone = zone
        self._loss_period_s = max(MIN_LOSS_PERIOD_S, duration_s / MAX_LOSS_PERIODS)
        self.own = ZoneEvidence()
        self.routers: dict[int, ZoneEvidence] = {router_id: self.own}
        self.zones: dict[str, ZoneEvidence] = {zone: ZoneEvidence()}

    def add_response(self, route: str, side: Side, failed: bool) -> None:
        """Count a response of an endpoint."""
        number = route_id(route)
        self.own.counts[_key(number, side, Field.RESPONSES)] += 1
        if failed:
            self.own.counts[_key(number, side, Field.FAILURES)] += 1

    def add_duration(self, route: str, side: Side, slow: bool) -> None:
        """Count a response whose duration was judged."""
        number = route_id(route)
        self.own.counts[_key(number, side, Field.TIMED)] += 1
        if slow:
            self.own.counts[_key(number, side, Field.SLOW)] += 1

    def add_loss(self, side: Side, elapsed_s: float) -> None:
        """Record that a response was lost, or did not come by its deadline."""
        period = min(MAX_LOSS_PERIODS, int(max(0.0, elapsed_s) / self._loss_period_s))
        self.own.losses[side] |= 1 << period

    def set_open_calls(self, elapsed_s: float, open_old: int, open_all: int) -> None:
        """Record this router's open calls."""
        self.own.gauges = Gauges(elapsed_s, open_old, open_all)

    def merge_router(
        self, router_id: int, counts: Counts, losses: Iterable[int], gauges: Gauges
    ) -> bool:
        """Merge the counts of another router of this zone.

        Returns:
          Whether it has new failures of the new version.
        """
        if router_id == self._router_id:
            return False
        known = self.routers.setdefault(router_id, ZoneEvidence())
        before = count_of(known.counts, Side.NEW, Field.FAILURES)
        lost_before = known.losses[Side.NEW]
        known.merge(counts, losses, gauges)
        return (
            count_of(known.counts, Side.NEW, Field.FAILURES) > before
            or known.losses[Side.NEW] != lost_before
        )

    def merge_zone(
        self, zone: str, counts: Counts, losses: Iterable[int], gauges: Gauges
    ) -> None:
        """Merge the counts of a zone."""
        self.zones.setdefault(zone, ZoneEvidence()).merge(counts, losses, gauges)

    def add_up_zone(self, elapsed_s: float, max_age_s: float, is_hub: bool) -> None:
        """Add up the counts of this zone's routers.

        Args:
          elapsed_s: Time since the first read of the order.
          max_age_s: Open calls that were counted longer ago are left out, as the router
            may have ended.
          is_hub: Whether the routers of this zone send their counts to this one. Only
            such a router knows all open calls.
        """
        total: Counter[int] = Counter()
        losses = [0, 0]
        for router in self.routers.values():
            total.update(router.counts)
            losses = [a | b for a, b in zip(losses, router.losses, strict=True)]
        gauges = Gauges()
        if is_hub:
            live = [
                r.gauges
                for r in self.routers.values()
                if elapsed_s - r.gauges.at_s <= max_age_s
            ]
            gauges = Gauges(
                elapsed_s, sum(g.open_old for g in live), sum(g.open_all for g in live)
            )
        self.zones[self._zone].merge(total, losses, gauges)

    def total(self) -> tuple[Counter[int], list[int]]:
        """Return the counts of all zones."""
        total: Counter[int] = Counter()
        losses = [0, 0]
        for zone in self.zones.values():
            total.update(zone.counts)
            losses = [a | b for a, b in zip(losses, zone.losses, strict=True)]
        return total, losses

    def open_calls(self, elapsed_s: float, max_age_s: float) -> tuple[int, int]:
        """Return the open calls at old endpoints, and at all, of live zones.

        This router's own count at least.
        """
        live = [
            z.gauges
            for z in self.zones.values()
            if elapsed_s - z.gauges.at_s <= max_age_s
        ]
        own = self.own.gauges
        return (
            max(own.open_old, sum(g.open_old for g in live)),
            max(own.open_all, sum(g.open_all for g in live)),
        )


def _excess_chance(bad: int, total: int, rate: float) -> float:
    """Return the probability of at least so many bad ones of a total by chance."""
    if bad <= total * rate:
        return 1.0
    # Probability of exactly ``bad``; the rest is a geometric series at most.
    log_term = (
        math.lgamma(total + 1)
        - math.lgamma(bad + 1)
        - math.lgamma(total - bad + 1)
        + bad * math.log(rate)
        + (total - bad) * math.log1p(-rate)
    )
    ratio = (total - bad) / (bad + 1) * rate / (1.0 - rate)
    return min(1.0, math.exp(log_term) / max(1e-9, 1.0 - ratio))


def _exceeds(
    counts: Counts,
    route: int | None,
    of: Field,
    bad: Field,
    min_bad: int,
    min_rate: float,
    chance: float,
) -> bool:
    new_bad = count_of(counts, Side.NEW, bad, route)
    if new_bad < min_bad:
        return False
    old_total = count_of(counts, Side.OLD, of, route)
    old_bad = count_of(counts, Side.OLD, bad, route)
    # One more bad one, since few responses show a rate only roughly.
    rate = max(min_rate, (old_bad + 1) / (old_total + 2) if old_bad else 0.0)
    if rate >= 1.0:
        return False
    new_total = count_of(counts, Side.NEW, of, route)
    return _excess_chance(new_bad, new_total, rate) < chance


def bad_reason(counts: Counts, losses: Iterable[int]) -> str:
    """Return on what ground the new version is worse than the old ones, or nothing.

    Args:
      counts: Counts of all routers.
      losses: Periods with lost responses, for the old versions and the new one.
    """
    routes = [None, *sorted({key // FIELDS_PER_ROUTE for key in counts})]
    for route in routes:
        if _exceeds(
            counts,
            route,
            Field.RESPONSES,
            Field.FAILURES,
            MIN_FAILURES,
            MIN_FAILURE_RATE,
            FAILURE_CHANCE,
        ):
            return Ground.FAILURES.value
    old_losses, new_losses = losses
    if new_losses.bit_count() >= MIN_LOSS_PERIODS + old_losses.bit_count():
        return Ground.LOSSES.value
    for route in routes:
        if _exceeds(
            counts,
            route,
            Field.TIMED,
            Field.SLOW,
            MIN_SLOW,
            MIN_SLOW_RATE,
            SLOW_CHANCE,
        ):
            return Ground.SLOW.value
    return ""
