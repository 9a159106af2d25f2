"""Usual durations of responses, against which those of a new version are judged."""

from dataclasses import dataclass, field
from enum import Enum

__all__ = ["Duration", "ResponseTimes"]

# Weight of a new sample in a mean.
SAMPLE_WEIGHT = 0.1
# A mean of fewer samples says too little.
MIN_SAMPLES = 3
# Longer samples count as this multiple of the mean, so that a few do not raise it much.
MAX_SAMPLE_RATIO = 3.0


class Duration(Enum):
    """What is measured, with the limits from which on it is slow.

    A host that others use, too, slows its endpoints 2.5 times for a while, and a mean
    includes such times. The first event of a stream may have to wait for the prefill of
    a prompt that other endpoints have in their caches, and for another one before it:
    0.18 s each for 12,000 tokens at 66 per ms.

    Attributes:
      RESPONSE: Time from sending a request to its response, other than a stream.
      FIRST_EVENT: Time from sending a request to the first data of a stream.
      INTERVAL: Mean time between the events of a stream.
    """

    RESPONSE = (2.5, 0.02)
    FIRST_EVENT = (4.0, 0.4)
    INTERVAL = (2.5, 0.002)

    def slow_above_s(self, mean_s: float) -> float:
        """Return the duration above which a response is slow."""
        ratio, allowance_s = self.value
        return ratio * mean_s + allowance_s


@dataclass(slots=True)
class _Mean:
    samples: int = 0
    seconds: float = 0.0


@dataclass
class ResponseTimes:
    """Moving averages by kind of duration, service and route."""

    _means: dict[tuple[Duration, str, str], _Mean] = field(default_factory=dict)

    def add(self, what: Duration, service: str, route: str, seconds: float) -> None:
        """Add the duration of a response of an endpoint in regular service."""
        mean = self._means.setdefault((what, service, route), _Mean())
        mean.samples += 1
        if mean.samples > 1:
            seconds = min(seconds, MAX_SAMPLE_RATIO * mean.seconds)
        weight = max(SAMPLE_WEIGHT, 1 / mean.samples)
        mean.seconds += weight * (seconds - mean.seconds)

    def is_slow(
        self, what: Duration, service: str, route: str, seconds: float
    ) -> bool | None:
        """Return whether a duration is unusually long; None if not known."""
        mean = self._means.get((what, service, route))
        if mean is None or mean.samples < MIN_SAMPLES:
            return None
        return seconds > what.slow_above_s(mean.seconds)
