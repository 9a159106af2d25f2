"""Which endpoint a call goes to.

Answers returning chats and shared prompts under uneven load. A prompt's shared
parts are read once where its calls go to one home, so engines are ranked by
rendezvous hash of the deepest shared part: all routers agree with no message. A
home that holds more than its part of the load gives way to the next in rank,
which fetches the cache from the home: that costs a sixth of reading it again.
"""

from dataclasses import dataclass

from cranberrysail.router.endpoints import Endpoint
from cranberrysail.router.rendezvous import score

__all__ = ["Candidate", "PlacementBound", "cache_source", "chain_key", "choose"]

# Where homes have no free slot, a call queues at the less loaded of so many: a slot
# is free soon, and to read its prompt at yet another engine makes all queues longer.
QUEUED_HOMES = 2


@dataclass(frozen=True, slots=True)
class PlacementBound:
    """Bounds on the load of one endpoint over the mean of its service.

    Attributes:
      spill_factor: Multiple of the mean at which the next in rank is taken.
      spill_slack: Calls beyond that.
      crowd_factor: The multiple in a large fleet: the more routers there are, the
        more calls a home gets between two reports of its load.
      crowd_slack: Calls beyond that.
      crowd_from: Routers up to which the first bounds hold.
      crowd_full: Routers from which on those of a large fleet hold.
      near_calls: Calls by which an endpoint of another zone must be less loaded
        to be taken for a plain call.
    """

    spill_factor: float = 1.7
    spill_slack: float = 3.0
    crowd_factor: float = 1.2
    crowd_slack: float = 2.0
    crowd_from: int = 10
    crowd_full: int = 50
    near_calls: float = 0.5

    def most(self, mean: float, routers: int) -> float:
        """Return the load at which a home gives way.

        Args:
          mean: Mean load of its service.
          routers: Size of the fleet.
        """
        crowd = (routers - self.crowd_from) / (self.crowd_full - self.crowd_from)
        crowd = min(1.0, max(0.0, crowd))
        factor = self.spill_factor + crowd * (self.crowd_factor - self.spill_factor)
        slack = self.spill_slack + crowd * (self.crowd_slack - self.spill_slack)
        return mean * factor + slack


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may take a call.

    Attributes:
      load: Open calls, weighted with how slow or failing it is.
      spared: True if others go first, since its connections break or it is
        silent.
    """

    endpoint: Endpoint
    load: float
    slots: int
    spared: bool = False


def chain_key(parts: tuple[str, ...]) -> str:
    """Return the deepest part of a prompt that other calls share.

    Args:
      parts: Ids of the prompt's parts in order; the last is the call's own.
    """
    if not parts:
        return ""
    return parts[-2] if len(parts) > 1 else parts[0]


def choose(
    candidates: list[Candidate],
    key: str,
    zone: str,
    bound: PlacementBound,
    most: float,
) -> Candidate | None:
    """Return the endpoint for a call, or None if there is none.

    Args:
      candidates: Endpoints that may take it.
      key: What its calls share, or nothing.
      zone: The router's availability zone.
      bound: When another zone is taken for a plain call.
      most: Load at which a home gives way.
    """
    if not candidates:
        return None
    sound = [c for c in candidates if not c.spared] or candidates
    if not key:
        return min(sound, key=lambda c: _plain_cost(c, zone, bound))
    ranked = sorted(sound, key=lambda c: score(key, c.endpoint.name), reverse=True)
    homes = [c for c in ranked if c.load <= most][:QUEUED_HOMES]
    if not homes:
        return min(sound, key=lambda c: c.load)
    if homes[0].load < homes[0].slots:
        return homes[0]
    return min(homes, key=lambda c: c.load)


def cache_source(
    endpoints: list[Endpoint], key: str, target: Endpoint
) -> Endpoint | None:
    """Return the endpoint that most likely holds what a call shares.

    Args:
      endpoints: Endpoints that can be reached, those that leave included.
      key: What the call shares with others.
      target: Where the call goes; it fetches what it does not hold itself.
    """
    others = [e for e in endpoints if e is not target]
    return max(others, key=lambda e: score(key, e.name), default=None)


def _plain_cost(candidate: Candidate, zone: str, bound: PlacementBound) -> float:
    near = candidate.endpoint.record.zone == zone
    return candidate.load + (0.0 if near else bound.near_calls)
