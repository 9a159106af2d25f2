"""A fleet whose engines crash on calls with one part in their prompts."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from tests.router.simulatedfleet import (
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

CRASH_DELAY_S = 0.06
RESTART_DELAY_S = 2.5
SOUND_CALLS_PER_S = 25.0
SOUND_PARTS = 7
HARMFUL = "dead"


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


@dataclass
class HarmfulContent:
    """One scenario.

    Attributes:
      crashes: Times at which engines crashed on a harmful call.
      arrivals: Time at which each call first reached an engine, by its id.
      counts: How often each call reached an engine.
    """

    loop: object
    setting: Setting
    crashes: list[float] = field(default_factory=list)
    random_crashes: int = 0
    arrivals: dict[str, float] = field(default_factory=dict)
    counts: Counter = field(default_factory=Counter)
    harmful_arrivals_s: list[float] = field(default_factory=list)
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
        if f"{HARMFUL}:" not in parts:
            await stream_answer(conn, received)
            return
        self.harmful_arrivals_s.append(self.now())
        born = conn.worker.born
        await asyncio.sleep(CRASH_DELAY_S)
        if conn.worker.born == born and conn.worker.conns:
            self.crashes.append(self.now())
            self.crash(conn.worker)

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
            conn.transport.abort()
        self.spawn(self.restart_engine(worker))

    async def restart_engine(self, worker) -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        worker.sequence = 0
        self.fleet.listen(worker)
        self.fleet.write_declaration(worker)

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

    async def send_sound_calls(self) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(SOUND_CALLS_PER_S))
            parts = ["aa", f"b{self.rng.randrange(SOUND_PARTS)}"]
            self.spawn(self.call(parts, False, "/resumable/"))

    async def send_harmful_calls(self) -> None:
        await asyncio.sleep(self.setting.first_s)
        path = "/chat/" if self.setting.attempts == 1 else "/resumable/"
        while self.setting.harmful:
            companions = [f"d{n}" for n in range(self.setting.companions)]
            shared = ["aa", *companions, f"b{self.rng.randrange(SOUND_PARTS)}"]
            parts = shared[: self.rng.randint(1 + len(companions), len(shared))]
            self.spawn(self.call([*parts, HARMFUL], True, path))
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
            self.restart_routers(),
            *self.more_activities(),
        ):
            self.spawn(activity)
        await asyncio.sleep(self.setting.duration_s)
        for task in self.tasks:
            task.cancel()
        return self

    def more_activities(self) -> list:
        """Return further activities of a scenario."""
        return []

    # Results

    @property
    def fatal_s(self) -> float:
        """Return the time of the crash from which the bound counts."""
        count = min(FATAL_CRASHES, len(self.crashes))
        return self.crashes[count - 1] if count else 0.0

    @property
    def later_calls(self) -> int:
        """Return how many harmful calls reached engines after the bound."""
        if len(self.crashes) < FATAL_CRASHES:
            return 0
        from_s = self.fatal_s + STABILITY_WINDOW_S
        return sum(at_s > from_s for at_s in self.harmful_arrivals_s)

    def sound_share(self, from_s: float, to_s: float) -> float:
        """Return the share of sound calls of a period that reached an engine."""
        sound = [c for c in self.calls if not c.harmful and from_s <= c.sent_s < to_s]
        reached = sum(c.attempt in self.arrivals for c in sound)
        return reached / max(1, len(sound))

    def served_share(self, from_s: float, to_s: float) -> float:
        """Return the share of sound calls of a period that were answered."""
        sound = [c for c in self.calls if not c.harmful and from_s <= c.sent_s < to_s]
        return sum(c.status == 200 and c.whole for c in sound) / max(1, len(sound))

    def summary(self) -> str:
        from_s, to_s = self.fatal_s + 2 * STABILITY_WINDOW_S, self.setting.duration_s
        return (
            f"{len(self.crashes)} crashes, the fifth at {self.fatal_s:.1f} s; "
            f"{self.later_calls} later calls; sound calls begun "
            f"{self.sound_share(from_s, to_s):.3f}, served "
            f"{self.served_share(from_s, to_s - 5):.3f}, "
            f"{self.served_share(0, to_s - 5):.3f} in all"
        )
