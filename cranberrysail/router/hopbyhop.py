"""Headers that speak of one connection and are not passed on (RFC 9110, 7.6.1)."""

__all__ = ["HOP_BY_HOP", "end_to_end", "listed"]

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def listed(headers: Headers) -> frozenset[bytes]:
    """Return the names that the Connection headers list, in lower case."""
    values = [value for name, value in headers if name == b"connection"]
    return frozenset(t.strip().lower() for v in values for t in v.split(b","))


def end_to_end(
    headers: Headers, kept: frozenset[bytes] = frozenset()
) -> list[tuple[bytes, bytes]]:
    """Return the headers that are passed on.

    Args:
      headers: Headers in order, names in lower case.
      kept: Names that a Connection header cannot take away.
    """
    dropped = HOP_BY_HOP | (listed(headers) - kept)
    return [item for item in headers if item[0] not in dropped]
