"""The demo: sends real calls to a small fleet, checks guarantees and reports."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from cranberrysail.decisions.tablestate import RowKind
from cranberrysail.demo.fleet import Fleet, FleetPlan, uuid7
from cranberrysail.demo.simulated import expected_text
from cranberrysail.links.webclient import WebClient

__all__ = ["Caller", "run_demo"]

JSON = "application/json"
CHATS = 60
TURNS = 3
TOKENS = 6
OUT_WITHIN_S = 3.0
ZONE_LOAD_S = 2.0
APPLY_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 30.0


class _Delta(msgspec.Struct):
    content: str


class _Choice(msgspec.Struct):
    delta: _Delta


class _Chunk(msgspec.Struct):
    choices: list[_Choice]


@dataclass(frozen=True)
class Response:
    """Parts of an HTTP response that the demo checks.

    Attributes:
      outcome: Value of the header ``x-outcome``.
      replayed: Whether the response was recorded for an earlier call with this key.
    """

    status: int
    outcome: str
    replayed: bool
    body: bytes


def text_of(events: bytes) -> str:
    """Return the text of an event stream, or an empty string if it is incomplete."""
    parts = events.split(b"\n\n")
    if parts[-2:] != [b"data: [DONE]", b""]:
        return ""
    words = []
    for part in parts[:-2]:
        data = part.split(b"data: ", 1)[1]
        words.append(msgspec.json.decode(data, type=_Chunk).choices[0].delta.content)
    return " ".join(words)


@dataclass
class Caller:
    """Sends calls to the routers in turn and checks the responses.

    Attributes:
      results: Number of calls by result.
    """

    fleet: Fleet
    customer: str = "guide"
    results: Counter = field(default_factory=Counter)
    session: WebClient = field(default_factory=lambda: WebClient(CALL_TIMEOUT_S))
    _next_router: int = 0

    def _url(self, path: str) -> str:
        self._next_router += 1
        routers = [r for r in self.fleet.routers if not r.node.board.draining]
        router = routers[self._next_router % len(routers)]
        return f"http://127.0.0.1:{router.caller_port}{path}"

    def chat_body(self, chat: str, turn: int) -> bytes:
        """Return the request body of a turn, with all earlier turns."""
        words = " ".join(["manual"] * 200)
        messages = [{"role": "user", "content": f"{words} {chat}"}]
        for number in range(turn):
            messages.append({"role": "assistant", "content": f"answer {number} " * 20})
            messages.append({"role": "user", "content": f"question {number} " * 20})
        return msgspec.json.encode({"messages": messages, "max_tokens": TOKENS})

    async def chat(self, chat: str, turn: int) -> Response:
        """Send one turn of a chat and count its result."""
        body = self.chat_body(chat, turn)
        headers = {"x-chat-id": chat}
        response = await self._post("/v1/chat/completions", body, headers)
        complete = text_of(response.body) == expected_text(body, TOKENS)
        if response.status == 200 and complete:
            self.results["answered"] += 1
        elif response.outcome == "not_run":
            self.results["refused, not run"] += 1
        else:
            self.results["wrong or truncated"] += 1
        return response

    async def enrol(self, body: bytes, key: str) -> Response:
        """Send an enrolment."""
        return await self._post("/enrolments", body, {"idempotency-key": key})

    async def _post(self, path: str, body: bytes, headers: dict[str, str]) -> Response:
        headers["authorization"] = f"Bearer {self.customer}:secret"
        headers["content-type"] = JSON
        response = await self.session.call("POST", self._url(path), headers, body)
        replayed = bool(response.header("x-idempotent-replay"))
        return Response(
            response.status, response.header("x-outcome"), replayed, response.body
        )


@dataclass
class _Report:
    violated: list[str] = field(default_factory=list)

    def print_line(self, text: str) -> None:
        """Print a line."""
        print(text, flush=True)

    def check(self, text: str, holds: bool) -> None:
        """Print a guarantee and whether it held."""
        self.print_line(f"  {'kept  ' if holds else 'BROKEN'}  {text}")
        if not holds:
            self.violated.append(text)


async def run_demo() -> int:
    """Run the demo.

    Returns:
      Exit status: 0 if all guarantees held, else 1.
    """
    report = _Report()
    plan = FleetPlan()
    fleet = Fleet(plan)
    began_s = time.monotonic()
    await fleet.start()
    caller = Caller(fleet)
    report.print_line(
        f"A fleet of {len(fleet.routers)} routers in {len(plan.zones)} availability "
        f"zones, {len(fleet.engines)} engines and {len(fleet.services)} services was "
        f"ready after {time.monotonic() - began_s:.1f} s."
    )
    try:
        await _check_chats(fleet, caller, report)
        await _check_zone_outage(fleet, caller, report)
        await _check_bookings(fleet, caller, report)
        _check_invariants(fleet, report)
    finally:
        await caller.session.close()
        await fleet.stop()
    report.print_line(f"The demo took {time.monotonic() - began_s:.1f} s.")
    if report.violated:
        report.print_line(f"{len(report.violated)} guarantees did not hold.")
        return 1
    report.print_line("All guarantees held.")
    return 0


async def _check_chats(fleet: Fleet, caller: Caller, report: _Report) -> None:
    report.print_line(
        f"\n{CHATS} chats of {TURNS} turns, each turn through another router:"
    )
    for turn in range(TURNS):
        await asyncio.gather(
            *(caller.chat(f"chat-{number}", turn) for number in range(CHATS))
        )
    for result, count in sorted(caller.results.items()):
        report.print_line(f"  {count} calls {result}")
    engines = fleet.engines.values()
    prompt = sum(engine.prompt_tokens for engine in engines)
    cached = sum(engine.cached_tokens for engine in engines)
    served = [sum(engine.served.values()) for engine in engines]
    report.print_line(f"  cache reuse: {cached / prompt:.0%} of prompt tokens")
    report.print_line(f"  calls by engine: {served}")
    report.check("each caller got its own complete response", _all_answered(caller))


def _all_answered(caller: Caller) -> bool:
    return caller.results["answered"] == sum(caller.results.values())


async def _check_zone_outage(fleet: Fleet, caller: Caller, report: _Report) -> None:
    zone = fleet.plan.zones[0]
    report.print_line(
        f"\nZone {zone} is taken out of service under load and brought back:"
    )
    out = await fleet.table_editor().set_out_of_service(RowKind.ZONE, zone, True)
    taken_out_s = time.monotonic()
    applied_after_s = await _wait_for_version(fleet, out.ok.version)
    report.print_line(f"  applied by every router after {applied_after_s:.2f} s")
    await asyncio.sleep(max(0.0, 0.5 - (time.monotonic() - taken_out_s)))
    before = _calls_in_zone(fleet, zone)
    await _send_chats(caller, "away")
    after = _calls_in_zone(fleet, zone)
    report.check("the zone got no new work", after == before)
    back = await fleet.table_editor().set_out_of_service(RowKind.ZONE, zone, False)
    await _wait_for_version(fleet, back.ok.version)
    await _send_chats(caller, "back")
    report.check("the zone serves again", _calls_in_zone(fleet, zone) > after)
    report.check("no call was refused or lost in the meantime", _all_answered(caller))
    overloads = sum(engine.overloads for engine in fleet.engines.values())
    report.check("no cold engine was overloaded", overloads == 0)


async def _wait_for_version(fleet: Fleet, version: int) -> float:
    began_s = time.monotonic()
    async with asyncio.timeout(APPLY_TIMEOUT_S):
        while any(r.node.board.tables.version < version for r in fleet.routers):
            await asyncio.sleep(0.005)
    return time.monotonic() - began_s


def _calls_in_zone(fleet: Fleet, zone: str) -> int:
    return sum(
        sum(engine.served.values())
        for name, engine in fleet.engines.items()
        if name.startswith(zone)
    )


async def _send_chats(caller: Caller, name: str) -> None:
    until_s = time.monotonic() + ZONE_LOAD_S
    turn = 0
    while time.monotonic() < until_s:
        chats = (caller.chat(f"{name}-{number}", turn % TURNS) for number in range(12))
        await asyncio.gather(*chats)
        turn += 1


async def _check_bookings(fleet: Fleet, caller: Caller, report: _Report) -> None:
    report.print_line(
        "\nAn enrolment is sent again with its idempotency key, through other routers:"
    )
    key = uuid7()
    body = b'{"walk":"nebrodi-12","learner":"A. Russo"}'
    responses = [await caller.enrol(body, key) for _ in range(3)]
    runs = sum(service.bookings[body.decode()] for service in fleet.services.values())
    report.print_line(
        f"  responses: {[response.status for response in responses]}, runs: {runs}"
    )
    report.check("the enrolment ran once", runs == 1)
    same = len({response.body for response in responses}) == 1
    report.check("each repeat got the recorded response", same)
    report.print_line("The platform's log becomes unavailable:")
    fleet.platform.faults.down = True
    unbooked_body = b'{"walk":"etna-3","learner":"B. Greco"}'
    response = await caller.enrol(unbooked_body, uuid7())
    fleet.platform.faults.down = False
    runs = sum(
        service.bookings[unbooked_body.decode()] for service in fleet.services.values()
    )
    report.print_line(f"  response: {response.status} {response.outcome}, runs: {runs}")
    not_run = runs == 0 and response.outcome == "not_run"
    report.check('a booking refused as "not run" did not run', not_run)


def _check_invariants(fleet: Fleet, report: _Report) -> None:
    report.print_line("\nInvariants checked inside the routers:")
    checked: Counter = Counter()
    violated: Counter = Counter()
    for router in fleet.routers:
        checked.update(router.node.board.invariants.checked)
        violated.update(router.node.board.invariants.violated)
    for name, count in sorted(checked.items()):
        if count:
            report.print_line(f"  {name.value}: {count} checks")
    report.check("no invariant was violated", not sum(violated.values()))
