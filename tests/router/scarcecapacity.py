"""Simulated load on endpoints with limited capacity, without a network.

The decisions are the router's own (``Selector``, ``Allocation``, ``RetryBudget``,
``next_step``); callers, endpoints and the exchange of loads are simulated. Callers that
are refused come back once, at another router, after the delay that they are given, if
that is at most a third of the time they have left.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cranberrysail.router.admission import AdmissionBound, jittered_retry_after_s
from cranberrysail.router.allocation import Allocation, CallFacts, Turn
from cranberrysail.router.config import RouterConfig
from cranberrysail.router.endpoints import Endpoint, EndpointDirectory
from cranberrysail.router.load import LoadReport, LoadTracker
from cranberrysail.router.model import (
    CallKind,
    EndpointRecord,
    Route,
    RouteTables,
    Service,
)
from cranberrysail.router.outcome import AttemptResult, NextStep, next_step
from cranberrysail.router.peers import RouterDirectory, encode_router_record
from cranberrysail.router.retrybudget import RetryBound, RetryBudget
from cranberrysail.router.selector import Selector
from cranberrysail.router.servicepressure import measure_pressure
from cranberrysail.router.store import Page
from cranberrysail.router.waitingroom import WaitingCall

TRANSIT_S = 0.002
EXCHANGE_INTERVAL_S = 0.3
MAX_RETRY_SHARE = 1 / 3
POLL_S = 0.02
REPEATS = RetryBound(0.2, 56, 10.0)


@dataclass(frozen=True)
class Kind:
    """A kind of call.

    Attributes:
      work_s: Returns the time that an endpoint works on a call.
      values: Value of a response in time, and of a late one.
    """

    name: str
    priority: int
    target_s: float
    timeout_s: float
    work_s: Callable[[random.Random], float]
    values: tuple[float, float] = (1.0, 0.3)


@dataclass(frozen=True)
class Load:
    """Calls of a customer and kind.

    Attributes:
      rate: Returns the calls per second at a time.
    """

    customer: str
    kind: Kind
    rate: Callable[[float], float]


@dataclass(eq=False)
class SimulatedCall:
    """A call of a caller, over both of its requests."""

    customer: str
    kind: Kind
    arrived_s: float
    refusals: int = 0
    refused_at_s: float = 0.0
    status: str = "open"
    late: bool = False
    router: int = -1
    tried: set[str] = field(default_factory=set)
    declined: int = 0
    sends: int = 0
    calls_per_slot: float = 0.0
    waited_s: float = 0.0
    counted: bool = False

    @property
    def deadline_s(self) -> float:
        return self.arrived_s + self.kind.timeout_s

    @property
    def value(self) -> float:
        return self.kind.values[self.late] if self.status == "served" else 0.0


class SimulatedEndpoint:
    """An endpoint with slots and a queue, by priority or in order of arrival."""

    def __init__(self, name: str, slots: int, queue: int, by_priority: bool) -> None:
        self.name = name
        self.slots = slots
        self.queue = queue
        self.by_priority = by_priority
        self.running = 0
        self.waiting: list[tuple[int, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.most = 0

    def report(self) -> LoadReport:
        return LoadReport(self.running, len(self.waiting), self.slots)


class ScarceCapacity:
    """Routers, endpoints of one service and callers, in virtual time.

    Attributes:
      calls: All calls so far.
      retries: Sends beyond the first of a call.
    """

    def __init__(
        self,
        routers: int,
        endpoints: int,
        allocates: bool,
        seed: int = 1,
        slots: int = 6,
        queue: int = 24,
        engines: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.allocates = allocates
        self.engines = engines
        self.service = Service("s", 100, engine_slots=slots if engines else 0)
        self.tables = RouteTables(1, (), {"s": self.service})
        self.endpoints = {
            f"e{n}": SimulatedEndpoint(f"e{n}", slots, queue, engines)
            for n in range(endpoints)
        }
        self.routers = [SimulatedRouter(self, n, routers) for n in range(routers)]
        self.calls: list[SimulatedCall] = []
        self.retries = 0
        self.first_sends = 0
        self.declines = 0
        self.reasons: Counter = Counter()

    def at(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (seconds, next(self.sequence), action))

    def run(self, loads: list[Load], until_s: float) -> "ScarceCapacity":
        """Play the loads, and let the calls that are open then end."""
        for load in loads:
            self.schedule_arrival(load, until_s)
        for router in self.routers:
            self.at(self.rng.random() * EXCHANGE_INTERVAL_S, router.exchange)
        while self.events and self.now < until_s + 10.0:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self

    def schedule_arrival(self, load: Load, until_s: float) -> None:
        at_s = self.now
        peak = max(load.rate(at_s + n / 100) for n in range(100))
        if peak <= 0:
            at_s += 1.0
            self.at(at_s, lambda: self.schedule_arrival(load, until_s))
            return
        at_s += self.rng.expovariate(peak)
        if at_s >= until_s:
            return
        accepted = self.rng.random() < load.rate(at_s) / peak

        def arrive() -> None:
            if accepted:
                call = SimulatedCall(load.customer, load.kind, self.now)
                self.calls.append(call)
                self.rng.choice(self.routers).receive(call)
            self.schedule_arrival(load, until_s)

        self.at(at_s, arrive)

    def refused(self, call: SimulatedCall, retry_s: float, why: str) -> None:
        self.reasons[why] += 1
        call.refusals += 1
        remaining_s = call.deadline_s - self.now
        if call.refusals > 1 or retry_s > remaining_s * MAX_RETRY_SHARE:
            call.status = "refused"
            return
        call.tried, call.declined, call.sends = set(), 0, 0
        others = [r for r in self.routers if r.number != call.router]
        self.at(
            self.now + retry_s,
            lambda: self.rng.choice(others or self.routers).receive(call),
        )

    def run_at_endpoint(
        self, call: SimulatedCall, name: str, done: Callable[[str], None]
    ) -> None:
        """Let a call arrive at an endpoint, and tell its router how it ended."""
        endpoint = self.endpoints[name]

        def respond(result: str) -> None:
            self.at(self.now + TRANSIT_S, lambda: done(result))

        def start() -> None:
            endpoint.running += 1
            self.at(self.now + call.kind.work_s(self.rng), end)

        def end() -> None:
            respond("done")
            endpoint.running -= 1
            if endpoint.waiting:
                heapq.heappop(endpoint.waiting)[2]()

        def arrive() -> None:
            if endpoint.running < endpoint.slots:
                start()
            elif len(endpoint.waiting) < endpoint.queue:
                key = call.kind.priority if endpoint.by_priority else 0
                heapq.heappush(endpoint.waiting, (key, next(endpoint.sequence), start))
            else:
                respond("declined")
            load = endpoint.running + len(endpoint.waiting)
            endpoint.most = max(endpoint.most, load)

        self.at(self.now + TRANSIT_S, arrive)

    def served_share(self, *customers: str, from_s=0.0, to_s=1e9) -> float:
        """Return the share of the calls of some customers that were served."""
        chosen = list(self.select(customers, from_s, to_s))
        return sum(c.status == "served" for c in chosen) / max(1, len(chosen))

    def on_time_share(self, *customers: str, from_s=0.0, to_s=1e9) -> float:
        """Return the share of the calls that were served in time."""
        chosen = list(self.select(customers, from_s, to_s))
        return sum(c.status == "served" and not c.late for c in chosen) / max(
            1, len(chosen)
        )

    def select(
        self, customers: tuple[str, ...], from_s: float, to_s: float
    ) -> Iterator[SimulatedCall]:
        for call in self.calls:
            wanted = not customers or call.customer in customers
            if wanted and from_s <= call.arrived_s < to_s:
                yield call

    @property
    def value(self) -> float:
        return sum(call.value for call in self.calls)

    @property
    def refused_twice(self) -> float:
        """Return the share of the refused calls that were refused again."""
        refused = [c for c in self.calls if c.refusals]
        return sum(c.refusals > 1 for c in refused) / max(1, len(refused))


class SimulatedRouter:
    """One router with its own knowledge of loads."""

    def __init__(self, site: ScarceCapacity, number: int, routers: int) -> None:
        self.site = site
        self.number = number
        self.rng = random.Random(number)
        directory = EndpointDirectory()
        for endpoint in site.endpoints.values():
            directory.declare(
                EndpointRecord(
                    endpoint.name, 1, 1, "s", "10.0.0.1:1", "a", endpoint.slots
                ),
                0.0,
            )
        peers = RouterDirectory(f"r{number}", "a")
        entries = tuple(
            (f"r{n}", encode_router_record("a", f"10.0.0.{n}:1", True))
            for n in range(routers)
        )
        peers.apply(Page(entries, routers, is_snapshot=True), 0.0)
        self.peers = peers
        bound = AdmissionBound(allocates=site.allocates)
        cfg = RouterConfig(
            f"r{number}", "a", "", "", "", "", "", repeats=REPEATS, admission=bound
        )
        self.selector = Selector(cfg, directory, LoadTracker(), peers, self.rng)
        self.budget = RetryBudget(REPEATS)
        self.allocation = Allocation(bound)
        self.waiting: dict[WaitingCall, SimulatedCall] = {}
        self.polling = False

    def exchange(self) -> None:
        """Give and get load reports, with another router."""
        site = self.site
        site.at(site.now + EXCHANGE_INTERVAL_S, self.exchange)
        other = self.rng.choice(site.routers)
        if other is self:
            return
        for one, two in ((self, other), (other, self)):
            for endpoint in one.selector.endpoints:
                stats = one.selector.loads.stats(endpoint)
                if stats.reported_s >= 0:
                    two.selector.loads.record_load(
                        two.selector.endpoints.get(endpoint.id),
                        stats.reported_calls,
                        stats.reported_s,
                        site.now,
                    )

    def pressure(self, without: set[str] | frozenset = frozenset()):
        usable = self.selector.endpoints.usable("s")
        return measure_pressure(
            [e for e in usable if e.id not in without],
            self.selector.loads,
            self.site.now,
        )

    def facts(self, call: SimulatedCall) -> CallFacts:
        kind = call.kind
        return CallFacts(
            "s",
            self.site.engines,
            kind.name,
            kind.priority,
            call.customer,
            kind.target_s,
            call.deadline_s,
        )

    def receive(self, call: SimulatedCall) -> None:
        call.router = self.number
        if not self.site.allocates:
            self.place(call)
            return
        decided = self.allocation.decide(
            self.facts(call),
            self.pressure(),
            len(self.site.routers),
            self.rng.random(),
            self.site.now,
        )
        if isinstance(decided, Turn):
            self.on_turn(call, decided)
            return
        self.waiting[decided] = call
        refused = self.allocation.enter(
            decided, self.pressure(), len(self.site.routers)
        )
        for waiting in refused:
            self.refuse(self.waiting.pop(waiting), 0.0, "room")
        self.poll_later()

    def on_turn(self, call: SimulatedCall, turn: Turn) -> None:
        if turn.refusal is not None:
            self.refuse(call, turn.wait_s, turn.refusal.value)
            return
        call.calls_per_slot = turn.calls_per_slot
        self.send(call)

    def send(self, call: SimulatedCall) -> None:
        call.counted = True
        self.allocation.record_sent(self.facts(call), self.site.now)
        self.place(call)

    def left(self, call: SimulatedCall) -> None:
        if call.counted:
            call.counted = False
            self.allocation.record_left(self.facts(call))

    def poll_later(self) -> None:
        if not self.polling and self.waiting:
            self.polling = True
            self.site.at(self.site.now + POLL_S, self.poll)

    def poll(self) -> None:
        self.polling = False
        for waiting in self.allocation.room.due(self.site.now):
            self.allocation.room.leave(waiting)
            self.wake(waiting)
        self.wake_ready()
        self.poll_later()

    def wake_ready(self, freed: int = 0) -> None:
        for waiting in self.allocation.pop_ready("s", self.pressure(), freed):
            self.wake(waiting)

    def wake(self, waiting: WaitingCall) -> None:
        call = self.waiting.pop(waiting)
        call.waited_s = self.site.now - waiting.entered_s
        self.send(call)

    def refuse(self, call: SimulatedCall, wait_s: float, why: str) -> None:
        self.left(call)
        remaining_s = call.deadline_s - self.site.now
        if self.site.allocates:
            retry_s = self.allocation.retry_after_s(
                "s",
                wait_s,
                self.pressure(),
                len(self.site.routers),
                remaining_s,
                self.rng.random(),
                self.site.now,
            )
        else:
            retry_s = jittered_retry_after_s(
                AdmissionBound(), wait_s, remaining_s, self.rng.random()
            )
        self.site.refused(call, retry_s, why)

    def place(self, call: SimulatedCall) -> None:
        site = self.site
        remaining_s = call.deadline_s - site.now
        if remaining_s <= 0:
            call.status = "too_late"
            self.left(call)
            return
        if site.allocates and site.engines:
            part = self.allocation.part_before("s", call.kind.priority)
            remaining_s /= part
        choice = self.selector.choose(
            site.tables, "s", (), call.tried, remaining_s, site.now
        )
        if choice.endpoint is None:
            self.refuse(call, choice.wait_s, choice.reason.value)
            return
        if call.sends:
            site.retries += 1
        else:
            site.first_sends += 1
            self.budget.record_first_send("s", site.now)
        call.sends += 1
        endpoint = choice.endpoint
        endpoint.open_calls += 1
        sent_s = site.now

        def done(result: str) -> None:
            self.on_response(call, endpoint, result, sent_s)

        site.run_at_endpoint(call, endpoint.id, done)

    def on_response(
        self, call: SimulatedCall, endpoint: Endpoint, result: str, sent_s: float
    ) -> None:
        site, loads = self.site, self.selector.loads
        report = site.endpoints[endpoint.id].report()
        loads.record_report(endpoint, report, site.now)
        endpoint.open_calls -= 1
        if result == "declined":
            loads.stats(endpoint).record_response(1.0, True, site.now)
            self.on_declined(call, endpoint)
            return
        self.left(call)
        elapsed_s = site.now - sent_s
        self.selector.record_service_time("s", elapsed_s)
        if site.allocates:
            self.allocation.record_ended(
                self.facts(call), elapsed_s, call.calls_per_slot
            )
            if self.waiting:
                self.wake_ready(freed=1)
        if site.now <= call.deadline_s:
            call.status = "served"
            call.late = site.now - call.arrived_s > call.kind.target_s
        else:
            call.status = "too_late"

    def on_declined(self, call: SimulatedCall, endpoint: Endpoint) -> None:
        site = self.site
        site.declines += 1
        call.tried.add(endpoint.id)
        call.declined += 1
        route = Route("s", "h", "/", CallKind.ONCE, (("s", 1),))
        step = next_step(route, AttemptResult.NOT_RUN, 0, call.declined, True)
        pause_s: float | None = 0.0
        if site.allocates and step is NextStep.SEND_AGAIN:
            pause_s = self.allocation.pause_s(
                self.facts(call), self.pressure(call.tried), site.now
            )
        if (
            step is not NextStep.SEND_AGAIN
            or pause_s is None
            or not self.budget.spend("s", self.selector.fleet_size, site.now)
        ):
            self.refuse(call, 0.0, "endpoint_refused")
            return
        site.at(site.now + pause_s, lambda: self.place(call))
