"""Callers that send what no well-behaved one does, and keep their connections open."""

import asyncio
import contextlib
from collections.abc import Iterator

from tests.processes.fleet import KEY, RouterProcess
from tests.processes.httpmessage import ClosedError, Message, read_message, serialize

__all__ = ["Crowd", "FLOODS", "send_ordinary_request"]

# Size of one write to a connection.
WRITE_BYTES = 128 * 1024
HOST = b"Host: h.example\r\n"
CALL_HEADERS = b"Cranberrysail-Credential: " + KEY.encode() + b"\r\n"
CHUNKED_HEAD = (
    b"POST /book/1 HTTP/1.1\r\n"
    + HOST
    + CALL_HEADERS
    + b"Transfer-Encoding: chunked\r\n\r\n"
)
MAX_BODY_BYTES = 4_194_304
# Chunks of two bytes in each body; 0.6 MB of body and 2.1 MB in all.
SMALL_CHUNKS = 300_000
LARGE_CHUNK_BYTES = 64 * 1024
# The last of 64 chunks, which would complete the largest body, is not sent.
LARGE_CHUNKS = 59
# Lines of a head that stays below the 16,384 bytes of the tables.
LEGAL_HEAD_LINES = 1_400
PIPELINED_HEADS = 24
PIPELINED_REQUESTS = 30_000


def head_over_the_limit() -> Iterator[bytes]:
    """Yield a head with a value above the limit, again and again."""
    for _ in range(40):
        yield b"GET /look/1 HTTP/1.1\r\n" + HOST + b"X: " + b"x" * 200_000 + b"\r\n\r\n"


def lines_without_end() -> Iterator[bytes]:
    """Yield the start of a head, and short lines of it."""
    yield b"GET /look/1 HTTP/1.1\r\n" + HOST
    for _ in range(200):
        yield b"a:b\r\n" * 120


def value_without_end() -> Iterator[bytes]:
    """Yield the start of a head, and a value that does not end."""
    yield b"GET /look/1 HTTP/1.1\r\n" + HOST + b"X: "
    for _ in range(400):
        yield b"x" * 4096


def empty_lines() -> Iterator[bytes]:
    """Yield empty lines before a request."""
    for _ in range(200):
        yield b"\r\n" * 8192


def small_chunks() -> Iterator[bytes]:
    """Yield a body in chunks of two bytes that stops short of its end."""
    yield CHUNKED_HEAD
    for _ in range(SMALL_CHUNKS // 15_000):
        yield b"2\r\nxx\r\n" * 15_000


def large_chunks() -> Iterator[bytes]:
    """Yield a body in large chunks that stops short of its end."""
    yield CHUNKED_HEAD
    for _ in range(LARGE_CHUNKS):
        yield b"%x\r\n%b\r\n" % (LARGE_CHUNK_BYTES, b"x" * LARGE_CHUNK_BYTES)


def legal_head(number: int) -> bytes:
    """Return a request of legal size with as many different lines as fit."""
    attempt = b"Cranberrysail-Attempt-Id: hostile%d\r\n" % number
    lines = b"".join(b"%x:%x\r\n" % (n, n * 3) for n in range(LEGAL_HEAD_LINES))
    return b"GET /look/1 HTTP/1.1\r\n" + HOST + CALL_HEADERS + attempt + lines + b"\r\n"


def legal_heads() -> Iterator[bytes]:
    """Yield pipelined requests whose heads have very many lines."""
    for number in range(PIPELINED_HEADS):
        yield legal_head(number)


def unread_responses() -> Iterator[bytes]:
    """Yield pipelined requests for responses that are not read."""
    request = b"GET /metrics HTTP/1.1\r\n" + HOST + b"\r\n"
    for _ in range(PIPELINED_REQUESTS // 300):
        yield request * 300


def unread_bodies() -> Iterator[bytes]:
    """Yield a call with the largest body, for an endpoint that does not read."""
    attempt = b"Cranberrysail-Attempt-Id: hostile\r\n"
    yield (
        b"POST /book/1 HTTP/1.1\r\n"
        + HOST
        + CALL_HEADERS
        + attempt
        + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
        + bytes(MAX_BODY_BYTES)
    )


# What each caller of a crowd sends, and their number.
FLOODS = {
    "head-over-the-limit": (head_over_the_limit, 40),
    "lines-without-end": (lines_without_end, 40),
    "value-without-end": (value_without_end, 40),
    "empty-lines": (empty_lines, 40),
    "small-chunks": (small_chunks, 16),
    "large-chunks": (large_chunks, 40),
    "legal-heads": (legal_heads, 40),
    "unread-responses": (unread_responses, 24),
    "unread-bodies": (unread_bodies, 40),
    "idle": (lambda: iter(()), 120),
}


class Crowd:
    """Connections that send the same and read nothing."""

    def __init__(self, ip: str, port: int) -> None:
        """Create a crowd that is not connected.

        Args:
          ip: Address of the router.
          port: Port of one of its listeners.
        """
        self._address = (ip, port)
        self._writers: list[asyncio.StreamWriter] = []

    async def send(self, flood, callers: int, at_most_s: float) -> None:
        """Connect and send all, until it is sent, refused or not read any more."""
        for _ in range(callers):
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*self._address, limit=1)
                # Nothing is read; the kernel's buffers fill up.
                reader._transport.pause_reading()
                self._writers.append(writer)
        sends = [self._send_one(writer, flood) for writer in self._writers]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(at_most_s):
                await asyncio.gather(*sends)

    async def _send_one(self, writer: asyncio.StreamWriter, flood) -> None:
        with contextlib.suppress(OSError):
            for data in flood():
                for start in range(0, len(data), WRITE_BYTES):
                    writer.write(data[start : start + WRITE_BYTES])
                    await writer.drain()

    def close(self) -> None:
        """Drop all connections."""
        for writer in self._writers:
            writer.transport.abort()


async def send_ordinary_request(router: RouterProcess) -> Message:
    """Return the response to a call; a refused caller tries again."""
    headers = {
        "Host": "h.example",
        "Cranberrysail-Attempt-Id": "ordinary",
        "Cranberrysail-Credential": KEY,
    }
    request = serialize("POST /chat/1 HTTP/1.1", headers, b"a prompt")
    while True:
        with contextlib.suppress(ClosedError, OSError):
            reader, writer = await asyncio.open_connection(router.ip, router.front)
            try:
                writer.write(request)
                response = await read_message(reader)
            finally:
                writer.transport.abort()
            if response.status != 503:
                return response
        await asyncio.sleep(0.2)
