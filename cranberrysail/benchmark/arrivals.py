"""Arrivals of calls, generated at random or read from a file."""

import random
from collections.abc import Iterable
from pathlib import Path

import msgspec

from cranberrysail.benchmark.config import CallProfile, SimulationConfig
from cranberrysail.errors import ConfigError

__all__ = ["Arrival", "generate_arrivals", "read_arrivals", "write_arrivals"]

# Exponent applied to the uniform random number that selects a subject. Above 1,
# subjects with low numbers are more frequent, as in the users' workloads.
SUBJECT_SKEW = 1.3
# Calls that arrive together are spread evenly over this time.
CLUMP_SPREAD_S = 0.05
# Standard deviation of the natural logarithm of prompt and response sizes.
SIZE_SIGMA = 0.7


class Arrival(msgspec.Struct, frozen=True):
    """The arrival of a call.

    Attributes:
      at_s: Time since the start of the simulation.
      kind: Name of its call profile.
      subject: Number of the subject, such as a document; calls of one kind and subject
        share a prompt prefix.
      shared: Prompt tokens in the shared prefix.
      own: Prompt tokens after the shared prefix.
      tokens: Tokens of the response.
    """

    at_s: float
    kind: str
    subject: int
    shared: int
    own: int
    tokens: int

    @property
    def prefix_id(self) -> str:
        """Return the identifier of the shared prefix."""
        return f"{self.kind}-{self.subject}"


def generate_arrivals(
    config: SimulationConfig, rate_factor: float, seed: int
) -> list[Arrival]:
    """Generate random arrivals, and return them in order of time.

    Args:
      config: Configuration with the call profiles, bursts and hot subjects.
      rate_factor: Factor on the configured arrival rates.
      seed: Random seed.
    """
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    for profile in config.calls:
        prefix_sizes = [
            _draw_size(rng, profile.shared) for _ in range(profile.subjects)
        ]
        arrivals += _generate_profile_arrivals(
            config, profile, rate_factor, prefix_sizes, rng
        )
    return sorted(arrivals, key=lambda a: a.at_s)


def _generate_profile_arrivals(
    config: SimulationConfig,
    profile: CallProfile,
    rate_factor: float,
    prefix_sizes: list[int],
    rng: random.Random,
) -> Iterable[Arrival]:
    """Generate the arrivals of one call profile.

    Arrivals are a Poisson process whose rate varies over time. They are drawn at the
    maximum rate, and each is kept with the probability current rate / maximum rate
    (thinning).
    """
    max_factor = max(
        [config.rate_factor(burst.from_s, profile.name) for burst in config.bursts],
        default=1.0,
    )
    max_factor = max(max_factor, 1.0)
    at_s = 0.0
    while True:
        at_s += rng.expovariate(profile.rate * rate_factor * max_factor / config.clump)
        if at_s >= config.play_s:
            return
        if rng.random() * max_factor > config.rate_factor(at_s, profile.name):
            continue
        yield _generate_arrival(config, profile, prefix_sizes, rng, at_s)
        # The number of calls that arrive together has a geometric distribution.
        while config.clump > 1 and rng.random() < 1 - 1 / config.clump:
            together_s = at_s + rng.random() * CLUMP_SPREAD_S
            yield _generate_arrival(config, profile, prefix_sizes, rng, together_s)


def _generate_arrival(
    config: SimulationConfig,
    profile: CallProfile,
    prefix_sizes: list[int],
    rng: random.Random,
    at_s: float,
) -> Arrival:
    subject = int(profile.subjects * rng.random() ** SUBJECT_SKEW)
    if rng.random() < config.hot_fraction(profile.name, at_s):
        subject = 0
    tokens = _draw_size(rng, profile.events) * config.engines.event_tokens
    own = _draw_size(rng, profile.own)
    return Arrival(
        round(at_s, 6), profile.name, subject, prefix_sizes[subject], own, tokens
    )


def _draw_size(rng: random.Random, mean: float) -> int:
    """Draw a size from a log-normal distribution with the given mean."""
    if mean <= 0:
        return 0
    size = mean * rng.lognormvariate(-(SIZE_SIGMA**2) / 2, SIZE_SIGMA)
    return max(1, round(size))


def write_arrivals(path: Path, arrivals: list[Arrival]) -> None:
    """Write arrivals to a file, one JSON object per line."""
    path.write_bytes(b"".join(msgspec.json.encode(a) + b"\n" for a in arrivals))


def read_arrivals(path: Path, config: SimulationConfig) -> list[Arrival]:
    """Read recorded arrivals, and return them in order of time.

    Raises:
      ConfigError: If a line is not a valid arrival, or its kind is not configured.
    """
    arrivals = []
    for number, line in enumerate(path.read_bytes().splitlines(), 1):
        try:
            arrival = msgspec.json.decode(line, type=Arrival)
        except msgspec.MsgspecError as exc:
            raise ConfigError(str(path), [f"line {number}: {exc}; correct it"]) from exc
        if config.profile(arrival.kind) is None:
            known = ", ".join(profile.name for profile in config.calls)
            problem = f"line {number}: unknown kind {arrival.kind!r}; use {known}"
            raise ConfigError(str(path), [problem])
        arrivals.append(arrival)
    return sorted(arrivals, key=lambda a: a.at_s)
