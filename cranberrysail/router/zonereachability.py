"""Which availability zones this router cannot connect to.

Answers the load of a zone that is cut off: without this, each call finds out for
itself, by a failed connect to one endpoint after the other.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = ["TEST_INTERVAL_S", "ZoneReachability"]

# Interval of the tests of a zone. A cut that has ended is noticed within this time, in
# which a router of the fleet places a few calls.
TEST_INTERVAL_S = 0.5


def _ignore_change(zone: str, reachable: bool) -> None:
    """Ignore a change."""


@dataclass
class ZoneReachability:
    """Decides when a zone is tested, and whether it can be reached.

    A failed connection is only a reason to test its zone, as the endpoint may have
    crashed. A zone is unreachable once no tested endpoint of it accepts a connection.

    Attributes:
      on_change: Called with a zone and whether it can be reached now.
      unreachable: Zones that cannot be reached.
    """

    on_change: Callable[[str, bool], None] = _ignore_change
    unreachable: set[str] = field(default_factory=set)
    _suspected: set[str] = field(default_factory=set)
    _tested_s: dict[str, float] = field(default_factory=dict)

    def connection_failed(self, zone: str) -> None:
        """Record that a connection to an endpoint of a zone failed."""
        self._suspected.add(zone)

    def answered(self, zone: str) -> None:
        """Record that an endpoint of a zone responded."""
        self._suspected.discard(zone)
        self._set_reachable(zone, True)

    def begin_tests(self, now: float) -> list[str]:
        """Return the zones to test now, which are then not due for the interval."""
        due = [
            zone
            for zone in sorted(self._suspected | self.unreachable)
            if now - self._tested_s.get(zone, float("-inf")) >= TEST_INTERVAL_S
        ]
        self._suspected.difference_update(due)
        self._tested_s.update(dict.fromkeys(due, now))
        return due

    def record_test(self, zone: str, reachable: bool) -> None:
        """Record whether any of the tested endpoints accepted a connection."""
        self._set_reachable(zone, reachable)

    def _set_reachable(self, zone: str, reachable: bool) -> None:
        if reachable is (zone not in self.unreachable):
            return
        if reachable:
            self.unreachable.discard(zone)
        else:
            self.unreachable.add(zone)
        self.on_change(zone, reachable)
