"""Faults and planned work of a run, drawn from its seed."""

import asyncio
import json
import random
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tests.processes.fleet import GRACE_S, ZONES, EndpointProcess, Fleet, RouterProcess
from tests.processes.logstore import StoreFault
from tests.processes.proxy import LinkFault

__all__ = ["FAULTS", "Changes", "Faults"]

NESTED = "[" * 1500 + "]" * 1500
ENTRY = {"service": "plain", "zone": "a", "state": "ready", "slots": 4, "sequence": 1}
# Topic, key and value of records of other writers.
ODD_RECORDS = (
    ("keyed.servers", "odd", json.dumps(ENTRY)[:-1] + f',"x":{NESTED}' + "}"),
    ("keyed.servers", "odd", json.dumps(ENTRY | {"address": "127.0.0.1:70000"})),
    ("keyed.servers", "odd", json.dumps(ENTRY | {"address": "nowhere.example:80"})),
    ("keyed.servers", "odd", json.dumps(ENTRY | {"sequence": 10**30})),
    ("keyed.servers", "", "{"),
    ("keyed.status", "odd", '{"zone":"a","address":"127.0.0.1:70000"}'),
    ("keyed.status", "odd", '{"zone":"a","address":' + NESTED + "}"),
    ("keyed.status", "quarantine/plain/odd", '{"crashes":' + NESTED + "}"),
    ("keyed.status", "quarantine/plain/odd", '{"crashes":[[1e99,1,2]]}'),
    ("keyed.op", "evacuate/odd", NESTED),
)
# Time from the announcement that an endpoint leaves until it ends.
LEAVING_S = 4.0
# A pause between faults, short enough that they overlap.
MAX_GAP_S = 1.5

Fault = Callable[["Faults"], Awaitable[None]]
FAULTS: dict[str, Fault] = {}


def fault(function: Fault) -> Fault:
    """Register a kind of fault."""
    FAULTS[function.__name__.strip("_")] = function
    return function


@dataclass
class Changes:
    """What the operators did, with the times at which the store confirmed it.

    Attributes:
      added_s: When each route was added.
      removed_s: When each route was removed.
      emptied_s: Start and end of each time that a zone was out of service.
      left_s: When each endpoint announced that it leaves.
    """

    added_s: dict[str, float] = field(default_factory=dict)
    removed_s: dict[str, float] = field(default_factory=dict)
    emptied_s: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    left_s: dict[str, float] = field(default_factory=dict)


class Faults:
    """Injects faults one after the other; many last longer than the pauses."""

    def __init__(self, fleet: Fleet, rng: random.Random, names: tuple[str, ...]):
        """Create a series of faults.

        Args:
          fleet: The fleet that is harmed.
          rng: Draws faults, targets and times.
          names: Kinds that may come.
        """
        self.fleet = fleet
        self.rng = rng
        self.changes = Changes()
        # Names of the routes besides the first ones; shared with callers.
        self.later_routes: list[str] = []
        self._names = names
        self._version = 1
        self._running: set[asyncio.Task] = set()
        self._busy: set[str] = set()
        self.planned: list[str] = []

    async def run(self, until_s: float) -> None:
        """Start faults until a time, and wait until all are over."""
        while time.monotonic() < until_s:
            name = self.rng.choice(self._names)
            self.planned.append(name)
            task = asyncio.ensure_future(FAULTS[name](self))
            self._running.add(task)
            await asyncio.sleep(self.rng.uniform(0.1, MAX_GAP_S))
        await asyncio.gather(*self._running)

    def take_router(self) -> RouterProcess | None:
        """Return a router that runs and is free for a fault of its process."""
        free = [
            r
            for r in self.fleet.routers
            if r.process is not None and r.name not in self._busy
        ]
        # Half of the routers stay, so that callers of the others are served.
        if len(self._busy) >= len(self.fleet.routers) // 2 or not free:
            return None
        router = self.rng.choice(free)
        self._busy.add(router.name)
        return router

    def release(self, router: RouterProcess) -> None:
        """Let other faults take a router."""
        self._busy.discard(router.name)

    def take_endpoint(self, service: str | None = None) -> EndpointProcess | None:
        """Return an endpoint that is sound, if others of its service are too."""
        sound = [
            e
            for e in self.fleet.endpoints.values()
            if e.id not in self._busy and e.state == "ready"
        ]
        services = [service] if service else ["plain", "engines"]
        chosen = self.rng.choice(services)
        left = [e for e in sound if e.service == chosen]
        if len(left) < 4:
            return None
        endpoint = self.rng.choice(left)
        self._busy.add(endpoint.id)
        return endpoint

    async def publish(self) -> None:
        """Write the next version of the configuration."""
        self._version += self.rng.choice((1, 2, 7))
        await self.fleet.publish(self._version, self.later_routes)

    async def start_replacement(self, endpoint: EndpointProcess) -> None:
        """Start an endpoint under a new id in place of one that ends."""
        number = len(self.fleet.endpoints)
        await self.fleet.start_endpoint(f"n{number}", endpoint.service, endpoint.zone)


