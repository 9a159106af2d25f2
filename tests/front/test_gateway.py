"""Calls through the front and the gateway to endpoints that break off responses."""

import asyncio
import hashlib
import uuid
from collections import Counter
from dataclasses import dataclass, field
from types import SimpleNamespace

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrysail.decisions.actions import Dispatch, FailCall
from cranberrysail.decisions.events import AttemptEnded, CallArrived, CallResult
from cranberrysail.decisions.invariants import Invariant, InvariantCounts
from cranberrysail.decisions.tablestate import TableState
from cranberrysail.errors import OutcomeUnknownError
from cranberrysail.front.callerapi import CallerApi
from cranberrysail.front.gateway import Gateway
from cranberrysail.front.relay import DONE_EVENT, ERROR_EVENT
from cranberrysail.metrics import Metrics
from cranberrysail.router.httplistener import HttpListener
from cranberrysail.settings import LimitSettings
from cranberrysail.tables import Customer, Idempotency, Route, RouteKind
from tests.router.interrupted import body_of, broken_responses
from tests.router.scriptedserver import ADDRESS
from tests.router.simulatedfleet import Caller, Worker, WorkerConn
from tests.router.virtualloop import run_virtual

KEY = "guide:s3cret"
LIMITS = LimitSettings()
STATE = TableState(
    routes={
        "chat": Route(
            prefix="/chat", pool="p", kind=RouteKind.CHAT, idempotency=Idempotency.SAFE
        ),
        "look": Route(prefix="/look", pool="p"),
        "book": Route(prefix="/book", pool="p", idempotency=Idempotency.KEYED),
    },
    customers={
        "guide": Customer(keys_sha256=(hashlib.sha256(KEY.encode()).hexdigest(),))
    },
)
CHAT_BODY = msgspec.json.encode({"messages": [{"role": "user", "content": "x"}]})
EVENTS = b"".join(b"id: %d\ndata: part %d\n\n" % (n, n) for n in range(1, 4))


@dataclass
class SimulatedNode:
    """Sends each call to one endpoint, once, and fails those that are broken off."""

    gateway: Gateway | None = None
    ended: list[AttemptEnded] = field(default_factory=list)

    def handle(self, event):
        loop = asyncio.get_running_loop()
        if isinstance(event, CallArrived):
            action = Dispatch(event.call_id, "e", ADDRESS, float("inf"))
            loop.call_soon(self.gateway.dispatch, action)
        elif isinstance(event, AttemptEnded):
            self.ended.append(event)
            if event.result is CallResult.BROKEN:
                error = OutcomeUnknownError("broken", "repeat the request", 502)
                loop.call_soon(self.gateway.fail, FailCall(event.call_id, error))


def request(path, version):
    body = CHAT_BODY if path == "/chat" else b""
    lines = [
        f"POST {path} HTTP/{version}",
        "host: h",
        f"authorization: Bearer {KEY}",
        f"idempotency-key: {uuid.UUID(int=(7 << 76) | (2 << 62))}",
        f"content-length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def send_call(path, version, attempts, is_stream):
    """Send one call; return its caller, the node and the counts of invariants."""
    turns = iter(attempts)

    async def answer(conn, received):
        broken = next(turns)
        first = int(received.headers.get("last-event-id", 0))
        body = EVENTS.split(b"\n\n", first)[-1]
        if path == "/chat":
            body += DONE_EVENT
        headers = "Content-Type: text/event-stream\r\n" if is_stream else ""
        await broken.send(conn, f"HTTP/1.1 200 X\r\n{headers}", body)

    async def main(loop):
        worker = Worker("e", "p", ADDRESS, answer)
        loop.servers["10.0.1.1", 80] = lambda: WorkerConn(worker)
        node, invariants = SimulatedNode(), InvariantCounts()
        clock = SimpleNamespace(now=loop.time)
        gateway = Gateway(LIMITS, node.handle, clock, Metrics(), invariants)
        node.gateway = gateway
        board = SimpleNamespace(tables=STATE, incarnation=1, counters=Counter())
        api = CallerApi(board, LIMITS, gateway)
        listener = HttpListener(api.serve, api.reject, lambda exc: None)
        await listener.start("10.0.0.1", 80)
        _, caller = await loop.create_connection(Caller, "10.0.0.1", 80)
        caller.transport.write(request(path, version))
        await caller.answer()
        await asyncio.sleep(1.0)
        return caller, node, invariants

    return run_virtual(main)


@settings(derandomize=True, database=None, deadline=None, max_examples=200)
@given(
    path=st.sampled_from(["/chat", "/look", "/book"]),
    version=st.sampled_from(["1.1", "1.0"]),
    attempts=st.tuples(*[broken_responses()] * 3),
    is_stream=st.booleans(),
)
def test_responses_cut_anywhere_are_whole_or_visibly_broken_off(
    path, version, attempts, is_stream
):
    is_stream = is_stream or path == "/chat"
    caller, node, invariants = send_call(path, version, attempts, is_stream)
    assert invariants.violated[Invariant.WHOLE_ANSWER] == 0
    if caller.status != 200 or not caller.is_complete:
        return
    body = body_of(caller)
    recorded = node.ended[-1]
    if path == "/book":
        assert recorded.body == body
    if path == "/chat":
        assert body.endswith((DONE_EVENT, ERROR_EVENT))
        assert recorded.result is (
            CallResult.OK if body.endswith(DONE_EVENT) else CallResult.CUT
        )
    else:
        first = attempts[0]
        assert body == EVENTS or (first.missing and first.looks_whole)
        assert EVENTS.startswith(body)
        assert not is_stream or body.endswith(b"\n\n")
    ids = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
    if is_stream:
        assert ids == [b"id: %d" % n for n in range(1, len(ids) + 1)]
        assert len(ids) == 3 or path != "/chat" or body.endswith(ERROR_EVENT)
