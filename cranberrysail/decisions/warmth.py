"""State machine of one endpoint: cold, warming, warm, silent."""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = ["Warmth", "WarmthState"]

SLOW_FACTOR = 4.0
SLOW_EXTRA_MS = 200.0
SLOW_IN_A_ROW = 3
SMOOTHING = 0.1
FLAP_WINDOW_S = 300.0
MAX_FLAPS = 5


class WarmthState(StrEnum):
    """How much an endpoint bears.

    Attributes:
      COLD: Only what it bears in a cold start.
      WARMING: Its limit grows with each success.
      WARM: Its full capacity.
      SILENT: Nothing; it does not answer.
    """

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"
    SILENT = "silent"


@dataclass
class Warmth:
    """What the evidence says an endpoint bears now.

    Attributes:
      cold: Open calls it bears when cold.
      capacity: Open calls it bears when warm.
      ramp: Open calls it may hold while not warm.
      evidence: Why the state last changed.
    """

    cold: int
    capacity: int
    state: WarmthState = WarmthState.SILENT
    ramp: int = 0
    instance: str = ""
    evidence: str = "not yet heard"
    first_ms: float = 0.0
    _successes: int = 0
    _slow: int = 0
    _flaps: list[float] = field(default_factory=list)

    def limit(self) -> int:
        """Return how many calls the endpoint may hold."""
        if self.state is WarmthState.SILENT:
            return 0
        if self.state is WarmthState.WARM:
            return self.capacity
        return min(self.ramp, self.capacity)

    def heard(self, instance: str, ready: bool, open_calls: int, now: float) -> None:
        """Take a load report.

        Args:
          instance: Instance id in the report.
          ready: Whether the endpoint says that it serves.
          open_calls: Open calls in the report; it evidently bears them.
          now: Current time in seconds.
        """
        if not ready:
            self.silence("reports not ready")
            return
        first_time = self.instance == ""
        if instance != self.instance:
            self.instance = instance
            floor = open_calls if first_time else 0
            self._chill("first heard" if first_time else "new instance", floor, now)
            return
        if self.state is WarmthState.SILENT:
            self._chill("answers again", open_calls, now)

    def adopt(self, instance: str, state: str, ramp: int) -> None:
        """Take over what an earlier owner knew, unless this one knows more.

        Args:
          instance: Instance id that the state is about, empty if never heard.
          state: Value of the endpoint's state.
          ramp: Open calls that it may hold while it is not warm.
        """
        if not instance or self.instance or state == WarmthState.SILENT:
            return
        self.instance = instance
        self.state = WarmthState(state)
        self.ramp = min(ramp, self.capacity)
        self.evidence = "known to the earlier owner"

    def silence(self, why: str) -> None:
        """Note that the endpoint does not answer."""
        self.state = WarmthState.SILENT
        self.evidence = why

    def broken(self, now: float) -> None:
        """Note that a connection broke or was refused."""
        if self.state is not WarmthState.SILENT:
            self._chill("connection broke", 0, now)

    def succeeded(self, first_ms: int, now: float) -> None:
        """Note that a call ended well and grow the limit.

        Args:
          first_ms: Time to its first byte in milliseconds.
          now: Current time in seconds.
        """
        if first_ms > 0 and self._is_slow(first_ms):
            self._slow += 1
            if self._slow >= SLOW_IN_A_ROW and self.state is WarmthState.WARM:
                self._chill("first bytes far slower than usual", 0, now)
            return
        self._slow = 0
        if first_ms > 0:
            change = first_ms - self.first_ms
            self.first_ms += change * (SMOOTHING if self.first_ms else 1.0)
        self._grow(now)

    def _is_slow(self, first_ms: int) -> bool:
        if not self.first_ms:
            return False
        return first_ms > SLOW_FACTOR * self.first_ms + SLOW_EXTRA_MS

    def _grow(self, now: float) -> None:
        if self.state in (WarmthState.WARM, WarmthState.SILENT):
            return
        self._successes += 1
        flaps = sum(1 for at in self._flaps if now - at < FLAP_WINDOW_S)
        if self._successes < self.ramp * (1 + min(flaps, MAX_FLAPS)):
            return
        self._successes = 0
        self.ramp = min(self.capacity, self.ramp * 2)
        self.state = WarmthState.WARMING
        if self.ramp >= self.capacity:
            self.state = WarmthState.WARM
            self.evidence = "bore its full ramp"

    def _chill(self, why: str, floor: int, now: float) -> None:
        if self.state is not WarmthState.SILENT:
            self._flaps = [at for at in self._flaps if now - at < FLAP_WINDOW_S]
            self._flaps.append(now)
        self.state = WarmthState.COLD
        self.ramp = min(self.capacity, max(self.cold, floor))
        self.evidence = why
        self._successes = 0
        self._slow = 0
        if self.ramp >= self.capacity:
            self.state = WarmthState.WARM
