"""Simulated plain service: few endpoints with slots and a bounded queue."""

import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from cranberrysail.benchmark.balance import Balance
from cranberrysail.benchmark.config import PlainConfig, SimulationConfig
from cranberrysail.router.load import LoadReport
from cranberrysail.router.model import RouteTables
from cranberrysail.router.prefillbacklog import CallWork

if TYPE_CHECKING:
    from cranberrysail.benchmark.simulation import SimulatedRouter

__all__ = ["PLAIN_SERVICE", "PlainCall", "PlainDone", "PlainEndpoint", "PlainService"]

PLAIN_SERVICE = "plain"


@dataclass(eq=False)
class PlainCall:
    """A call to the plain service.

    Attributes:
      at_s: Time of arrival.
      work_s: Time that it takes at the usual pace.
      router: Router that sent it to an endpoint.
      sent_s: Time at which it was sent.
    """

    at_s: float
    work_s: float
    router: "SimulatedRouter | None" = None
    sent_s: float = 0.0


@dataclass
class PlainEndpoint:
    """An endpoint of the plain service.

    Attributes:
      running: Number of calls in progress.
      queue: Calls that wait for a slot.
    """

    name: str
    running: int = 0
    queue: deque[PlainCall] = field(default_factory=deque)

    @property
    def load(self) -> int:
        """Return the number of open calls."""
        return self.running + len(self.queue)


@dataclass(frozen=True)
class PlainDone:
    """Event for the end of a call at an endpoint."""

    endpoint: PlainEndpoint
    call: PlainCall


class PlainService:
    """Endpoints of the plain service, and what its calls get.

    Attributes:
      counts: Counters of ``calls``, those ``late``, those ``rejected`` because the
        queue of the endpoint was full, and those ``over`` the bound on load.
      balance: Samples of the load.
    """

    def __init__(
        self,
        config: PlainConfig,
        pace: Callable[[str, float], float],
        schedule: Callable[[float, object], None],
        report: Callable[[LoadReport], LoadReport],
        tables: RouteTables,
    ) -> None:
        """Create the endpoints.

        Args:
          config: Number and size of the endpoints.
          pace: Returns the pace of an endpoint at a time.
          schedule: Schedules an event.
          report: Returns the report as routers see it.
          tables: Route tables of the routers.
        """
        self.config = config
        self.counts: Counter = Counter()
        self.balance = Balance()
        self.endpoints = {f"p{n}": PlainEndpoint(f"p{n}") for n in range(config.count)}
        self._pace = pace
        self._schedule = schedule
        self._report = report
        self._tables = tables

    def arrivals(
        self, simulation: SimulationConfig, rate_factor: float, seed: int
    ) -> list[PlainCall]:
        """Return the calls that arrive, a Poisson process thinned by the bursts."""
        rng = random.Random(f"plain-{seed}")
        limit = max(
            [1.0]
            + [simulation.rate_factor(b.from_s, "plain") for b in simulation.bursts]
        )
        calls, at_s = [], 0.0
        while True:
            at_s += rng.expovariate(self.config.rate * rate_factor * limit)
            if at_s >= simulation.play_s:
                return calls
            if rng.random() * limit <= simulation.rate_factor(at_s, "plain"):
                work_s = self.config.work_ms / 1000
                calls.append(PlainCall(at_s, work_s))

    def place(self, call: PlainCall, router: "SimulatedRouter", now: float) -> None:
        """Send a call to the endpoint that its router chooses, at most once."""
        self.counts["calls"] += 1
        remaining_s = self.config.left_s
        work = CallWork(due_s=self.config.aim_ms / 1000)
        choice = router.choose(self._tables, (), remaining_s, now, work, PLAIN_SERVICE)
        if choice.endpoint is None:
            self.counts["refused"] += 1
            return
        endpoint = self.endpoints[choice.endpoint.id]
        self.balance.record_choice(router.index, endpoint.name)
        loads = [e.load for e in self.endpoints.values()]
        self.counts["over"] += endpoint.load > 2 * sum(loads) / len(loads) + 3
        if len(endpoint.queue) >= self.config.queue:
            self.counts["rejected"] += 1
            router.record_rejection(choice.endpoint, now)
            return
        call.router, call.sent_s = router, now
        choice.endpoint.open_calls += 1
        if endpoint.running < self.config.slots:
            self._start(endpoint, call, now)
        else:
            endpoint.queue.append(call)

    def _start(self, endpoint: PlainEndpoint, call: PlainCall, now: float) -> None:
        endpoint.running += 1
        done_s = now + call.work_s * self._pace(endpoint.name, now)
        self._schedule(done_s, PlainDone(endpoint, call))

    def end(self, done: PlainDone, now: float) -> None:
        """End a call, report the load to its router, and start the next one."""
        endpoint, call = done.endpoint, done.call
        known = call.router.plain_endpoints[endpoint.name]
        pace = round(100 * self._pace(endpoint.name, now))
        report = LoadReport(
            endpoint.running, len(endpoint.queue), self.config.slots, pace
        )
        selector = call.router.selector
        selector.loads.record_report(known, self._report(report), now)
        selector.record_service_time(PLAIN_SERVICE, now - call.sent_s)
        known.open_calls -= 1
        endpoint.running -= 1
        self.counts["late"] += (now - call.at_s) * 1000 > self.config.aim_ms
        if endpoint.queue:
            self._start(endpoint, endpoint.queue.popleft(), now)

    def sample(self) -> None:
        """Record the load at present."""
        endpoints = list(self.endpoints.values())
        self.balance.sample(
            [e.load for e in endpoints], [bool(e.queue) for e in endpoints]
        )
