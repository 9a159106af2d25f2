"""From a request's id to its cause, with the routers' logs alone."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from cranberrysail.errors import CranberryError
from cranberrysail.registry import Registry

__all__ = ["NoSuchRequestError", "explain_request", "parse_lines"]

# Changes of belief this long before and after a request may explain it.
AROUND_S = 5.0
Line = dict[str, object]
Sentence = Callable[[Line], str]
SENTENCES: Registry[Sentence] = Registry("kind of log line")


class NoSuchRequestError(CranberryError):
    """The logs hold no line of a request."""

    def __init__(self, request_id: str, lines: int) -> None:
        super().__init__(
            f"none of {lines} log lines is about {request_id!r}; check the id, and "
            "give the logs of all routers around that time"
        )


def parse_lines(text: Iterable[str]) -> list[Line]:
    """Return the log lines within a text; what is none is passed over.

    Args:
      text: Lines, each with or without something before the JSON.
    """
    lines = []
    for raw in text:
        start = raw.find('{"at":')
        if start < 0:
            continue
        try:
            line = msgspec.json.decode(raw[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(line, dict) and isinstance(line.get("at"), int | float):
            lines.append(line)
    return sorted(lines, key=lambda line: line["at"])


@dataclass(frozen=True)
class _Scope:
    """What of the logs may concern a request."""

    routers: set[object]
    endpoints: set[object]
    first_s: float
    last_s: float

    def holds(self, line: Line) -> bool:
        if line.get("router") not in self.routers or "id" in line:
            return False
        if not self.first_s - AROUND_S <= line["at"] <= self.last_s + AROUND_S:
            return False
        kind = line.get("kind")
        return kind != "endpoint" or line.get("endpoint") in self.endpoints


def explain_request(lines: list[Line], request_id: str) -> list[str]:
    """Return what was decided about a request, and what may have led to it.

    Args:
      lines: Log lines in the order of time.
      request_id: Id of the caller's attempt.

    Raises:
      NoSuchRequestError: If no line is about it.
    """
    own = [line for line in lines if line.get("id") == request_id]
    if not own:
        raise NoSuchRequestError(request_id, len(lines))
    scope = _Scope(
        {line.get("router") for line in own},
        {line.get("endpoint") for line in own},
        own[0]["at"],
        own[-1]["at"],
    )
    around = [line for line in lines if scope.holds(line)]
    told = sorted(own + around, key=lambda line: line["at"])
    return [_tell(line, own[0]["at"], request_id) for line in told]


def _tell(line: Line, zero_s: float, request_id: str) -> str:
    mark = "" if line.get("id") == request_id else "(around) "
    ms = (line["at"] - zero_s) * 1000
    return f"{ms:+.0f} ms {line.get('router')}: {mark}{_sentence(line)}"


def _sentence(line: Line) -> str:
    kind = str(line.get("kind"))
    if kind in SENTENCES.names():
        return SENTENCES.get(kind)(line)
    rest = {k: v for k, v in line.items() if k not in ("at", "router", "kind", "id")}
    return f"{kind.replace('_', ' ')} {msgspec.json.encode(rest).decode()}"


@SENTENCES.register("placed")
def _placed(line: Line) -> str:
    cache = f", cache from {line['cache_from']}" if line.get("cache_from") else ""
    return (
        f"attempt {line.get('attempt')} goes to {line.get('endpoint')} by route "
        f"{line.get('route')}, load {line.get('load')}, one of {line.get('of')} that "
        f"could take it{cache}; tables {line.get('tables')}, declared "
        f"{line.get('declared_age_s')} s before"
    )


@SENTENCES.register("attempt_ended")
def _attempt_ended(line: Line) -> str:
    return (
        f"{line.get('endpoint')} ended it as {line.get('result')}: {line.get('why')}; "
        f"it may have run {line.get('ran')} times; next: {line.get('next')}"
    )


@SENTENCES.register("delivered")
def _delivered(line: Line) -> str:
    first = f"first byte after {line.get('first_ms')} ms"
    late = ", later than the route aims at" if line.get("late") else ""
    return (
        f"the answer of {line.get('endpoint')} was delivered in "
        f"{line.get('ms')} ms, {first}{late}"
    )


@SENTENCES.register("no_endpoint")
def _no_endpoint(line: Line) -> str:
    return (
        f"no endpoint of {line.get('service')} can take it ({line.get('why')}), "
        f"{line.get('of')} were looked at; it may have run {line.get('ran')} times"
    )


@SENTENCES.register("time_over")
def _time_over(line: Line) -> str:
    return (
        f"its time is over; it may have run {line.get('ran')} times, last event "
        f"passed on: {line.get('events') or 'none'}"
    )


@SENTENCES.register("caller_left")
def _caller_left(line: Line) -> str:
    return f"the caller left; it may have run {line.get('ran')} times"


@SENTENCES.register("denied")
def _denied(line: Line) -> str:
    return (
        f"denied with {line.get('status')}: {line.get('why')}; tables {line['tables']}"
    )


@SENTENCES.register("endpoint")
def _endpoint(line: Line) -> str:
    return f"{line.get('endpoint')} is {line.get('change')}: {line.get('why')}"


@SENTENCES.register("store_lost")
def _store_lost(line: Line) -> str:
    return f"the store's {line.get('topic')} cannot be read: {line.get('why')}"


@SENTENCES.register("store_regained")
def _store_regained(line: Line) -> str:
    return f"the store's {line.get('topic')} can be read again"


@SENTENCES.register("tables_applied")
def _tables_applied(line: Line) -> str:
    return f"tables {line.get('version')} are in force, before: {line.get('before')}"
