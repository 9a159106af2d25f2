"""HTTP/1.1 messages over asyncio streams."""

import asyncio
from dataclasses import dataclass, field


class ClosedError(Exception):
    """The connection ended before a whole message was read."""


@dataclass
class Request:
    """A request with its body."""

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass
class Response:
    """A response with its body.

    Attributes:
      whole: False if the connection ended before the body did.
    """

    status: int
    headers: dict[str, str]
    body: bytes = b""
    whole: bool = True


async def _head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]]:
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    except (asyncio.IncompleteReadError, OSError) as exc:
        raise ClosedError(str(exc)) from exc
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read a request, whose body has a length."""
    (method, target, _), headers = await _head(reader)
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError) as exc:
        raise ClosedError(str(exc)) from exc
    return Request(method, target, headers, body)


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read a response, whose body has a length or is chunked."""
    start, headers = await _head(reader)
    found = Response(int(start[1]), headers)
    try:
        if headers.get("transfer-encoding", "").lower() != "chunked":
            size = int(headers.get("content-length", "0"))
            found.body = await reader.readexactly(size)
            return found
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            found.body += data[:-2]
            if not size:
                return found
    except (asyncio.IncompleteReadError, OSError):
        found.whole = False
        return found


def response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a response with a length."""
    head = f"HTTP/1.1 {status} -\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def request(method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return a request with a length."""
    head = f"{method} {target} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return f"{head}\r\n".encode() + body
