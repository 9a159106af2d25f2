"""A fleet whose engines crash on calls with one part in their prompts."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from cranberrysail.router.store import Topic
from tests.router.simulatedfleet import (
    SEAL,
    SimulatedFleet,
    make_config,
    make_request,
    stream_answer,
)

# Bounds that the users state.
STABILITY_WINDOW_S = 3.0
FATAL_CRASHES = 5
MAX_LATER_CALLS = 3
MIN_SOUND_SHARE = 0.5
MIN_SOUND_CALLS = 20

CRASH_DELAY_S = 0.06
RESTART_DELAY_S = 2.5
# After its restart, the record of an engine's earlier id is still there for this time.
RECORD_EXPIRES_S = 1.0
HARMFUL = "dead"
# Part of sound calls that becomes harmful where a setting says so.
TURNING = "b0"


@dataclass(frozen=True)
class Setting:
    """What a scenario plays.

    Attributes:
      interval_s: Time between two harmful calls.
      attempts: Attempts at engines that the route of harmful calls allows.
      random_crashes_per_s: Crashes of engines for no reason in the calls.
      restart_at_s: Time at which all routers are killed and started again.
      restarts_one_by_one: True if single routers are killed and started all the time.
      first_s: Time of the first harmful call.
      companions: Parts that are in no sound call, beside the harmful one.
      writes_before_crash: What an engine sends before it crashes: nothing, ``head``, or
        ``event`` for the head and part of the first event.
      framed: True if what it writes is chunked, and not ended by its connection.
      resets: True if a crash resets connections, and does not close them.
      renames: True if an engine has a new id after a crash.
      sound_parts: Number of parts of which each sound call has one, those with high
        numbers more seldom.
      harmful_parts: Number of harmful parts, of which each harmful call has one.
      turns: True if a part that has been sound becomes harmful.
      broken_s: Period in which engines crash on every call.
      simultaneous_s: Time at which a third of the engines crash at once.
    """

    routers: int = 4
    zones: int = 1
    engines: int = 12
    interval_s: float = 0.5
    attempts: int = 1
    random_crashes_per_s: float = 0.0
    restart_at_s: float | None = None
    restarts_one_by_one: bool = False
    harmful: bool = True
    first_s: float = 2.0
    duration_s: float = 30.0
    companions: int = 0
    writes_before_crash: str = ""
    framed: bool = True
    resets: bool = False
    renames: bool = False
    sound_parts: int = 7
    sound_calls_per_s: float = 25.0
    harmful_parts: int = 1
    turns: bool = False
    broken_s: tuple[float, float] | None = None
    simultaneous_s: float | None = None
    seed: int = 1


@dataclass
class SentCall:
    """A call and what became of it."""

    attempt: str
    sent_s: float
    harmful: bool
    router: str
    status: int = 0
    whole: bool = False
    refused_for_content: bool = False


@dataclass
class HarmfulContent:
    """One scenario.

    Attributes:
      crashes: Times at which engines crashed on a harmful call, by its harmful part.
      arrivals: Time at which each call first reached an engine, by its id.
      counts: How often each call reached an engine.
    """

    loop: object
    setting: Setting
    crashes: dict[str, list[float]] = field(default_factory=dict)
    random_crashes: int = 0
    arrivals: dict[str, float] = field(default_factory=dict)
    counts: Counter = field(default_factory=Counter)
    harmful_arrivals: list[tuple[float, str, str]] = field(default_factory=list)
    calls: list[SentCall] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.setting.seed)
        self.fleet = SimulatedFleet(self.loop)
        self.hosts = {
            f"r{n}": (f"10.0.{n // 200}.{n % 200 + 1}", f"z{n % self.setting.zones}")
            for n in range(self.setting.routers)
        }
        self.tasks: list[asyncio.Task] = []

    def now(self) -> float:
        return self.loop.time() - self.started_s

    def spawn(self, coro) -> None:
        self.tasks.append(asyncio.ensure_future(coro))

    # Engines

    async def answer(self, conn, received) -> None:
        """Stream an answer, or crash on harmful content."""
        attempt = received.headers["cranberrysail-attempt-id"]
        parts = received.headers.get("cranberrysail-prompt-prefix", "")
        self.arrivals.setdefault(attempt, self.now())
        self.counts[attempt] += 1
        broken = self.setting.broken_s
        if broken is not None and broken[0] <= self.now() < broken[1]:
            await asyncio.sleep(CRASH_DELAY_S)
            self.crash(conn.worker)
            return
        part = self.harmful_part(parts)
        if not part:
            await stream_answer(conn, received)
            return
        self.harmful_arrivals.append((self.now(), attempt, part))
        born = conn.worker.born
        await asyncio.sleep(CRASH_DELAY_S)
        if conn.worker.born == born and conn in conn.worker.conns:
            self.begin_answer(conn, attempt)
            self.crashes.setdefault(part, []).append(self.now())
            self.crash(conn.worker)

    def harmful_part(self, parts: str) -> str:
        """Return the part of a prompt on which an engine crashes, empty if none."""
        for entry in parts.split(","):
            part = entry.partition(":")[0]
            turned = self.setting.turns and self.now() >= self.setting.first_s
            if part.startswith(HARMFUL) or (turned and part == TURNING):
                return part
        return ""

    async def crash_together(self) -> None:
        """Crash a third of the engines at once, as of one rack."""
        if self.setting.simultaneous_s is None:
            return
        await asyncio.sleep(self.setting.simultaneous_s)
        running = [w for w in self.fleet.workers.values() if w.conns]
        for worker in running[: max(1, self.setting.engines // 3)]:
            self.crash(worker)

    def begin_answer(self, conn, attempt: str) -> None:
        """Write what an engine writes before it crashes."""
        setting = self.setting
        if not setting.writes_before_crash:
            return
        framing = "Transfer-Encoding: chunked\r\n" if setting.framed else ""
        head = f"HTTP/1.1 200 OK\r\nCranberrysail-Attempt-Id: {attempt}\r\n{SEAL}"
        conn.transport.write(f"{head}{framing}\r\n".encode())
        if setting.writes_before_crash == "event":
            data = b"id: 1\nda"
            conn.transport.write(
                b"%x\r\n%b\r\n" % (len(data), data) if setting.framed else data
            )

    def crash(self, worker) -> None:
        """End an engine with all its connections, and start it again later."""
        host, _, port = worker.address.partition(":")
        self.loop.servers.pop((host, int(port)), None)
        conns, worker.conns = worker.conns, []
        worker.born += 1
        for conn in conns:
            for task in worker.tasks.pop(conn, []):
                if task is not asyncio.current_task():
                    task.cancel()
            if self.setting.resets:
                conn.transport.reset()
            else:
                conn.transport.abort()
        self.spawn(self.restart_engine(worker))

    async def restart_engine(self, worker) -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        if self.setting.renames:
            before, worker.name = worker.name, f"{worker.name}x"
            self.fleet.workers[worker.name] = self.fleet.workers.pop(before)
            self.spawn(self.remove_record(before))
        worker.sequence = 0
        self.fleet.listen(worker)
        self.fleet.write_declaration(worker)

    async def remove_record(self, name: str) -> None:
        await asyncio.sleep(RECORD_EXPIRES_S)
        self.fleet.store.append(Topic.ENDPOINTS, name, None)

    async def crash_randomly(self) -> None:
        while self.setting.random_crashes_per_s:
            await asyncio.sleep(self.rng.expovariate(self.setting.random_crashes_per_s))
            running = [w for w in self.fleet.workers.values() if w.conns]
            if running:
                self.random_crashes += 1
                self.crash(self.rng.choice(running))

    # Routers

    async def start_routers(self, names) -> None:
        await asyncio.gather(
            *(
                self.fleet.start_router(
                    0.0, name, self.hosts[name][0], zone=self.hosts[name][1]
                )
                for name in names
            )
        )

    async def restart(self, names, away_s: float = 0.5) -> None:
        for name in names:
            router = self.fleet.routers.pop(name)
            self.fleet.kill(router, self.hosts[name][0])
        await asyncio.sleep(away_s)
        await self.start_routers(names)

    async def restart_routers(self) -> None:
        setting = self.setting
        if setting.restart_at_s is not None:
            await asyncio.sleep(setting.restart_at_s)
            await self.restart(list(self.hosts))
        while setting.restarts_one_by_one:
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            await self.restart([self.rng.choice(sorted(self.fleet.routers))])

    # Callers

    async def call(self, parts: list[str], harmful: bool, path: str) -> None:
        number = len(self.calls)
        name = self.rng.choice(sorted(self.fleet.routers) or ["none"])
        call = SentCall(f"a{number}", self.now(), harmful, name)
        self.calls.append(call)
        prefix = ",".join(f"{part}:100" for part in [*parts, f"c{number}"])
        data = make_request(path, call.attempt, Cranberrysail_Prompt_Prefix=prefix)
        try:
            caller = await self.fleet.send(data, self.hosts[name][0])
            await caller.answer()
        except (OSError, KeyError, TimeoutError):
            return
        call.status, call.whole = caller.status, caller.is_complete
        call.refused_for_content = b'"content"' in caller.data

    async def send_sound_calls(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(self.setting.sound_calls_per_s))
            parts = ["aa", self.sound_part()]
            harmful = bool(self.harmful_part(parts[1]))
            self.spawn(self.call(parts, harmful, "/resumable/"))

    def sound_part(self) -> str:
        """Return a part of sound calls, more often one with a low number."""
        return f"b{int(self.setting.sound_parts * self.rng.random() ** 2)}"

    async def send_harmful_calls(self) -> None:
        await asyncio.sleep(self.setting.first_s)
        path = "/chat/" if self.setting.attempts == 1 else "/resumable/"
        while self.setting.harmful and not self.setting.turns:
            companions = [f"d{n}" for n in range(self.setting.companions)]
            shared = ["aa", *companions, self.sound_part()]
            parts = shared[: self.rng.randint(1 + len(companions), len(shared))]
            harmful = f"{HARMFUL}{self.rng.randrange(self.setting.harmful_parts)}"
            self.spawn(self.call([*parts, harmful], True, path))
            await asyncio.sleep(self.setting.interval_s * self.rng.uniform(0.5, 1.5))

    async def run(self) -> "HarmfulContent":
        """Play the scenario."""
        random.seed(self.setting.seed)
        self.started_s = self.loop.time()
        document = make_config()
        document["services"][0]["cold_per_s"] = 0.0
        self.fleet.write_config(document)
        for number in range(self.setting.engines):
            self.fleet.add_worker(
                f"e{number}",
                "engines",
                self.answer,
                zone=f"z{number % self.setting.zones}",
                slots=64,
            )
        await self.start_routers(list(self.hosts))
        await asyncio.sleep(3.0)
        self.started_s = self.loop.time()
        for activity in (
            self.send_sound_calls(),
            self.send_harmful_calls(),
            self.crash_randomly(),
            self.crash_together(),
            self.restart_routers(),
            *self.more_activities(),
        ):
            self.spawn(activity)
        await asyncio.sleep(self.setting.duration_s)
        for task in self.tasks:
            task.cancel()
        for name, router in self.fleet.routers.items():
            self.fleet.kill(router, self.hosts[name][0])
        await asyncio.sleep(0.1)
        return self

    def more_activities(self) -> list:
        """Return further activities of a scenario."""
        return []

    # Results

    def fatal_crash_s(self, part: str) -> float:
        """Return the time of the crash from which the bound for a part counts."""
        crashes = self.crashes.get(part, [])
        count = min(FATAL_CRASHES, len(crashes))
        return crashes[count - 1] if count else 0.0

    @property
    def fatal_s(self) -> float:
        """Return the time of the crash from which the bounds of all parts count."""
        return max(map(self.fatal_crash_s, self.crashes), default=0.0)

    @property
    def later_calls(self) -> int:
        """Return how many calls with one part reached engines after the bound."""
        return max(map(self.count_later_calls, self.crashes), default=0)

    def count_later_calls(self, part: str) -> int:
        """Return how many calls with a part reached engines after the bound."""
        if len(self.crashes[part]) < FATAL_CRASHES:
            return 0
        from_s = self.fatal_crash_s(part) + STABILITY_WINDOW_S
        return sum(
            sent == part and at_s > from_s and self.is_in_touch(attempt, at_s)
            for at_s, attempt, sent in self.harmful_arrivals
        )

    def is_in_touch(self, attempt: str, at_s: float) -> bool:
        """Return whether the bound holds for the router that sent a call."""
        return True

    def sound_share(self, from_s: float, to_s: float) -> float:
        """Return the share of sound calls of a period that reached an engine."""
        sound = [c for c in self.calls if not c.harmful and from_s <= c.sent_s < to_s]
        reached = sum(c.attempt in self.arrivals for c in sound)
        return reached / max(1, len(sound))

    def keeps_sound_calls(self) -> bool:
        """Return whether enough sound calls begin once the harmful ones are known."""
        from_s = self.fatal_s + 2 * STABILITY_WINDOW_S
        to_s = self.setting.duration_s
        sent = [c for c in self.calls if not c.harmful and from_s <= c.sent_s < to_s]
        if len(sent) < MIN_SOUND_CALLS:
            return True
        before = self.sound_share(0.0, self.setting.first_s)
        return self.sound_share(from_s, to_s) >= MIN_SOUND_SHARE * before

    def refused_sound(self, from_s: float = 0.0) -> list[SentCall]:
        """Return the sound calls that were refused for their content."""
        return [
            c
            for c in self.calls
            if not c.harmful and c.refused_for_content and c.sent_s >= from_s
        ]

    def served_share(self, from_s: float, to_s: float) -> float:
        """Return the share of sound calls of a period that were answered."""
        sound = [c for c in self.calls if not c.harmful and from_s <= c.sent_s < to_s]
        return sum(c.status == 200 and c.whole for c in sound) / max(1, len(sound))

    def summary(self) -> str:
        from_s, to_s = self.fatal_s + 2 * STABILITY_WINDOW_S, self.setting.duration_s
        crashes = sum(map(len, self.crashes.values()))
        return (
            f"{crashes} crashes, the fifth at {self.fatal_s:.1f} s; "
            f"{self.later_calls} later calls; sound calls begun "
            f"{self.sound_share(from_s, to_s):.3f}, served "
            f"{self.served_share(from_s, to_s - 5):.3f}, "
            f"{self.served_share(0, to_s - 5):.3f} in all; "
            f"{len(self.refused_sound())} refused for their content"
        )
