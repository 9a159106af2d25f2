"""Relays of endpoints' streams to callers, in virtual time."""

import pytest

from cranberrysail.endpoints.upstream import UpstreamRequest, open_call
from cranberrysail.errors import UpstreamError
from cranberrysail.front.relay import DONE_EVENT, ERROR_EVENT, EventRelay, PlainRelay
from tests.router.scriptedserver import Script, ScriptedServer
from tests.router.virtualloop import run_virtual

IDLE_S = 5.0
EVENT = b"id: 1\ndata: part 1\n\n"


def relay_body(body, make_relay, framing=b""):
    """Relay one response; return what is relayed, and whether it counts as complete."""

    async def main(loop):
        response = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n" + body
        script = Script([response], "close")
        loop.servers["10.0.1.1", 80] = lambda: ScriptedServer([script])
        call = await open_call("10.0.1.1:80", 1.0)
        call.write(UpstreamRequest("POST", "/", ()), "10.0.1.1:80")
        await call.wait_for_response()
        finished = []
        relay = make_relay(call, IDLE_S, finished.append)
        return b"".join([part async for part in relay]), finished

    return run_virtual(main)


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
    async def main(loop):
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
        loop.servers["10.0.1.1", 80] = lambda: ScriptedServer([Script([response])])
        call = await open_call("10.0.1.1:80", 1.0)
        call.write(UpstreamRequest("POST", "/", ()), "10.0.1.1:80")
        await call.wait_for_response()
        relay = PlainRelay(call, IDLE_S, lambda complete: None)
        loop.call_later(0.5, relay.finish, False)
        return [part async for part in relay]

    with pytest.raises(UpstreamError):
        run_virtual(main)


EVENT_STREAM = b"content-type: text/event-stream\r\n"


def read_whole(body, framing=b""):
    """Read a response that is recorded before it is sent to its caller."""

    async def main(loop):
        response = b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n" + body
        script = Script([response], "close")
        loop.servers["10.0.1.1", 80] = lambda: ScriptedServer([script])
        call = await open_call("10.0.1.1:80", 1.0)
        call.write(UpstreamRequest("POST", "/", ()), "10.0.1.1:80")
        await call.wait_for_response()
        return await call.read_all(1024)

    return run_virtual(main)


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
