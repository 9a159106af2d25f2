"""Retry times of refused callers: a virtual queue of those that come back, by service.

Callers that are all given the same time come back together and are refused again. Each
refused caller is therefore given a place of its own in the time after the queue of the
service has drained. Each router keeps the places of the callers that it refused, at its
part of the rate at which the service finishes calls.
"""

from dataclasses import dataclass, field

__all__ = ["ReturnSchedule"]

# Fraction of a service's rate that is given to callers that come back; the rest is for
# callers that come for the first time.
RETURN_RATE_SHARE = 0.5
# Part of a caller's longest delay, at its end, over which those without a place are
# spread. Over more of it, more of them come back too early and are refused again.
LAST_PART = 0.2
# Minimum delay. A plain call takes 60 to 90 ms, so capacity is free again after that.
MIN_DELAY_S = 0.1


@dataclass
class ReturnSchedule:
    """The next free place of returning callers, by service."""

    _next_s: dict[str, float] = field(default_factory=dict)

    def delay_s(
        self,
        service: str,
        drain_s: float,
        rate: float,
        max_delay_s: float,
        jitter: float,
        now: float,
    ) -> float:
        """Return the delay after which a refused caller is to come back.

        Args:
          service: Name of the service.
          drain_s: Expected time until the service has capacity again.
          rate: Calls per second that this router's part of the service finishes.
          max_delay_s: Delay that the caller honours at most.
          jitter: Random number from 0 to 1.
          now: Current time in seconds.
        """
        spacing_s = 1.0 / max(rate * RETURN_RATE_SHARE, 0.001)
        earliest_s = now + max(MIN_DELAY_S, drain_s)
        place_s = max(earliest_s, self._next_s.get(service, 0.0))
        delay_s = place_s + spacing_s * jitter - now
        if delay_s >= max_delay_s:
            # No place is left in the caller's time. It may still find capacity then, so
            # it takes no place from others and comes at a random time at its end.
            return max_delay_s * (1.0 - LAST_PART * jitter)
        self._next_s[service] = place_s + spacing_s
        return delay_s
