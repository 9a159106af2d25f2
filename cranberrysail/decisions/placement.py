"""Ranking the endpoints of a pool for a chat."""

from dataclasses import dataclass

from cranberrysail.decisions.blackboard import Blackboard
from cranberrysail.decisions.events import ListedHost
from cranberrysail.hashing import ranked_weighted

__all__ = ["Candidate", "candidates"]

CHAT_MEMORY_S = 1800.0
ENOUGH = 48


@dataclass(frozen=True)
class Candidate:
    """An endpoint to ask for.

    Attributes:
      cached_only: Ask only for admission with the chat's cache.
      here: Ask for admission even if the chat lives elsewhere.
    """

    endpoint: str
    cached_only: bool = False
    here: bool = False


def candidates(board: Blackboard, pool: str, chat: int, now: float) -> list[Candidate]:
    """Return a pool's endpoints in the order to ask for them.

    Whole zones are ranked until there are enough endpoints.

    Zones of this router's region come first, then zones by rank, then
    endpoints by rank. If the chat's first zone came back lately, its first
    endpoint is asked whether it kept the cache, then the one that served the
    chat meanwhile.

    Args:
      board: State of the router.
      pool: Name of the pool.
      chat: Key of the chat, or 0 to spread at random.
      now: Current time in seconds.
    """
    key = chat or board.rng.getrandbits(64)
    zones = _serving(board, pool)
    names = _ordered(board, zones, key)
    result = [Candidate(name) for name in names]
    if not chat or not names:
        return result
    first_zone = board.hosts[names[0]].zone
    back = board.returned.get(first_zone)
    if back is None or now - back > CHAT_MEMORY_S:
        return result
    others = {zone: hosts for zone, hosts in zones.items() if zone != first_zone}
    away = _ordered(board, others, key)
    kept = [Candidate(name, cached_only=True) for name in (names[0], *away[:1])]
    return [*kept, *result]


def _serving(board: Blackboard, pool: str) -> dict[str, list[ListedHost]]:
    zones = {}
    for zone, hosts in board.pool_hosts(pool).items():
        usable = [host for host in hosts if board.in_service(host)]
        if usable:
            zones[zone] = usable
    return zones


def _ordered(
    board: Blackboard, zones: dict[str, list[ListedHost]], key: int
) -> list[str]:
    weights = {
        zone: float(sum(board.capacity(host) for host in hosts))
        for zone, hosts in zones.items()
    }
    ranked = ranked_weighted(key, weights)
    near = board.settings.region
    ranked.sort(key=lambda zone: zones[zone][0].region != near)
    names: list[str] = []
    for zone in ranked:
        if len(names) >= ENOUGH:
            break
        capacities = {host.name: float(board.capacity(host)) for host in zones[zone]}
        names.extend(ranked_weighted(key, capacities))
    return names
