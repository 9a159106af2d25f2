"""Responses to callers end as whole or visibly broken off, also over HTTP/1.0."""

import asyncio
import contextlib
import socket
import subprocess
import sys

import pytest

from cranberrysail.router.httplistener import HttpListener

HTTP_1_0 = b"GET / HTTP/1.0\r\nhost: h\r\n\r\n"
HTTP_1_1 = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def exchange(handler, request):
    """Send a request over a real connection; read until its end.

    Returns what was received, whether the connection ended with a reset, and the
    errors of handlers.
    """

    async def main():
        errors = []
        listener = HttpListener(handler, lambda s, c: ([], c.encode()), errors.append)
        port = await listener.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request)
        received, reset = bytearray(), False
        try:
            async with asyncio.timeout(5):
                while data := await reader.read(4096):
                    received += data
        except ConnectionResetError:
            reset = True
        writer.close()
        listener.stop_listening()
        return bytes(received), reset, errors

    return asyncio.run(main())


async def send_whole(request, conn):
    conn.start_response(200, [])
    await conn.write(b"half")
    await asyncio.sleep(0.05)
    await conn.write(b"half")
    conn.end_response()


async def abort_midway(request, conn):
    conn.start_response(200, [])
    await conn.write(b"half")
    await asyncio.sleep(0.05)
    conn.abort()


async def fail_midway(request, conn):
    conn.start_response(200, [])
    await conn.write(b"half")
    await asyncio.sleep(0.05)
    raise RuntimeError("a fault of the handler")


async def return_midway(request, conn):
    conn.start_response(200, [])
    await conn.write(b"half")
    await asyncio.sleep(0.05)


INTERRUPTED = pytest.mark.parametrize(
    "handler", [abort_midway, fail_midway, return_midway]
)


@INTERRUPTED
def test_interrupted_response_never_looks_complete_to_an_http_1_0_caller(handler):
    received, reset, _ = exchange(handler, HTTP_1_0)
    assert b"content-length" not in received
    assert reset


def test_response_to_an_http_1_0_caller_that_left_is_no_error():
    async def respond_late(request, conn):
        conn.close()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(1)
        conn.start_response(200, [])

    received, _, errors = exchange(respond_late, HTTP_1_0)
    assert (received, errors) == (b"", [])


def test_whole_response_to_an_http_1_0_caller_ends_without_a_reset():
    received, reset, errors = exchange(send_whole, HTTP_1_0)
    assert received.endswith(b"\r\n\r\nhalfhalf")
    assert (reset, errors) == (False, [])


LISTENER_SCRIPT = """
import asyncio
from cranberrysail.router.httplistener import HttpListener

async def serve(request, conn):
    conn.start_response(200, [])
    await conn.write(b"half")
    await asyncio.sleep(60)

async def main():
    listener = HttpListener(serve, lambda status, code: ([], b""), print)
    print(await listener.start("127.0.0.1", 0), flush=True)
    await asyncio.sleep(60)

asyncio.run(main())
"""


def test_response_of_a_killed_router_never_looks_complete_to_an_http_1_0_caller():
    command = [sys.executable, "-c", LISTENER_SCRIPT]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        port = int(process.stdout.readline())
        with socket.create_connection(("127.0.0.1", port), timeout=5) as caller:
            caller.sendall(HTTP_1_0)
            received = b""
            while not received.endswith(b"half"):
                received += caller.recv(4096)
            process.kill()
            with pytest.raises(ConnectionResetError):
                caller.recv(4096)


@INTERRUPTED
def test_interrupted_chunked_response_is_followed_by_nothing(handler):
    received, _, _ = exchange(handler, HTTP_1_1 * 2)
    assert received.count(b"HTTP/1.1 200") == 1
    assert not received.endswith(LAST_CHUNK)


def test_response_inside_a_response_is_an_error_and_not_sent():
    async def answer_twice(request, conn):
        conn.start_response(200, [])
        await conn.write(b"half")
        conn.send_response(404, [], b"other")

    received, _, errors = exchange(answer_twice, HTTP_1_1)
    assert b"other" not in received
    assert not received.endswith(LAST_CHUNK)
    assert len(errors) == 1


def test_pipelined_request_of_another_version_does_not_change_the_framing():
    received, _, _ = exchange(send_whole, HTTP_1_1 + HTTP_1_0)
    first, _, second = received.partition(LAST_CHUNK)
    assert first.endswith(b"4\r\nhalf\r\n4\r\nhalf\r\n")
    assert second.endswith(b"\r\n\r\nhalfhalf")
