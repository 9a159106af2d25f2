"""Values of standard HTTP headers."""

import re
from collections.abc import Iterable

__all__ = ["parse_idle_timeout_s", "parse_number", "parse_pause_s"]

# Longer numbers are implausible and treated as invalid.
MAX_DIGITS = 12
# Seconds, also with a fraction. RFC 9110 allows whole seconds, and dates, which the
# platform does not send.
PAUSE_SECONDS = re.compile(rb"\d{1,9}(\.\d+)?")
# Longer pauses are cut to this.
MAX_PAUSE_S = 3600.0


def parse_number(value: bytes) -> int | None:
    """Parse a decimal number; return None if it is invalid or too long."""
    value = value.strip()
    return int(value) if value.isdigit() and len(value) <= MAX_DIGITS else None


def parse_pause_s(values: Iterable[bytes]) -> float:
    """Return the longest pause that Retry-After headers ask for.

    Values that are no seconds, such as dates and negative numbers, are passed over (RFC
    9110, section 10.2.3); of several, which the RFC does not allow, the longest counts.
    """
    stripped = [value.strip() for value in values]
    seconds = [float(value) for value in stripped if PAUSE_SECONDS.fullmatch(value)]
    return min(max(seconds, default=0.0), MAX_PAUSE_S)


def parse_idle_timeout_s(value: bytes) -> float:
    """Return the time-out of a Keep-Alive header, or 0 if it has none."""
    for item in value.split(b","):
        name, _, number = item.strip().partition(b"=")
        if name.lower() == b"timeout":
            return float(parse_number(number) or 0)
    return 0.0
