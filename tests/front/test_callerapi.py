"""Tests of the HTTP interface for callers, in virtual time."""

import asyncio
import hashlib
from collections import Counter
from types import SimpleNamespace

import msgspec
import pytest

from cranberrysail.decisions.tablestate import TableState
from cranberrysail.errors import UpstreamError
from cranberrysail.front.callerapi import CallerApi
from cranberrysail.front.response import Response
from cranberrysail.router.httplistener import HttpListener
from cranberrysail.router.model import CallerLimits
from cranberrysail.settings import LimitSettings
from cranberrysail.tables import Customer, Route
from tests.router.simulatedfleet import Caller
from tests.router.virtualloop import run_virtual

KEY = "guide:s3cret"
LIMITS = LimitSettings(header_bytes=1024, body_bytes=1024, request_s=2.0, keep_s=5.0)
STATE = TableState(
    routes={"look": Route(prefix="/look", pool="plain", methods=("GET", "HEAD"))},
    customers={
        "guide": Customer(keys_sha256=(hashlib.sha256(KEY.encode()).hexdigest(),))
    },
)


class SimulatedRelay:
    """A relay that yields the given chunks, then ends or fails."""

    def __init__(self, chunks, fails=False):
        self.chunks = list(chunks)
        self.fails = fails

    def __aiter__(self):
        return self

    async def __anext__(self):
        await asyncio.sleep(0.1)
        if self.chunks:
            return self.chunks.pop(0)
        if self.fails:
            raise UpstreamError("connection closed", sent=True, started=True)
        raise StopAsyncIteration


class SimulatedGateway:
    """Responds to each call with the result of a function of its request."""

    def __init__(self, respond):
        self.respond = respond
        self.targets = []
        self.cancelled = []

    async def run(self, arrived, request):
        self.targets.append(request.target)
        await asyncio.sleep(0.1)
        return self.respond(request)

    def cancel(self, call):
        self.cancelled.append(call)


def echo_target(request):
    return Response(200, [(b"content-type", b"text/plain")], request.target.encode())


