"""Chooses the endpoint for a call from everything that this router knows."""

import math
import random
from dataclasses import dataclass, field

from cranberrysail.router.admission import RefusalReason, expected_wait_s
from cranberrysail.router.coldlimit import ColdLimiter
from cranberrysail.router.config import RouterConfig
from cranberrysail.router.eligibility import AllEligible, BaseEligibility
from cranberrysail.router.endpoints import Endpoint, EndpointDirectory, EndpointState
from cranberrysail.router.load import EndpointStats, LoadEstimate, LoadTracker
from cranberrysail.router.model import Route, RouteTables, Service
from cranberrysail.router.peers import RouterDirectory
from cranberrysail.router.placement import (
    Candidate,
    choose_cache_source,
    choose_endpoint,
    shared_prefix_id,
)
from cranberrysail.router.prefillbacklog import (
    CallWork,
    FirstEventForecast,
    PrefillModel,
)

__all__ = ["Choice", "MovingAverages", "Selector"]

# Number of routers assumed until the list of routers has been read.
ASSUMED_FLEET_SIZE = 64
# Allowance for routers that are not listed yet: one for every three that are.
FLEET_HEADROOM_DIVISOR = 3
# Weight of a new sample in the moving averages.
SAMPLE_WEIGHT = 0.1
# Streams with fewer events are too short to estimate the interval between events.
MIN_EVENTS = 8
# Time that a call is assumed to occupy a slot before the first sample, in seconds.
ASSUMED_SERVICE_TIME_S = 0.1
# Lower limit of the time for which a call found open stays open.
MIN_RESIDUAL_TIME_S = 0.001


@dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint chosen for a call, or the reason why there is none.

    Attributes:
      load: Effective load of the endpoint; of the best one if the reason is FULL.
      candidates: Number of endpoints considered: the usable ones if the reason is
        COLD, else those of them within the limit for cold endpoints.
      wait_s: Expected time until a slot becomes free, or until the first pause ends;
        set only if the reason is FULL or PAUSED.
      cache_source: Endpoint from which the prompt cache may be fetched, if any.
      rank: Rank of the endpoint for the call's prompt, 0 for its home; None without a
        prompt.
      mean_load: Mean load of the service, as far as this router knows.
      spill_load: Load above which calls spill from their home endpoint.
      report_age_s: Age of the last load report from the endpoint; None without one.
      forecast: When the first event is expected, if work is weighed.
      left_late: True if the call spilled because its first event would have been late
        at an endpoint that ranks higher.
    """

    endpoint: Endpoint | None
    reason: RefusalReason | None = None
    load: float = 0.0
    candidates: int = 0
    wait_s: float = 0.0
    cache_source: Endpoint | None = None
    rank: int | None = None
    mean_load: float = 0.0
    spill_load: float = 0.0
    report_age_s: float | None = None
    forecast: FirstEventForecast | None = None
    left_late: bool = False

    @property
    def placement_kind(self) -> str:
        """Return why the call goes to this endpoint, for metrics."""
        if self.rank is None:
            return "no prompt"
        if self.rank == 0:
            return "home"
        return "home late" if self.left_late else "home loaded"

    def work_fields(self) -> dict[str, object]:
        """Return the log fields that tell how the work of the call was weighed."""
        if self.forecast is None:
            return {}
        return {
            "expected_wait_ms": round(self.forecast.wait_s * 1000),
            "backlog_tokens": round(self.forecast.backlog_tokens),
            "backlog_calls": round(self.forecast.backlog_calls, 1),
            "call_tokens": round(self.forecast.call_tokens),
            "pace": round(self.forecast.pace, 2),
            "left_late": self.left_late,
        }


@dataclass
class MovingAverages:
    """Exponential moving averages of durations, by name of a route or service."""

    _mean_s: dict[str, float] = field(default_factory=dict)

    def add_sample(self, name: str, seconds: float) -> None:
        """Add a sample."""
        mean_s = self._mean_s.get(name, seconds)
        self._mean_s[name] = mean_s + SAMPLE_WEIGHT * (seconds - mean_s)

    def mean_s(self, name: str, fallback: float) -> float:
        """Return the average, or the fallback before the first sample."""
        return self._mean_s.get(name, fallback)


@dataclass
class Selector:
    """Chooses endpoints.

    Attributes:
      routers: The routers registered in the store.
      rollouts: Decides which versions of the endpoints a call may go to.
      cold_limiter: Rate limit on calls to cold endpoints, that is, those that are
        still warming up after a start.
      service_time: Mean time that a call occupies a slot, by service.
      latency: Mean time to the first data of a stream, or until another response was
        buffered, by route.
      event_interval: Mean time between the events of a stream, by service.
      prefill: Time to the first event by prompt tokens, by service.
    """

    cfg: RouterConfig
    endpoints: EndpointDirectory
    loads: LoadTracker
    routers: RouterDirectory
    rng: random.Random
    rollouts: BaseEligibility = field(default_factory=AllEligible)
    cold_limiter: ColdLimiter = field(init=False)
    service_time: MovingAverages = field(default_factory=MovingAverages)
    _squared_service_time: MovingAverages = field(default_factory=MovingAverages)
    latency: MovingAverages = field(default_factory=MovingAverages)
    event_interval: MovingAverages = field(default_factory=MovingAverages)
    prefill: dict[str, PrefillModel] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.cold_limiter = ColdLimiter(self.cfg.cold)

    def configure(self, cfg: RouterConfig) -> None:
        """Apply changed settings."""
        self.cfg = cfg
        self.cold_limiter.bound = cfg.cold

    @property
    def fleet_size(self) -> int:
        """Return the number of routers that may be running."""
        known = len(self.routers)
        if known == 0:
            return ASSUMED_FLEET_SIZE
        return known + -(-known // FLEET_HEADROOM_DIVISOR)

    def record_event_interval(
        self, service: str, stats: EndpointStats, events: int, duration_s: float
    ) -> None:
        """Record the event interval of a finished stream.

        Args:
          service: Name of the endpoint's service.
          stats: Load and health of the endpoint.
          events: Number of events received.
          duration_s: Time from the stream's first data to the endpoint's last, which
            may be that of another stream.
        """
        if events < MIN_EVENTS:
            return
        interval_s = duration_s / (events - 1)
        mean_s = self.event_interval.mean_s(service, interval_s)
        if mean_s > 0:
            stats.record_interval_ratio(interval_s / mean_s, stats.last_byte_s)
        self.event_interval.add_sample(service, interval_s)

    def record_service_time(self, service: str, seconds: float) -> None:
        """Record the time that a call occupied a slot."""
        self.service_time.add_sample(service, seconds)
        self._squared_service_time.add_sample(service, seconds * seconds)

    def record_first_event(
        self,
        service: str,
        stats: EndpointStats,
        forecast: FirstEventForecast,
        seconds: float,
    ) -> None:
        """Record the delay of the first event of a stream.

        Args:
          service: Name of the endpoint's service.
          stats: Load and health of the endpoint, with the report of this response.
          forecast: When the event was expected.
          seconds: Time from sending the request to the first data.
        """
        self._prefill_model(service).record_first_event(
            forecast.call_tokens, seconds / (stats.pace or 1.0), stats.reported_waiting
        )

    def record_work(self, service: str, forecast: FirstEventForecast | None) -> None:
        """Record the work of a call that is sent, if it is known."""
        if forecast is not None:
            self._prefill_model(service).record_call(forecast.call_tokens)

    def _prefill_model(self, service: str) -> PrefillModel:
        return self.prefill.setdefault(service, PrefillModel())

    @property
    def weighs_work(self) -> bool:
        """Return whether the work of calls and the pace of endpoints are weighed."""
        return self.cfg.placement.weighs_work or self.loads.paces.known

    def residual_time_s(self, service: str) -> float:
        """Return the mean time for which a call that is found open stays open.

        Long calls are found open more often than short ones, so with calls of very
        different lengths it is longer than half the mean service time.
        """
        mean_s = self.service_time.mean_s(service, ASSUMED_SERVICE_TIME_S)
        mean_square = self._squared_service_time.mean_s(service, 2 * mean_s * mean_s)
        if mean_s <= 0:
            return MIN_RESIDUAL_TIME_S
        return max(MIN_RESIDUAL_TIME_S, mean_square / (2 * mean_s))

    def choose_service(self, route: Route) -> str:
        """Return a service of the route, chosen at random by weight."""
        if len(route.service_weights) == 1:
            return route.service_weights[0][0]
        names = [name for name, _ in route.service_weights]
        weights = [weight for _, weight in route.service_weights]
        return self.rng.choices(names, weights)[0]

    def choose(
        self,
        tables: RouteTables,
        service_name: str,
        parts: tuple[str, ...],
        tried: set[str],
        remaining_s: float,
        now: float,
        work: CallWork | None = None,
    ) -> Choice:
        """Return the endpoint for a call.

        Args:
          tables: Current route tables.
          service_name: Name of the service.
          parts: Ids of the parts of the call's prompt.
          tried: Ids of the endpoints of earlier attempts.
          remaining_s: Seconds left until the call's deadline.
          now: Current time in seconds.
          work: Prompt of the call, and when its first event is due; None if unknown.
        """
        service = tables.services.get(service_name, Service(service_name))
        usable = [e for e in self.endpoints.usable(service_name) if e.id not in tried]

        def is_admissible(endpoint: Endpoint) -> bool:
            return endpoint.takes_requests(now) and self._within_cold_limit(
                endpoint, service, now
            )

        def choose_eligible(is_retry: bool) -> Choice:
            eligible = self.rollouts.eligible(
                service_name, usable, is_admissible, is_retry, now
            )
            return self._choose_among(eligible, service, parts, remaining_s, now, work)

        choice = choose_eligible(bool(tried))
        if choice.reason is RefusalReason.FULL and self.rollouts.restricts(
            service_name
        ):
            # The few endpoints of a version that is tried may be full while others are
            # not.
            choice = choose_eligible(is_retry=True)
        return choice

    def _choose_among(
        self,
        usable: list[Endpoint],
        service: Service,
        parts: tuple[str, ...],
        remaining_s: float,
        now: float,
        work: CallWork | None,
    ) -> Choice:
        service_name = service.name
        if not usable:
            return Choice(None, RefusalReason.NO_ENDPOINT)
        taking = [e for e in usable if e.takes_requests(now)]
        if not taking:
            wait_s = min(e.paused_until_s for e in usable) - now
            return Choice(
                None, RefusalReason.PAUSED, candidates=len(usable), wait_s=wait_s
            )
        admissible = [e for e in taking if self._within_cold_limit(e, service, now)]
        if not admissible:
            return Choice(None, RefusalReason.COLD, candidates=len(taking))
        endpoints = [e for e in self.endpoints if e.record.service == service_name]
        other_calls = self.loads.expected_other_calls(endpoints, now)
        candidates = self._candidates(
            admissible,
            other_calls if len(admissible) == len(endpoints) else None,
            now,
            self.residual_time_s(service_name),
        )
        due_s = None
        if work is not None and self.weighs_work:
            due_s = self._weigh_work(candidates, service, work, now)
        # Only services with a number of engine slots have a prompt cache.
        prefix_id = shared_prefix_id(parts) if service.engine_slots else ""
        bound = self.cfg.placement
        mean_load = self._mean_load(endpoints, other_calls)
        spill_load = bound.spill_load(mean_load, len(self.routers))
        placement = choose_endpoint(
            candidates,
            prefix_id,
            self.cfg.zone,
            bound,
            spill_load,
            lambda: self.rng.gauss(0.0, 1.0),
            due_s,
        )
        chosen = placement.candidate
        service_time_s = self.service_time.mean_s(service_name, ASSUMED_SERVICE_TIME_S)
        wait_s = expected_wait_s(chosen.load, chosen.slots, service_time_s)
        if wait_s > remaining_s * self.cfg.admission.max_wait_share:
            return Choice(
                None, RefusalReason.FULL, chosen.load, len(admissible), wait_s=wait_s
            )
        return Choice(
            chosen.endpoint,
            load=chosen.load,
            candidates=len(admissible),
            cache_source=self._choose_cache_source(
                service_name, prefix_id, chosen.endpoint, now
            ),
            rank=placement.rank,
            mean_load=mean_load,
            spill_load=spill_load,
            report_age_s=self.loads.stats(chosen.endpoint).report_age_s(now),
            forecast=placement.forecast,
            left_late=placement.left_late,
        )

    def _weigh_work(
        self, candidates: list[Candidate], service: Service, work: CallWork, now: float
    ) -> float:
        """Let candidates forecast first events; return the time to expect one within.

        A call that is late already stays where its cache is.
        """
        model = self._prefill_model(service.name)
        service_time_s = self.service_time.mean_s(service.name, ASSUMED_SERVICE_TIME_S)

        def forecast_engine(
            endpoint: Endpoint, load: float, at_home: bool
        ) -> FirstEventForecast:
            pace = self.loads.pace(endpoint, now)
            stats = self.loads.stats(endpoint)
            calls, backlog = stats.backlog(model, now, self.rng.gauss(0.0, 1.0))
            tokens = model.mean_call_tokens
            if work.prompt_tokens:
                tokens = work.prefill_tokens(at_home)
            slot_wait_s = expected_wait_s(load, endpoint.record.slots, service_time_s)
            # The calls ahead count with the mean number of tokens.
            excess = backlog - calls * model.mean_call_tokens
            wait_s = model.seconds(calls, max(0.0, excess) + tokens) + slot_wait_s
            return FirstEventForecast(wait_s * pace, backlog, calls, tokens, pace)

        def forecast_plain(
            endpoint: Endpoint, load: float, _at_home: bool
        ) -> FirstEventForecast:
            pace = self.loads.pace(endpoint, now)
            slot_wait_s = expected_wait_s(load, endpoint.record.slots, service_time_s)
            wait_s = (service_time_s + slot_wait_s) * pace
            return FirstEventForecast(wait_s, 0.0, 0.0, 0.0, pace)

        forecaster = forecast_engine if service.engine_slots else forecast_plain
        for candidate in candidates:
            candidate.forecaster = forecaster
            if not service.engine_slots:
                candidate.pace = self.loads.pace(candidate.endpoint, now)
        due_s = work.due_s * self.cfg.placement.due_share
        return due_s if due_s > 0 else math.inf

    def _mean_load(self, endpoints: list[Endpoint], other_calls: list[float]) -> float:
        """Return the mean load over all endpoints of a service.

        Endpoints that get no new calls are included, since the bound on the load of
        one endpoint is defined as a multiple of the mean over all of them.
        """
        total = sum(
            e.open_calls + (0.0 if self._is_excluded(e) else calls)
            for e, calls in zip(endpoints, other_calls, strict=True)
        )
        return total / max(1, len(endpoints))

    def _is_excluded(self, endpoint: Endpoint) -> bool:
        out = endpoint.record.zone in self.endpoints.zones_out
        return out or endpoint.state is EndpointState.DRAINING

    def _choose_cache_source(
        self, service: str, prefix_id: str, target: Endpoint, now: float
    ) -> Endpoint | None:
        if not prefix_id:
            return None
        reachable = [
            e
            for e in self.endpoints
            if e.record.service == service
            and self.endpoints.serves_zone(e.record.zone)
            and e.state is not EndpointState.LAPSED
            and not e.leaving
            and now >= e.paused_until_s
            and now >= e.backoff_until_s
            and not self.loads.stats(e).is_unresponsive(now)
        ]
        return choose_cache_source(reachable, prefix_id, target)

    def _within_cold_limit(
        self, endpoint: Endpoint, service: Service, now: float
    ) -> bool:
        if service.cold_calls_per_s <= 0 or not endpoint.is_cold(now):
            return True
        return self.cold_limiter.allows(
            endpoint.id,
            service.cold_calls_per_s,
            self.fleet_size,
            self.routers.rank,
            now,
        )

    def _candidates(
        self,
        endpoints: list[Endpoint],
        other_calls: list[float] | None,
        now: float,
        residual_s: float,
    ) -> list[Candidate]:
        """Return the endpoints with their loads, which are estimated when asked for.

        Args:
          endpoints: The endpoints.
          other_calls: Expected calls of other routers at each, None if not known yet.
          now: Current time in seconds.
          residual_s: Mean time for which calls found open stay open.
        """
        if other_calls is None:
            other_calls = self.loads.expected_other_calls(endpoints, now)
        typical = sum(other_calls) / len(other_calls)
        unreachable = self.endpoints.unreachable_zones(now)

        def estimate(endpoint: Endpoint) -> LoadEstimate:
            # The penalty applies to the load including this call, so that it counts
            # for an idle endpoint too.
            expected = self.loads.estimate(endpoint, typical, now, residual_s)
            penalty = self.loads.stats(endpoint).penalty(now)
            return LoadEstimate(
                (expected.mean + 1) * penalty - 1, expected.deviation * penalty
            )

        # In a zone of which at least half the endpoints fail, those that have not
        # failed yet are assumed to be unreachable too; only those whose back-off is
        # over are tested.
        return [
            Candidate(
                endpoint,
                max(1, endpoint.record.slots),
                estimate,
                now < endpoint.backoff_until_s
                or self.loads.stats(endpoint).is_unresponsive(now)
                or endpoint.state is EndpointState.LAPSED
                or (
                    endpoint.record.zone in unreachable
                    and not endpoint.connection_failures
                ),
            )
            for endpoint in endpoints
        ]
