"""Drives many nodes in virtual time, with delay, loss and cuts.

It carries out the actions of each node with one queue of timed deliveries, and
checks on the true state of endpoints what the nodes promise.
"""

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from cranberrysail.actions import (
    AnswerRecorded,
    AppendStream,
    Dispatch,
    FailCall,
    ProbeEndpoint,
    ReadStream,
    SendPeer,
    Stopped,
)
from cranberrysail.calls import GRANT_LIFE_S
from cranberrysail.errors import CallError, NotRunError
from cranberrysail.events import (
    AppendDone,
    AppendFailed,
    CallArrived,
    CallEnded,
    CallResult,
    Event,
    HostsRead,
    HostState,
    ListedHost,
    PeerArrived,
    ProbeAnswered,
    ProbeFailed,
    StopRequested,
    StreamFailed,
    StreamRead,
    Tick,
)
from cranberrysail.invariants import Invariant, Invariants
from cranberrysail.messages import encode
from cranberrysail.models import EngineModel, EngineSpeed, Prompt
from cranberrysail.node import Node
from cranberrysail.platformlog import MemoryLog
from cranberrysail.settings import (
    AdmissionSettings,
    LimitSettings,
    PeerKeys,
    PeerSettings,
    PlatformSettings,
    Settings,
)
from cranberrysail.tables import Idempotency, Out, Route, Tables
from cranberrysail.tablestate import (
    Edit,
    RowKind,
    TableState,
    changes_between,
    encode_record,
    row_content,
    row_key,
)
from cranberrysail.tablesync import TABLES_STREAM

__all__ = ["CallOutcome", "Driver", "DriverFaults", "RouterSpec"]

START_S = 1_000_000.0
LIST_LAG_S = 1.0
OUT_GRACE_S = 3.0
BOUND_WINDOW_S = 5.0
COLD_EVIDENCE_S = 3.0
COLD_CALLS = 32
CUT_MEMORY_S = 20.0
WATCH_S = 0.25
NOTHING = Prompt(0, 0, 0, 1)
DUMMY_KEYS = PeerKeys(public="p" * 40, secret="s" * 40)


@dataclass(frozen=True)
class RouterSpec:
    """A router of the fleet."""

    name: str
    zone: str
    region: str = "region"


@dataclass
class DriverFaults:
    """Faults in force.

    Attributes:
      loss: Share of messages between routers that are lost.
      cuts: Pairs of zones, or of routers, that cannot reach each other.
      log_cuts: Zones that cannot reach the log.
      log_down: True while the log answers nothing and takes nothing.
      lose_answers: True while the log takes records but its answers are lost.
      log_delay_s: Time for each answer of the log.
    """

    loss: float = 0.0
    cuts: set[frozenset[str]] = field(default_factory=set)
    log_cuts: set[str] = field(default_factory=set)
    log_down: bool = False
    lose_answers: bool = False
    log_delay_s: float = 0.005


@dataclass
class CallOutcome:
    """What became of a call.

    Attributes:
      runs: Times that it began to run at an endpoint.
      error: Its final error, if any.
      recorded: True if it got the recorded answer of an earlier call.
    """

    arrived: CallArrived
    router: str
    prompt: Prompt
    arrived_s: float
    runs: int = 0
    first_s: float = 0.0
    done_s: float = 0.0
    error: CallError | None = None
    recorded: bool = False
    lost: bool = False
    endpoint: str = ""


@dataclass(frozen=True)
class _Load:
    """True open calls by zone, and what endpoints may hold.

    Attributes:
      weight: Sum over the endpoints in service.
      weights: What each endpoint may hold, by name.
    """

    at_s: float
    opens: Counter
    weight: float
    weights: dict[str, int]


