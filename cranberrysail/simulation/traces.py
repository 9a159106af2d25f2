"""Replay of recorded traces on a simulated fleet.

A trace is a file of JSON lines. The first line is a TraceHead, the last a TraceEnd
with the expected results, and each line between them a TraceStep.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from cranberrysail.decisions.events import HostState, ListedEndpoint
from cranberrysail.decisions.tablestate import RowKind
from cranberrysail.errors import ConfigError
from cranberrysail.registry import Registry
from cranberrysail.settings import LimitSettings
from cranberrysail.simulation.engine import Prompt
from cranberrysail.simulation.fleet import FleetSimulation, RouterSpec
from cranberrysail.tables import (
    Customer,
    Idempotency,
    Pool,
    Route,
    RouteKind,
    Tables,
)

__all__ = [
    "BOOKING_ROUTE",
    "CHAT_ROUTE",
    "TRACE_VERSION",
    "ReplayResult",
    "Trace",
    "load_trace",
    "replay",
]

TRACE_VERSION = 1
# Virtual time that the fleet is given to start before the first step.
STARTUP_S = 5.0
# Virtual time that open calls are given to end after the last step.
DRAIN_S = 30.0
CHAT_ROUTE = Route(
    prefix="/v1",
    pool="models",
    kind=RouteKind.CHAT,
    methods=("POST",),
    idempotency=Idempotency.SAFE,
)
BOOKING_ROUTE = Route(
    prefix="/book", pool="services", methods=("POST",), idempotency=Idempotency.KEYED
)


class TraceHead(msgspec.Struct, frozen=True, tag="head", forbid_unknown_fields=True):
    """The fleet on which a trace was recorded.

    Attributes:
      version: Version of the trace format.
      seed: Seed of all randomness.
      zones: Names of the zones.
      customers: Names of the customers.
      routers_per_zone: Number of routers in each zone.
      engines_per_zone: Number of model endpoints in each zone.
      services_per_zone: Number of other endpoints in each zone.
      max_open: Limit of open calls of each endpoint.
      cold_open: Limit of open calls of each endpoint while it is cold.
    """

    version: int
    seed: int
    zones: tuple[str, ...]
    customers: tuple[str, ...]
    routers_per_zone: int = 2
    engines_per_zone: int = 3
    services_per_zone: int = 1
    max_open: int = 16
    cold_open: int = 2


class TraceStep(msgspec.Struct, frozen=True, tag="step", forbid_unknown_fields=True):
    """Calls, a fault or an operation at a given time.

    Attributes:
      at_s: Time after the start of the trace, in seconds.
      do: Kind of step, one of STEP_HANDLERS.
      name: Customer, zone, router or endpoint that the step concerns.
      count: Number of calls.
      seconds: Time over which the calls are spread.
      output: Tokens that each chat call generates.
    """

    at_s: float
    do: str
    name: str = ""
    count: int = 1
    seconds: float = 0.0
    output: int = 50


class TraceEnd(msgspec.Struct, frozen=True, tag="end", forbid_unknown_fields=True):
    """The expected results.

    Attributes:
      most: Largest allowed value, by reading.
      least: Smallest allowed value, by reading.
    """

    most: dict[str, float] = {}
    least: dict[str, float] = {}


@dataclass(frozen=True)
class Trace:
    """A decoded trace."""

    head: TraceHead
    steps: tuple[TraceStep, ...]
    end: TraceEnd


@dataclass(frozen=True)
class ReplayResult:
    """Result of a replay.

    Attributes:
      readings: Measured values by name.
      differences: Messages about values outside the expected limits.
    """

    readings: dict[str, float]
    differences: tuple[str, ...]


STEP_HANDLERS: Registry[Callable[[FleetSimulation, TraceStep], None]] = Registry(
    "kind of trace step"
)
_decoder = msgspec.json.Decoder(TraceHead | TraceStep | TraceEnd)


def load_trace(path: Path) -> Result[Trace, ConfigError]:
    """Read and validate a trace file."""
    lines = []
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return Error(ConfigError(str(path), [f"cannot be read ({exc})"]))
    for number, line in enumerate(text.splitlines(), 1):
        try:
            lines.append(_decoder.decode(line))
        except msgspec.DecodeError as exc:
            fault = f"line {number}: {exc}; correct this line"
            return Error(ConfigError(str(path), [fault]))
    head, steps, end = lines[:1], lines[1:-1], lines[-1:]
    if not head or not isinstance(head[0], TraceHead):
        return Error(ConfigError(str(path), ['line 1: must be of type "head"']))
    if head[0].version != TRACE_VERSION:
        fault = f"line 1: version must be {TRACE_VERSION}; record the trace again"
        return Error(ConfigError(str(path), [fault]))
    if not isinstance(end[0], TraceEnd):
        return Error(ConfigError(str(path), ['last line: must be of type "end"']))
    if not all(isinstance(step, TraceStep) for step in steps):
        return Error(
            ConfigError(
                str(path), ['lines between the first and last must be of type "step"']
            )
        )
    return Ok(Trace(head[0], tuple(steps), end[0]))


def _create_simulation(head: TraceHead) -> FleetSimulation:
    hosts = []
    for zone in head.zones:
        kinds = [("models", f"e{n}") for n in range(head.engines_per_zone)]
        kinds += [("services", f"s{n}") for n in range(head.services_per_zone)]
        for pool, suffix in kinds:
            name = f"{zone}-{suffix}"
            address = f"{name}:1"
            host = ListedEndpoint(
                name, f"host-{name}", pool, zone, "region", address, "i"
            )
            limits = {"max_open": head.max_open, "cold_open": head.cold_open}
            hosts.append(replace(host, **limits))
    routers = [
        RouterSpec(f"{zone}-r{number}", zone)
        for zone in head.zones
        for number in range(head.routers_per_zone)
    ]
    customers = {name: Customer(keys_sha256=("0" * 64,)) for name in head.customers}
    tables = Tables(
        pools={"models": Pool(), "services": Pool()},
        routes={"chat": CHAT_ROUTE, "book": BOOKING_ROUTE},
        customers=customers,
    )
    limits = LimitSettings(queue_s=5.0)
    return FleetSimulation(routers, hosts, tables, head.seed, limits=limits)


def replay(trace: Trace) -> ReplayResult:
    """Run a trace and compare the results with the expected ones.

    Raises:
      UnknownNameError: If a step is of an unknown kind.
    """
    simulation = _create_simulation(trace.head)
    simulation.run(STARTUP_S)
    start_s = simulation.now
    for step in trace.steps:
        handler = STEP_HANDLERS.get(step.do)
        delay_s = start_s + step.at_s - simulation.now
        simulation.schedule(
            delay_s, lambda handler=handler, step=step: handler(simulation, step)
        )
    last_s = max((step.at_s + step.seconds for step in trace.steps), default=0.0)
    simulation.run(last_s + DRAIN_S)
    readings = _measure(simulation)
    return ReplayResult(readings, tuple(_find_differences(readings, trace.end)))


def _measure(simulation: FleetSimulation) -> dict[str, float]:
    outcomes = simulation.outcomes
    done = [o for o in outcomes if o.done_at_s and o.error is None]
    prompt = sum(engine.prompt_tokens for engine in simulation.engines.values())
    cached = sum(engine.cached_tokens for engine in simulation.engines.values())
    first_token_s = sorted(o.first_token_s for o in outcomes if o.first_token_s)
    p95 = first_token_s[int(len(first_token_s) * 0.95)] if first_token_s else 0.0
    readings = {
        "calls": float(len(outcomes)),
        "answered": float(len(done)),
        "not_run": float(sum(_has_outcome(o.error, "not_run") for o in outcomes)),
        "outcome_unknown": float(
            sum(_has_outcome(o.error, "outcome_unknown") for o in outcomes)
        ),
        "cut": float(sum(o.interrupted for o in outcomes)),
        "run_twice": float(sum(n > 1 for n in simulation.executions_by_key.values())),
        "reuse": cached / prompt if prompt else 0.0,
        "first_p95_s": p95,
        "violations": float(sum(simulation.violations().values())),
    }
    for name in {o.arrived.customer for o in outcomes}:
        of_customer = [o for o in outcomes if o.arrived.customer == name]
        readings[f"answered.{name}"] = float(sum(o in done for o in of_customer))
    return readings


def _has_outcome(error: object, outcome: str) -> bool:
    return getattr(error, "outcome", "") == outcome


def _find_differences(readings: dict[str, float], end: TraceEnd) -> list[str]:
    found = []
    for name, limit in end.most.items():
        value = readings.get(name, 0.0)
        if value > limit:
            found.append(f"{name} is {value:g}, expected at most {limit:g}")
    for name, limit in end.least.items():
        value = readings.get(name, 0.0)
        if value < limit:
            found.append(f"{name} is {value:g}, expected at least {limit:g}")
    return found


def _schedule_calls(
    simulation: FleetSimulation, step: TraceStep, start_call: Callable[[], None]
) -> None:
    for _ in range(step.count):
        simulation.schedule(simulation.rng.random() * step.seconds, start_call)


@STEP_HANDLERS.register("chats")
def _chats(simulation: FleetSimulation, step: TraceStep) -> None:
    def start_call() -> None:
        ready = simulation.ready_routers()
        prompt = Prompt(simulation.rng.randrange(1, 80), 1000, 100, step.output)
        if ready:
            simulation.call(
                simulation.rng.choice(ready), "chat", CHAT_ROUTE, step.name, prompt
            )

    _schedule_calls(simulation, step, start_call)


@STEP_HANDLERS.register("bookings")
def _bookings(simulation: FleetSimulation, step: TraceStep) -> None:
    numbers = iter(range(step.count))

    def start_call() -> None:
        ready = simulation.ready_routers()
        key = f"{step.at_s}-{next(numbers) // 2}"
        if ready:
            router = simulation.rng.choice(ready)
            simulation.call(router, "book", BOOKING_ROUTE, step.name, key=key)

    _schedule_calls(simulation, step, start_call)


@STEP_HANDLERS.register("zone out")
def _zone_out(simulation: FleetSimulation, step: TraceStep) -> None:
    simulation.set_out_of_service(RowKind.ZONE, step.name, True)


@STEP_HANDLERS.register("zone in")
def _zone_in(simulation: FleetSimulation, step: TraceStep) -> None:
    simulation.set_out_of_service(RowKind.ZONE, step.name, False)


@STEP_HANDLERS.register("stop router")
def _stop_router(simulation: FleetSimulation, step: TraceStep) -> None:
    if step.name in simulation.nodes:
        simulation.stop_router(step.name)


@STEP_HANDLERS.register("kill router")
def _kill_router(simulation: FleetSimulation, step: TraceStep) -> None:
    if step.name in simulation.nodes:
        simulation.kill_router(step.name)


@STEP_HANDLERS.register("start router")
def _start_router(simulation: FleetSimulation, step: TraceStep) -> None:
    if step.name not in simulation.nodes:
        simulation.start_router(step.name)


@STEP_HANDLERS.register("log down")
def _log_down(simulation: FleetSimulation, step: TraceStep) -> None:
    simulation.faults.log_down = True


@STEP_HANDLERS.register("log up")
def _log_up(simulation: FleetSimulation, step: TraceStep) -> None:
    simulation.faults.log_down = False


@STEP_HANDLERS.register("cut zone")
def _cut_zone(simulation: FleetSimulation, step: TraceStep) -> None:
    zones = {spec.zone for spec in simulation.specs.values()}
    simulation.faults.partitions |= {
        frozenset((step.name, z)) for z in zones - {step.name}
    }
    simulation.faults.zones_without_log.add(step.name)


@STEP_HANDLERS.register("heal zone")
def _heal_zone(simulation: FleetSimulation, step: TraceStep) -> None:
    simulation.faults.partitions = {
        pair for pair in simulation.faults.partitions if step.name not in pair
    }
    simulation.faults.zones_without_log.discard(step.name)


@STEP_HANDLERS.register("engine cold")
def _restart_engine(simulation: FleetSimulation, step: TraceStep) -> None:
    simulation.restart_engine(step.name)


@STEP_HANDLERS.register("engine leaving")
def _mark_engine_leaving(simulation: FleetSimulation, step: TraceStep) -> None:
    simulation.set_listed(step.name, HostState.LEAVING)
