"""Load of pools and the bound on the load of an endpoint."""

import math
from dataclasses import dataclass

from cranberrysail.decisions.blackboard import Blackboard
from cranberrysail.decisions.messages import PoolSum
from cranberrysail.decisions.slots import Slot

__all__ = [
    "Mean",
    "bound",
    "customer_use",
    "fresh_share",
    "own_sums",
    "pool_mean",
    "serving_weight",
]

MAX_HEAVY = 8
FRESH_S = 3.0
FADE_S = 10.0


@dataclass(frozen=True)
class Mean:
    """Load of a pool as an owner knows it.

    Attributes:
      open: Open calls of the pool.
      weight: Sum of the weights of its endpoints that take new work.
    """

    open: int
    weight: float


def bound(factor: float, weight: float, mean: Mean) -> int:
    """Return the open calls that an endpoint may hold after one more.

    Args:
      factor: Set multiple of the mean load.
      weight: The endpoint's weight.
      mean: The pool's load before the call.
    """
    if mean.weight <= 0:
        return 1
    return max(1, math.ceil(factor * weight * (mean.open + 1) / mean.weight))


def pool_mean(board: Blackboard, slot: Slot, now: float) -> Mean:
    """Return the load of an endpoint's pool, as its owner knows it.

    The endpoint itself counts as against its bound; other endpoints count only
    with work that is certain, since a permit may outlive its call.

    Totals that have not been renewed for some time count less and less, and
    without totals the load counts as nothing, so that the bound errs low.

    Args:
      board: State of the router.
      slot: The endpoint.
      now: Current time in seconds.
    """
    pool = slot.host.pool
    own = [item for item in board.slots.values() if item.host.pool == pool]
    others_sure = sum(item.sure_open(now) for item in own if item is not slot)
    own_open = slot.open(now) + others_sure
    total = board.totals.get(pool)
    if total is None or total.weight <= 0:
        return Mean(0, 0.0)
    share = fresh_share(now - total.at_s)
    own_weight = sum(serving_weight(board, item) for item in own)
    weight = total.others_weight + own_weight
    return Mean(int(total.others_open * share) + own_open, weight)


def fresh_share(age_s: float) -> float:
    """Return how much of a reading counts at an age, from 1 down to 0."""
    late_s = max(0.0, age_s - FRESH_S)
    return max(0.0, 1.0 - late_s / FADE_S)


def serving_weight(board: Blackboard, slot: Slot) -> float:
    """Return the weight of an endpoint, 0 if it takes no new work."""
    if not board.in_service(slot.host):
        return 0.0
    return float(slot.warmth.limit())


def customer_use(board: Blackboard, pool: str) -> dict[str, int]:
    """Return open calls by customer at this router's endpoints of a pool."""
    use: dict[str, int] = {}
    for slot in board.slots.values():
        if slot.host.pool != pool:
            continue
        for name, count in slot.customers.items():
            use[name] = use.get(name, 0) + count
    return use


def own_sums(board: Blackboard, now: float) -> dict[str, PoolSum]:
    """Return the sums over the endpoints that this router owns."""
    sums: dict[str, PoolSum] = {}
    for pool in {slot.host.pool for slot in board.slots.values()}:
        slots = [s for s in board.slots.values() if s.host.pool == pool]
        use = sorted(customer_use(board, pool).items(), key=lambda item: -item[1])
        sums[pool] = PoolSum(
            sum(slot.sure_open(now) for slot in slots),
            sum(serving_weight(board, slot) for slot in slots),
            dict(use[:MAX_HEAVY]),
        )
    return sums
