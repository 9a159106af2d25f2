"""Discrete-event simulation of a router fleet, with network and log faults.

Each router is represented by its node. The simulation executes the actions that
nodes emit, through one priority queue of scheduled work in virtual time, and checks
the invariants against the actual state of the endpoints, which no router sees.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from cranberrysail.decisions.actions import (
    AppendRecord,
    Dispatch,
    ExitProcess,
    FailCall,
    ProbeEndpoint,
    ReadStream,
    ReplayResponse,
    SendPeer,
)
from cranberrysail.decisions.events import (
    AttemptEnded,
    CallArrived,
    CallResult,
    Event,
    HostsRead,
    HostState,
    ListedEndpoint,
    PeerMessageReceived,
    ProbeAnswered,
    ProbeFailed,
    StopRequested,
    Tick,
)
from cranberrysail.decisions.invariants import Invariant, InvariantCounts
from cranberrysail.decisions.messages import encode
from cranberrysail.decisions.node import Node
from cranberrysail.decisions.tablestate import (
    Edit,
    RowKind,
    TableState,
    changes_between,
    encode_record,
    encode_row,
    row_key,
)
from cranberrysail.decisions.tablesync import TABLES_STREAM
from cranberrysail.errors import NotRunError
from cranberrysail.handlers import handlers_of, on
from cranberrysail.links.platformlog import MemoryLog
from cranberrysail.settings import (
    AdmissionSettings,
    LimitSettings,
    PeerKeys,
    PeerSettings,
    PlatformSettings,
    Settings,
)
from cranberrysail.simulation.engine import (
    WARM_UP_CALLS,
    EngineModel,
    EngineSpeed,
    Prompt,
)
from cranberrysail.simulation.invariantchecker import InvariantChecker
from cranberrysail.simulation.simulatedlog import SimulatedLog
from cranberrysail.simulation.state import CallOutcome, InjectedFaults, RouterSpec
from cranberrysail.tables import OutOfService, Route, Tables

__all__ = ["CallOutcome", "FleetSimulation", "InjectedFaults", "RouterSpec"]

# Virtual time at which a simulation begins.
START_TIME_S = 1_000_000.0
# Interval at which each router reads the platform's list of hosts.
HOST_LIST_INTERVAL_S = 1.0
# Prompt of calls that are not chats.
EMPTY_PROMPT = Prompt(0, 0, 0, 1)
# Required by the settings; simulated messages are not encrypted.
DUMMY_KEYS = PeerKeys(public="p" * 40, secret="s" * 40)


class FleetSimulation:
    """A simulated fleet of routers and endpoints in virtual time.

    Attributes:
      now: Virtual time in seconds.
      rng: Source of all randomness.
      faults: Faults in force.
      log: The platform's log.
      nodes: Nodes of the running routers, by router name.
      specs: All routers, running or not, by name.
      invariant_checker: Checks of the invariants against the actual state of the
        endpoints.
      engines: Endpoints by name, also those that are no longer listed.
      listed: The platform's list of endpoints, by name.
      admission: Admission settings of each router.
      sent_messages: Number of peer messages by sending router.
      sent_bytes: Bytes of peer messages by sending router.
      sent_bytes_by_type: Bytes of peer messages by message type.
      outcomes: All calls, in order of arrival.
      executions_by_key: Number of executions by idempotency key.
      stopped_routers: Names of routers that completed a planned stop.
      paused_until_s: Time at which a paused router resumes, by name.
      zone_out_since_s: Time at which a zone was taken out of service, by name.
      host_out_since_s: Time at which a host was taken out of service, by name.
    """

    def __init__(
        self,
        routers: list[RouterSpec],
        hosts: list[ListedEndpoint],
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
        """Create a fleet; virtual time stands still until ``run`` is called.

        Args:
          routers: The routers.
          hosts: The endpoints.
          tables: Tables to publish before the routers start.
          seed: Seed of all randomness.
          tick_s: Interval between ticks of a node.
          limits: Limits of each router.
          admission: Admission settings of each router.
          speed: Speed of each endpoint.
          cache_tokens: Capacity of the prefix cache of each endpoint, in tokens.
          retention_s: Retention period of the log.
        """
        self.now = START_TIME_S
        self.rng = random.Random(seed)
        self.faults = InjectedFaults()
        self.log = MemoryLog(retention_s)
        self._simulated_log = SimulatedLog(self, self.log)
        self.nodes: dict[str, Node] = {}
        self._action_handlers = handlers_of(self)
        self.specs = {spec.name: spec for spec in routers}
        self.invariant_checker = InvariantChecker(self)
        self.sent_messages: Counter = Counter()
        self.sent_bytes: Counter = Counter()
        self.sent_bytes_by_type: Counter = Counter()
        self.outcomes: list[CallOutcome] = []
        self.executions_by_key: Counter = Counter()
        self.stopped_routers: list[str] = []
        self.paused_until_s: dict[str, float] = {}
        self._empty_tables = TableState()
        self.zone_out_since_s: dict[str, float] = {}
        self.host_out_since_s: dict[str, float] = {}
        self._limits = limits or LimitSettings()
        self.admission = admission or AdmissionSettings()
        self._tick_s = tick_s
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_number = 0
        self._incarnation = 0
        self._table_versions: dict[str, int] = {}
        self._open_calls: dict[tuple[str, int], CallOutcome] = {}
        self._last_call_id = 0
        self._last_delivery_s: dict[tuple[str, str], float] = {}
        self._speed = speed or EngineSpeed()
        self._cache_tokens = cache_tokens
        self.engines = {
            host.name: EngineModel(host, self._speed, cache_tokens) for host in hosts
        }
        self.listed = {host.name: host for host in hosts}
        self.publish(tables)
        for spec in routers:
            self.start_router(spec.name)
        self.invariant_checker.watch_partitions()

    # Time

    def schedule(self, delay_s: float, work: Callable[[], None]) -> None:
        """Schedule work after a delay; work due at the same time runs in order."""
        self._sequence_number += 1
        heapq.heappush(self._queue, (self.now + delay_s, self._sequence_number, work))

    def run(self, seconds: float) -> None:
        """Advance virtual time and run the work that falls due."""
        until_s = self.now + seconds
        while self._queue and self._queue[0][0] <= until_s:
            at_s, _, work = heapq.heappop(self._queue)
            self.now = max(self.now, at_s)
            work()
        self.now = until_s

    # Routers

    def start_router(self, name: str) -> None:
        """Start a router without any state from an earlier run."""
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
            admission=self.admission,
        )
        rng = random.Random(self.rng.getrandbits(64))
        node = Node.from_config(cfg, f"{name}:1", self._incarnation, rng)
        self.nodes[name] = node
        self._table_versions[name] = 0
        self.schedule(self.rng.random() * self._tick_s, lambda: self._tick(name, node))
        self.schedule(
            self.rng.random() * 0.2, lambda: self._deliver_host_list(name, node)
        )

    def kill_router(self, name: str) -> None:
        """Kill a router; its open calls are interrupted."""
        del self.nodes[name]
        for key in [key for key in self._open_calls if key[0] == name]:
            outcome = self._open_calls.pop(key)
            outcome.interrupted = True
            if outcome.endpoint:
                self.engines[outcome.endpoint].end(key)

    def stop_router(self, name: str) -> None:
        """Request a planned stop of a router."""
        self._deliver(name, StopRequested())

    def pause_router(self, name: str, seconds: float) -> None:
        """Pause a router; events other than ticks are delivered when it resumes."""
        self.paused_until_s[name] = self.now + seconds

    def is_paused(self, name: str) -> bool:
        """Return whether a router is paused."""
        return self.paused_until_s.get(name, 0.0) > self.now

    def _tick(self, name: str, node: Node) -> None:
        if self.nodes.get(name) is not node:
            return
        self._deliver(name, Tick())
        self.schedule(self._tick_s, lambda: self._tick(name, node))

    def _deliver(self, name: str, event: Event) -> None:
        node = self.nodes.get(name)
        if node is None:
            return
        pause_left_s = self.paused_until_s.get(name, 0.0) - self.now
        if pause_left_s > 0:
            if not isinstance(event, Tick):
                self.schedule(
                    pause_left_s, lambda: self.deliver_to_node(name, node, event)
                )
            return
        for action in node.handle(event, self.now):
            self._execute(name, node, action)
        self._check_tables_version(name, node)

    def deliver_to_node(self, name: str, node: Node, event: Event) -> None:
        """Deliver an event to a node, unless its router has stopped or restarted."""
        if self.nodes.get(name) is node:
            self._deliver(name, event)

    def _check_tables_version(self, name: str, node: Node) -> None:
        version = node.board.tables.version
        before = self._table_versions[name]
        self._table_versions[name] = version
        if version != before:
            detail = f"{name}: version {version} after {before}"
            self.invariant_checker.invariants.check(
                Invariant.TABLES_FORWARD, version >= before, self.now, detail
            )

    def _deliver_host_list(self, name: str, node: Node) -> None:
        if self.nodes.get(name) is not node:
            return
        self._deliver(name, HostsRead(tuple(self.listed.values())))
        self.schedule(HOST_LIST_INTERVAL_S, lambda: self._deliver_host_list(name, node))

    # Actions

    def _execute(self, name: str, node: Node, action: object) -> None:
        self._action_handlers[type(action)](name, node, action)

    @on(ReadStream)
    def _read(self, name: str, node: Node, action: ReadStream) -> None:
        self._simulated_log.read(name, node, action)

    @on(AppendRecord)
    def _append(self, name: str, node: Node, action: AppendRecord) -> None:
        self._simulated_log.append(name, node, action)

    @on(ReplayResponse)
    def _replay_answer(self, name: str, node: Node, action: ReplayResponse) -> None:
        outcome = self._open_calls.pop((name, action.call_id), None)
        if outcome is not None:
            outcome.replayed = True
            outcome.done_at_s = self.now

    @on(ExitProcess)
    def _finish_stop(self, name: str, node: Node, action: ExitProcess) -> None:
        open_calls = [key for key in self._open_calls if key[0] == name]
        self.invariant_checker.invariants.check(
            Invariant.STOP_CUTS_NOTHING,
            not open_calls,
            self.now,
            f"{name} stopped with open calls",
        )
        self.stopped_routers.append(name)
        self.nodes.pop(name, None)

    def reachable(self, first: str, second: str) -> bool:
        """Return whether no partition separates two zones or two routers."""
        return frozenset((first, second)) not in self.faults.partitions

    def _network_delay_s(self, first: str, second: str) -> float:
        base_s = 0.0002 if first == second else 0.0015
        return base_s * (1.0 + self.rng.random())

    @on(SendPeer)
    def _send(self, name: str, node: Node, action: SendPeer) -> None:
        size = len(encode(action.message)) + len(name)
        self.sent_messages[name] += 1
        self.sent_bytes[name] += size
        self.sent_bytes_by_type[type(action.message).__name__] += size
        target = action.address.partition(":")[0]
        if target not in self.specs or self.rng.random() < self.faults.message_loss:
            return
        zone = self.specs[name].zone
        target_zone = self.specs[target].zone
        if not self.reachable(zone, target_zone) or not self.reachable(name, target):
            return
        receiver = self.nodes.get(target)
        event = PeerMessageReceived(name, action.message)
        if receiver is not None:
            # Messages from one router to another are delivered in order.
            pair = (name, target)
            at_s = max(
                self.now + self._network_delay_s(zone, target_zone),
                self._last_delivery_s.get(pair, 0.0),
            )
            self._last_delivery_s[pair] = at_s
            self.schedule(
                at_s - self.now, lambda: self.deliver_to_node(target, receiver, event)
            )

    @on(ProbeEndpoint)
    def _probe(self, name: str, node: Node, action: ProbeEndpoint) -> None:
        endpoint = action.endpoint
        engine = self.engines.get(endpoint)
        alive = engine is not None and engine.alive
        if not alive or not self.reachable(self.specs[name].zone, engine.host.zone):
            self.schedule(
                0.5, lambda: self.deliver_to_node(name, node, ProbeFailed(endpoint))
            )
            return
        answered = ProbeAnswered(endpoint, engine.report())
        delay_s = 0.001 + 0.2 * self.rng.random()
        self.schedule(delay_s, lambda: self.deliver_to_node(name, node, answered))

    # Operators

    def publish(self, tables: Tables) -> None:
        """Publish tables."""
        self.append_edit(changes_between(self._empty_tables, tables))

    def append_edit(self, changes: dict, base: int | None = None) -> None:
        """Append an edit to the log.

        Args:
          changes: New content of rows, by row key.
          base: Version of the tables on which the edit is based; by default the
            newest.
        """
        version = self.log.read_at(TABLES_STREAM, 0, self.now).end
        self._sequence_number += 1
        record = Edit(
            f"edit-{self._sequence_number}", version if base is None else base, changes
        )
        self.log.append_at(TABLES_STREAM, encode_record(record), self.now)

    def set_out_of_service(self, kind: RowKind, name: str, out: bool) -> None:
        """Take a zone or host out of service, or return it to service."""
        self.append_edit(
            {row_key(kind, name): encode_row(OutOfService() if out else None)}
        )
        since_s = (
            self.zone_out_since_s if kind is RowKind.ZONE else self.host_out_since_s
        )
        if out:
            since_s[name] = self.now
        else:
            since_s.pop(name, None)

    def add_engine(self, host: ListedEndpoint) -> None:
        """Add an endpoint with a cold engine."""
        engine = EngineModel(host, self._speed, self._cache_tokens)
        engine.cold_calls_left = WARM_UP_CALLS
        self.engines[host.name] = engine
        self.invariant_checker.cold_since_s[host.name] = self.now
        self.listed[host.name] = host

    def set_listed(self, name: str, state: HostState | None) -> None:
        """Change an endpoint's state in the platform's list, or remove it."""
        if state is None:
            self.listed.pop(name, None)
            return
        self.listed[name] = replace(self.engines[name].host, state=state)

    def restart_engine(self, name: str) -> None:
        """Restart an engine without notice; it is cold and its open calls break."""
        engine = self.engines[name]
        affected = [(key, self._open_calls.get(key)) for key in engine.open_calls]
        engine.restart(WARM_UP_CALLS)
        self.invariant_checker.cold_since_s[name] = self.now
        for key, outcome in affected:
            if outcome is not None:
                self._break_call(key, outcome)

    def _break_call(self, key: tuple[str, int], outcome: CallOutcome) -> None:
        """Break off an attempt; after the first token this interrupts the call."""
        started = outcome.first_token_s > 0
        result = CallResult.CUT if started else CallResult.BROKEN
        outcome.endpoint = ""
        if started:
            self._open_calls.pop(key, None)
            outcome.interrupted = True
        self._deliver(key[0], AttemptEnded(key[1], result))

    # Calls

    def ready_routers(self) -> list[str]:
        """Return the routers that pass the readiness check of a load balancer."""
        return sorted(n for n, node in self.nodes.items() if node.board.ready)

    def call(
        self,
        router: str,
        route_name: str,
        route: Route,
        customer: str,
        prompt: Prompt = EMPTY_PROMPT,
        key: str = "",
        key_issued_s: float | None = None,
        digest: str = "d",
    ) -> CallOutcome:
        """Simulate the arrival of a call at a router.

        Args:
          router: Name of the router.
          route_name: Name of the route.
          route: The route.
          customer: Name of the customer.
          prompt: Prompt of a chat.
          key: Idempotency key, or empty.
          key_issued_s: Time at which the key was issued; by default now.
          digest: Digest of method, path and body.

        Returns:
          The outcome, which is updated as virtual time passes.
        """
        self._last_call_id += 1
        arrived = CallArrived(
            self._last_call_id,
            f"req-{self._last_call_id}",
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
        self._open_calls[(router, arrived.call_id)] = outcome
        self._deliver(router, arrived)
        return outcome

    @on(Dispatch)
    def _dispatch(self, name: str, node: Node, action: Dispatch) -> None:
        key = (name, action.call_id)
        outcome = self._open_calls.get(key)
        engine = self.engines[action.endpoint]
        zone = self.specs[name].zone
        reachable = engine.alive and self.reachable(zone, engine.host.zone)
        if outcome is None or not reachable:
            ended = AttemptEnded(action.call_id, CallResult.NOT_SENT)
            self.schedule(0.01, lambda: self.deliver_to_node(name, node, ended))
            return
        delay_s = self._network_delay_s(zone, engine.host.zone)
        self.schedule(delay_s, lambda: self._start_call(name, node, outcome, engine))

    def _start_call(
        self, name: str, node: Node, outcome: CallOutcome, engine: EngineModel
    ) -> None:
        key = (name, outcome.arrived.call_id)
        if self.nodes.get(name) is not node or self._open_calls.get(key) is not outcome:
            return
        self.invariant_checker.check_call_start(engine, outcome)
        outcome.executions += 1
        outcome.endpoint = engine.host.name
        if outcome.arrived.key:
            self.executions_by_key[outcome.arrived.key] += 1
        instance = engine.instance_number
        first_s = engine.begin(key, outcome.prompt)
        self.invariant_checker.record_load(engine.host.pool)
        self.schedule(
            first_s, lambda: self._record_first_token(key, outcome, engine, instance)
        )
        total_s = first_s + outcome.prompt.output_tokens * engine.speed.token_s
        self.schedule(
            total_s,
            lambda: self._complete_call(node, key, outcome, engine, instance, first_s),
        )

    def _record_first_token(
        self, key, outcome: CallOutcome, engine, instance: int
    ) -> None:
        if self._open_calls.get(key) is outcome and engine.instance_number == instance:
            outcome.first_token_s = self.now - outcome.arrived_at_s

    def _complete_call(
        self,
        node: Node,
        key,
        outcome: CallOutcome,
        engine,
        instance: int,
        first_s: float,
    ) -> None:
        running = engine.instance_number == instance and key in engine.open_calls
        if not running or self._open_calls.get(key) is not outcome:
            return
        engine.end(key)
        self.invariant_checker.record_load(engine.host.pool)
        del self._open_calls[key]
        outcome.done_at_s = self.now
        ended = AttemptEnded(
            key[1], CallResult.OK, int(first_s * 1000) + 1, 200, (), b"answer"
        )
        self.deliver_to_node(key[0], node, ended)

    @on(FailCall)
    def _fail(self, name: str, node: Node, action: FailCall) -> None:
        outcome = self._open_calls.pop((name, action.call_id), None)
        if outcome is None:
            return
        outcome.error = action.error
        outcome.done_at_s = self.now
        if isinstance(action.error, NotRunError):
            self.invariant_checker.invariants.check(
                Invariant.NOT_RUN_TRUE,
                outcome.executions == 0,
                self.now,
                f"{outcome.arrived.request_id} ran {outcome.executions} times",
            )

    # Invariants

    def _all_invariants(self) -> list[InvariantCounts]:
        of_nodes = (node.board.invariants for node in self.nodes.values())
        return [self.invariant_checker.invariants, *of_nodes]

    def violations(self) -> dict[str, int]:
        """Return violations by invariant, of the simulation's and the nodes' checks."""
        counts: Counter = Counter()
        sources = self._all_invariants()
        for source in sources:
            counts.update({k.value: v for k, v in source.violated.items() if v})
        return dict(counts)

    def violation_details(self) -> list[str]:
        """Return the most recent violations as text."""
        sources = self._all_invariants()
        return [
            f"{item.at_s - START_TIME_S:.3f} {item.invariant.value}: {item.detail}"
            for source in sources
            for item in source.recent
        ]
