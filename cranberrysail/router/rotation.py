"""Whether the load balancer should send callers to this router.

Answers the load of a zone that is cut off while its callers still reach other zones:
its routers leave the rotation, and the balancer sends the callers to the next zones.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from cranberrysail.router.endpoints import Endpoint, EndpointState

__all__ = ["Rotation", "is_zone_cut_off"]


def is_zone_cut_off(
    endpoints: Iterable[Endpoint], zone: str, unreachable: set[str], out: set[str]
) -> bool:
    """Return whether a router reaches its own zone, but less than half of the fleet.

    If the own zone cannot be reached either, the endpoints may be down rather than cut
    off, and routers of other zones could serve no more.

    Args:
      endpoints: All endpoints.
      zone: The router's zone.
      unreachable: Zones to which it cannot connect.
      out: Zones that operators have taken out of service.
    """
    if not unreachable or zone in unreachable:
        return False
    ready = [
        e.record.zone
        for e in endpoints
        if e.state is EndpointState.READY and e.record.zone not in out
    ]
    reachable = sum(z not in unreachable for z in ready)
    return zone in ready and 2 * reachable < len(ready)


@dataclass
class Rotation:
    """Tracks since when this router has been out of the rotation.

    Attributes:
      left_s: Time at which it left the rotation, None while it is in it.
    """

    left_s: float | None = None

    def update(self, cut_off: bool, now: float) -> bool:
        """Record whether the zone is cut off; return whether that is a change."""
        if cut_off is (self.left_s is not None):
            return False
        self.left_s = now if cut_off else None
        return True

    def left_for(self, seconds: float, now: float) -> bool:
        """Return whether the router has been out of the rotation for some time."""
        return self.left_s is not None and now - self.left_s >= seconds
