"""Endpoints on real sockets that read slowly, and those that are gone."""

import asyncio
import ctypes
import socket
import struct

import pytest

from tests.router.realfleet import head, run_real
from tests.router.simulatedfleet import make_request
from tests.router.test_odd_responses import choose_first

# Socket option that the socket module does not name (socket(7)).
SO_ATTACH_FILTER = 26
EVENT_STREAM = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
# Larger than the receive buffer of an endpoint, so its window closes.
UPLOAD_BYTES = 200_000
EVENTS = 30
EVENT_INTERVAL_S = 0.1
# Data that stay unacknowledged for a second end a connection; the kernel notices that
# at its next retransmission, within another one.
KNOWN_WITHIN_S = 2.0


def event(number):
    data = b"id: %d\ndata: x\n\n" % number
    return b"%x\r\n%b\r\n" % (len(data), data)


async def send_events(endpoint, count):
    for number in range(count):
        endpoint.send(event(number))
        await asyncio.sleep(EVENT_INTERVAL_S)


def go_silent(endpoint):
    """Let the kernel drop all that arrives, so that nothing is acknowledged."""
    drop_all = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))
    program = struct.pack("HL", 1, ctypes.addressof(drop_all))
    endpoint._conn.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def call_endpoint(script, path, upload=UPLOAD_BYTES):
    """Send a request with an upload; return its caller and how long it took."""

    async def scenario(fleet):
        loop = asyncio.get_running_loop()
        fields = {"Cranberrysail_Deadline_Ms": "8000"}
        data = make_request(path, body=b"u" * upload, **fields)
        started_s = loop.time()
        caller = await fleet.call(data, within_s=9.0)
        return caller, loop.time() - started_s

    return run_real([script, script], scenario)


@pytest.mark.parametrize("read_after_s", [1.5, 2.5])
def test_stream_of_an_endpoint_that_reads_the_request_later_is_not_cut(read_after_s):
    """Guards against a peer with a closed window that is taken for one that is gone."""

    async def answer_first(endpoint):
        endpoint.send(head(EVENT_STREAM))
        events = asyncio.ensure_future(send_events(endpoint, EVENTS))
        await asyncio.sleep(read_after_s)
        await endpoint.read_request()
        await events
        endpoint.send(b"0\r\n\r\n")

    caller, _ = call_endpoint(answer_first, "/chat/1")
    assert caller.status == 200
    assert caller.is_complete
    assert caller.data.count(b"data: x") == EVENTS


def test_requests_are_not_cut_after_an_earlier_one_was_read_later():
    """Guards against a kernel that counts on from an earlier closed window."""

    async def answer_all_first(endpoint):
        while not endpoint.ended:
            endpoint.send(head(EVENT_STREAM))
            events = asyncio.ensure_future(send_events(endpoint, 20))
            if b"content-length: 0" not in endpoint.received.lower():
                await asyncio.sleep(1.5)
            await endpoint.read_request()
            await events
            endpoint.received = b""
            endpoint.send(b"0\r\n\r\n")
            await endpoint.read_head()

    async def scenario(fleet):
        fleet._router.selector.choose = choose_first(fleet._router)
        sizes = (UPLOAD_BYTES, 0, UPLOAD_BYTES)
        requests = [make_request("/chat/1", body=b"u" * size) for size in sizes]
        return [(await fleet.call(request)).is_complete for request in requests]

    assert run_real([answer_all_first] * 3, scenario) == [True] * 3


def test_endpoint_that_reads_the_request_slowly_serves_it():
    """Guards against the same for a request that is answered after it was read."""

    async def read_slowly(endpoint):
        for _ in range(3):
            await asyncio.sleep(1.2)
            await endpoint._receive()
        await endpoint.read_request()
        endpoint.send(head(b"Content-Length: 4\r\n") + b"fine")

    caller, _ = call_endpoint(read_slowly, "/book/1")
    assert (caller.status, caller.data[-4:]) == (200, b"fine")


def test_endpoint_that_is_silent_from_the_start_is_left_early():
    """Guards against calls that wait for an endpoint behind a cut link."""

    async def fall_silent(endpoint):
        go_silent(endpoint)
        await asyncio.sleep(8.0)

    caller, elapsed_s = call_endpoint(fall_silent, "/book/1")
    assert caller.status == 502
    assert elapsed_s < KNOWN_WITHIN_S


def test_endpoint_that_falls_silent_after_it_has_read_slowly_is_left_early():
    """Guards against a window that was open in part and hides the same."""

    async def read_and_fall_silent(endpoint):
        for _ in range(2):
            await asyncio.sleep(0.9)
            await endpoint._receive()
        go_silent(endpoint)
        await asyncio.sleep(8.0)

    caller, elapsed_s = call_endpoint(read_and_fall_silent, "/book/1")
    assert caller.status == 502
    assert 1.8 < elapsed_s < 1.8 + KNOWN_WITHIN_S


@pytest.mark.parametrize("after_s", [0.5, 2.2])
def test_endpoint_that_falls_silent_while_its_window_is_closed_is_left_early(after_s):
    """Guards against a closed window that hides that the endpoint is gone."""

    async def fall_silent(endpoint):
        await asyncio.sleep(after_s)
        go_silent(endpoint)
        await asyncio.sleep(8.0)

    caller, elapsed_s = call_endpoint(fall_silent, "/book/1")
    assert caller.status == 502
    assert after_s < elapsed_s < after_s + KNOWN_WITHIN_S
