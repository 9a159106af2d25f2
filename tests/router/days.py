"""Random days of a small fleet in virtual time, and the promises checked."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from cranberrysail.router.store import Topic
from tests.router.world import SEAL, World, config, request

ROUTERS = {"r1": "10.0.0.1", "r2": "10.0.0.2", "r3": "10.0.0.3"}
DAY_S = 40.0
CALLS_PER_S = 30.0
# The users' bounds.
DRAIN_S = 2.0
TABLES_S = 2.0
SOUND_S = 3.0
COLD_CALLS = 10.0 * 1.5 + 5


@dataclass
class Asked:
    """A call and what its caller got."""

    attempt: str
    path: str
    key: str
    sent_s: float
    router: str
    status: int = 0
    data: bytes = b""
    whole: bool = False


@dataclass
class Run:
    """A call that a worker began to work on."""

    at_s: float
    attempt: str
    worker: str
    customer: str
    cold: bool


@dataclass
class Day:
    """One random day.

    Attributes:
      broken: Promises that were broken, with what was seen.
    """

    loop: object
    seed: int
    asked: list[Asked] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    left: dict[str, float] = field(default_factory=dict)
    cold_until: dict[str, float] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=lambda: {"k1": "guide", "k2": "soci"})
    broken: list[str] = field(default_factory=list)
    unsound_s: float = 0.0
    version: int = 1
    versions: dict[str, int] = field(default_factory=dict)
    published: list[tuple[float, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.world = World(self.loop)
        self.tasks: list[asyncio.Task] = []

    def now(self) -> float:
        return self.loop.time()

    # Workers

    async def answer(self, conn, heard) -> None:
        """Answer a call in one of the ways that workers have."""
        attempt = heard.headers["cranberrysail-attempt-id"]
        worker = conn.worker
        way = self.rng.random()
        if way < 0.03:
            conn.reply(503, "Cranberrysail-Not-Executed: 1\r\n", b"", attempt)
            return
        if heard.headers["cranberrysail-expected-instance"] != worker.name:
            conn.reply(421, "", b"", attempt)
            return
        cold = self.now() < self.cold_until.get(worker.name, 0.0)
        customer = heard.headers.get("cranberrysail-tenant", "")
        self.runs.append(Run(self.now(), attempt, worker.name, customer, cold))
        await asyncio.sleep(self.rng.choice((0.02, 0.05, 0.1)))
        if way < 0.05:
            conn.transport.abort()
        elif way < 0.06:
            await asyncio.sleep(60)
        elif way < 0.08:
            conn.reply(200, SEAL, b"another's answer", f"x{attempt}")
        elif way < 0.10:
            conn.reply(200, "", b"no seal", attempt)
        elif way < 0.12:
            conn.reply(500, SEAL, b"failed", attempt)
        elif heard.path.startswith(("/chat/", "/resumable/")):
            await self.stream(conn, heard, attempt, way)
        else:
            conn.reply(200, SEAL, f"<{attempt}>".encode(), attempt)
            if way > 0.98:
                conn.reply(200, SEAL, b"once more", attempt)

    async def stream(self, conn, heard, attempt: str, way: float) -> None:
        """Send five events after those that the caller has, or break off."""
        head = f"HTTP/1.1 200 OK\r\nCranberrysail-Attempt-Id: {attempt}\r\n{SEAL}"
        conn.transport.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(int(heard.headers.get("last-event-id", 0)) + 1, 6):
            event = f"id: {number}\ndata: <{attempt}>\n\n".encode()
            conn.transport.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(0.02)
            if way < 0.17 and number == 3:
                conn.transport.abort()
                return
        conn.transport.write(b"0\r\n\r\n")

    def start_worker(self, name: str, service: str, zone: str, cold_s: float) -> None:
        """Start a worker; one of a known name starts anew under its id."""
        known = self.world.workers.get(name)
        self.left.pop(name, None)
        self.cold_until[name] = self.now() + cold_s
        if known is None:
            self.world.add_worker(
                name, service, self.answer, zone=zone, cold_ms=int(cold_s * 1000)
            )
            return
        known.born += 1
        known.count, known.state = 0, "ready"
        known.cold_ms = int(cold_s * 1000)
        self.world.listen(known)
        self.world.declare(known)

    def crash_worker(self, name: str) -> None:
        """Take a worker's process away; its entry stays for a while."""
        worker = self.world.workers[name]
        host, _, port = worker.address.partition(":")
        self.loop.servers.pop((host, int(port)), None)
        for conn in worker.conns:
            conn.transport.abort()
        worker.conns.clear()

    # Callers

    async def call(self, number: int) -> None:
        """Send one call and keep what comes back."""
        rng = self.rng
        name = rng.choice(list(self.world.routers))
        path = rng.choice(("/book/", "/look/", "/chat/", "/resumable/")) + str(number)
        key = rng.choice([*self.keys, "unknown"] if number % 20 == 0 else ["k1", "k2"])
        asked = Asked(f"a{number}", path, key, self.now(), name)
        parts = f"aa:100,b{number % 7}:900,{number:x}:20"
        data = request(
            path,
            asked.attempt,
            Cranberrysail_Credential=key,
            Cranberrysail_Prompt_Prefix=parts,
        )
        try:
            caller = await self.world.call(data, ROUTERS[name])
        except OSError:
            return
        self.asked.append(asked)
        if rng.random() < 0.05:
            await asyncio.sleep(rng.random() * 0.2)
            caller.transport.close()
            return
        try:
            await caller.answer(8.0)
        except TimeoutError:
            self.broken.append(f"{asked.attempt} got no final answer in 8 s")
        asked.status, asked.data, asked.whole = caller.status, caller.data, caller.whole
        caller.transport.close()

    async def press(self) -> None:
        """Send calls at random times."""
        number = 0
        while True:
            await asyncio.sleep(self.rng.expovariate(CALLS_PER_S))
            number += 1
            self.tasks.append(asyncio.ensure_future(self.call(number)))

    # Trouble

    async def store_trouble(self) -> None:
        """Let the store fail, wholly or for one router, and come back."""
        store = self.world.store
        while True:
            await asyncio.sleep(self.rng.uniform(3.0, 9.0))
            view = self.rng.choice([store, *map(store.seen_by, ROUTERS)])
            fault = self.rng.choice(("down", "silent", "deaf"))
            setattr(view, fault, True)
            until_s = self.now() + self.rng.uniform(0.5, 5.0)
            while self.now() < until_s:
                self.unsound_s = self.now()
                await asyncio.sleep(0.1)
            setattr(view, fault, False)
            if self.rng.random() < 0.4:
                store.drop_history(self.rng.choice((Topic.ENDPOINTS, Topic.OPERATORS)))
                self.unsound_s = self.now()

    async def worker_trouble(self) -> None:
        """Let workers leave, crash and start anew, cold."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 2.5))
            name = self.rng.choice(list(self.world.workers))
            worker = self.world.workers[name]
            if name in self.left:
                continue
            if self.rng.random() < 0.5:
                worker.state = "draining"
                self.world.declare(worker)
                self.left[name] = self.now()
                self.tasks.append(asyncio.ensure_future(self.leave(name)))
            else:
                self.left[name] = self.now() + DAY_S
                self.crash_worker(name)
                self.tasks.append(asyncio.ensure_future(self.come_back(name)))

    async def leave(self, name: str) -> None:
        await asyncio.sleep(self.rng.uniform(3.0, 5.0))
        self.world.store.write(Topic.ENDPOINTS, name, None)
        self.crash_worker(name)
        await self.come_back(name)

    async def come_back(self, name: str) -> None:
        await asyncio.sleep(self.rng.uniform(1.0, 3.0))
        worker = self.world.workers[name]
        self.start_worker(name, worker.service, worker.zone, 3.0)

    async def operators(self) -> None:
        """Publish tables, and take a zone out and back."""
        while True:
            await asyncio.sleep(self.rng.uniform(2.0, 6.0))
            self.version += self.rng.randint(1, 3)
            self.world.publish(self.document())
            self.published.append((self.now(), self.version))
            if self.rng.random() < 0.3:
                self.world.store.write(Topic.OPERATORS, "evacuate/b", b"{}")
                await asyncio.sleep(2.0)
                self.world.store.write(Topic.OPERATORS, "evacuate/b", None)

    def document(self) -> dict:
        tenants = [
            {"name": name, "api_keys": [key], "priority": 1}
            for key, name in self.keys.items()
        ]
        return config(self.version, tenants=tenants)

    async def router_trouble(self) -> None:
        """Stop routers in turn and start them anew."""
        while True:
            await asyncio.sleep(self.rng.uniform(6.0, 12.0))
            name = self.rng.choice(list(self.world.routers))
            router = self.world.routers.pop(name)
            if self.rng.random() < 0.5:
                router.request_stop()
                await router.stopped.wait()
            self.world.kill(router, ROUTERS[name])
            self.versions.pop(name, None)
            await asyncio.sleep(0.5)
            await self.world.start(0.0, name, ROUTERS[name])

    async def watch(self) -> None:
        """Check what routers believe while the day goes on."""
        while True:
            await asyncio.sleep(0.1)
            for name, router in self.world.routers.items():
                tables = router.beliefs.tables
                version = tables.version if tables else 0
                if version < self.versions.get(name, 0):
                    self.broken.append(f"{name} went back to tables {version}")
                self.versions[name] = version
                self.check_tables(name, version)

    def check_tables(self, name: str, version: int) -> None:
        due = [v for at_s, v in self.published if at_s < self.now() - TABLES_S]
        sound = self.now() - self.unsound_s > SOUND_S + TABLES_S
        if sound and version and due and version < due[-1]:
            self.broken.append(f"{name} still has tables {version}, {due[-1]} is due")

    # Promises

    async def play(self) -> "Day":
        """Play the day and check the promises."""
        world = self.world
        world.publish(self.document())
        for number in range(6):
            self.start_worker(f"e{number}", "engines", "ab"[number % 2], 0.0)
        for number in range(3):
            self.start_worker(f"p{number}", "plain", "ab"[number % 2], 0.0)
        starts = (world.start(3.0, name, host) for name, host in ROUTERS.items())
        await asyncio.gather(*starts)
        parts = [
            self.press(),
            self.store_trouble(),
            self.worker_trouble(),
            self.operators(),
            self.router_trouble(),
            self.watch(),
        ]
        going = [asyncio.ensure_future(part) for part in parts]
        await asyncio.sleep(DAY_S)
        for task in going:
            failed = task.done() and not task.cancelled() and task.exception()
            if failed:
                raise failed
            task.cancel()
        await asyncio.sleep(9.0)
        self.check()
        return self

    def check(self) -> None:
        """Check what callers and workers have seen."""
        counts = Counter(run.attempt for run in self.runs)
        by_attempt = {asked.attempt: asked for asked in self.asked}
        for asked in self.asked:
            self.check_answer(asked, counts[asked.attempt])
        for run in self.runs:
            self.check_run(run, by_attempt)
        self.check_cold()

    def check_answer(self, asked: Asked, runs: int) -> None:
        body = asked.data.partition(b"\r\n\r\n")[2]
        own = f"<{asked.attempt}>".encode()
        once = asked.path.startswith(("/book/", "/chat/"))
        if once and runs > 1:
            self.broken.append(f"{asked.attempt} ran {runs} times")
        if once and asked.status in (429, 503) and runs:
            self.broken.append(f"{asked.attempt} was refused and ran")
        if asked.status == 200 and asked.whole:
            events = 5 if asked.path.startswith(("/chat/", "/resumable/")) else 1
            if body.count(own) != events:
                self.broken.append(f"{asked.attempt} got {body!r}")
        for word in (b"another's answer", b"no seal", b"once more"):
            if word in asked.data:
                self.broken.append(f"{asked.attempt} got {word!r}")
        if asked.status in (401, 404) and asked.key in self.keys:
            self.broken.append(f"{asked.attempt} was denied with {asked.status}")

    def check_run(self, run: Run, by_attempt: dict[str, Asked]) -> None:
        asked = by_attempt.get(run.attempt)
        if asked is not None and run.customer != self.keys.get(asked.key):
            self.broken.append(f"{run.attempt} ran for {run.customer!r}")

    def check_cold(self) -> None:
        for name in self.world.workers:
            times = [r.at_s for r in self.runs if r.worker == name and r.cold]
            for start in times:
                most = sum(start <= at_s < start + 1.0 for at_s in times)
                if most > COLD_CALLS and name.startswith("e"):
                    self.broken.append(f"{name} got {most} calls in a second, cold")
                    return
