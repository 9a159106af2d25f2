"""Which response heads are valid, and how the end of a body is found.

Source: RFC 9112, sections 4 and 6.3.
"""

from enum import StrEnum

__all__ = [
    "BODILESS_STATUSES",
    "FRAMING_HEADERS",
    "MAX_OVERHEAD_BYTES",
    "BodyFraming",
    "InvalidResponseError",
    "MessageTooLongError",
    "OverheadMeter",
    "UnsupportedCodingError",
    "check_status_line",
    "is_interim",
    "response_framing",
]

CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
FRAMING_HEADERS = frozenset((CONTENT_LENGTH, TRANSFER_ENCODING))
# Responses with these statuses have no body (RFC 9110, section 6.4.1).
BODILESS_STATUSES = frozenset((204, 304))
# Statuses of responses (RFC 9110, section 15). Others, such as 000 and 600, are sent by
# endpoints that fail, and callers do not know what they mean. The parser accepts any
# three digits.
STATUSES = range(100, 600)
INTERIM_STATUSES = range(100, 200)
# The parser accepts HTTP/0.9, which has no status line, and HTTP/2.0, too.
HTTP_VERSIONS = frozenset(("1.0", "1.1"))

# Limit on the bytes of a message besides its body: head, interim responses, lines of
# chunks, trailers, and empty lines before it.
MAX_OVERHEAD_BYTES = 128 * 1024
# Further bytes of overhead allowed for each byte of the body; a chunk of a single byte
# has five.
OVERHEAD_PER_BODY_BYTE = 8


class MessageTooLongError(ValueError):
    """A message has more bytes besides its body than it may have."""

    def __init__(self, size: int, max_bytes: int) -> None:
        super().__init__(
            f"{size} bytes besides the body exceed the limit of {max_bytes}"
        )


class OverheadMeter:
    """Counts the bytes of one message that are not part of its body.

    Parsers accept any number of them, and a message of which no end is received would
    be read for as long as its sender sends.
    """

    def __init__(self, max_bytes: int = MAX_OVERHEAD_BYTES) -> None:
        """Create a meter for a message of which nothing was received.

        Args:
          max_bytes: Limit, besides what each byte of the body allows.
        """
        self._max_bytes = max_bytes
        self._received = 0
        self._body = 0

    def add_received(self, size: int) -> None:
        """Count bytes that were received, of whatever kind."""
        self._received += size

    def add_body(self, size: int) -> None:
        """Count bytes that turned out to be part of a body."""
        self._body += size

    def check(self) -> None:
        """Check the limit.

        Raises:
          MessageTooLongError: If it is exceeded.
        """
        overhead = self._received - self._body
        if overhead > self._max_bytes + OVERHEAD_PER_BODY_BYTE * self._body:
            raise MessageTooLongError(overhead, self._max_bytes)


class BodyFraming(StrEnum):
    """What delimits a response body.

    Attributes:
      NONE: There is no body, as in a response to HEAD.
      LENGTH: The Content-Length header.
      CHUNKED: The last chunk.
      CLOSE: The end of the connection.
    """

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class InvalidResponseError(ValueError):
    """What was received is no response, so its sender has failed."""


class UnsupportedCodingError(InvalidResponseError):
    """A response has a transfer coding besides chunked, which was not asked for."""

    def __init__(self, coding: bytes) -> None:
        super().__init__(f"unsupported transfer coding {coding.decode('latin-1')!r}")


def check_status_line(status: int, http_version: str) -> None:
    """Check that a status line is one of a response.

    Args:
      status: Status, of three digits.
      http_version: Version, such as ``1.1``.

    Raises:
      InvalidResponseError: If it is not.
    """
    if http_version not in HTTP_VERSIONS:
        raise InvalidResponseError(f"unsupported version HTTP/{http_version}")
    if status not in STATUSES:
        raise InvalidResponseError(f"invalid status {status:03}")


def is_interim(status: int) -> bool:
    """Return whether a response with this status is followed by another one."""
    return status in INTERIM_STATUSES


def response_framing(
    status: int, headers: list[tuple[bytes, bytes]], bodiless: bool
) -> BodyFraming:
    """Return what delimits the body of a response.

    Args:
      status: Status of the response.
      headers: Its headers, names in lower case.
      bodiless: True if the request was one whose response has no body, as HEAD.

    Raises:
      UnsupportedCodingError: If its transfer coding is not chunked alone.
    """
    if bodiless or status in BODILESS_STATUSES:
        return BodyFraming.NONE
    coding = b", ".join(v for name, v in headers if name == TRANSFER_ENCODING)
    if coding and coding.strip().lower() != b"chunked":
        raise UnsupportedCodingError(coding)
    if coding:
        return BodyFraming.CHUNKED
    if any(name == CONTENT_LENGTH for name, _ in headers):
        return BodyFraming.LENGTH
    return BodyFraming.CLOSE
