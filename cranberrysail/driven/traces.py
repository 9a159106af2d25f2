"""Replaying recorded traces on a fleet's decisions in virtual time.

A trace is a file of JSON lines. The first line is a TraceHead, the last a
TraceEnd with the stated outcomes, and each line between a TraceStep.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from cranberrysail.decisions.events import HostState, ListedHost
from cranberrysail.decisions.tablestate import RowKind
from cranberrysail.driven.driver import Driver, RouterSpec
from cranberrysail.driven.models import Prompt
from cranberrysail.errors import ConfigError
from cranberrysail.registry import Registry
from cranberrysail.settings import LimitSettings
from cranberrysail.tables import (
    Customer,
    Idempotency,
    Pool,
    Route,
    RouteKind,
    Tables,
)

__all__ = [
    "BOOK",
    "CHAT",
    "TRACE_VERSION",
    "Replayed",
    "Trace",
    "load_trace",
    "replay",
]

TRACE_VERSION = 1
START_S = 5.0
DRAIN_S = 30.0
CHAT = Route(
    prefix="/v1",
    pool="models",
    kind=RouteKind.CHAT,
    methods=("POST",),
    idempotency=Idempotency.SAFE,
)
BOOK = Route(
    prefix="/book", pool="services", methods=("POST",), idempotency=Idempotency.KEYED
)


class TraceHead(msgspec.Struct, frozen=True, tag="head", forbid_unknown_fields=True):
    """The fleet on which a trace was recorded.

    Attributes:
      version: Version of the format.
      seed: Seed of all randomness.
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
    """Something that happens.

    Attributes:
      at_s: Time after the start of the trace, in seconds.
      do: Name of a verb.
      name: What it happens to.
      count: Number of calls.
      seconds: Time over which calls are spread.
      output: Tokens that each chat call generates.
    """

    at_s: float
    do: str
    name: str = ""
    count: int = 1
    seconds: float = 0.0
    output: int = 50


class TraceEnd(msgspec.Struct, frozen=True, tag="end", forbid_unknown_fields=True):
    """The stated outcomes.

    Attributes:
      most: Largest allowed value by reading.
      least: Smallest allowed value by reading.
    """

    most: dict[str, float] = {}
    least: dict[str, float] = {}


@dataclass(frozen=True)
class Trace:
    """A whole trace."""

    head: TraceHead
    steps: tuple[TraceStep, ...]
    end: TraceEnd


@dataclass(frozen=True)
class Replayed:
    """What a replay read, and how it differs from what is stated."""

    readings: dict[str, float]
    differences: tuple[str, ...]


VERBS: Registry[Callable[[Driver, TraceStep], None]] = Registry("verb of traces")
_decoder = msgspec.json.Decoder(TraceHead | TraceStep | TraceEnd)


def load_trace(path: Path) -> Result[Trace, ConfigError]:
    """Read a trace."""
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
        return Error(ConfigError(str(path), ["line 1: begin with a head"]))
    if head[0].version != TRACE_VERSION:
        fault = f"line 1: the version is not {TRACE_VERSION}; record it anew"
        return Error(ConfigError(str(path), [fault]))
    if not isinstance(end[0], TraceEnd):
        return Error(ConfigError(str(path), ["last line: end with the outcomes"]))
    if not all(isinstance(step, TraceStep) for step in steps):
        return Error(ConfigError(str(path), ["only steps stand between"]))
    return Ok(Trace(head[0], tuple(steps), end[0]))


def _fleet(head: TraceHead) -> Driver:
    hosts = []
    for zone in head.zones:
        kinds = [("models", f"e{n}") for n in range(head.engines_per_zone)]
        kinds += [("services", f"s{n}") for n in range(head.services_per_zone)]
        for pool, suffix in kinds:
            name = f"{zone}-{suffix}"
            address = f"{name}:1"
            host = ListedHost(name, f"host-{name}", pool, zone, "region", address, "i")
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
        routes={"chat": CHAT, "book": BOOK},
        customers=customers,
    )
    limits = LimitSettings(queue_s=5.0)
    return Driver(routers, hosts, tables, head.seed, limits=limits)


def replay(trace: Trace) -> Replayed:
    """Run a trace and compare with its stated outcomes.

    Raises:
      UnknownNameError: If a step names no verb.
    """
    driver = _fleet(trace.head)
    driver.run(START_S)
    start_s = driver.now
    for step in trace.steps:
        work = VERBS.get(step.do)
        delay_s = start_s + step.at_s - driver.now
        driver.at(delay_s, lambda work=work, step=step: work(driver, step))
    last_s = max((step.at_s + step.seconds for step in trace.steps), default=0.0)
    driver.run(last_s + DRAIN_S)
    readings = _read(driver)
    return Replayed(readings, tuple(_differences(readings, trace.end)))


