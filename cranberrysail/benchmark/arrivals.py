"""Arrivals, drawn from a sheet or read from a file."""

import random
from collections.abc import Iterable
from pathlib import Path

import msgspec

from cranberrysail.benchmark.sheet import CallSheet, Sheet
from cranberrysail.errors import ConfigError

__all__ = ["Arrival", "draw", "read_arrivals", "write_arrivals"]

# Subjects near the first are asked for more often, as on the users' sheets.
SKEW = 1.3
# Sizes spread by this factor around their mean, at one standard deviation.
SIZE_SPREAD = 0.7


class Arrival(msgspec.Struct, frozen=True):
    """A call that arrives.

    Attributes:
      kind: Name of its kind.
      subject: What its calls share a prompt on.
      shared: Tokens of the shared part.
      own: Tokens of its own.
      tokens: Tokens of its answer.
    """

    at_s: float
    kind: str
    subject: int
    shared: int
    own: int
    tokens: int

    @property
    def prompt(self) -> str:
        """Return the name of its shared part."""
        return f"{self.kind}-{self.subject}"


def draw(sheet: Sheet, rate: float, seed: int) -> list[Arrival]:
    """Return arrivals in order of time.

    Args:
      sheet: Kinds of calls and bursts.
      rate: Multiple of the sheet's rates.
      seed: Seed of all randomness.
    """
    rng = random.Random(seed)
    found: list[Arrival] = []
    for kind in sheet.calls:
        sizes = [_size(rng, kind.shared) for _ in range(kind.subjects)]
        found += _draw_kind(sheet, kind, rate, sizes, rng)
    return sorted(found, key=lambda a: a.at_s)


def _draw_kind(
    sheet: Sheet, kind: CallSheet, rate: float, sizes: list[int], rng: random.Random
) -> Iterable[Arrival]:
    most = max([sheet.times(burst.from_s) for burst in sheet.bursts], default=1.0)
    most = max(most, 1.0)
    at_s = 0.0
    while True:
        at_s += rng.expovariate(kind.rate * rate * most)
        if at_s >= sheet.play_s:
            return
        if rng.random() * most > sheet.times(at_s):
            continue
        subject = int(kind.subjects * rng.random() ** SKEW)
        if rng.random() < sheet.hot_share(kind.name, at_s):
            subject = 0
        tokens = _size(rng, kind.events) * sheet.engines.event_tokens
        own = _size(rng, kind.own)
        yield Arrival(round(at_s, 6), kind.name, subject, sizes[subject], own, tokens)


def _size(rng: random.Random, mean: float) -> int:
    """Return a size whose mean is as given, heavy at its upper end."""
    if mean <= 0:
        return 0
    drawn = mean * rng.lognormvariate(-(SIZE_SPREAD**2) / 2, SIZE_SPREAD)
    return max(1, round(drawn))


def write_arrivals(path: Path, arrivals: list[Arrival]) -> None:
    """Write arrivals as JSON lines."""
    path.write_bytes(b"".join(msgspec.json.encode(a) + b"\n" for a in arrivals))


def read_arrivals(path: Path, sheet: Sheet) -> list[Arrival]:
    """Return recorded arrivals, in order of time.

    Raises:
      ConfigError: If a line is not an arrival of a kind that the sheet names.
    """
    found = []
    for number, line in enumerate(path.read_bytes().splitlines(), 1):
        try:
            arrival = msgspec.json.decode(line, type=Arrival)
        except msgspec.MsgspecError as exc:
            raise ConfigError(str(path), [f"line {number}: {exc}; correct it"]) from exc
        if sheet.kind(arrival.kind) is None:
            known = ", ".join(call.name for call in sheet.calls)
            fault = f"line {number}: the sheet has no {arrival.kind!r}; use {known}"
            raise ConfigError(str(path), [fault])
        found.append(arrival)
    return sorted(found, key=lambda a: a.at_s)
