"""Event-driven simulation of routers and engines under one policy."""

import heapq
import random
from collections import Counter, deque
from dataclasses import dataclass, field, replace

from cranberrysail.benchmark.arrivals import Arrival
from cranberrysail.benchmark.balance import SAMPLE_INTERVAL_S, Balance
from cranberrysail.benchmark.config import (
    CallProfile,
    EngineJoin,
    SimulationConfig,
)
from cranberrysail.benchmark.engine import Engine, EngineCall
from cranberrysail.benchmark.plain import (
    PLAIN_SERVICE,
    PlainCall,
    PlainDone,
    PlainService,
)
from cranberrysail.benchmark.policy import BasePolicy, PlacementRequest
from cranberrysail.router.admission import jittered_retry_after_s
from cranberrysail.router.config import RouterConfig
from cranberrysail.router.endpoints import Endpoint, EndpointDirectory
from cranberrysail.router.load import LoadReport, LoadTracker
from cranberrysail.router.loadexchange import OVERLAP_S, exchange_interval_s
from cranberrysail.router.loadgossip import LoadGossip
from cranberrysail.router.model import EndpointRecord, RouteTables, Service
from cranberrysail.router.peers import RouterDirectory, encode_router_record
from cranberrysail.router.prefillbacklog import CallWork
from cranberrysail.router.selector import Choice, Selector
from cranberrysail.router.store import Page

__all__ = ["FirstTokenSample", "Simulation", "SimulatedRouter"]

SERVICE = "models"
ZONES = ("a", "b", "c")
# Interval in virtual time between samples of the engines' load.
LOAD_SAMPLE_INTERVAL_S = 0.25
# An engine is overloaded, by the users' definition, if its load exceeds twice the mean
# plus 3 calls.
OVERLOAD_FACTOR = 2.0
OVERLOAD_SLACK_CALLS = 3


@dataclass
class SimulatedRouter:
    """A router with its own knowledge of the loads and a queue of calls.

    Attributes:
      index: Index among the routers.
      endpoints: The engines as endpoints of this router, by endpoint id.
      plain_endpoints: The plain endpoints of this router, by endpoint id.
      exchanged_s: Time of the last exchange of loads, by the partner's index.
      waiting: Calls queued at the router, see ``BasePolicy.max_open_calls``.
    """

    index: int
    selector: Selector
    load_gossip: LoadGossip
    endpoints: dict[str, Endpoint]
    plain_endpoints: dict[str, Endpoint] = field(default_factory=dict)
    exchanged_s: dict[int, float] = field(default_factory=dict)
    waiting: list[Arrival] = field(default_factory=list)

    def choose(
        self,
        tables: RouteTables,
        prompt_parts: tuple[str, ...],
        remaining_s: float,
        now: float,
        work: CallWork | None = None,
        service: str = SERVICE,
    ) -> Choice:
        """Return the choice of the router's selector."""
        return self.selector.choose(
            tables, service, prompt_parts, set(), remaining_s, now, work
        )

    def record_rejection(self, endpoint: Endpoint, now: float) -> None:
        """Record that an endpoint rejected a call because its queue was full."""
        stats = self.selector.loads.stats(endpoint)
        stats.record_response(1.0, failed=True, now=now)

    def expected_loads(self, endpoints: list[Endpoint], now: float) -> dict[str, float]:
        """Return the expected open calls at each endpoint by its id."""
        loads = self.selector.loads
        typical = sum(loads.expected_other_calls(endpoints, now)) / len(endpoints)
        residual_s = self.selector.residual_time_s(SERVICE)
        return {
            e.id: loads.estimate(e, typical, now, residual_s).mean for e in endpoints
        }


@dataclass(frozen=True)
class Retry:
    """Event for the retry of a refused call."""

    arrival: Arrival


@dataclass(frozen=True)
class LoadExchangeDue:
    """Event for a router's next exchange of loads.

    Attributes:
      turn: Number of the exchange.
    """

    router: SimulatedRouter
    turn: int = 0


@dataclass(frozen=True)
class BalanceSampleDue:
    """Event for the next sample of how evenly load is spread."""


@dataclass(frozen=True)
class FirstTokenSample:
    """Latency of the first token of a call.

    Attributes:
      at_s: Time of arrival.
      profile: Profile of the call.
      first_token_ms: Time from arrival to the first token, including a retry delay.
    """

    at_s: float
    profile: CallProfile
    first_token_ms: float

    @property
    def late(self) -> bool:
        """Return whether the first token came after its target time."""
        return self.first_token_ms > self.profile.aim_ms


