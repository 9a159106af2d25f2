"""Requests that offer another protocol, which is not accepted (RFC 9110, section 7.8).

The parser stops behind the head of such a request, as its body might be in the other
protocol. Another parser reads on from there, as if nothing had been offered.
"""

from typing import Protocol

import httptools

from cranberrysail.router.bodyframing import FRAMING_HEADERS

__all__ = ["BodyParserCallbacks", "RequestCallbacks", "head_without_offer"]


class RequestCallbacks(Protocol):
    """What a parser of requests calls."""

    def on_message_begin(self) -> None:
        """Start a request."""

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""

    def on_headers_complete(self) -> None:
        """Take the end of the head."""

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""

    def on_message_complete(self) -> None:
        """Take the end of the request."""


class BodyParserCallbacks:
    """Callbacks of a parser that goes on behind a head that was already parsed.

    The parser is fed a head that only says how the body is framed, which is not passed
    on.
    """

    def __init__(self, callbacks: RequestCallbacks) -> None:
        """Create callbacks.

        Args:
          callbacks: Called for the body and for all further requests.
        """
        self._callbacks = callbacks
        self._in_known_head = True
        self.on_body = callbacks.on_body
        self.on_message_complete = callbacks.on_message_complete

    def on_message_begin(self) -> None:
        """Pass on the start of a further request."""
        if not self._in_known_head:
            self._callbacks.on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Pass on a part of the target of a further request."""
        if not self._in_known_head:
            self._callbacks.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Pass on a header of a further request, or a trailer field."""
        if not self._in_known_head:
            self._callbacks.on_header(name, value)

    def on_headers_complete(self) -> None:
        """Pass on the end of the head of a further request."""
        if self._in_known_head:
            self._in_known_head = False
            return
        self._callbacks.on_headers_complete()


def head_without_offer(
    headers: list[tuple[bytes, bytes]],
    wants_close: bool,
    parser: httptools.HttpRequestParser,
) -> bytes:
    """Return a head that frames the body as the one that was parsed.

    Args:
      headers: Headers of the request, names in lower case.
      wants_close: True if the connection closes after the response.
      parser: Parser that stopped behind the head.
    """
    lines = [b"POST / HTTP/" + parser.get_http_version().encode()]
    lines += [n + b": " + v for n, v in headers if n in FRAMING_HEADERS]
    lines.append(b"connection: " + (b"close" if wants_close else b"keep-alive"))
    return b"\r\n".join(lines) + b"\r\n\r\n"
