"""Responses to callers and operators, buffered or streamed."""

import math
from dataclasses import dataclass, field
from typing import Any

import msgspec

from cranberrysail.endpoints.upstream import OUTCOME_HEADER
from cranberrysail.errors import CallError, UpstreamError
from cranberrysail.front.relay import PlainRelay
from cranberrysail.router.httplistener import HttpServerConn

__all__ = [
    "Headers",
    "Response",
    "error_response",
    "json_response",
    "text_response",
    "write_response",
]

Headers = list[tuple[bytes, bytes]]

JSON_CONTENT_TYPE = (b"content-type", b"application/json")
TEXT_CONTENT_TYPE = (b"content-type", b"text/plain; charset=utf-8")


@dataclass(slots=True)
class Response:
    """A response to a caller or an operator.

    Attributes:
      status: HTTP status code.
      headers: Headers except those of framing, such as Content-Length.
      body: The body; unused if ``relay`` is set.
      relay: Source of a streamed body, or None.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    relay: PlainRelay | None = None


def json_response(data: Any, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(status, [JSON_CONTENT_TYPE], msgspec.json.encode(data))


def text_response(text: str, status: int = 200) -> Response:
    """Return a response with a plain text body."""
    return Response(status, [TEXT_CONTENT_TYPE], text.encode())


def error_response(error: CallError) -> Response:
    """Return the response that reports a call's final error."""
    body = {
        "error": {
            "code": error.code,
            "message": error.message,
            "outcome": error.outcome,
        }
    }
    response = json_response(body, error.status)
    response.headers.append((OUTCOME_HEADER.encode(), error.outcome.encode()))
    if error.retry_after_s is not None:
        seconds = math.ceil(error.retry_after_s)
        response.headers.append((b"retry-after", b"%d" % seconds))
    return response


async def write_response(response: Response, conn: HttpServerConn) -> None:
    """Write a response to a connection.

    If its relay fails, the connection is aborted, so that the caller does not take
    the response for complete.

    Raises:
      CallerDisconnectedError: If the caller has closed the connection.
    """
    if response.relay is None:
        conn.send_response(response.status, response.headers, response.body)
        return
    conn.start_response(response.status, response.headers)
    try:
        async for chunk in response.relay:
            await conn.write(chunk)
    except UpstreamError:
        conn.abort()
        return
    conn.end_response()
