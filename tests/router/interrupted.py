"""Responses of endpoints that end before they should, for property tests."""

import asyncio
from dataclasses import dataclass, replace

from hypothesis import strategies as st

__all__ = ["CHUNKED", "Broken", "body_of", "broken_responses", "chunk"]

CHUNKED = "Transfer-Encoding: chunked\r\n"
LENGTH = "Content-Length: {}\r\n"


def chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


@dataclass(frozen=True)
class Broken:
    """How an endpoint's response ends before it should.

    Attributes:
      framing: Header line by which the body is delimited, empty for none.
      missing: Bytes of the encoded body that are not sent; 0 for a whole response.
      reset: True if the connection ends with a reset.
    """

    framing: str
    missing: int
    reset: bool

    @property
    def looks_whole(self) -> bool:
        """Return whether nothing of the transport shows that the body is cut."""
        return not self.framing and not self.reset

    def part_of(self, body: bytes) -> bytes:
        """Return what is sent of a body, with its framing."""
        encoded = body
        if self.framing == CHUNKED:
            # A chunk without data would be the last one.
            encoded = (chunk(body) if body else b"") + b"0\r\n\r\n"
        return encoded[: max(0, len(encoded) - self.missing)]

    def cuts(self, body: bytes) -> bool:
        """Return whether anything of a body is not sent."""
        return self.part_of(body) != replace(self, missing=0).part_of(body)

    async def send(self, conn, head: str, body: bytes) -> None:
        """Send a response as far as it comes, and end the connection.

        Args:
          conn: The server side of a connection, with its transport.
          head: Status line and headers, each with its line end.
          body: Whole body, without framing.
        """
        head += self.framing.format(len(body)) + "\r\n"
        conn.transport.write(head.encode() + self.part_of(body))
        await asyncio.sleep(0.05)
        if self.reset:
            conn.transport.reset()
        else:
            conn.transport.close()


def broken_responses() -> st.SearchStrategy[Broken]:
    """Return a strategy for responses that are whole or cut anywhere."""
    return st.builds(
        Broken,
        st.sampled_from(["", CHUNKED, LENGTH]),
        st.integers(0, 70),
        st.booleans(),
    )


def body_of(caller) -> bytes:
    """Return the body that a caller received, without chunk framing."""
    head, _, body = caller.data.partition(b"\r\n\r\n")
    if b"transfer-encoding: chunked" not in head:
        return body
    parts = []
    while body and not body.startswith(b"0\r\n"):
        size, _, body = body.partition(b"\r\n")
        parts.append(body[: int(size, 16)])
        body = body[int(size, 16) + 2 :]
    return b"".join(parts)
