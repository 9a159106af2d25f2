"""Explains how a caller's request was handled, from routers' decision logs alone."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from cranberrysail.errors import CranberryError
from cranberrysail.registry import Registry

__all__ = ["NoSuchRequestError", "explain_request", "parse_lines"]

# State changes within this time before and after a request may explain its result.
CONTEXT_S = 5.0
LogLine = dict[str, object]
LineFormatter = Callable[[LogLine], str]
LINE_FORMATTERS: Registry[LineFormatter] = Registry("kind of log line")


class NoSuchRequestError(CranberryError):
    """The logs contain no line about a request."""

    def __init__(self, request_id: str, lines: int) -> None:
        super().__init__(
            f"none of the {lines} log lines is about request {request_id!r}; check the "
            "id, and pass the logs of all routers for the time of the request"
        )


def parse_lines(text: Iterable[str]) -> list[LogLine]:
    """Return the log lines found in a text, ordered by time; skip all other lines.

    Args:
      text: Lines of text; the JSON of a log line may follow a prefix.
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
class _ContextFilter:
    """Selects lines that are not about a request but may explain its result."""

    routers: set[object]
    endpoints: set[object]
    first_at: float
    last_at: float

    def matches(self, line: LogLine) -> bool:
        if line.get("router") not in self.routers or "id" in line:
            return False
        if not self.first_at - CONTEXT_S <= line["at"] <= self.last_at + CONTEXT_S:
            return False
        kind = line.get("kind")
        return kind != "endpoint" or line.get("endpoint") in self.endpoints


def explain_request(lines: list[LogLine], request_id: str) -> list[str]:
    """Describe the decisions about a request, and the state changes around it.

    Args:
      lines: Log lines, ordered by time.
      request_id: Id of the caller's request.

    Raises:
      NoSuchRequestError: If no line is about the request.
    """
    own = [line for line in lines if line.get("id") == request_id]
    if not own:
        raise NoSuchRequestError(request_id, len(lines))
    context_filter = _ContextFilter(
        {line.get("router") for line in own},
        {line.get("endpoint") for line in own},
        own[0]["at"],
        own[-1]["at"],
    )
    context = [line for line in lines if context_filter.matches(line)]
    selected = sorted(own + context, key=lambda line: line["at"])
    return [_format_line(line, own[0]["at"], request_id) for line in selected]


def _format_line(line: LogLine, start_s: float, request_id: str) -> str:
    prefix = "" if line.get("id") == request_id else "(context) "
    ms = (line["at"] - start_s) * 1000
    return f"{ms:+.0f} ms {line.get('router')}: {prefix}{_describe(line)}"


def _describe(line: LogLine) -> str:
    kind = str(line.get("kind"))
    if kind in LINE_FORMATTERS.names():
        return LINE_FORMATTERS.get(kind)(line)
    rest = {k: v for k, v in line.items() if k not in ("at", "router", "kind", "id")}
    return f"{kind.replace('_', ' ')} {msgspec.json.encode(rest).decode()}"


@LINE_FORMATTERS.register("placed")
def _placed(line: LogLine) -> str:
    cache = f", cache from {line['cache_from']}" if line.get("cache_from") else ""
    rank = f", rank {line['rank']}" if line.get("rank") is not None else ""
    version = f" (version {line['version']})" if line.get("version") else ""
    work = ""
    if line.get("expected_wait_ms") is not None:
        work = (
            f"; first event expected in {line['expected_wait_ms']} ms at pace "
            f"{line.get('pace')} behind {line.get('backlog_calls')} calls with "
            f"{line.get('backlog_tokens')} tokens"
            + (", late at its home" if line.get("left_late") else "")
        )
    return (
        f"attempt {line.get('attempt')} assigned to {line.get('endpoint')}{version} by "
        f"route {line.get('route')}: load {line.get('load')} by a report "
        f"{line.get('report_age_s')} s old, mean {line.get('mean')}, calls spill above "
        f"{line.get('spill_load')}; {line.get('of')} candidates{rank}{cache}{work}; "
        f"tables version {line.get('tables')}, last declaration of the endpoint read "
        f"{line.get('declared_age_s')} s earlier"
    )


