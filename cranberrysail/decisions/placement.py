"""Ranking of a pool's endpoints for a chat by rendezvous hashing."""

from dataclasses import dataclass

from cranberrysail.decisions.blackboard import Blackboard
from cranberrysail.decisions.events import ListedEndpoint
from cranberrysail.hashing import rank_weighted

__all__ = ["Candidate", "rank_candidates"]

# Time after an availability zone's return during which its endpoints may still hold
# their chats' caches; during it a chat's first-ranked endpoint is tried with
# cached_only.
ZONE_RETURN_WINDOW_S = 1800.0
# Whole zones are added until there are at least this many candidates.
MIN_CANDIDATES = 48


@dataclass(frozen=True)
class Candidate:
    """An endpoint at which to request admission.

    Attributes:
      cached_only: Admit only if the endpoint holds the chat's cache.
      ignore_relocation: Admit even if another endpoint holds the chat's cache, instead
        of a denial with reason ELSEWHERE.
    """

    endpoint: str
    cached_only: bool = False
    ignore_relocation: bool = False


def rank_candidates(
    board: Blackboard, pool: str, chat_key: int, now: float
) -> list[Candidate]:
    """Return a pool's endpoints in the order in which to request admission.

    Zones of this router's region come first. Zones are ordered by their rendezvous
    rank weighted by capacity, and so are the endpoints within a zone. Whole zones are
    added until there are at least MIN_CANDIDATES.

    If the chat's first zone returned to service within ZONE_RETURN_WINDOW_S, the list
    begins with two candidates that admit only with the chat's cache: the chat's
    first-ranked endpoint, which may have kept it, and the one ranked first without
    that zone, which probably served the chat meanwhile.

    Args:
      board: State of the router.
      pool: Name of the pool.
      chat_key: Hash key of the chat, or 0 for a random order.
      now: Current time in seconds.
    """
    key = chat_key or board.rng.getrandbits(64)
    zones = _in_service_by_zone(board, pool)
    names = _rank_endpoints(board, zones, key)
    result = [Candidate(name) for name in names]
    if not chat_key or not names:
        return result
    first_zone = board.listed_endpoints[names[0]].zone
    returned_s = board.zone_returned_s.get(first_zone)
    if returned_s is None or now - returned_s > ZONE_RETURN_WINDOW_S:
        return result
    others = {zone: items for zone, items in zones.items() if zone != first_zone}
    interim = _rank_endpoints(board, others, key)
    cache_holders = [
        Candidate(name, cached_only=True) for name in (names[0], *interim[:1])
    ]
    return [*cache_holders, *result]


def _in_service_by_zone(
    board: Blackboard, pool: str
) -> dict[str, list[ListedEndpoint]]:
    zones = {}
    for zone, endpoints in board.pool_endpoints(pool).items():
        usable = [item for item in endpoints if board.in_service(item)]
        if usable:
            zones[zone] = usable
    return zones


def _rank_endpoints(
    board: Blackboard, zones: dict[str, list[ListedEndpoint]], key: int
) -> list[str]:
    weights = {
        zone: float(sum(board.capacity(item) for item in endpoints))
        for zone, endpoints in zones.items()
    }
    ranked = rank_weighted(key, weights)
    local_region = board.settings.region
    ranked.sort(key=lambda zone: zones[zone][0].region != local_region)
    names: list[str] = []
    for zone in ranked:
        if len(names) >= MIN_CANDIDATES:
            break
        capacities = {item.name: float(board.capacity(item)) for item in zones[zone]}
        names.extend(rank_weighted(key, capacities))
    return names
