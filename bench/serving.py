"""Placement on engines under load: the router's decisions against a model.

``python -m bench.serving [SEED]`` plays the Associazione's sheet, and three times
its rate, through eight routers with the real decision code, and prints a table of
policies. Reports of load reach a router with the answers only, as they do on the
platform. The model has no faults and no network; what it leaves out is in
docs/MEASUREMENTS.md.
"""

import heapq
import random
import sys
from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field, replace

from cranberrysail.router.config import RouterConfig
from cranberrysail.router.endpoints import Endpoint, EndpointDirectory
from cranberrysail.router.load import LoadBook, LoadReport
from cranberrysail.router.model import EndpointRecord, RouteTables, Service
from cranberrysail.router.peers import PeerBook, encode_peer
from cranberrysail.router.placement import PlacementBound
from cranberrysail.router.selector import Selector
from cranberrysail.router.store import Page

ROUTERS = 8
ENGINES = 9
PLAY_S = 20.0
# Figures of the users' sheet.
STEP_MS = 2.97
STEP_MS_A_SLOT = 0.0165
READ_TOKENS_A_MS = 101.0
CHUNK_TOKENS = 1024
SLOTS = 64
CACHE_TOKENS = 660_267
FETCH_TOKENS_A_MS = 400.0
EVENT_TOKENS = 8


@dataclass(frozen=True)
class Kind:
    """A kind of call: shared and own prompt tokens, events, rate and aim."""

    name: str
    shared: int
    own: int
    events: int
    rate: float
    aim_ms: float
    prompts: int


KINDS = (
    Kind("manual", 10_500, 1_300, 48, 9.7, 600, 130),
    Kind("note", 700, 130, 36, 11.9, 250, 149),
    Kind("tag", 2_040, 360, 3, 14.6, 300, 186),
)


@dataclass
class Work:
    """A call at an engine."""

    kind: Kind
    arrived_s: float
    to_read: float
    left: int
    router: "Router"
    first_s: float = 0.0


@dataclass
class Engine:
    """Reads prompts in chunks between the tokens of the calls that run.

    Attributes:
      kept: Shared prompts in its cache, least recently used first.
    """

    endpoint: EndpointRecord
    kept: OrderedDict[str, int] = field(default_factory=OrderedDict)
    queue: deque[Work] = field(default_factory=deque)
    running: list[Work] = field(default_factory=list)
    busy: bool = False

    def keep(self, prompt: str, tokens: int) -> None:
        """Hold a prompt; the least recently used yield."""
        self.kept[prompt] = tokens
        self.kept.move_to_end(prompt)
        while sum(self.kept.values()) > CACHE_TOKENS:
            self.kept.popitem(last=False)

    def step(self) -> float:
        """Do one step and return its time in seconds."""
        read = 0.0
        while self.queue and len(self.running) < SLOTS and read < CHUNK_TOKENS:
            head = self.queue[0]
            part = min(head.to_read, CHUNK_TOKENS - read)
            head.to_read -= part
            read += part
            if head.to_read <= 0:
                self.running.append(self.queue.popleft())
        slots_ms = STEP_MS_A_SLOT * len(self.running)
        return (STEP_MS + slots_ms + read / READ_TOKENS_A_MS) / 1000


@dataclass
class Router:
    """One router's view and choices."""

    selector: Selector
    endpoints: dict[str, Endpoint]


@dataclass(frozen=True)
class Policy:
    """A way to place calls."""

    name: str
    bound: PlacementBound
    by_prompt: bool = True
    fetch: bool = True


POLICIES = (
    Policy("least loaded", PlacementBound(), by_prompt=False, fetch=False),
    Policy("home, no fetch", PlacementBound(1.25, 2.0), fetch=False),
    Policy("home, spill 1.25 and 2", PlacementBound(1.25, 2.0)),
    Policy("home, spill 1.7 and 3", PlacementBound()),
    Policy("home only", PlacementBound(1e9, 1e9)),
)