@LINE_FORMATTERS.register("attempt_ended")
def _attempt_ended(line: LogLine) -> str:
    return (
        f"attempt at {line.get('endpoint')} ended with {line.get('result')}: "
        f"{line.get('why')}{_response(line)}; executed at most {line.get('ran')} times "
        f"so far; next step: {line.get('next')}"
    )


@LINE_FORMATTERS.register("delivered")
def _delivered(line: LogLine) -> str:
    first = f"first byte after {line.get('first_ms')} ms"
    late = ", later than the route's target" if line.get("late") else ""
    return (
        f"response of {line.get('endpoint')} delivered after "
        f"{line.get('ms')} ms, {first}{late}{_response(line)}"
    )


def _response(line: LogLine) -> str:
    """Describe how far an endpoint's response came, if its head was received."""
    if "framing" not in line:
        return ""
    events = ""
    if "whole_events" in line:
        events = (
            f", whole events: {line['whole_events']}, then {line.get('partial_bytes')} "
            "bytes"
        )
    return (
        f"; status {line.get('status')}, framing {line['framing']}, "
        f"{line.get('body_bytes')} bytes of the body{events}"
    )


@LINE_FORMATTERS.register("no_endpoint")
def _no_endpoint(line: LogLine) -> str:
    return (
        f"no endpoint of {line.get('service')} available ({line.get('why')}), "
        f"{line.get('of')} candidates; executed at most {line.get('ran')} times"
    )


@LINE_FORMATTERS.register("waited")
def _waited(line: LogLine) -> str:
    return (
        f"waited {line.get('waited_ms')} ms in the router for capacity of "
        f"{line.get('service')} (priority {line.get('priority')}, customer "
        f"{line.get('customer')} at {line.get('over_share')} of its share); sent by "
        f"{line.get('limit')}"
    )


@LINE_FORMATTERS.register("not_admitted")
def _not_admitted(line: LogLine) -> str:
    return (
        f"refused as {line.get('why')} after {line.get('waited_ms')} ms, never sent: "
        f"{line.get('service')} has {line.get('calls_per_slot')} open calls per slot, "
        f"expected wait {line.get('wait_s')} s, customer {line.get('customer')} at "
        f"{line.get('over_share')} of its share, priority {line.get('priority')}; "
        f"decided by {line.get('limit')}"
    )


@LINE_FORMATTERS.register("wait_ended")
def _wait_ended(line: LogLine) -> str:
    return f"left the waiting calls unsent after {line.get('waited_ms')} ms"


@LINE_FORMATTERS.register("time_over")
def _time_over(line: LogLine) -> str:
    return (
        f"deadline exceeded; executed at most {line.get('ran')} times, id of "
        f"the last event sent: {line.get('events') or 'none'}"
    )


@LINE_FORMATTERS.register("caller_left")
def _caller_left(line: LogLine) -> str:
    return f"caller disconnected; executed at most {line.get('ran')} times"


@LINE_FORMATTERS.register("denied")
def _denied(line: LogLine) -> str:
    return (
        f"denied with status {line.get('status')}: {line.get('why')}; "
        f"tables version {line['tables']}"
    )


@LINE_FORMATTERS.register("endpoint")
def _endpoint(line: LogLine) -> str:
    return f"endpoint {line.get('endpoint')}: {line.get('change')} ({line.get('why')})"


@LINE_FORMATTERS.register("content_refused")
def _content_refused(line: LogLine) -> str:
    return (
        f"not sent: content {line.get('content')} is {line.get('stage')}, as "
        f"{line.get('crashes')} endpoints crashed while calls with it were unanswered; "
        f"may be sent in {line.get('wait_s')} s; executed at most {line.get('ran')} "
        "times"
    )


@LINE_FORMATTERS.register("content_suspected")
@LINE_FORMATTERS.register("content_quarantined")
@LINE_FORMATTERS.register("content_cleared")
def _content_stage(line: LogLine) -> str:
    return (
        f"content {line.get('content')}: {str(line.get('kind'))[len('content_') :]} "
        f"after {line.get('crashes')} crashes of endpoints within "
        f"{line.get('span_s')} s; before: {line.get('before')}"
    )


