"""Random fault scenarios for a small fleet in virtual time, with invariant checks."""

import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass, field

from cranberrysail.router.store import Topic
from tests.router.simulatedfleet import SEAL, SimulatedFleet, make_config, make_request

ROUTERS = {"r1": "10.0.0.1", "r2": "10.0.0.2", "r3": "10.0.0.3"}
SCENARIO_S = 40.0
CALLS_PER_S = 30.0
# Limits that the users require.
MAX_DRAIN_DELAY_S = 2.0
STABILITY_WINDOW_S = 3.0
MAX_CALLS_IN_PAUSE = 2
MAX_TABLES_DELAY_S = 2.0
STORE_RECOVERY_S = 3.0
MAX_COLD_CALLS_PER_S = 10.0 * 1.5 + 5


@dataclass
class SentCall:
    """A call and the response that its caller received."""

    attempt: str
    path: str
    key: str
    sent_s: float
    router: str
    status: int = 0
    data: bytes = b""
    whole: bool = False


@dataclass
class Execution:
    """The execution of a call by a worker."""

    at_s: float
    attempt: str
    worker: str
    customer: str
    cold: bool
    incarnation: int


@dataclass
class Arrival:
    """The arrival of a request at a worker, and what the response says.

    Attributes:
      leaving: True if the response says that the worker leaves.
      pause_s: Seconds for which the worker wants no more requests.
    """

    at_s: float
    attempt: str
    worker: str
    incarnation: int
    leaving: bool
    pause_s: float


@dataclass
class Drain:
    """The start of a worker's drain."""

    at_s: float
    worker: str
    incarnation: int


