"""HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass, field

__all__ = ["Message", "ReadError", "read_head", "read_message", "serialize"]


class ReadError(Exception):
    """The connection ended before the message did."""


@dataclass
class Message:
    """A request or a response; header names are in lower case.

    Attributes:
      complete: False while a body is still to be read.
    """

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ")[1])

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a first line and headers.

    Raises:
      ReadError: If the connection ends first.
    """
    try:
        raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError) as exc:
        raise ReadError(repr(exc)) from exc
    lines = raw[:-4].split("\r\n")
    message = Message(lines[0])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        message.headers[name.strip().lower()] = value.strip()
    return message


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with its whole body, by its length or its chunks.

    Raises:
      ReadError: If the connection ends first.
    """
    message = await read_head(reader)
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    break
                message.body += data[:-2]
        else:
            size = int(message.headers.get("content-length", "0"))
            message.body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, OSError) as exc:
        raise ReadError(repr(exc)) from exc
    return message


def serialize(start: str, headers: dict[str, str], body: bytes | None = b"") -> bytes:
    """Return a message; without Content-Length if the body is None."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")