class Simulation:
    """Simulates the processing of arrivals under one policy, in virtual time.

    Attributes:
      now: Virtual time in seconds.
      counts: Counters of calls, prefix tokens and events. Of the ``calls`` that
        arrived, ``late`` missed the target for the first token, ``paused`` the one for
        the time between tokens, ``over`` were sent to an overloaded engine,
        ``came back`` were retried after a refusal, and ``refused`` were not processed,
        also counted by reason. Of the tokens of shared prefixes, ``kept`` were cached
        at the engine, ``moved`` fetched from another one, and ``read`` processed;
        ``again`` is the part of ``read`` that some engine had cached. ``pushed`` is the
        number of scheduled events.
      samples: Latencies of first tokens.
      overloads: Times in seconds, one for each call sent to an engine, and whether that
        engine was overloaded.
      load_ratios: Times in seconds, each with the load of the busiest engine divided by
        the mean load at that time.
      balance: Samples of how evenly load is spread over the engines.
      plain: The plain service, if any.
    """

    def __init__(
        self,
        config: SimulationConfig,
        arrivals: list[Arrival],
        policy: BasePolicy,
        seed: int,
        rate_factor: float = 1.0,
    ) -> None:
        """Create a simulation.

        Args:
          config: Configuration of calls, engines and routers.
          arrivals: Arrivals of calls.
          policy: Policy that places and prioritizes calls.
          seed: Random seed.
          rate_factor: Factor on the arrival rate of calls to plain endpoints.
        """
        self.config = config
        self.policy = policy
        self.rng = random.Random(seed)
        self.now = 0.0
        self.counts: Counter = Counter()
        self.samples: list[FirstTokenSample] = []
        self.overloads: list[tuple[float, bool]] = []
        self.load_ratios: list[tuple[float, float]] = []
        service = Service(
            SERVICE,
            engine_slots=config.engines.slots,
            cold_calls_per_s=config.engines.cold_calls_per_s,
        )
        self.tables = RouteTables(1, (), {SERVICE: service})
        self.balance = Balance()
        self._seed = seed
        self._rate_factor = rate_factor
        self._events: list[tuple[float, int, object]] = []
        self.plain = self._make_plain()
        records = [self._make_record(n) for n in range(config.engines.count)]
        self.engines = {
            r.endpoint_id: Engine(r.endpoint_id, config.engines) for r in records
        }
        self._slow_engine = next(iter(self.engines.values()))
        self.routers = [self._make_router(n, records) for n in range(config.routers)]
        for arrival in arrivals:
            self._schedule(arrival.at_s, arrival)
        for join in config.joins:
            self._schedule(join.at_s, join)
        if policy.gossips_load:
            for router in self.routers:
                first_s = self.rng.random() * self._interval_s(router)
                self._schedule(first_s, LoadExchangeDue(router))
        self._schedule(LOAD_SAMPLE_INTERVAL_S, None)
        self._schedule(SAMPLE_INTERVAL_S, BalanceSampleDue())

    def _make_plain(self) -> PlainService | None:
        if self.config.plain is None:
            return None
        plain = PlainService(
            self.config.plain,
            self.pace,
            self._schedule,
            self._visible_report,
            self.tables,
        )
        for call in plain.arrivals(self.config, self._rate_factor, self._seed):
            self._schedule(call.at_s, call)
        return plain

    def pace(self, endpoint: str, at_s: float) -> float:
        """Return the factor on the time of work at an endpoint because of its host."""
        paces = self.config.paces
        if paces is None:
            return 1.0
        period = int(at_s * 1000 / paces.every_ms)
        rng = random.Random(f"{self._seed}-{endpoint}-{period}")
        return paces.times if rng.random() < paces.share else 1.0

    def _visible_report(self, report: LoadReport) -> LoadReport:
        if self.config.paces is not None and self.policy.reads_pace:
            return report
        return replace(report, pace_percent=None)

    @property
    def _slots(self) -> int:
        return self.config.engines.slots

    def _make_record(self, number: int, cold_s: float = 0.0) -> EndpointRecord:
        return EndpointRecord(
            f"e{number}",
            1,
            1,
            SERVICE,
            f"10.0.0.{number}:80",
            ZONES[number % 3],
            self._slots,
            remaining_cold_s=cold_s,
        )

    def _make_router(
        self, index: int, records: list[EndpointRecord]
    ) -> SimulatedRouter:
        cfg = RouterConfig(
            f"r{index}",
            ZONES[index % 3],
            *[""] * 5,
            placement=self.policy.placement_bound,
            admission=self.policy.admission_bound,
        )
        directory = EndpointDirectory()
        for record in [*records, *self._plain_records()]:
            directory.declare(record, 0.0)
        peers = RouterDirectory(cfg.name, cfg.zone)
        entries = tuple(
            (
                f"r{n}",
                encode_router_record(
                    ZONES[n % 3], f"10.0.{n // 256}.{n % 256}:1", True
                ),
            )
            for n in range(self.config.routers)
        )
        peers.apply(Page(entries, self.config.routers, is_snapshot=True), 0.0)
        loads = LoadTracker()
        selector = Selector(cfg, directory, loads, peers, self.rng)
        load_gossip = LoadGossip(loads, directory)
        engines = {r.endpoint_id: directory.get(r.endpoint_id) for r in records}
        plain = {e.id: e for e in directory if e.record.service == PLAIN_SERVICE}
        return SimulatedRouter(index, selector, load_gossip, engines, plain)

    def _plain_records(self) -> list[EndpointRecord]:
        if self.plain is None:
            return []
        return [
            EndpointRecord(
                name,
                1,
                1,
                PLAIN_SERVICE,
                f"10.1.0.{number}:80",
                ZONES[number % 3],
                self.config.plain.slots,
            )
            for number, name in enumerate(self.plain.endpoints)
        ]

    def _schedule(self, at_s: float, event: object) -> None:
        """Schedule an event; simultaneous events are handled in order of scheduling.

        Args:
          at_s: Virtual time of the event.
          event: An ``Engine`` whose next step begins, an ``Arrival``, a ``Retry``, an
            ``EngineJoin``, a ``LoadExchangeDue``, or None to sample the load.
        """
        self.counts["pushed"] += 1
        heapq.heappush(self._events, (at_s, self.counts["pushed"], event))

    def run(self) -> "Simulation":
        """Run until all calls have ended, and return the simulation itself."""
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            if isinstance(event, Engine):
                self._step_engine(event)
            elif isinstance(event, Arrival):
                self._arrive(event, self.rng.choice(self.routers))
            elif isinstance(event, Retry):
                self._place(event.arrival, self.rng.choice(self.routers))
            elif isinstance(event, LoadExchangeDue):
                self._exchange_loads(event)
            elif isinstance(event, PlainCall):
                self.plain.place(event, self.rng.choice(self.routers), self.now)
            elif isinstance(event, PlainDone):
                self.plain.end(event, self.now)
            elif isinstance(event, BalanceSampleDue):
                self._sample_balance(event)
            elif isinstance(event, EngineJoin):
                self._add_engines(event)
            else:
                self._sample_load()
        return self

    def _add_engines(self, join: EngineJoin) -> None:
        """Start engines, and declare them to all routers."""
        for number in range(len(self.engines), len(self.engines) + join.count):
            record = self._make_record(number, join.cold_s)
            name = record.endpoint_id
            self.engines[name] = Engine(name, self.config.engines)
            for router in self.routers:
                directory = router.selector.endpoints
                directory.declare(record, self.now)
                router.endpoints[name] = directory.get(name)

    def cached_prefixes(self, endpoint: Endpoint) -> dict[str, int]:
        """Return the tokens of each shared prefix cached at an engine, by prefix id."""
        return self.engines[endpoint.id].cached_prefixes

    def _arrive(self, arrival: Arrival, router: SimulatedRouter) -> None:
        self.counts["calls"] += 1
        self._place(arrival, router)

    def _place(self, arrival: Arrival, router: SimulatedRouter) -> None:
        profile = self.config.profile(arrival.kind)
        remaining_s = arrival.at_s + profile.left_s - self.now
        choice = self.policy.choose(
            PlacementRequest(self, router, profile, arrival, remaining_s)
        )
        if choice.endpoint is None:
            self._handle_refusal(arrival, profile, choice)
            return
        max_open_calls = self.policy.max_open_calls
        if max_open_calls and choice.endpoint.open_calls >= max_open_calls:
            router.waiting.append(arrival)
            return
        choice.endpoint.open_calls += 1
        self.balance.record_choice(router.index, choice.endpoint.id)
        router.selector.cold_limiter.record_call(choice.endpoint.id, self.now)
        engine = self.engines[choice.endpoint.id]
        self._count_overload(engine)
        prefill_tokens = arrival.own + self._cache_prefix(
            engine, arrival, choice.cache_source
        )
        engines = self.config.engines
        prefill_tokens += engines.prompt_ms * engines.read_tokens_a_ms
        priority = self.policy.priority(profile)
        call = EngineCall(arrival, profile, router.index, priority, prefill_tokens)
        call.sent_s = self.now
        selector = router.selector
        # Not as pending: bytes of streams are not simulated, which show that an engine
        # responds.
        if choice.forecast is not None:
            stats = selector.loads.stats(choice.endpoint)
            stats.prefilling[id(call)] = choice.forecast
        selector.record_work(SERVICE, choice.forecast)
        engine.enqueue(call)
        if not engine.busy:
            engine.busy = True
            self._schedule(self.now, engine)

    def _handle_refusal(
        self, arrival: Arrival, profile: CallProfile, choice: Choice
    ) -> None:
        """Schedule a retry after the advised delay, or count the call as refused.

        Callers retry once at most, and only if the delay ends before their deadline.
        """
        remaining_s = arrival.at_s + profile.left_s - self.now
        wait_s = jittered_retry_after_s(
            self.policy.admission_bound,
            choice.wait_s,
            remaining_s,
            self.rng.random(),
        )
        if self.now == arrival.at_s and wait_s < remaining_s:
            self.counts["came back"] += 1
            self._schedule(self.now + wait_s, Retry(arrival))
            return
        self.counts["refused"] += 1
        self.counts[f"refused {choice.reason.value}"] += 1

    def _count_overload(self, engine: Engine) -> None:
        """Count the call that is about to be sent, if the engine is overloaded."""
        mean = sum(e.load for e in self.engines.values()) / len(self.engines)
        overloaded = engine.load > OVERLOAD_FACTOR * mean + OVERLOAD_SLACK_CALLS
        self.counts["over"] += overloaded
        self.overloads.append((self.now, overloaded))

    def max_overload_fraction(self, window_s: float, from_s: float = 0.0) -> float:
        """Return the largest fraction of calls sent to overloaded engines in a window.

        Args:
          window_s: Length of the sliding window.
          from_s: Earliest start of a window.
        """
        largest = 0.0
        window: deque[tuple[float, bool]] = deque()
        overloaded_calls = 0
        for at_s, overloaded in self.overloads:
            if at_s < from_s:
                continue
            window.append((at_s, overloaded))
            overloaded_calls += overloaded
            while at_s - window[0][0] > window_s:
                overloaded_calls -= window.popleft()[1]
            if at_s >= from_s + window_s:
                largest = max(largest, overloaded_calls / len(window))
        return largest

    def _cache_prefix(
        self, engine: Engine, arrival: Arrival, source: Endpoint | None
    ) -> float:
        """Cache the shared prefix at an engine; return its cost in prefill tokens."""
        prefix_id = arrival.prefix_id
        is_local = prefix_id in engine.cached_prefixes
        is_fetched = (
            self.policy.fetches_cache
            and source is not None
            and prefix_id in self.engines[source.id].cached_prefixes
        )
        is_cached = any(
            prefix_id in other.cached_prefixes for other in self.engines.values()
        )
        engine.cache_prefix(prefix_id, arrival.shared)
        if is_local:
            self.counts["kept"] += arrival.shared
            return 0.0
        if is_fetched:
            self.counts["moved"] += arrival.shared
            return arrival.shared * self.config.engines.fetch_share
        self.counts["read"] += arrival.shared
        self.counts["again"] += arrival.shared if is_cached else 0
        return float(arrival.shared)

    def _step_engine(self, engine: Engine) -> None:
        if engine.idle:
            engine.busy = False
            return
        time_factor = (
            self.config.step_time_factor(self.now) if engine is self._slow_engine else 1
        )
        time_factor *= self.pace(engine.name, self.now)
        done_s = self.now + engine.step(self.now, time_factor)
        for call in engine.decoding:
            if call.generated_tokens == 1 and call.first_token_s == call.last_token_s:
                self._record_first_token(engine, call)
        for call in engine.pop_finished():
            self.counts["paused"] += call.max_gap_s * 1000 > call.profile.gap_ms
            self._record_speed(engine, call)
            self._record_service_time(call)
            self._close_call(engine, self.routers[call.router_index])
        self._schedule(done_s, engine)

    def _record_first_token(self, engine: Engine, call: EngineCall) -> None:
        """Record the latency of the first token, and report the load to the router.

        A real engine reports its load in a header of the response.
        """
        first_token_ms = (call.first_token_s - call.arrival.at_s) * 1000
        sample = FirstTokenSample(call.arrival.at_s, call.profile, first_token_ms)
        self.samples.append(sample)
        self.counts["late"] += sample.late
        waiting = len(engine.waiting) + len(engine.prefilling)
        pace = round(100 * self.pace(engine.name, self.now))
        report = LoadReport(len(engine.decoding), waiting, self._slots, pace)
        router = self.routers[call.router_index]
        endpoint = router.endpoints[engine.name]
        selector = router.selector
        selector.loads.record_report(
            endpoint, self._visible_report(report), call.first_token_s
        )
        stats = selector.loads.stats(endpoint)
        forecast = stats.end_attempt(id(call))
        if forecast is not None:
            delay_s = call.first_token_s - call.sent_s
            selector.record_first_event(SERVICE, stats, forecast, delay_s)

    def _endpoint(self, engine: Engine, call: EngineCall) -> Endpoint:
        return self.routers[call.router_index].endpoints[engine.name]

    def _record_speed(self, engine: Engine, call: EngineCall) -> None:
        """Update the router's estimate of an engine's speed from a finished call."""
        if not self.policy.learns_speed:
            return
        selector = self.routers[call.router_index].selector
        stats = selector.loads.stats(self._endpoint(engine, call))
        stats.last_byte_s = call.last_token_s
        events = call.generated_tokens // self.config.engines.event_tokens
        selector.record_event_interval(
            SERVICE, stats, events, call.last_token_s - call.first_token_s
        )

    def _record_service_time(self, call: EngineCall) -> None:
        """Update the router's estimate of how long calls are open at engines."""
        selector = self.routers[call.router_index].selector
        selector.record_service_time(SERVICE, self.now - call.arrival.at_s)

    def _close_call(self, engine: Engine, router: SimulatedRouter) -> None:
        """Release a finished call, and place the calls queued at its router."""
        router.endpoints[engine.name].open_calls -= 1
        waiting, router.waiting = router.waiting, []
        for arrival in sorted(waiting, key=self._queue_key):
            self._place(arrival, router)

    def _queue_key(self, arrival: Arrival) -> tuple[int, float]:
        profile = self.config.profile(arrival.kind)
        return self.policy.priority(profile), arrival.at_s

    def _exchange_loads(self, due: LoadExchangeDue) -> None:
        """Exchange loads between a router and its partner, as serving routers do."""
        if self.now >= self.config.play_s:
            return
        router, interval_s = due.router, self._interval_s(due.router)
        for registered in router.selector.routers.load_partners(due.turn)[:1]:
            partner = self.routers[int(registered.name.removeprefix("r"))]
            last_s = router.exchanged_s.get(partner.index, self.now - interval_s)
            router.exchanged_s[partner.index] = self.now
            within_s = self.now - last_s + OVERLAP_S
            name, partner_name = f"r{router.index}", f"r{partner.index}"
            received = partner.load_gossip.known_loads(self.now, within_s, name)
            sent = router.load_gossip.known_loads(self.now, within_s, partner_name)
            partner.load_gossip.merge(sent, self.now, name)
            router.load_gossip.merge(received, self.now, partner_name)
        next_due = LoadExchangeDue(router, due.turn + 1)
        self._schedule(self.now + interval_s, next_due)

    def _interval_s(self, router: SimulatedRouter) -> float:
        selector = router.selector
        return exchange_interval_s(selector.weighs_work, selector.routers.zone_size)

    def _sample_balance(self, due: BalanceSampleDue) -> None:
        """Record how evenly load is spread, and schedule the next sample."""
        if self.now >= self.config.play_s:
            return
        engines = list(self.engines.values())
        self.balance.sample(
            [engine.load for engine in engines],
            [len(engine.waiting) + len(engine.prefilling) > 1 for engine in engines],
        )
        if self.plain is not None:
            self.plain.sample()
        self._schedule(self.now + SAMPLE_INTERVAL_S, due)

    def _sample_load(self) -> None:
        """Record the load ratio, and schedule the next sample.

        The ratio is not recorded at a mean load below 1 call.
        """
        loads = [engine.load for engine in self.engines.values()]
        mean = sum(loads) / len(loads)
        if mean >= 1.0:
            self.load_ratios.append((self.now, max(loads) / mean))
        if self._events:
            self._schedule(self.now + LOAD_SAMPLE_INTERVAL_S, None)