@dataclass
class RandomScenario:
    """One random scenario.

    Attributes:
      stopped_at_s: Workers that are draining or down, with a time.
      cold_until: Time until which each worker is cold.
      customers_by_key: Names of customers by API key.
      violations: Violated invariants, with the observed values.
      arrivals: All requests that reached a worker.
      drains: Drains of all workers.
      restoring: True while records that a restore lost may be hidden by older ones.
      starts: Time and name of each start of a router.
      store_faults_s: Times at which the store had a fault, each 0.1 s.
      versions: Version of the tables last seen at each router.
      published: Times and versions of published tables.
    """

    loop: object
    seed: int
    sent_calls: list[SentCall] = field(default_factory=list)
    executions: list[Execution] = field(default_factory=list)
    stopped_at_s: dict[str, float] = field(default_factory=dict)
    cold_until: dict[str, float] = field(default_factory=dict)
    customers_by_key: dict[str, str] = field(
        default_factory=lambda: {"k1": "guide", "k2": "soci"}
    )
    violations: list[str] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    restoring: bool = False
    starts: list[tuple[float, str]] = field(default_factory=list)
    store_faults_s: list[float] = field(default_factory=lambda: [0.0])
    version: int = 1
    versions: dict[str, int] = field(default_factory=dict)
    published: list[tuple[float, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.world = SimulatedFleet(self.loop)
        self.tasks: list[asyncio.Task] = []

    def now(self) -> float:
        return self.loop.time()

    # Workers

    async def answer(self, conn, received) -> None:
        """Answer a call correctly or with a random fault."""
        attempt = received.headers["cranberrysail-attempt-id"]
        worker = conn.worker
        draw = self.rng.random()
        pause_s = self.rng.uniform(0.5, 4.0) if draw < 0.005 else 0.0
        leaving = worker.state == "draining"
        self.arrivals.append(
            Arrival(self.now(), attempt, worker.name, worker.born, leaving, pause_s)
        )
        says = "Server-Leaving: 1\r\n" if leaving else ""
        if pause_s:
            says += f"Retry-After: {pause_s}\r\n"
        if draw < 0.03:
            extra = f"Cranberrysail-Not-Executed: 1\r\n{says}"
            conn.reply(503, extra, b"", attempt)
            return
        if received.headers["cranberrysail-expected-instance"] != worker.name:
            conn.reply(421, "", b"", attempt)
            return
        cold = self.now() < self.cold_until.get(worker.name, 0.0)
        customer = received.headers.get("cranberrysail-tenant", "")
        self.executions.append(
            Execution(self.now(), attempt, worker.name, customer, cold, worker.born)
        )
        await asyncio.sleep(self.rng.choice((0.02, 0.05, 0.1)))
        if draw < 0.05:
            conn.transport.reset()
        elif draw < 0.06:
            await asyncio.sleep(60)
        elif draw < 0.08:
            conn.reply(200, SEAL, b"another's answer", f"x{attempt}")
        elif draw < 0.10:
            conn.reply(200, "", b"no seal", attempt)
        elif draw < 0.12:
            conn.reply(500, SEAL + says, b"failed", attempt)
        elif received.path.startswith(("/chat/", "/resumable/")):
            await self.stream(conn, received, attempt, draw, says)
        else:
            await self.reply_plain(conn, attempt, draw, says)

    async def reply_plain(self, conn, attempt: str, draw: float, says: str) -> None:
        """Send a response with a length, or one that ends with its connection.

        Some of the former are sent twice, and some of the latter are reset midway.
        """
        body = f"<{attempt}>".encode()
        if draw >= 0.20:
            conn.reply(200, SEAL + says, body, attempt)
            if draw > 0.98:
                conn.reply(200, SEAL, b"once more", attempt)
            return
        head = (
            f"HTTP/1.1 200 OK\r\nCranberrysail-Attempt-Id: {attempt}\r\n"
            f"{SEAL}{says}\r\n"
        )
        resets = draw < 0.16
        conn.transport.write(head.encode() + (body[:-1] if resets else body))
        await asyncio.sleep(0.01)
        if resets:
            conn.transport.reset()
        else:
            conn.transport.close()

    async def stream(
        self, conn, received, attempt: str, draw: float, says: str
    ) -> None:
        """Send the events, five in all, that the caller lacks, or stop midway.

        One stream in five has no framing of its own and ends with its connection. Of
        those that stop midway, some are reset and some closed inside an event.
        """
        framed = self.rng.random() < 0.8
        head = f"HTTP/1.1 200 OK\r\nCranberrysail-Attempt-Id: {attempt}\r\n{SEAL}{says}"
        framing = "Transfer-Encoding: chunked\r\n" if framed else ""
        conn.transport.write(f"{head}{framing}\r\n".encode())

        def write(data: bytes) -> None:
            conn.transport.write(
                b"%x\r\n%b\r\n" % (len(data), data) if framed else data
            )

        for number in range(int(received.headers.get("last-event-id", 0)) + 1, 6):
            write(f"id: {number}\ndata: <{attempt}>\n\n".encode())
            await asyncio.sleep(0.02)
            if draw < 0.17 and number == 3:
                conn.transport.reset()
                return
            if draw < 0.24 and number == 3:
                write(b"id: 4\nda")
                conn.transport.close()
                return
        if framed:
            conn.transport.write(b"0\r\n\r\n")
        else:
            conn.transport.close()

    def start_worker(self, name: str, service: str, zone: str, cold_s: float) -> None:
        """Start a worker, or restart a known one as a new incarnation."""
        worker = self.world.workers.get(name)
        self.stopped_at_s.pop(name, None)
        self.cold_until[name] = self.now() + cold_s
        if worker is None:
            self.world.add_worker(
                name, service, self.answer, zone=zone, cold_ms=int(cold_s * 1000)
            )
            return
        worker.born += 1
        worker.sequence, worker.state = 0, "ready"
        worker.cold_ms = int(cold_s * 1000)
        self.world.listen(worker)
        self.world.write_declaration(worker)

    def crash_worker(self, name: str) -> None:
        """Stop a worker abruptly; its declaration stays in the store."""
        worker = self.world.workers[name]
        host, _, port = worker.address.partition(":")
        self.loop.servers.pop((host, int(port)), None)
        for conn in worker.conns:
            conn.transport.reset()
        worker.conns.clear()

    # Callers

    async def call(self, number: int) -> None:
        """Send one call and record the response."""
        rng = self.rng
        name = rng.choice(list(self.world.routers))
        path = rng.choice(("/book/", "/look/", "/chat/", "/resumable/")) + str(number)
        key = rng.choice(
            [*self.customers_by_key, "unknown"] if number % 20 == 0 else ["k1", "k2"]
        )
        sent = SentCall(f"a{number}", path, key, self.now(), name)
        parts = f"aa:100,b{number % 7}:900,{number:x}:20"
        data = make_request(
            path,
            sent.attempt,
            Cranberrysail_Credential=key,
            Cranberrysail_Prompt_Prefix=parts,
        )
        try:
            caller = await self.world.send(data, ROUTERS[name])
        except OSError:
            return
        self.sent_calls.append(sent)
        if rng.random() < 0.05:
            await asyncio.sleep(rng.random() * 0.2)
            caller.transport.close()
            return
        try:
            await caller.answer(8.0)
        except TimeoutError:
            self.violations.append(f"{sent.attempt} got no complete response in 8 s")
        sent.status, sent.data, sent.whole = (
            caller.status,
            caller.data,
            caller.is_complete,
        )
        caller.transport.close()

    async def generate_load(self) -> None:
        """Send calls at random times."""
        number = 0
        while True:
            await asyncio.sleep(self.rng.expovariate(CALLS_PER_S))
            number += 1
            self.tasks.append(asyncio.ensure_future(self.call(number)))

    # Faults

    async def inject_store_faults(self) -> None:
        """Inject faults into the store, for all routers or for one."""
        store = self.world.store
        while True:
            await asyncio.sleep(self.rng.uniform(3.0, 9.0))
            view = self.rng.choice([store, *map(store.view_for, ROUTERS)])
            fault = self.rng.choice(("down", "silent", "misses_wakeups"))
            setattr(view, fault, True)
            await self.note_store_fault(self.rng.uniform(0.5, 5.0))
            setattr(view, fault, False)
            if self.rng.random() < 0.4 and not self.restoring:
                store.compact(self.rng.choice((Topic.ENDPOINTS, Topic.OPERATORS)))
                self.store_faults_s.append(self.now())

    async def note_store_fault(self, duration_s: float) -> None:
        until_s = self.now() + duration_s
        while self.now() < until_s:
            self.store_faults_s.append(self.now())
            await asyncio.sleep(0.1)

    async def restore_store(self) -> None:
        """Restore the store from a copy; what it lost is written again later."""
        store = self.world.store
        while True:
            await asyncio.sleep(self.rng.uniform(4.0, 12.0))
            copy = store.copy()
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            store.away = True
            await self.note_store_fault(self.rng.uniform(0.1, 1.0))
            lost = store.restore(copy)
            self.restoring = True
            # At times routers see the store only once there are records in the place
            # of the lost ones.
            sees_loss = self.rng.random() < 0.5
            store.away = not sees_loss
            await self.note_store_fault(self.rng.uniform(0.1, 1.8))
            if not sees_loss:
                self.publish_tables()
            store.away = False
            for topic in (Topic.OPERATORS, Topic.ENDPOINTS):
                self.write_again(topic, copy, lost[topic])
            await self.note_store_fault(1.0)
            self.restoring = False
            self.store_faults_s.append(self.now())

    def write_again(self, topic: Topic, copy, lost) -> None:
        """Write lost records again, also behind newer ones of their key.

        Removals and zones, which tell nothing of their order, are not written behind.
        """
        start = copy.get(topic, 0)
        written = {key for key, _ in self.world.store.records(topic)[start:]}
        for key, value in lost:
            ordered = value is not None and not key.startswith("evacuate/")
            if ordered or key not in written:
                self.world.store.append(topic, key, value)

    async def inject_worker_faults(self) -> None:
        """Drain or crash workers and restart them cold."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 2.5))
            name = self.rng.choice(list(self.world.workers))
            worker = self.world.workers[name]
            if name in self.stopped_at_s:
                continue
            if self.rng.random() < 0.5:
                older = worker.next_declaration()
                worker.state = "draining"
                self.world.write_declaration(worker)
                self.stopped_at_s[name] = self.now()
                self.drains.append(Drain(self.now(), name, worker.born))
                self.write_late(Topic.ENDPOINTS, name, older)
                self.tasks.append(asyncio.ensure_future(self.finish_drain(name)))
            else:
                self.stopped_at_s[name] = self.now() + SCENARIO_S
                self.crash_worker(name)
                self.tasks.append(
                    asyncio.ensure_future(self.restart_worker_later(name))
                )

    async def finish_drain(self, name: str) -> None:
        await asyncio.sleep(self.rng.uniform(3.0, 5.0))
        self.world.store.append(Topic.ENDPOINTS, name, None)
        self.crash_worker(name)
        await self.restart_worker_later(name)

    async def restart_worker_later(self, name: str) -> None:
        await asyncio.sleep(self.rng.uniform(1.0, 3.0))
        worker = self.world.workers[name]
        self.start_worker(name, worker.service, worker.zone, 3.0)

    async def publish_changes(self) -> None:
        """Publish tables, and take a zone out of service and back."""
        while True:
            # Tables that are missed show only if none follow soon.
            await asyncio.sleep(self.rng.choice((self.rng.uniform(0.2, 4.0), 10.0)))
            self.publish_tables()
            if self.rng.random() < 0.3:
                self.world.store.append(Topic.OPERATORS, "evacuate/b", b"{}")
                await asyncio.sleep(2.0)
                self.world.store.append(Topic.OPERATORS, "evacuate/b", None)

    def publish_tables(self) -> None:
        older = json.dumps(self.document()).encode()
        self.version += self.rng.randint(1, 3)
        self.world.write_config(self.document())
        self.published.append((self.now(), self.version))
        self.write_late(Topic.OPERATORS, "config", older)

    def write_late(self, topic: Topic, key: str, older: bytes) -> None:
        """At times write an older record some seconds later, behind newer ones."""
        if self.rng.random() < 0.3:
            self.tasks.append(
                asyncio.ensure_future(self.append_late(topic, key, older))
            )

    async def append_late(self, topic: Topic, key: str, older: bytes) -> None:
        await asyncio.sleep(self.rng.uniform(0.1, 6.0))
        self.world.store.append(topic, key, older)

    def document(self) -> dict:
        tenants = [
            {"name": name, "api_keys": [key], "priority": 1}
            for key, name in self.customers_by_key.items()
        ]
        return make_config(self.version, tenants=tenants)

    async def restart_routers(self) -> None:
        """Stop or kill routers, one or two at a time, and restart them together."""
        while True:
            await asyncio.sleep(self.rng.uniform(6.0, 12.0))
            names = self.rng.sample(sorted(ROUTERS), self.rng.choice((1, 2)))
            for name in names:
                router = self.world.routers.pop(name)
                if self.rng.random() < 0.5:
                    router.request_stop()
                    await router.stopped.wait()
                self.world.kill(router, ROUTERS[name])
                self.versions.pop(name, None)
            await asyncio.sleep(0.5)
            for name in names:
                self.starts.append((self.now(), name))
            await asyncio.gather(
                *(self.world.start_router(0.0, name, ROUTERS[name]) for name in names)
            )

    async def monitor_tables(self) -> None:
        """Check the tables of all routers throughout the scenario."""
        while True:
            await asyncio.sleep(0.1)
            for name, router in self.world.routers.items():
                tables = router.routing_state.tables
                version = tables.version if tables else 0
                if version < self.versions.get(name, 0):
                    self.violations.append(f"{name} reverted to tables {version}")
                self.versions[name] = version
                self.check_tables(name, version)

    def check_tables(self, name: str, version: int) -> None:
        due = [
            v for at_s, v in self.published if at_s < self.now() - MAX_TABLES_DELAY_S
        ]
        since_fault_s = self.now() - self.store_faults_s[-1]
        stable = since_fault_s > STORE_RECOVERY_S + MAX_TABLES_DELAY_S
        # The bound holds for routers that have run for the stability window.
        started_s = max((at_s for at_s, n in self.starts if n == name), default=0.0)
        stable = stable and self.now() - started_s > STABILITY_WINDOW_S
        if stable and version and due and version < due[-1]:
            self.violations.append(
                f"{name} still has tables {version}, {due[-1]} is due"
            )

    # Invariants

    async def run(self) -> "RandomScenario":
        """Run the scenario and check the invariants."""
        # Delays of the routers are random, too.
        random.seed(self.seed)
        world = self.world
        world.write_config(self.document())
        for number in range(6):
            self.start_worker(f"e{number}", "engines", "ab"[number % 2], 0.0)
        for number in range(3):
            self.start_worker(f"p{number}", "plain", "ab"[number % 2], 0.0)
        starts = (world.start_router(3.0, name, host) for name, host in ROUTERS.items())
        await asyncio.gather(*starts)
        activities = [
            self.generate_load(),
            self.inject_store_faults(),
            self.restore_store(),
            self.inject_worker_faults(),
            self.publish_changes(),
            self.restart_routers(),
            self.monitor_tables(),
        ]
        running = [asyncio.ensure_future(activity) for activity in activities]
        await asyncio.sleep(SCENARIO_S)
        for task in running:
            failed = task.done() and not task.cancelled() and task.exception()
            if failed:
                raise failed
            task.cancel()
        await asyncio.sleep(9.0)
        self.check()
        return self

    def check(self) -> None:
        """Check the calls recorded by callers and workers."""
        counts = Counter(execution.attempt for execution in self.executions)
        by_attempt = {sent.attempt: sent for sent in self.sent_calls}
        for sent in self.sent_calls:
            self.check_response(sent, counts[sent.attempt])
        for execution in self.executions:
            self.check_execution(execution, by_attempt)
        self.check_cold()
        for drain in self.drains:
            self.check_drain(drain, by_attempt)
        for arrival in self.arrivals:
            self.check_wishes(arrival, by_attempt)

    def check_wishes(self, told: Arrival, by_attempt: dict[str, SentCall]) -> None:
        """Check that a router does what a worker told it in a response."""
        teller = by_attempt.get(told.attempt)
        if teller is None or not (told.leaving or told.pause_s):
            return
        later = [
            (arrival, by_attempt[arrival.attempt])
            for arrival in self.arrivals
            if arrival.at_s > told.at_s
            and (arrival.worker, arrival.incarnation) == (told.worker, told.incarnation)
            and arrival.attempt in by_attempt
            and by_attempt[arrival.attempt].router == teller.router
            and not self.restarted_between(teller.router, told.at_s, arrival.at_s)
        ]
        # A response takes up to 0.2 s to reach its router.
        from_s = told.at_s + 0.2 + MAX_DRAIN_DELAY_S
        if told.leaving and any(sent.sent_s > from_s for _, sent in later):
            self.violations.append(f"{told.worker} got calls after it said it leaves")
        paused = [
            arrival
            for arrival, _ in later
            if 0.5 <= arrival.at_s - told.at_s < told.pause_s
        ]
        if len(paused) > MAX_CALLS_IN_PAUSE:
            self.violations.append(f"{told.worker} got {len(paused)} calls in a pause")

    def restarted_between(self, router: str, start_s: float, end_s: float) -> bool:
        return any(
            name == router and start_s < at_s < end_s for at_s, name in self.starts
        )

    def check_drain(self, drain: Drain, by_attempt: dict[str, SentCall]) -> None:
        """Check that routers which could read of a drain sent nothing after it."""
        if any(
            -STABILITY_WINDOW_S <= at_s - drain.at_s <= MAX_DRAIN_DELAY_S
            for at_s in self.store_faults_s
        ):
            return
        for execution in self.executions:
            sent = by_attempt.get(execution.attempt)
            if (
                sent is None
                or execution.worker != drain.worker
                or execution.incarnation != drain.incarnation
                or sent.sent_s < drain.at_s + MAX_DRAIN_DELAY_S
            ):
                continue
            if not self.restarted_between(sent.router, drain.at_s, execution.at_s):
                self.violations.append(
                    f"{execution.attempt} ran at {drain.worker}, which was draining"
                )

    def check_response(self, sent: SentCall, executions: int) -> None:
        body = sent.data.partition(b"\r\n\r\n")[2]
        own = f"<{sent.attempt}>".encode()
        at_most_once = sent.path.startswith(("/book/", "/chat/"))
        if at_most_once and executions > 1:
            self.violations.append(f"{sent.attempt} ran {executions} times")
        if at_most_once and sent.status in (429, 503) and executions:
            self.violations.append(f"{sent.attempt} was refused and ran")
        if sent.status == 200 and sent.whole:
            events = 5 if sent.path.startswith(("/chat/", "/resumable/")) else 1
            if body.count(own) != events:
                self.violations.append(f"{sent.attempt} got {body!r}")
        for text in (b"another's answer", b"no seal", b"once more"):
            if text in sent.data:
                self.violations.append(f"{sent.attempt} got {text!r}")
        if sent.status in (401, 404) and sent.key in self.customers_by_key:
            self.violations.append(f"{sent.attempt} was denied with {sent.status}")

    def check_execution(
        self, execution: Execution, by_attempt: dict[str, SentCall]
    ) -> None:
        sent = by_attempt.get(execution.attempt)
        if sent is not None and execution.customer != self.customers_by_key.get(
            sent.key
        ):
            self.violations.append(
                f"{execution.attempt} ran for {execution.customer!r}"
            )

    def check_cold(self) -> None:
        for name in self.world.workers:
            times = [r.at_s for r in self.executions if r.worker == name and r.cold]
            for start in times:
                most = sum(start <= at_s < start + 1.0 for at_s in times)
                if most > MAX_COLD_CALLS_PER_S and name.startswith("e"):
                    self.violations.append(
                        f"{name} got {most} calls in a second while cold"
                    )
                    return
