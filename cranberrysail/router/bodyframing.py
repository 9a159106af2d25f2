"""How the end of an HTTP response body is found (RFC 9112, section 6.3)."""

from enum import StrEnum

__all__ = ["FRAMING_HEADERS", "BodyFraming", "response_framing"]

FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))

BODILESS_STATUSES = frozenset((204, 304))


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


def response_framing(
    status: int, header_names: frozenset[bytes], bodiless: bool
) -> BodyFraming:
    """Return what delimits the body of a response.

    Args:
      status: Status of the response.
      header_names: Names of its headers, in lower case.
      bodiless: True if the request was one whose response has no body, as HEAD.
    """
    if bodiless or status in BODILESS_STATUSES:
        return BodyFraming.NONE
    if b"transfer-encoding" in header_names:
        return BodyFraming.CHUNKED
    if b"content-length" in header_names:
        return BodyFraming.LENGTH
    return BodyFraming.CLOSE