class Play:
    """Plays one policy at one rate."""

    def __init__(self, policy: Policy, rate: float, seed: int) -> None:
        self.policy = policy
        self.rng = random.Random(seed)
        self.now = 0.0
        self.counts: Counter = Counter()
        self.first_ms: dict[str, list[float]] = {kind.name: [] for kind in KINDS}
        self.events: list[tuple[float, int, object]] = []
        self.tables = RouteTables(1, (), {"s": Service("s", engine_slots=SLOTS)})
        records = [
            EndpointRecord(f"e{n}", 1, 1, "s", f"10.0.0.{n}:80", "abc"[n % 3], SLOTS)
            for n in range(ENGINES)
        ]
        self.engines = {r.instance: Engine(r) for r in records}
        self.routers = [self.make_router(n, records) for n in range(ROUTERS)]
        for kind in KINDS:
            self.draw(replace(kind, rate=kind.rate * rate))

    def make_router(self, number: int, records: list[EndpointRecord]) -> Router:
        """Make a router that knows all engines and all other routers."""
        cfg = RouterConfig(
            f"r{number}", "abc"[number % 3], *[""] * 5, placement=self.policy.bound
        )
        directory = EndpointDirectory()
        for record in records:
            directory.declare(record, 0.0)
        book = PeerBook(cfg.name, cfg.zone)
        entries = [(f"r{n}", encode_peer("a", f"{n}:1", True)) for n in range(ROUTERS)]
        book.apply(Page(tuple(entries), ROUTERS), whole=True)
        selector = Selector(cfg, directory, LoadBook(), book, self.rng)
        return Router(selector, {e.name: e for e in directory})

    def draw(self, kind: Kind) -> None:
        """Draw the arrivals of a kind."""
        at_s = 0.0
        while at_s < PLAY_S:
            at_s += self.rng.expovariate(kind.rate)
            prompt = int(kind.prompts * self.rng.random() ** 1.3)
            self.push(at_s, (kind, f"{kind.name}-{prompt}"))

    def push(self, at_s: float, what: object) -> None:
        """Let something happen at a time."""
        self.counts["pushed"] += 1
        heapq.heappush(self.events, (at_s, self.counts["pushed"], what))

    def run(self) -> "Play":
        """Play until all calls are served."""
        while self.events:
            self.now, _, what = heapq.heappop(self.events)
            if isinstance(what, Engine):
                self.stepped(what)
            else:
                self.arrive(*what)
        return self

    def arrive(self, kind: Kind, prompt: str) -> None:
        """Let a router place a call."""
        router = self.rng.choice(self.routers)
        parts = (prompt, "own") if self.policy.by_prompt else ()
        choice = router.selector.choose(
            self.tables, "s", parts, set(), kind.aim_ms / 100, self.now
        )
        self.counts["calls"] += 1
        if choice.endpoint is None:
            self.counts["refused"] += 1
            return
        choice.endpoint.open += 1
        engine = self.engines[choice.endpoint.name]
        self.note_load(engine)
        self.push_work(engine, router, kind, prompt, choice.cache_source)

    def note_load(self, engine: Engine) -> None:
        """Count a call to an engine that holds more than the users' bound."""
        held = [len(e.queue) + len(e.running) for e in self.engines.values()]
        mean = sum(held) / len(held)
        own = len(engine.queue) + len(engine.running)
        self.counts["over"] += own > 2 * mean + 3

    def push_work(
        self, engine: Engine, router: Router, kind: Kind, prompt: str, source
    ) -> None:
        """Queue a call at an engine, with what it has to read."""
        to_read = float(kind.own)
        if prompt in engine.kept:
            engine.kept.move_to_end(prompt)
        elif self.policy.fetch and source and prompt in self.engines[source.name].kept:
            self.counts["moved"] += kind.shared
            to_read += kind.shared * READ_TOKENS_A_MS / FETCH_TOKENS_A_MS / 10
        else:
            known = any(prompt in e.kept for e in self.engines.values())
            self.counts["again"] += kind.shared if known else 0
            self.counts["read"] += kind.shared
            to_read += kind.shared
        engine.keep(prompt, kind.shared)
        left = kind.events * EVENT_TOKENS
        engine.queue.append(Work(kind, self.now, to_read, left, router))
        if not engine.busy:
            engine.busy = True
            self.push(self.now, engine)

    def stepped(self, engine: Engine) -> None:
        """Let an engine do its next step."""
        if not engine.queue and not engine.running:
            engine.busy = False
            return
        took_s = engine.step()
        done_s = self.now + took_s
        for work in engine.running:
            if not work.first_s:
                self.first(engine, work, done_s)
            work.left -= 1
        for work in [w for w in engine.running if w.left <= 0]:
            engine.running.remove(work)
            work.router.endpoints[engine.endpoint.instance].open -= 1
        self.push(done_s, engine)

    def first(self, engine: Engine, work: Work, at_s: float) -> None:
        """Note a first token; the answer's head tells the router the load."""
        work.first_s = at_s
        took_ms = (at_s - work.arrived_s) * 1000
        self.first_ms[work.kind.name].append(took_ms)
        self.counts["late"] += took_ms > work.kind.aim_ms
        report = LoadReport(len(engine.running), len(engine.queue), SLOTS)
        own = work.router.endpoints[engine.endpoint.instance]
        work.router.selector.loads.report(own, report, at_s)


def row(policy: Policy, rate: float, seed: int) -> str:
    """Return a line of the table."""
    play = Play(policy, rate, seed).run()
    counts = play.counts
    calls = counts["calls"]
    times = sorted(t for kind in play.first_ms.values() for t in kind)
    p50, p99 = (times[int(len(times) * share)] for share in (0.5, 0.99))
    return (
        f"| {rate:g} | {policy.name} | {p50:.0f} | {p99:.0f} | "
        f"{counts['late'] / calls:.1%} | {counts['refused'] / calls:.1%} | "
        f"{counts['read'] / 1000:.0f} | {counts['again'] / 1000:.0f} | "
        f"{counts['moved'] / 1000:.0f} | {counts['over'] / calls:.1%} |"
    )


def main() -> None:
    """Print the table."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print(f"seed {seed}, {ROUTERS} routers, {ENGINES} engines, {PLAY_S:g} s\n")
    print(
        "| rate | policy | first ms p50 | p99 | late | refused | read k | again k | "
        "moved k | over the load bound |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|")
    for rate in (1.0, 3.0):
        for policy in POLICIES:
            print(row(policy, rate, seed), flush=True)


if __name__ == "__main__":
    main()