@fault
async def _stop_router(faults: Faults) -> None:
    router = faults.take_router()
    if router is None:
        return
    disturbance = faults.fleet.disturb("stop", router.name)
    router.expected_end = True
    process = router.process
    process.send_signal(signal.SIGTERM)
    for number in (signal.SIGHUP, signal.SIGTERM):
        if faults.rng.random() < 0.3:
            await asyncio.sleep(faults.rng.uniform(0.0, 2.0))
            if process.returncode is None:
                process.send_signal(number)
    try:
        async with asyncio.timeout(GRACE_S + 2.0):
            await process.wait()
    except TimeoutError:
        faults.fleet.disturb("stop took too long", router.name)
        process.kill()
        await process.wait()
    await _await_restart(faults, router, process)
    disturbance.end_s = time.monotonic()


async def _await_restart(faults: Faults, router: RouterProcess, ended) -> None:
    while router.process in (None, ended):
        await asyncio.sleep(0.05)
    router.expected_end = False
    try:
        await faults.fleet.wait_until_ready(router)
    except TimeoutError:
        faults.fleet.disturb("not ready", router.name)
    faults.release(router)


@fault
async def _kill_router(faults: Faults) -> None:
    router = faults.take_router()
    if router is None:
        return
    disturbance = faults.fleet.disturb("kill", router.name)
    router.expected_end = True
    process = router.process
    process.kill()
    await process.wait()
    await _await_restart(faults, router, process)
    disturbance.end_s = time.monotonic()


@fault
async def _suspend_router(faults: Faults) -> None:
    router = faults.take_router()
    if router is None:
        return
    disturbance = faults.fleet.disturb("suspend", router.name)
    router.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(faults.rng.uniform(0.2, 3.0))
    router.process.send_signal(signal.SIGCONT)
    disturbance.end_s = time.monotonic()
    faults.release(router)


@fault
async def _change_settings(faults: Faults) -> None:
    for router in faults.fleet.routers:
        if faults.rng.random() < 0.5:
            router.write_settings()
            if router.process is not None and router.name not in faults._busy:
                router.process.send_signal(signal.SIGHUP)


@fault
async def _cut_router_from_store(faults: Faults) -> None:
    router = faults.rng.choice(faults.fleet.routers)
    disturbance = faults.fleet.disturb("cut from the store", router.name)
    router.proxy.set_fault(faults.rng.choice(list(LinkFault)[1:]))
    await asyncio.sleep(faults.rng.uniform(0.5, 4.0))
    router.proxy.set_fault(LinkFault.NONE)
    disturbance.end_s = time.monotonic()


@fault
async def _harm_store(faults: Faults) -> None:
    store = faults.fleet.store
    if store.fault is not StoreFault.NONE:
        return
    disturbance = faults.fleet.disturb("store")
    store.fault = faults.rng.choice(list(StoreFault)[1:])
    await asyncio.sleep(faults.rng.uniform(0.3, 4.0))
    if faults.rng.random() < 0.3:
        await store.restore(faults.rng.randrange(1, 6))
    store.fault = StoreFault.NONE
    disturbance.end_s = time.monotonic()