@LINE_FORMATTERS.register("endpoint_crashed")
def _endpoint_crashed(line: LogLine) -> str:
    return f"endpoint {line.get('endpoint')} crashed {_open_calls(line)}"


@LINE_FORMATTERS.register("connections_ended")
def _connections_ended(line: LogLine) -> str:
    return (
        f"endpoint {line.get('endpoint')} ended connections {_open_calls(line)}; it "
        f"has not crashed: {line.get('why')}"
    )


def _open_calls(line: LogLine) -> str:
    content = line.get("content") or {}
    counts = ", ".join(f"{name} {count}" for name, count in content.items())
    return (
        f"with {line.get('calls')} open calls, {line.get('unanswered')} of them "
        f"unanswered ({', '.join(line.get('requests') or [])}), with content: "
        f"{counts or 'none'}"
    )


@LINE_FORMATTERS.register("rollout_ordered")
def _rollout_ordered(line: LogLine) -> str:
    return (
        f"order to move {line.get('service')} to version {line.get('to')} within "
        f"{line.get('duration_s')} s read; its other versions: "
        f"{', '.join(line.get('old') or []) or 'none'}"
    )


@LINE_FORMATTERS.register("rollout_phase")
def _rollout_phase(line: LogLine) -> str:
    why = f" ({line['why']})" if line.get("why") else ""
    return (
        f"{line.get('service')} to version {line.get('to')}: {line.get('phase')}{why} "
        f"after {line.get('elapsed_s')} s; new version: {line.get('new_responses')} "
        f"responses, {line.get('new_failures')} failures, {line.get('new_slow')} of "
        f"{line.get('new_timed')} slow; old: {line.get('old_responses')} responses, "
        f"{line.get('old_failures')} failures, {line.get('old_slow')} of "
        f"{line.get('old_timed')} slow, {line.get('open_old')} calls open"
    )


@LINE_FORMATTERS.register("endpoint_leaving")
def _endpoint_leaving(line: LogLine) -> str:
    return (
        f"endpoint {line.get('endpoint')} said with status {line.get('status')} of "
        f"request {line.get('request')} that it leaves"
    )


@LINE_FORMATTERS.register("endpoint_paused")
def _endpoint_paused(line: LogLine) -> str:
    return (
        f"endpoint {line.get('endpoint')} turned request {line.get('request')} away "
        f"with status {line.get('status')} and wants none for {line.get('seconds')} s"
    )


@LINE_FORMATTERS.register("store_lost")
def _store_lost(line: LogLine) -> str:
    return (
        f"cannot read {line.get('topic')} from the store or from peers: "
        f"{line.get('why')}"
    )


@LINE_FORMATTERS.register("store_regained")
def _store_regained(line: LogLine) -> str:
    return f"can read {line.get('topic')} again"


@LINE_FORMATTERS.register("store_restored")
def _store_restored(line: LogLine) -> str:
    zones = ", ".join(line.get("zones_out") or []) or "none"
    return (
        f"the store was restored from a copy (era {line.get('era')} after "
        f"{line.get('before')}); kept until it is written again: tables version "
        f"{line.get('tables')}, {line.get('endpoints')} endpoints, "
        f"{line.get('routers')} routers, zones out of service: {zones}"
    )


@LINE_FORMATTERS.register("tables_applied")
def _tables_applied(line: LogLine) -> str:
    return (
        f"tables version {line.get('version')} applied, previous version: "
        f"{line.get('before')}{_origin(line)}"
    )


@LINE_FORMATTERS.register("tables_ignored")
def _tables_ignored(line: LogLine) -> str:
    return (
        f"tables version {line.get('version')} ignored, as version "
        f"{line.get('in_force')} is in force{_origin(line)}"
    )


def _origin(line: LogLine) -> str:
    """Describe where records were read, and how old they may have been."""
    if "source" not in line:
        return ""
    return (
        f"; read from {line['source']}, which had read the store "
        f"{line.get('age_s')} s earlier, up to offset {line.get('next_offset')} of its "
        f"era {line.get('era')}"
    )