class Driver:
    """A fleet of nodes and model endpoints in virtual time.

    Attributes:
      now: Virtual time in seconds.
      nodes: Live nodes by router name.
      truth: Invariants, checked on the true state.
      sent: Messages and bytes by sending router.
    """

    def __init__(
        self,
        routers: list[RouterSpec],
        hosts: list[ListedHost],
        tables: Tables,
        seed: int,
        *,
        tick_s: float = 0.05,
        limits: LimitSettings | None = None,
        admission: AdmissionSettings | None = None,
        speed: EngineSpeed | None = None,
        cache_tokens: int = 400_000,
        retention_s: float = float("inf"),
    ) -> None:
        """Create a fleet that has not started.

        Args:
          routers: The routers.
          hosts: The endpoints.
          tables: Tables that are published at the start.
          seed: Seed of all randomness.
          tick_s: Interval between ticks of a node.
          limits: Limits of each router.
          admission: Bounds of each router.
          speed: Speed of each endpoint.
          cache_tokens: Prompt tokens that each endpoint caches.
          retention_s: Time for which the log keeps records.
        """
        self.now = START_S
        self.rng = random.Random(seed)
        self.faults = DriverFaults()
        self.log = MemoryLog(retention_s)
        self.nodes: dict[str, Node] = {}
        self.specs = {spec.name: spec for spec in routers}
        self.truth = Invariants()
        self.sent: Counter = Counter()
        self.sent_bytes: Counter = Counter()
        self.kinds: Counter = Counter()
        self.outcomes: list[CallOutcome] = []
        self.keyed_runs: Counter = Counter()
        self.stopped: list[str] = []
        self.paused: dict[str, float] = {}
        self.tables = TableState()
        self.zone_out_s: dict[str, float] = {}
        self.host_out_s: dict[str, float] = {}
        self._limits = limits or LimitSettings()
        self._admission = admission or AdmissionSettings()
        self._tick_s = tick_s
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._incarnation = 0
        self._versions: dict[str, int] = {}
        self._live: dict[tuple[str, int], CallOutcome] = {}
        self._next_call = 0
        self._links: dict[tuple[str, str], float] = {}
        self._isolated_s: dict[str, float] = {}
        self._cut_s = -math.inf
        self._loads: dict[str, deque[_Load]] = {}
        self._cold_since: dict[str, float] = {}
        self._speed = speed or EngineSpeed()
        self._cache_tokens = cache_tokens
        self.engines = {
            host.name: EngineModel(host, self._speed, cache_tokens) for host in hosts
        }
        self._listed = {host.name: host for host in hosts}
        self.publish(tables)
        for spec in routers:
            self.start_router(spec.name)
        self._watch_cuts()

    # Time

    def at(self, delay_s: float, work: Callable[[], None]) -> None:
        """Do something later."""
        self._count += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._count, work))

    def run(self, seconds: float) -> None:
        """Let virtual time pass."""
        until_s = self.now + seconds
        while self._queue and self._queue[0][0] <= until_s:
            at_s, _, work = heapq.heappop(self._queue)
            self.now = max(self.now, at_s)
            work()
        self.now = until_s

    # Routers

    def start_router(self, name: str) -> None:
        """Start a router with nothing kept."""
        spec = self.specs[name]
        self._incarnation = max(self._incarnation + 1, int(self.now * 1000))
        seeds = tuple(sorted(f"{other}:1" for other in self.nodes))[:3]
        cfg = Settings(
            name=name,
            zone=spec.zone,
            region=spec.region,
            peers=PeerSettings(seeds=seeds, keys=DUMMY_KEYS),
            platform=PlatformSettings(log_url="memory", hosts_url="memory"),
            limits=self._limits,
            admission=self._admission,
        )
        rng = random.Random(self.rng.getrandbits(64))
        node = Node.from_config(cfg, f"{name}:1", self._incarnation, rng)
        self.nodes[name] = node
        self._versions[name] = 0
        self.at(self.rng.random() * self._tick_s, lambda: self._tick(name, node))
        self.at(self.rng.random() * 0.2, lambda: self._give_list(name, node))

    def kill_router(self, name: str) -> None:
        """End a router at once; its open calls are cut."""
        del self.nodes[name]
        for key in [key for key in self._live if key[0] == name]:
            outcome = self._live.pop(key)
            outcome.lost = True
            if outcome.endpoint:
                self.engines[outcome.endpoint].end(key)

    def stop_router(self, name: str) -> None:
        """Ask a router for a planned stop."""
        self._give(name, StopRequested())

    def pause_router(self, name: str, seconds: float) -> None:
        """Freeze a router; what arrives meanwhile is handled afterwards."""
        self.paused[name] = self.now + seconds

    def _tick(self, name: str, node: Node) -> None:
        if self.nodes.get(name) is not node:
            return
        self._give(name, Tick())
        self.at(self._tick_s, lambda: self._tick(name, node))

    def _give(self, name: str, event: Event) -> None:
        node = self.nodes.get(name)
        if node is None:
            return
        wait_s = self.paused.get(name, 0.0) - self.now
        if wait_s > 0:
            if not isinstance(event, Tick):
                self.at(wait_s, lambda: self._give_to(name, node, event))
            return
        for action in node.handle(event, self.now):
            self._perform(name, node, action)
        self._watch_version(name, node)

    def _give_to(self, name: str, node: Node, event: Event) -> None:
        if self.nodes.get(name) is node:
            self._give(name, event)

    def _watch_version(self, name: str, node: Node) -> None:
        version = node.board.tables.version
        before = self._versions[name]
        self._versions[name] = version
        if version != before:
            detail = f"{name}: {version} after {before}"
            self.truth.check(
                Invariant.TABLES_FORWARD, version >= before, self.now, detail
            )

    def _give_list(self, name: str, node: Node) -> None:
        if self.nodes.get(name) is not node:
            return
        self._give(name, HostsRead(tuple(self._listed.values())))
        self.at(LIST_LAG_S, lambda: self._give_list(name, node))

    # Actions

    def _perform(self, name: str, node: Node, action: object) -> None:
        match action:
            case SendPeer():
                self._send(name, action)
            case ProbeEndpoint():
                self._probe(name, node, action.endpoint)
            case ReadStream():
                self._read(name, node, action)
            case AppendStream():
                self._append(name, node, action)
            case Dispatch():
                self._dispatch(name, node, action)
            case FailCall():
                self._fail(name, action)
            case AnswerRecorded():
                outcome = self._live.pop((name, action.call), None)
                if outcome is not None:
                    outcome.recorded = True
                    outcome.done_s = self.now
            case Stopped():
                self._stopped(name)

    def _stopped(self, name: str) -> None:
        open_calls = [key for key in self._live if key[0] == name]
        self.truth.check(
            Invariant.STOP_CUTS_NOTHING, not open_calls, self.now, f"{name} cut calls"
        )
        self.stopped.append(name)
        self.nodes.pop(name, None)

    def _reachable(self, first: str, second: str) -> bool:
        return frozenset((first, second)) not in self.faults.cuts

    def _delay(self, first: str, second: str) -> float:
        base_s = 0.0002 if first == second else 0.0015
        return base_s * (1.0 + self.rng.random())

    def _send(self, name: str, action: SendPeer) -> None:
        size = len(encode(action.message)) + len(name)
        self.sent[name] += 1
        self.sent_bytes[name] += size
        self.kinds[type(action.message).__name__] += size
        target = action.address.partition(":")[0]
        if target not in self.specs or self.rng.random() < self.faults.loss:
            return
        here = self.specs[name].zone
        there = self.specs[target].zone
        if not self._reachable(here, there) or not self._reachable(name, target):
            return
        receiver = self.nodes.get(target)
        event = PeerArrived(name, action.message)
        if receiver is not None:
            pair = (name, target)
            at_s = max(self.now + self._delay(here, there), self._links.get(pair, 0.0))
            self._links[pair] = at_s
            self.at(at_s - self.now, lambda: self._give_to(target, receiver, event))

    def _probe(self, name: str, node: Node, endpoint: str) -> None:
        engine = self.engines.get(endpoint)
        alive = engine is not None and engine.alive
        if not alive or not self._reachable(self.specs[name].zone, engine.host.zone):
            self.at(0.5, lambda: self._give_to(name, node, ProbeFailed(endpoint)))
            return
        answer = ProbeAnswered(endpoint, engine.report())
        lag_s = 0.001 + 0.2 * self.rng.random()
        self.at(lag_s, lambda: self._give_to(name, node, answer))

    def _log_away(self, name: str) -> bool:
        return self.faults.log_down or self.specs[name].zone in self.faults.log_cuts

    def _read(self, name: str, node: Node, action: ReadStream) -> None:
        if self._log_away(name):
            failed = StreamFailed(action.stream)
            self.at(0.5, lambda: self._give_to(name, node, failed))
            return
        self._try_read(name, node, action, self.now + action.wait_s)

    def _try_read(
        self, name: str, node: Node, action: ReadStream, until_s: float
    ) -> None:
        page = self.log.read_at(action.stream, action.after, self.now)
        if not page.records and self.now < until_s and not self._log_away(name):
            self.at(0.05, lambda: self._try_read(name, node, action, until_s))
            return
        event = StreamRead(
            action.stream,
            action.after,
            page.first,
            page.end,
            page.records,
            page.lapsed_s,
        )
        delay_s = self.faults.log_delay_s
        self.at(delay_s, lambda: self._give_to(name, node, event))

    def _append(self, name: str, node: Node, action: AppendStream) -> None:
        delay_s = self.faults.log_delay_s
        if self._log_away(name):
            event: Event = AppendFailed(action.uid, action.stream, True)
            self.at(1.0, lambda: self._give_to(name, node, event))
            return
        if self.faults.lose_answers:
            event = AppendFailed(action.uid, action.stream, True)
            late_s = delay_s + self.rng.random()

            def take() -> None:
                self.log.append_at(action.stream, action.data, self.now)

            self.at(late_s, take)
            self.at(1.0, lambda: self._give_to(name, node, event))
            return
        offset = self.log.append_at(action.stream, action.data, self.now)
        done = AppendDone(action.uid, action.stream, offset)
        self.at(delay_s, lambda: self._give_to(name, node, done))

    # Operators

    def publish(self, tables: Tables) -> None:
        """Publish tables."""
        self.edit(changes_between(self.tables, tables))

    def edit(self, changes: dict, base: int | None = None) -> None:
        """Append an edit, from the newest version unless a base is given."""
        version = self.log.read_at(TABLES_STREAM, 0, self.now).end
        self._count += 1
        record = Edit(f"edit-{self._count}", version if base is None else base, changes)
        self.log.append_at(TABLES_STREAM, encode_record(record), self.now)

    def set_out(self, kind: RowKind, name: str, out: bool) -> None:
        """Take a zone or host out of service, or back."""
        self.edit({row_key(kind, name): row_content(Out() if out else None)})
        since = self.zone_out_s if kind is RowKind.ZONE else self.host_out_s
        if out:
            since[name] = self.now
        else:
            since.pop(name, None)

    def add_engine(self, host: ListedHost) -> None:
        """Add an endpoint, which is cold."""
        engine = EngineModel(host, self._speed, self._cache_tokens)
        engine.cold_left = COLD_CALLS
        self.engines[host.name] = engine
        self._cold_since[host.name] = self.now
        self._listed[host.name] = host

    def set_listed(self, name: str, state: HostState | None) -> None:
        """Change an endpoint's state in the platform's list, or remove it."""
        if state is None:
            self._listed.pop(name, None)
            return
        self._listed[name] = replace(self.engines[name].host, state=state)

    def restart_engine(self, name: str) -> None:
        """Turn an endpoint cold, unannounced; its open calls break."""
        engine = self.engines[name]
        broken = [(key, self._live.get(key)) for key in engine.open]
        engine.restart(COLD_CALLS)
        self._cold_since[name] = self.now
        for key, outcome in broken:
            if outcome is not None:
                self._break(key, outcome)

    def _break(self, key: tuple[str, int], outcome: CallOutcome) -> None:
        started = outcome.first_s > 0
        result = CallResult.CUT if started else CallResult.BROKEN
        outcome.endpoint = ""
        if started:
            self._live.pop(key, None)
            outcome.lost = True
        self._give(key[0], CallEnded(key[1], result))

    # Calls

    def ready_routers(self) -> list[str]:
        """Return the routers that a balancer sends calls to."""
        return sorted(n for n, node in self.nodes.items() if node.board.ready)

    def call(
        self,
        router: str,
        route_name: str,
        route: Route,
        customer: str,
        prompt: Prompt = NOTHING,
        key: str = "",
        key_issued_s: float | None = None,
        digest: str = "d",
    ) -> CallOutcome:
        """Let a call arrive at a router."""
        self._next_call += 1
        arrived = CallArrived(
            self._next_call,
            f"req-{self._next_call}",
            route_name,
            route,
            customer,
            prompt.chat,
            key,
            digest,
            self.now if key_issued_s is None else key_issued_s,
        )
        outcome = CallOutcome(arrived, router, prompt, self.now)
        self.outcomes.append(outcome)
        self._live[(router, arrived.call)] = outcome
        self._give(router, arrived)
        return outcome

    def _dispatch(self, name: str, node: Node, action: Dispatch) -> None:
        key = (name, action.call)
        outcome = self._live.get(key)
        engine = self.engines[action.endpoint]
        here = self.specs[name].zone
        reached = engine.alive and self._reachable(here, engine.host.zone)
        if outcome is None or not reached:
            ended = CallEnded(action.call, CallResult.NOT_SENT)
            self.at(0.01, lambda: self._give_to(name, node, ended))
            return
        delay_s = self._delay(here, engine.host.zone)
        self.at(delay_s, lambda: self._begin(name, node, outcome, engine))

    def _begin(
        self, name: str, node: Node, outcome: CallOutcome, engine: EngineModel
    ) -> None:
        key = (name, outcome.arrived.call)
        if self.nodes.get(name) is not node or self._live.get(key) is not outcome:
            return
        self._check_truth(engine, outcome)
        outcome.runs += 1
        outcome.endpoint = engine.host.name
        if outcome.arrived.key:
            self.keyed_runs[outcome.arrived.key] += 1
        number = engine.instance_number
        first_s = engine.begin(key, outcome.prompt)
        self._note_load(engine.host.pool)
        self.at(first_s, lambda: self._first(key, outcome, engine, number))
        total_s = first_s + outcome.prompt.output * engine.speed.token_s
        self.at(
            total_s, lambda: self._finish(node, key, outcome, engine, number, first_s)
        )

    def _first(self, key, outcome: CallOutcome, engine, number: int) -> None:
        if self._live.get(key) is outcome and engine.instance_number == number:
            outcome.first_s = self.now - outcome.arrived_s

    def _finish(
        self, node: Node, key, outcome: CallOutcome, engine, number: int, first_s: float
    ) -> None:
        same = engine.instance_number == number and key in engine.open
        if not same or self._live.get(key) is not outcome:
            return
        engine.end(key)
        self._note_load(engine.host.pool)
        del self._live[key]
        outcome.done_s = self.now
        ended = CallEnded(
            key[1], CallResult.OK, int(first_s * 1000) + 1, 200, (), b"answer"
        )
        self._give_to(key[0], node, ended)

    def _fail(self, name: str, action: FailCall) -> None:
        outcome = self._live.pop((name, action.call), None)
        if outcome is None:
            return
        outcome.error = action.error
        outcome.done_s = self.now
        if isinstance(action.error, NotRunError):
            self.truth.check(
                Invariant.NOT_RUN_TRUE,
                outcome.runs == 0,
                self.now,
                f"{outcome.arrived.request_id} ran {outcome.runs} times",
            )

    # Truth

    def _has_news(self, zone: str) -> bool:
        """Return whether a zone can hear of the newest record on the log."""
        zones = {spec.zone for spec in self.specs.values()}
        end = self.log.read_at(TABLES_STREAM, 0, self.now, 0).end
        heard = set() if self.faults.log_down else zones - self.faults.log_cuts
        heard |= {
            self.specs[name].zone
            for name, node in self.nodes.items()
            if node.board.tables.version == end
        }
        while heard and zone not in heard:
            more = {
                other
                for other in zones - heard
                if any(self._reachable(other, known) for known in heard)
            }
            if not more:
                break
            heard |= more
        return zone in heard

    def _watch_cuts(self) -> None:
        for zone in {spec.zone for spec in self.specs.values()}:
            if not self._has_news(zone):
                self._isolated_s[zone] = self.now
        if self.faults.cuts or self._has_silent_zone():
            self._cut_s = self.now
        self.at(WATCH_S, self._watch_cuts)

    def _has_silent_zone(self) -> bool:
        """Return whether no router of some zone runs; others see that as a cut."""
        running = {
            self.specs[name].zone
            for name in self.nodes
            if self.paused.get(name, 0.0) <= self.now
        }
        return running != {spec.zone for spec in self.specs.values()}

    def _pool_load(self, pool: str) -> _Load:
        opens: Counter = Counter()
        weight = 0.0
        weights: dict[str, int] = {}
        for engine in self.engines.values():
            if engine.host.pool == pool:
                opens[engine.host.zone] += len(engine.open)
                own = weights[engine.host.name] = self._weight(engine)
                weight += own if self._serves(engine) else 0.0
        return _Load(self.now, opens, weight, weights)

    def _granted_weight(self, engine: EngineModel) -> int:
        """Return what an endpoint might hold when a call now arriving was admitted.

        A grant lives for a while, and in a handover nobody owns the endpoint.
        """
        name = engine.host.name
        return max(
            load.weights[name]
            for load in self._loads[engine.host.pool]
            if self.now - load.at_s <= GRANT_LIFE_S
        )

    def _weight(self, engine: EngineModel) -> int:
        name = engine.host.name
        limits = [
            node.board.slots[name].warmth.limit()
            for router, node in self.nodes.items()
            if name in node.board.slots and self.paused.get(router, 0.0) <= self.now
        ]
        return max(limits, default=0)

    def _serves(self, engine: EngineModel) -> bool:
        listed = self._listed.get(engine.host.name)
        return (
            engine.alive
            and listed is not None
            and listed.state is HostState.LIVE
            and engine.host.zone not in self.zone_out_s
            and engine.host.host not in self.host_out_s
        )

    def _note_load(self, pool: str) -> None:
        recent = self._loads.setdefault(pool, deque())
        recent.append(self._pool_load(pool))
        while self.now - recent[0].at_s > BOUND_WINDOW_S:
            recent.popleft()

    def _check_truth(self, engine: EngineModel, outcome: CallOutcome) -> None:
        self._check_out(engine)
        self._check_cold(engine)
        self._check_bound(engine)
        safe = outcome.arrived.route.idempotency is Idempotency.SAFE
        once = safe or outcome.runs == 0
        key = outcome.arrived.key
        once = once and not (key and self.keyed_runs[key])
        detail = f"{outcome.arrived.request_id} {key}"
        self.truth.check(Invariant.AT_MOST_ONCE, once, self.now, detail)

    def _check_out(self, engine: EngineModel) -> None:
        for name, since in (
            (engine.host.zone, self.zone_out_s),
            (engine.host.host, self.host_out_s),
        ):
            heard_s = self._isolated_s.get(engine.host.zone, -math.inf)
            out_s = self.now - max(since.get(name, math.inf), heard_s)
            detail = f"{engine.host.name} got work {out_s:.2f} s after it was out"
            self.truth.check(
                Invariant.OUT_OF_SERVICE, out_s < OUT_GRACE_S, self.now, detail
            )

    def _check_cold(self, engine: EngineModel) -> None:
        since_s = self._cold_since.get(engine.host.name)
        if not engine.cold_left or since_s is None:
            return
        if self.now - since_s < COLD_EVIDENCE_S:
            return
        after = len(engine.open) + 1
        # A ramp doubles after as many successes as it holds, so a cold engine
        # that is still counting down may hold what its successes have earned.
        earned = COLD_CALLS - engine.cold_left
        limit = max(engine.host.cold_open, 1) + earned
        detail = f"{engine.host.name} holds {after}, bears {limit}"
        self.truth.check(Invariant.COLD_LIMIT, after <= limit, self.now, detail)

    def _check_bound(self, engine: EngineModel) -> None:
        pool = engine.host.pool
        self._note_load(pool)
        # Behind a cut the mean is that of the endpoints within reach.
        if self.now - self._cut_s < CUT_MEMORY_S:
            return
        # An owner knows each zone's part as of a moment within the window.
        recent = self._loads[pool]
        zones = {zone for load in recent for zone in load.opens}
        total = sum(max(load.opens[zone] for load in recent) for zone in zones)
        weight = max(1.0, min(load.weight for load in recent))
        factor = self._admission.load_factor
        mean = (total + 1) / weight
        limit = max(1, math.ceil(factor * self._granted_weight(engine) * mean))
        after = len(engine.open) + 1
        detail = f"{engine.host.name} holds {after}, bound {limit}"
        self.truth.check(Invariant.LOAD_BOUND, after <= limit, self.now, detail)

    # Readings

    def violations(self) -> dict[str, int]:
        """Return violations by name, in truth and inside the nodes."""
        counts: Counter = Counter()
        sources = [self.truth, *(n.board.invariants for n in self.nodes.values())]
        for source in sources:
            counts.update({k.value: v for k, v in source.violated.items() if v})
        return dict(counts)

    def details(self) -> list[str]:
        """Return the latest violations as text."""
        sources = [self.truth, *(n.board.invariants for n in self.nodes.values())]
        return [
            f"{violation.at_s - START_S:.3f} {violation.name.value}: {violation.detail}"
            for source in sources
            for violation in source.recent
        ]
