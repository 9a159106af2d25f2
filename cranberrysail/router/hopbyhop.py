"""Hop-by-hop headers, which a proxy does not forward (RFC 9110, section 7.6.1)."""

__all__ = ["HOP_BY_HOP", "connection_options", "end_to_end_headers"]

Headers = list[tuple[bytes, bytes]]

# Includes content-length and expect, as the router frames messages and answers
# "100-continue" itself.
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


def connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the header names listed in Connection headers, in lower case."""
    values = [value for name, value in headers if name == b"connection"]
    return frozenset(t.strip().lower() for v in values for t in v.split(b","))


def end_to_end_headers(
    headers: Headers, always_kept: frozenset[bytes] = frozenset()
) -> list[tuple[bytes, bytes]]:
    """Return the headers to forward.

    Args:
      headers: Headers in order, names in lower case.
      always_kept: Names forwarded even if a Connection header lists them.
    """
    dropped = HOP_BY_HOP | (connection_options(headers) - always_kept)
    return [item for item in headers if item[0] not in dropped]