def get(path, method="GET", **headers):
    lines = [f"{method} {path} HTTP/1.1", "Host: h", f"Authorization: Bearer {KEY}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def run(respond, scenario):
    async def main(loop):
        gateway = SimulatedGateway(respond)
        board = SimpleNamespace(tables=STATE, incarnation=1, counters=Counter())
        api = CallerApi(board, LIMITS, gateway)
        failures = []
        listener = HttpListener(api.serve, api.reject, failures.append)
        listener.limits = CallerLimits(
            LIMITS.header_bytes, LIMITS.body_bytes, LIMITS.request_s, LIMITS.keep_s
        )
        gateway.listener, gateway.failures = listener, failures
        await listener.start("10.0.0.1", 80)
        sweep = asyncio.ensure_future(listener.check_timeouts_forever())
        try:
            return await scenario(loop, gateway)
        finally:
            sweep.cancel()

    return run_virtual(main)


async def connect(loop):
    _, caller = await loop.create_connection(Caller, "10.0.0.1", 80)
    return caller


def send(respond, data, duration_s=10.0):
    async def scenario(loop, gateway):
        caller = await connect(loop)
        caller.transport.write(data)
        await asyncio.sleep(duration_s)
        return caller, gateway

    return run(respond, scenario)


def test_pipelined_requests_get_responses_in_order():
    caller, _ = send(echo_target, get("/look/1") + get("/look/2"))
    assert [
        part.partition(b"\r\n\r\n")[2] for part in caller.data.split(b"HTTP/1.1 200")
    ] == [b"", b"/look/1", b"/look/2"]
    ids = {
        line for line in caller.data.split(b"\r\n") if line.startswith(b"x-request-id")
    }
    assert len(ids) == 2


@pytest.mark.parametrize(
    "respond",
    [echo_target, lambda r: Response(200, [], relay=SimulatedRelay([b"never"]))],
)
def test_response_to_a_head_request_has_no_body(respond):
    caller, _ = send(respond, get("/look/1", "HEAD") + get("/look/2", "HEAD"))
    first, second, rest = caller.data.split(b"\r\n\r\n")
    assert first.startswith(b"HTTP/1.1 200")
    assert second.startswith(b"HTTP/1.1 200")
    assert rest == b""


def test_rejected_request_after_a_head_request_gets_a_body():
    async def scenario(loop, gateway):
        caller = await connect(loop)
        for data in (get("/look/1", "HEAD"), b"nonsense\r\n\r\n"):
            caller.transport.write(data)
            await asyncio.sleep(0.5)
        return caller.data

    first, second, body = run(echo_target, scenario).split(b"\r\n\r\n")
    assert first.startswith(b"HTTP/1.1 200")
    assert b"HTTP/1.1 400" in second
    assert msgspec.json.decode(body)["error"]["code"] == "bad_request"


def test_no_content_response_has_no_content_length():
    caller, _ = send(lambda r: Response(204), get("/look/1"))
    assert caller.status == 204
    assert b"content-length" not in caller.data
    assert caller.data.endswith(b"\r\n\r\n")


def test_streamed_body_is_chunked_and_terminated():
    caller, _ = send(
        lambda r: Response(200, relay=SimulatedRelay([b"a", b"bc"])), get("/look/1")
    )
    assert caller.data.endswith(b"1\r\na\r\n2\r\nbc\r\n0\r\n\r\n")


def test_interrupted_stream_is_not_terminated():
    relay = SimulatedRelay([b"a"], fails=True)
    caller, _ = send(lambda r: Response(200, relay=relay), get("/look/1"), 1.0)
    assert caller.closed
    assert not caller.data.endswith(b"0\r\n\r\n")


def test_interrupted_stream_never_looks_complete_to_an_http_1_0_caller():
    data = get("/look/1").replace(b"HTTP/1.1", b"HTTP/1.0")
    whole = SimulatedRelay([b"a"])
    caller, _ = send(lambda r: Response(200, relay=whole), data, 1.0)
    assert caller.data.endswith(b"\r\n\r\na")
    assert caller.is_complete
    cut = SimulatedRelay([b"a"], fails=True)
    caller, _ = send(lambda r: Response(200, relay=cut), data, 1.0)
    assert caller.data.endswith(b"\r\n\r\na")
    assert not caller.is_complete


@pytest.mark.parametrize("after_s", [0.05, 0.25])
def test_call_is_cancelled_when_the_caller_disconnects(after_s):
    async def scenario(loop, gateway):
        caller = await connect(loop)
        caller.transport.write(get("/look/1"))
        await asyncio.sleep(after_s)
        caller.transport.abort()
        await asyncio.sleep(0.5)
        return gateway.cancelled

    chunks = [b"x"] * 100
    assert (
        len(run(lambda r: Response(200, relay=SimulatedRelay(chunks)), scenario)) == 1
    )


@pytest.mark.parametrize(
    ("data", "status", "code"),
    [
        (get("/look/1", X_Long="x" * 2000), 431, "headers_too_large"),
        (get("/look/1", **{"Content-Length": "2000"}), 413, "body_too_large"),
        (b"nonsense\r\n\r\n", 400, "bad_request"),
        (b"GET /look/1 HTTP/1.1\r\nHost: h", 408, "request_timeout"),
        (get("/elsewhere"), 404, "no_route"),
    ],
)
def test_invalid_request_is_not_run(data, status, code):
    caller, gateway = send(echo_target, data)
    head, _, body = caller.data.partition(b"\r\n\r\n")
    assert caller.status == status
    assert msgspec.json.decode(body)["error"]["code"] == code
    assert b"x-outcome: not_run" in head
    assert not gateway.targets


def test_internal_error_is_reported_with_unknown_outcome():
    caller, _ = send(lambda r: 1 / 0, get("/look/1"))
    assert caller.status == 502
    assert b"x-outcome: outcome_unknown" in caller.data
    assert caller.closed


def test_disconnect_during_a_write_is_no_internal_error():
    class ClosingRelay(SimulatedRelay):
        async def __anext__(self):
            for conn in conns:
                conn._transport.close()
            return b"x"

    conns = []

    async def scenario(loop, gateway):
        listener = gateway.listener
        caller = await connect(loop)
        caller.transport.write(get("/look/1"))
        await asyncio.sleep(0.05)
        conns.extend(listener.conns)
        await asyncio.sleep(0.5)
        return gateway.cancelled, gateway.failures

    cancelled, failures = run(lambda r: Response(200, relay=ClosingRelay([])), scenario)
    assert len(cancelled) == 1
    assert failures == []


def test_idle_connection_is_closed():
    caller, _ = send(echo_target, get("/look/1"), 4.0)
    assert not caller.closed
    caller, _ = send(echo_target, get("/look/1"), 7.0)
    assert caller.closed