@fault
async def _restore_store(faults: Faults) -> None:
    disturbance = faults.fleet.disturb("restore")
    await faults.fleet.store.restore(faults.rng.randrange(1, 6))
    disturbance.end_s = time.monotonic()


@fault
async def _write_odd_record(faults: Faults) -> None:
    for _ in range(faults.rng.choice((1, 1, 3))):
        topic, key, value = faults.rng.choice(ODD_RECORDS)
        await faults.fleet.store.put(topic, key, value.encode())


@fault
async def _crash_endpoint(faults: Faults) -> None:
    endpoint = faults.take_endpoint()
    if endpoint is None:
        return
    faults.fleet.disturb("crash", endpoint.id)
    endpoint.state = "crashed"
    endpoint.process.kill()
    endpoint.proxy.set_fault(LinkFault.RESET)
    faults.fleet.spawn(faults.fleet.remove_endpoint(endpoint.id, 3.6))
    await asyncio.sleep(faults.rng.uniform(0.2, 2.0))
    await faults.start_replacement(endpoint)


@fault
async def _drain_endpoint(faults: Faults) -> None:
    endpoint = faults.take_endpoint()
    if endpoint is None:
        return
    endpoint.state = "draining"
    await faults.fleet.store.put("keyed.servers", endpoint.id, endpoint.entry())
    faults.changes.left_s[endpoint.id] = time.monotonic()
    endpoint.set_mode("leaving")
    await faults.start_replacement(endpoint)
    await asyncio.sleep(LEAVING_S)
    faults.fleet.disturb("left", endpoint.id)
    await faults.fleet.remove_endpoint(endpoint.id, 0.0)


@fault
async def _spoil_endpoint(faults: Faults) -> None:
    mode = faults.rng.choice(("slow", "reset", "endless", "hanging"))
    endpoint = faults.take_endpoint("plain" if mode == "endless" else None)
    if endpoint is None:
        return
    disturbance = faults.fleet.disturb(mode, endpoint.id)
    endpoint.set_mode(mode)
    await asyncio.sleep(faults.rng.uniform(0.5, 3.0))
    endpoint.set_mode("sound")
    # Requests that it had begun end later.
    await asyncio.sleep(1.0)
    disturbance.end_s = time.monotonic()
    faults._busy.discard(endpoint.id)


@fault
async def _harm_link_of_endpoint(faults: Faults) -> None:
    endpoint = faults.take_endpoint()
    if endpoint is None:
        return
    disturbance = faults.fleet.disturb("link", endpoint.id)
    endpoint.proxy.set_fault(faults.rng.choice(list(LinkFault)[1:]))
    await asyncio.sleep(faults.rng.uniform(0.3, 3.0))
    endpoint.proxy.set_fault(LinkFault.NONE)
    await asyncio.sleep(1.0)
    disturbance.end_s = time.monotonic()
    faults._busy.discard(endpoint.id)


@fault
async def _add_route(faults: Faults) -> None:
    name = f"later{len(faults.changes.added_s)}"
    faults.changes.added_s[name] = float("inf")
    faults.later_routes.append(name)
    await faults.publish()
    faults.changes.added_s[name] = time.monotonic()


@fault
async def _remove_route(faults: Faults) -> None:
    if len(faults.later_routes) < 2:
        return
    name = faults.later_routes.pop(0)
    await faults.publish()
    faults.changes.removed_s[name] = time.monotonic()


@fault
async def _empty_zone(faults: Faults) -> None:
    zone = faults.rng.choice(ZONES)
    if any(key.startswith("zone ") for key in faults._busy):
        return
    faults._busy.add(f"zone {zone}")
    await faults.fleet.store.put("keyed.op", f"evacuate/{zone}", b"{}")
    start_s = time.monotonic()
    await asyncio.sleep(faults.rng.uniform(1.0, 9.0))
    faults.changes.emptied_s.setdefault(zone, []).append((start_s, time.monotonic()))
    await faults.fleet.store.put("keyed.op", f"evacuate/{zone}", b"")
    faults._busy.discard(f"zone {zone}")
