"""A fleet in virtual time whose service is moved to another version under load."""

import asyncio
import json
from dataclasses import dataclass, field

from cranberrysail.router.rolloutmodel import RolloutBound
from cranberrysail.router.store import Topic
from tests.router.simulatedfleet import (
    SEAL,
    SimulatedFleet,
    make_config,
    make_request,
)

SERVICE = "plain"
KEY = "rollout/plain"
DURATION_S = 12.0
WORK_S = 0.03
ROUTES = ("/book/1", "/look/1")


@dataclass
class Fault:
    """How the responses of a version are bad.

    Attributes:
      path: Path of the only calls that it affects; empty for all.
      from_s: Time after the order from which on it does.
      share: Fraction of the responses.
      slowdown: Factor of the work; failures, if 1.
      min_open: Open calls at an endpoint from which on it appears.
    """

    path: str = ""
    from_s: float = 0.0
    share: float = 0.3
    slowdown: float = 1.0
    min_open: int = 0


@dataclass
class Scenario:
    """A fleet of routers, callers and endpoints of two versions.

    Attributes:
      world: The fleet.
      ordered_s: Time of the order.
      bad_s: Times at which bad responses of the new version were sent.
      received: Time and version of each request that endpoints received.
      statuses: Time and content of the statuses in the store.
      received_from: The same with the name of the router.
      routers_of_calls: Names of the routers by the id of the call.
      results: Statuses that callers received.
    """

    world: SimulatedFleet
    fault: Fault | None = None
    ordered_s: float = 0.0
    bad_s: list[float] = field(default_factory=list)
    received: list[tuple[float, str]] = field(default_factory=list)
    results: list[int] = field(default_factory=list)
    statuses: list[tuple[float, dict]] = field(default_factory=list)
    callers: list[asyncio.Task] = field(default_factory=list)
    hosts: dict[str, str] = field(default_factory=dict)
    received_from: list[tuple[float, str, str]] = field(default_factory=list)
    routers_of_calls: dict[str, str] = field(default_factory=dict)
    _count: int = 0
    _seen: int = 0
    _open: dict[str, int] = field(default_factory=dict)

    def add_workers(self, version: str, count: int, cold_ms: int = 0) -> None:
        """Start endpoints of a version."""
        for number in range(count):
            name = f"{version}-{number}"
            worker = self.world.add_worker(
                name,
                SERVICE,
                self._answer_of(name, version),
                version=version,
                cold_ms=cold_ms,
                slots=12,
            )
            worker.zone = "ab"[number % 2]

    def _answer_of(self, name: str, version: str):
        async def answer(conn, received) -> None:
            now_s = self.world.loop.time()
            self.received.append((now_s, version))
            request = received.headers["cranberrysail-attempt-id"]
            router = self.routers_of_calls[request]
            self.received_from.append((now_s, version, router))
            self._open[name] = self._open.get(name, 0) + 1
            try:
                bad = version != "v1" and self._is_bad(name, received.path, now_s)
                if bad:
                    self.bad_s.append(now_s)
                fault = self.fault
                slow = bad and fault.slowdown > 1
                await asyncio.sleep(WORK_S * (fault.slowdown if slow else 1.0))
                status = 500 if bad and not slow else 200
                attempt = received.headers["cranberrysail-attempt-id"]
                conn.reply(status, SEAL, b"-", attempt)
            finally:
                self._open[name] -= 1

        return answer

    def _is_bad(self, name: str, path: str, now_s: float) -> bool:
        fault = self.fault
        if fault is None or now_s - self.ordered_s < fault.from_s:
            return False
        if fault.path and fault.path != path:
            return False
        if self._open[name] < fault.min_open:
            return False
        self._count += 1
        return int(self._count * fault.share) > int((self._count - 1) * fault.share)

    async def start_routers(self, count: int, wait_s: float = 1.0) -> None:
        """Start routers in two zones."""
        for number in range(count):
            host = f"10.0.0.{number + 1}"
            name = f"r{number + 1}"
            self.hosts[name] = host
            await self.world.start_router(
                0.05, name, host, zone="ab"[number % 2], rollout=RolloutBound()
            )
        await asyncio.sleep(wait_s)

    def start_callers(self, calls_per_s: float) -> None:
        """Send calls to all routers in turn until the end."""
        self.callers.append(asyncio.ensure_future(self._call(calls_per_s)))
        self.callers.append(asyncio.ensure_future(self._watch()))

    async def _call(self, calls_per_s: float) -> None:
        number = 0
        while True:
            await asyncio.sleep(1 / calls_per_s)
            number += 1
            names = sorted(self.hosts)
            name = names[number % len(names)]
            host = self.hosts[name]
            self.routers_of_calls[f"c{number}"] = name
            path = ROUTES[number // len(names) % len(ROUTES)]
            self.callers.append(asyncio.ensure_future(self._one(host, path, number)))

    async def _one(self, host: str, path: str, number: int) -> None:
        try:
            caller = await self.world.send(make_request(path, f"c{number}"), host)
            await caller.answer()
            self.results.append(caller.status)
        except OSError:
            self.results.append(0)

    async def _watch(self) -> None:
        while True:
            records = self.world.store.records(Topic.ROUTERS)
            for key, value in records[self._seen :]:
                if key.startswith("rollout/"):
                    at_s = self.world.loop.time() - self.ordered_s
                    self.statuses.append((at_s, json.loads(value)))
            self._seen = len(records)
            await asyncio.sleep(0.01)

    def order(self, to: str = "v2", service: str = SERVICE, **changes) -> None:
        """Write an order."""
        self.ordered_s = self.world.loop.time()
        order = {"service": service, "to": to, "duration_s": DURATION_S} | changes
        key = f"rollout/{service}"
        self.world.store.append(Topic.OPERATORS, key, json.dumps(order).encode())

    def cut_off(self, name: str) -> None:
        """Cut a router off from the store and all other routers, but not endpoints."""
        router = self.world.routers[name]
        self.world.store.view_for(name).away = True
        del self.world.loop.servers[self.hosts[name], 8003]
        for transport in self.world.loop.transports:
            if transport.host == self.hosts[name]:
                transport.abort()
        directory = router.routers
        for partners in ("preferred_peers", "fallback_peers", "quarantine_partners"):
            setattr(directory, partners, list)
        directory.load_partners = lambda turn: []

    def kill(self, name: str) -> None:
        """End a router abruptly."""
        self.world.kill(self.world.routers[name], self.hosts.pop(name))

    def stop(self) -> None:
        """Stop the callers."""
        for task in self.callers:
            task.cancel()

    @property
    def states(self) -> list[str]:
        """Return the states in the store, without repetitions."""
        states = [status["state"] for _, status in self.statuses]
        return [s for i, s in enumerate(states) if not i or states[i - 1] != s]

    @property
    def final_s(self) -> float:
        """Return when the first final state was in the store, after the order."""
        return next(at for at, s in self.statuses if s["state"] != "running")

    def received_between(self, from_s: float, to_s: float) -> dict[str, int]:
        """Return the requests that each version received, by time after the order."""
        counts: dict[str, int] = {}
        for at_s, version in self.received:
            if from_s <= at_s - self.ordered_s < to_s:
                counts[version] = counts.get(version, 0) + 1
        return counts

    def exposure(self) -> tuple[int, float]:
        """Return the requests at the new version, and how many it may receive."""
        counts = self.received_between(0.0, DURATION_S)
        return counts.get("v2", 0), 0.1 * sum(counts.values()) + 50

    @property
    def last_after_bad_s(self) -> float:
        """Return how long after the 50th bad response the new version got a request."""
        if len(self.bad_s) < 50:
            return 0.0
        last = max(at for at, version in self.received if version == "v2")
        return last - sorted(self.bad_s)[49]


def make_scenario(loop, fault: Fault | None = None) -> Scenario:
    """Return a scenario with the tables and the endpoints of the old version."""
    world = SimulatedFleet(loop)
    world.write_config(make_config())
    scenario = Scenario(world, fault)
    scenario.add_workers("v1", 4)
    return scenario
