"""Slow start of an endpoint: how many open calls its state allows.

A cold endpoint starts with a low limit that doubles with successful calls until it
reaches the endpoint's capacity. An endpoint that does not answer gets no calls.
"""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = ["SlowStart", "SlowStartState"]

# A first byte is slow if it takes longer than the average times SLOW_FACTOR plus
# SLOW_EXTRA_MS.
SLOW_FACTOR = 4.0
SLOW_EXTRA_MS = 200.0
# Slow first bytes in a row after which a warm endpoint counts as cold.
SLOW_STREAK_LIMIT = 3
# Weight of a new sample in the moving average of the time to the first byte.
EWMA_WEIGHT = 0.1
# The ramp limit doubles after as many successful calls as it allows open calls, times 1
# plus the number of resets to cold from another state than silent within this window,
# of which at most MAX_COUNTED_FLAPS count.
FLAP_WINDOW_S = 300.0
MAX_COUNTED_FLAPS = 5


class SlowStartState(StrEnum):
    """State of an endpoint, which sets its limit on open calls.

    Attributes:
      COLD: Limited to its ramp limit, which starts at what it can hold when cold.
      WARMING: Limited to its ramp limit, which doubles with successful calls.
      WARM: Limited to its capacity.
      SILENT: Admits nothing: it has not reported yet, does not answer, or reports that
        it is not ready.
    """

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"
    SILENT = "silent"


@dataclass
class SlowStart:
    """Limit on an endpoint's open calls, from its reports and call results.

    Attributes:
      cold_limit: Lowest ramp limit: open calls that it may hold when cold.
      capacity: Open calls that it may hold when warm.
      ramp_limit: Open calls that it may hold at this point, while cold or warming.
      instance: Instance id that the state applies to, from a ready report, the list of
        hosts or a handover; empty if none is known.
      state_reason: Why the endpoint has its state, for operators.
      mean_first_byte_ms: Moving average of the time to the first byte, 0 if none.
    """

    cold_limit: int
    capacity: int
    state: SlowStartState = SlowStartState.SILENT
    ramp_limit: int = 0
    instance: str = ""
    state_reason: str = "no report yet"
    mean_first_byte_ms: float = 0.0
    _successes: int = 0
    _consecutive_slow: int = 0
    _flap_times: list[float] = field(default_factory=list)

    def limit(self) -> int:
        """Return the maximum number of open calls that the endpoint may hold."""
        if self.state is SlowStartState.SILENT:
            return 0
        if self.state is SlowStartState.WARM:
            return self.capacity
        return min(self.ramp_limit, self.capacity)

    def record_report(
        self, instance: str, ready: bool, open_calls: int, now: float
    ) -> None:
        """Update the state from a load report.

        Args:
          instance: Instance id in the report.
          ready: Whether the endpoint reports that it can serve.
          open_calls: Open calls in the report. On the first report, and when a silent
            endpoint reports again, the limit is set no lower than this, as the
            endpoint evidently copes with these calls.
          now: Current time in seconds.
        """
        if not ready:
            self.mark_silent("reported not ready")
            return
        first_time = self.instance == ""
        if instance != self.instance:
            self.instance = instance
            floor = open_calls if first_time else 0
            self._restart_ramp(
                "first report" if first_time else "new instance", floor, now
            )
            return
        if self.state is SlowStartState.SILENT:
            self._restart_ramp("reports again", open_calls, now)

    def restore(self, instance: str, state: str, ramp_limit: int) -> None:
        """Adopt the state known to the previous owner, unless a report came already.

        Args:
          instance: Instance id that the state refers to, empty if it never reported.
          state: Value of the endpoint's SlowStartState.
          ramp_limit: Open calls that it may hold while it is cold or warming.
        """
        if not instance or self.instance or state == SlowStartState.SILENT:
            return
        self.instance = instance
        self.state = SlowStartState(state)
        self.ramp_limit = min(ramp_limit, self.capacity)
        self.state_reason = "state of the previous owner"

    def mark_silent(self, why: str) -> None:
        """Stop admission, as the endpoint does not answer or is not ready."""
        self.state = SlowStartState.SILENT
        self.state_reason = why

    def record_failure(self, now: float) -> None:
        """Reset to cold, as a connection failed or a response was truncated."""
        if self.state is not SlowStartState.SILENT:
            self._restart_ramp("connection failed or response truncated", 0, now)

    def record_success(self, first_ms: int, now: float) -> None:
        """Record a successful call.

        Unless its first byte was slow, it counts towards the next doubling of the ramp
        limit.

        Args:
          first_ms: Time to its first byte in milliseconds, 0 if unknown.
          now: Current time in seconds.
        """
        if first_ms > 0 and self._is_slow(first_ms):
            self._consecutive_slow += 1
            if (
                self._consecutive_slow >= SLOW_STREAK_LIMIT
                and self.state is SlowStartState.WARM
            ):
                self._restart_ramp("time to first byte far above average", 0, now)
            return
        self._consecutive_slow = 0
        if first_ms > 0:
            change = first_ms - self.mean_first_byte_ms
            self.mean_first_byte_ms += change * (
                EWMA_WEIGHT if self.mean_first_byte_ms else 1.0
            )
        self._advance_ramp(now)

    def _is_slow(self, first_ms: int) -> bool:
        if not self.mean_first_byte_ms:
            return False
        return first_ms > SLOW_FACTOR * self.mean_first_byte_ms + SLOW_EXTRA_MS

    def _advance_ramp(self, now: float) -> None:
        if self.state in (SlowStartState.WARM, SlowStartState.SILENT):
            return
        self._successes += 1
        flaps = sum(1 for at in self._flap_times if now - at < FLAP_WINDOW_S)
        if self._successes < self.ramp_limit * (1 + min(flaps, MAX_COUNTED_FLAPS)):
            return
        self._successes = 0
        self.ramp_limit = min(self.capacity, self.ramp_limit * 2)
        self.state = SlowStartState.WARMING
        if self.ramp_limit >= self.capacity:
            self.state = SlowStartState.WARM
            self.state_reason = "warm-up complete"

    def _restart_ramp(self, why: str, floor: int, now: float) -> None:
        if self.state is not SlowStartState.SILENT:
            self._flap_times = [
                at for at in self._flap_times if now - at < FLAP_WINDOW_S
            ]
            self._flap_times.append(now)
        self.state = SlowStartState.COLD
        self.ramp_limit = min(self.capacity, max(self.cold_limit, floor))
        self.state_reason = why
        self._successes = 0
        self._consecutive_slow = 0
        if self.ramp_limit >= self.capacity:
            self.state = SlowStartState.WARM
