"""The choice of an endpoint for one call, from all that this router knows."""

import random
from dataclasses import dataclass, field

from cranberrysail.router.admission import RefusalReason, expected_wait_s
from cranberrysail.router.coldlimit import ColdLimiter
from cranberrysail.router.config import RouterConfig
from cranberrysail.router.endpoints import Endpoint, EndpointDirectory, EndpointState
from cranberrysail.router.load import EndpointView, LoadBook
from cranberrysail.router.model import Route, RouteTables, Service
from cranberrysail.router.peers import PeerBook
from cranberrysail.router.placement import Candidate, cache_source, chain_key, choose

__all__ = ["Choice", "Pace", "Selector"]

# Routers that are assumed while the others are not known.
UNKNOWN_ROUTERS = 64
# Routers that may be added and are not counted yet, as a part of those counted.
SPARE_SHARE = 3
# Weight of a new sample in the mean time of a route's answers.
PACE_WEIGHT = 0.1
# A stream of fewer events says little of its endpoint's pace.
LEAST_EVENTS = 8


@dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint for a call, or why there is none.

    Attributes:
      load: Its load as believed.
      candidates: Endpoints that could take the call.
      backlog_s: Time until there may be room, if there is none.
      cache_source: Where the endpoint may fetch cache from, if anywhere.
    """

    endpoint: Endpoint | None
    reason: RefusalReason | None = None
    load: float = 0.0
    candidates: int = 0
    backlog_s: float = 0.0
    cache_source: Endpoint | None = None


@dataclass
class Pace:
    """Mean times of answers, by route or service."""

    _mean_s: dict[str, float] = field(default_factory=dict)

    def note(self, name: str, seconds: float) -> None:
        """Take a sample."""
        mean_s = self._mean_s.get(name, seconds)
        self._mean_s[name] = mean_s + PACE_WEIGHT * (seconds - mean_s)

    def mean_s(self, name: str, fallback: float) -> float:
        """Return the mean, or a fallback before the first sample."""
        return self._mean_s.get(name, fallback)


@dataclass
class Selector:
    """Chooses endpoints.

    Attributes:
      peers: The routers that are entered in the store.
      work: Mean time that a call takes a slot, by service.
      first: Mean time to the first byte, by route.
      pace: Mean time between the events of a stream, by service.
    """

    cfg: RouterConfig
    endpoints: EndpointDirectory
    loads: LoadBook
    peers: PeerBook
    rng: random.Random
    cold: ColdLimiter = field(init=False)
    work: Pace = field(default_factory=Pace)
    first: Pace = field(default_factory=Pace)
    pace: Pace = field(default_factory=Pace)

    def __post_init__(self) -> None:
        self.cold = ColdLimiter(self.cfg.cold)

    def configure(self, cfg: RouterConfig) -> None:
        """Take changed bounds into use."""
        self.cfg = cfg
        self.cold.bound = cfg.cold

    @property
    def fleet(self) -> int:
        """Return the number of routers that may be running."""
        known = len(self.peers)
        if known == 0:
            return UNKNOWN_ROUTERS
        return known + -(-known // SPARE_SHARE)

    def note_pace(
        self, service: str, view: EndpointView, events: int, took_s: float
    ) -> None:
        """Learn from a whole stream how fast its endpoint is.

        Args:
          service: Service of the endpoint.
          view: This router's view of the endpoint.
          events: Events that came.
          took_s: Time from the first to the last.
        """
        if events < LEAST_EVENTS:
            return
        gap_s = took_s / (events - 1)
        mean_s = self.pace.mean_s(service, gap_s)
        if mean_s > 0:
            view.note_pace(gap_s / mean_s, view.heard_s)
        self.pace.note(service, gap_s)

    def service_for(self, route: Route) -> str:
        """Return a service of the route, by weight."""
        if len(route.shares) == 1:
            return route.shares[0][0]
        names = [name for name, _ in route.shares]
        weights = [weight for _, weight in route.shares]
        return self.rng.choices(names, weights)[0]

    def choose(
        self,
        tables: RouteTables,
        service_name: str,
        parts: tuple[str, ...],
        tried: set[str],
        left_s: float,
        now: float,
    ) -> Choice:
        """Return the endpoint for a call.

        Args:
          tables: Tables in force.
          service_name: Service that the call goes to.
          parts: Ids of its prompt's parts.
          tried: Endpoints that it was sent to before.
          left_s: Time that is left for it.
          now: Current time in seconds.
        """
        service = tables.services.get(service_name, Service(service_name))
        usable = [e for e in self.endpoints.usable(service_name) if e.name not in tried]
        if not usable:
            return Choice(None, RefusalReason.NO_ENDPOINT)
        warm = [e for e in usable if self._bears_one_more(e, service, now)]
        if not warm:
            return Choice(None, RefusalReason.COLD, candidates=len(usable))
        candidates = self._candidates(warm, now)
        key = chain_key(parts) if service.engine_slots else ""
        bound = self.cfg.placement
        most = bound.most(self._mean_load(service_name, now), len(self.peers))
        chosen = choose(candidates, key, self.cfg.zone, bound, most)
        work_s = self.work.mean_s(service_name, 0.1)
        wait_s = expected_wait_s(chosen.load, chosen.slots, work_s)
        if wait_s > left_s * self.cfg.admission.wait_share:
            return Choice(
                None, RefusalReason.FULL, chosen.load, len(warm), backlog_s=wait_s
            )
        source = self._cache_source(service_name, key, chosen.endpoint, now)
        return Choice(
            chosen.endpoint, None, chosen.load, len(warm), cache_source=source
        )

    def _mean_load(self, service: str, now: float) -> float:
        """Return the mean load over all endpoints of a service.

        Also over those that may take nothing, since the bound on one endpoint's load
        is a multiple of it.
        """
        endpoints = [e for e in self.endpoints if e.record.service == service]
        others = self.loads.mean_others(endpoints, now)
        loads = [
            e.open if self._takes_nothing(e) else self.loads.load(e, others, now)
            for e in endpoints
        ]
        return sum(loads) / max(1, len(loads))

    def _takes_nothing(self, endpoint: Endpoint) -> bool:
        out = endpoint.record.zone in self.endpoints.zones_out
        return out or endpoint.state is EndpointState.DRAINING

    def _cache_source(
        self, service: str, key: str, target: Endpoint, now: float
    ) -> Endpoint | None:
        if not key:
            return None
        holders = [
            e
            for e in self.endpoints
            if e.record.service == service
            and e.record.zone not in self.endpoints.zones_out
            and e.state is not EndpointState.LAPSED
            and now >= e.avoid_until_s
            and not self.loads.view(e).silent(now)
        ]
        return cache_source(holders, key, target)

    def _bears_one_more(self, endpoint: Endpoint, service: Service, now: float) -> bool:
        if service.cold_rate <= 0 or not endpoint.is_cold(now):
            return True
        return self.cold.allows(
            endpoint.name, service.cold_rate, self.fleet, self.peers.rank, now
        )

    def _candidates(self, endpoints: list[Endpoint], now: float) -> list[Candidate]:
        others = self.loads.mean_others(endpoints, now)
        doubtful = self.endpoints.doubtful_zones(now)
        found = []
        for endpoint in endpoints:
            view = self.loads.view(endpoint)
            load = (self.loads.load(endpoint, others, now) + 1) * view.burden(now) - 1
            spared = (
                now < endpoint.avoid_until_s
                or view.silent(now)
                or endpoint.state is EndpointState.LAPSED
                or (endpoint.record.zone in doubtful and not endpoint.breaks)
            )
            found.append(
                Candidate(endpoint, load, max(1, endpoint.record.slots), spared)
            )
        return found
