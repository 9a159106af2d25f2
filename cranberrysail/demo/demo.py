"""The demo: a small fleet, real calls, and a readable account."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from cranberrysail.decisions.tablestate import RowKind
from cranberrysail.demo.fleet import Fleet, FleetPlan, uuid7
from cranberrysail.demo.standins import expected_text
from cranberrysail.links.webclient import WebClient

__all__ = ["Caller", "run_demo"]

JSON = "application/json"
CHATS = 60
TURNS = 3
TOKENS = 6
OUT_WITHIN_S = 3.0
ZONE_LOAD_S = 2.0
READY_S = 10.0
# A caller gives up after this long.
CALL_S = 30.0


class _Delta(msgspec.Struct):
    content: str


class _Choice(msgspec.Struct):
    delta: _Delta


class _Chunk(msgspec.Struct):
    choices: list[_Choice]


@dataclass(frozen=True)
class Reply:
    """An answer as a caller sees it."""

    status: int
    outcome: str
    replayed: bool
    body: bytes


def text_of(events: bytes) -> str:
    """Return the text of a whole event stream, or nothing if it is cut."""
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
    """Sends calls to the routers in turn and checks the answers.

    Attributes:
      results: Number of calls by result.
    """

    fleet: Fleet
    customer: str = "guide"
    results: Counter = field(default_factory=Counter)
    session: WebClient = field(default_factory=lambda: WebClient(CALL_S))
    _turn: int = 0

    def _url(self, path: str) -> str:
        self._turn += 1
        routers = [r for r in self.fleet.routers if not r.node.board.draining]
        router = routers[self._turn % len(routers)]
        return f"http://127.0.0.1:{router.caller_port}{path}"

    def chat_body(self, chat: str, turn: int) -> bytes:
        """Return the request of a turn, with all earlier turns."""
        words = " ".join(["manual"] * 200)
        messages = [{"role": "user", "content": f"{words} {chat}"}]
        for number in range(turn):
            messages.append({"role": "assistant", "content": f"answer {number} " * 20})
            messages.append({"role": "user", "content": f"question {number} " * 20})
        return msgspec.json.encode({"messages": messages, "max_tokens": TOKENS})

    async def chat(self, chat: str, turn: int) -> Reply:
        """Send one turn of a chat."""
        body = self.chat_body(chat, turn)
        headers = {"x-chat-id": chat}
        reply = await self._post("/v1/chat/completions", body, headers)
        whole = text_of(reply.body) == expected_text(body, TOKENS)
        if reply.status == 200 and whole:
            self.results["answered"] += 1
        elif reply.outcome == "not_run":
            self.results["refused, not run"] += 1
        else:
            self.results["wrong or cut"] += 1
        return reply

    async def enrol(self, body: bytes, key: str) -> Reply:
        """Send an enrolment."""
        return await self._post("/enrolments", body, {"idempotency-key": key})

    async def _post(self, path: str, body: bytes, headers: dict[str, str]) -> Reply:
        headers["authorization"] = f"Bearer {self.customer}:secret"
        headers["content-type"] = JSON
        answer = await self.session.call("POST", self._url(path), headers, body)
        replayed = bool(answer.header("x-idempotent-replay"))
        return Reply(answer.status, answer.header("x-outcome"), replayed, answer.body)


@dataclass
class _Account:
    broken: list[str] = field(default_factory=list)

    def say(self, text: str) -> None:
        """Print one line."""
        print(text, flush=True)

    def promise(self, text: str, holds: bool) -> None:
        """Print a promise and whether it held."""
        self.say(f"  {'kept  ' if holds else 'BROKEN'}  {text}")
        if not holds:
            self.broken.append(text)


async def run_demo() -> int:
    """Run the demo.

    Returns:
      0 if every promise held, else 1.
    """
    account = _Account()
    plan = FleetPlan()
    fleet = Fleet(plan)
    began_s = time.monotonic()
    await fleet.start()
    caller = Caller(fleet)
    account.say(
        f"A fleet of {len(fleet.routers)} routers in {len(plan.zones)} availability "
        f"zones, {len(fleet.engines)} engines and {len(fleet.services)} services was "
        f"ready after {time.monotonic() - began_s:.1f} s."
    )
    try:
        await _chats(fleet, caller, account)
        await _zone(fleet, caller, account)
        await _bookings(fleet, caller, account)
        _invariants(fleet, account)
    finally:
        await caller.session.close()
        await fleet.stop()
    account.say(f"The demo took {time.monotonic() - began_s:.1f} s.")
    if account.broken:
        account.say(f"{len(account.broken)} promises were broken.")
        return 1
    account.say("Every promise was kept.")
    return 0


async def _chats(fleet: Fleet, caller: Caller, account: _Account) -> None:
    account.say(f"\n{CHATS} chats of {TURNS} turns, each turn by another router:")
    for turn in range(TURNS):
        await asyncio.gather(
            *(caller.chat(f"chat-{number}", turn) for number in range(CHATS))
        )
    for result, count in sorted(caller.results.items()):
        account.say(f"  {count} calls {result}")
    engines = fleet.engines.values()
    prompt = sum(engine.prompt_tokens for engine in engines)
    cached = sum(engine.cached_tokens for engine in engines)
    served = [sum(engine.served.values()) for engine in engines]
    account.say(f"  cache reuse: {cached / prompt:.0%} of prompt tokens")
    account.say(f"  calls by engine: {served}")
    account.promise("each caller got its own whole answer", _all_answered(caller))


def _all_answered(caller: Caller) -> bool:
    return caller.results["answered"] == sum(caller.results.values())


async def _zone(fleet: Fleet, caller: Caller, account: _Account) -> None:
    zone = fleet.plan.zones[0]
    account.say(f"\nZone {zone} is taken out while calls go on, and brought back:")
    out = await fleet.operator().set_out(RowKind.ZONE, zone, True)
    out_s = time.monotonic()
    in_force_s = await _in_force(fleet, out.ok.version)
    account.say(f"  in force at every router after {in_force_s:.2f} s")
    await asyncio.sleep(max(0.0, 0.5 - (time.monotonic() - out_s)))
    before = _served_in(fleet, zone)
    await _load(caller, "away")
    after = _served_in(fleet, zone)
    account.promise("the zone got no new work", after == before)
    back = await fleet.operator().set_out(RowKind.ZONE, zone, False)
    await _in_force(fleet, back.ok.version)
    await _load(caller, "back")
    account.promise("the zone serves again", _served_in(fleet, zone) > after)
    account.promise("no call was refused or lost meanwhile", _all_answered(caller))
    overloads = sum(engine.overloads for engine in fleet.engines.values())
    account.promise("no cold engine was overloaded", overloads == 0)


async def _in_force(fleet: Fleet, version: int) -> float:
    began_s = time.monotonic()
    async with asyncio.timeout(READY_S):
        while any(r.node.board.tables.version < version for r in fleet.routers):
            await asyncio.sleep(0.005)
    return time.monotonic() - began_s


def _served_in(fleet: Fleet, zone: str) -> int:
    return sum(
        sum(engine.served.values())
        for name, engine in fleet.engines.items()
        if name.startswith(zone)
    )


async def _load(caller: Caller, name: str) -> None:
    until_s = time.monotonic() + ZONE_LOAD_S
    turn = 0
    while time.monotonic() < until_s:
        chats = (caller.chat(f"{name}-{number}", turn % TURNS) for number in range(12))
        await asyncio.gather(*chats)
        turn += 1


async def _bookings(fleet: Fleet, caller: Caller, account: _Account) -> None:
    account.say("\nAn enrolment is repeated with its key, through other routers:")
    key = uuid7()
    body = b'{"walk":"nebrodi-12","learner":"A. Russo"}'
    replies = [await caller.enrol(body, key) for _ in range(3)]
    runs = sum(service.bookings[body.decode()] for service in fleet.services.values())
    account.say(f"  answers: {[reply.status for reply in replies]}, runs: {runs}")
    account.promise("the enrolment ran once", runs == 1)
    same = len({reply.body for reply in replies}) == 1
    account.promise("each repeat got the recorded answer", same)
    account.say("The log goes down:")
    fleet.platform.faults.down = True
    late = b'{"walk":"etna-3","learner":"B. Greco"}'
    reply = await caller.enrol(late, uuid7())
    fleet.platform.faults.down = False
    runs = sum(service.bookings[late.decode()] for service in fleet.services.values())
    account.say(f"  answer: {reply.status} {reply.outcome}, runs: {runs}")
    true = runs == 0 and reply.outcome == "not_run"
    account.promise('a refusal that says "not run" is true', true)


def _invariants(fleet: Fleet, account: _Account) -> None:
    account.say("\nInvariants checked inside the routers:")
    checked: Counter = Counter()
    violated: Counter = Counter()
    for router in fleet.routers:
        checked.update(router.node.board.invariants.checked)
        violated.update(router.node.board.invariants.violated)
    for name, count in sorted(checked.items()):
        if count:
            account.say(f"  {name.value}: {count} checks")
    account.promise("no invariant was violated", not sum(violated.values()))