def _read(driver: Driver) -> dict[str, float]:
    outcomes = driver.outcomes
    done = [o for o in outcomes if o.done_s and o.error is None]
    prompt = sum(engine.prompt_tokens for engine in driver.engines.values())
    cached = sum(engine.cached_tokens for engine in driver.engines.values())
    firsts = sorted(o.first_s for o in outcomes if o.first_s)
    p95 = firsts[int(len(firsts) * 0.95)] if firsts else 0.0
    readings = {
        "calls": float(len(outcomes)),
        "answered": float(len(done)),
        "not_run": float(sum(_is(o.error, "not_run") for o in outcomes)),
        "outcome_unknown": float(
            sum(_is(o.error, "outcome_unknown") for o in outcomes)
        ),
        "cut": float(sum(o.lost for o in outcomes)),
        "run_twice": float(sum(n > 1 for n in driver.keyed_runs.values())),
        "reuse": cached / prompt if prompt else 0.0,
        "first_p95_s": p95,
        "violations": float(sum(driver.violations().values())),
    }
    for name in {o.arrived.customer for o in outcomes}:
        mine = [o for o in outcomes if o.arrived.customer == name]
        readings[f"answered.{name}"] = float(sum(o in done for o in mine))
    return readings


def _is(error: object, outcome: str) -> bool:
    return getattr(error, "outcome", "") == outcome


def _differences(readings: dict[str, float], end: TraceEnd) -> list[str]:
    found = []
    for name, limit in end.most.items():
        value = readings.get(name, 0.0)
        if value > limit:
            found.append(f"{name} is {value:g}, stated at most {limit:g}")
    for name, limit in end.least.items():
        value = readings.get(name, 0.0)
        if value < limit:
            found.append(f"{name} is {value:g}, stated at least {limit:g}")
    return found


def _spread(driver: Driver, step: TraceStep, begin: Callable[[], None]) -> None:
    for _ in range(step.count):
        driver.at(driver.rng.random() * step.seconds, begin)


@VERBS.register("chats")
def _chats(driver: Driver, step: TraceStep) -> None:
    def begin() -> None:
        ready = driver.ready_routers()
        prompt = Prompt(driver.rng.randrange(1, 80), 1000, 100, step.output)
        if ready:
            driver.call(driver.rng.choice(ready), "chat", CHAT, step.name, prompt)

    _spread(driver, step, begin)


@VERBS.register("bookings")
def _bookings(driver: Driver, step: TraceStep) -> None:
    numbers = iter(range(step.count))

    def begin() -> None:
        ready = driver.ready_routers()
        key = f"{step.at_s}-{next(numbers) // 2}"
        if ready:
            router = driver.rng.choice(ready)
            driver.call(router, "book", BOOK, step.name, key=key)

    _spread(driver, step, begin)


@VERBS.register("zone out")
def _zone_out(driver: Driver, step: TraceStep) -> None:
    driver.set_out(RowKind.ZONE, step.name, True)


@VERBS.register("zone in")
def _zone_in(driver: Driver, step: TraceStep) -> None:
    driver.set_out(RowKind.ZONE, step.name, False)


@VERBS.register("stop router")
def _stop(driver: Driver, step: TraceStep) -> None:
    if step.name in driver.nodes:
        driver.stop_router(step.name)


@VERBS.register("kill router")
def _kill(driver: Driver, step: TraceStep) -> None:
    if step.name in driver.nodes:
        driver.kill_router(step.name)


@VERBS.register("start router")
def _start(driver: Driver, step: TraceStep) -> None:
    if step.name not in driver.nodes:
        driver.start_router(step.name)


@VERBS.register("log down")
def _log_down(driver: Driver, step: TraceStep) -> None:
    driver.faults.log_down = True


@VERBS.register("log up")
def _log_up(driver: Driver, step: TraceStep) -> None:
    driver.faults.log_down = False


@VERBS.register("cut zone")
def _cut(driver: Driver, step: TraceStep) -> None:
    zones = {spec.zone for spec in driver.specs.values()}
    driver.faults.cuts |= {frozenset((step.name, z)) for z in zones - {step.name}}
    driver.faults.log_cuts.add(step.name)


@VERBS.register("heal zone")
def _heal(driver: Driver, step: TraceStep) -> None:
    driver.faults.cuts = {pair for pair in driver.faults.cuts if step.name not in pair}
    driver.faults.log_cuts.discard(step.name)


@VERBS.register("engine cold")
def _cold(driver: Driver, step: TraceStep) -> None:
    driver.restart_engine(step.name)


@VERBS.register("engine leaving")
def _leaving(driver: Driver, step: TraceStep) -> None:
    driver.set_listed(step.name, HostState.LEAVING)
