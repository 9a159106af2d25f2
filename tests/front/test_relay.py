"""Relays of endpoints' streams to callers, in virtual time."""

import asyncio

import pytest

from cranberrysail.endpoints.upstream import UpstreamRequest, open_call
from cranberrysail.errors import UpstreamError
from cranberrysail.front.relay import DONE_EVENT, ERROR_EVENT, EventRelay, PlainRelay
from tests.router.scriptedserver import ADDRESS, Script, ScriptedServer
from tests.router.virtualloop import run_virtual

IDLE_S = 5.0
EVENT = b"id: 1\ndata: part 1\n\n"
EVENT_STREAM = b"content-type: text/event-stream\r\n"


def run_call(response, use, end="close"):
    """Call an endpoint that sends a response, and use the call once it has begun."""

    async def main(loop):
        script = Script([response], end)
        loop.servers["10.0.1.1", 80] = lambda: ScriptedServer([script])
        call = await open_call(ADDRESS, 1.0)
        call.write(UpstreamRequest("POST", "/", ()), ADDRESS)
        await call.wait_for_response()
        return await use(call)

    return run_virtual(main)


def response(body, headers=b""):
    return b"HTTP/1.1 200 OK\r\n" + headers + b"\r\n" + body


def relay_body(body, make_relay, headers=b""):
    """Relay one response; return what is relayed, and whether it counts as complete."""

    async def use(call):
        finished = []
        relay = make_relay(call, IDLE_S, finished.append)
        return b"".join([part async for part in relay]), finished

    return run_call(response(body, headers), use)


def read_whole(body, headers):
    """Read a response that is recorded before it is sent to its caller."""
    return run_call(response(body, headers), lambda call: call.read_all(1024))


def event_relay(call, idle_s, finish):
    async def resume(event_id):
        raise UpstreamError("not resumed", sent=True)

    return EventRelay(call, idle_s, finish, resume)


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"], ids=["lf", "crlf"])
def test_stream_that_ends_with_the_last_event_is_complete(line_end):
    stream = (EVENT + DONE_EVENT).replace(b"\n", line_end)
    assert relay_body(stream, event_relay) == (stream, [True])


def test_stream_that_ends_before_the_last_event_ends_with_an_error():
    relayed, finished = relay_body(EVENT + b"data: [DO", event_relay)
    assert relayed == EVENT + ERROR_EVENT
    assert finished == [False]


def test_plain_response_delimited_by_close_is_complete():
    assert relay_body(b"fine", PlainRelay) == (b"fine", [True])


def test_relay_that_is_finished_early_does_not_end_as_complete():
    async def use(call):
        relay = PlainRelay(call, IDLE_S, lambda complete: None)
        asyncio.get_running_loop().call_later(0.5, relay.finish, False)
        return [part async for part in relay]

    with pytest.raises(UpstreamError):
        run_call(response(b"half", b"content-length: 9\r\n"), use, end="")


@pytest.mark.parametrize("body", [EVENT + b"id: 2\nda", b""])
def test_event_stream_broken_off_on_a_plain_route_is_not_relayed_as_complete(body):
    with pytest.raises(UpstreamError):
        relay_body(body, PlainRelay, EVENT_STREAM)


@pytest.mark.parametrize("body", [EVENT + b"id: 2\nda", b""])
def test_event_stream_that_is_broken_off_is_not_recorded(body):
    with pytest.raises(UpstreamError):
        read_whole(body, EVENT_STREAM)


def test_whole_event_stream_on_a_plain_route_is_relayed_and_recorded():
    assert relay_body(EVENT, PlainRelay, EVENT_STREAM) == (EVENT, [True])
    assert read_whole(EVENT, EVENT_STREAM) == EVENT


def test_compressed_event_stream_is_relayed_as_it_is():
    headers = EVENT_STREAM + b"content-encoding: gzip\r\n"
    assert relay_body(b"\x1f\x8bpacked", PlainRelay, headers)[1] == [True]
