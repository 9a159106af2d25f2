"""Load of pools, and the bound that it sets on the load of an endpoint."""

import math
from dataclasses import dataclass

from cranberrysail.decisions.blackboard import Blackboard
from cranberrysail.decisions.messages import PoolSum
from cranberrysail.decisions.ownedendpoints import OwnedEndpoint

__all__ = [
    "PoolLoad",
    "estimate_pool_load",
    "load_bound",
    "open_calls_by_customer",
    "owned_pool_sums",
    "current_call_limit",
    "staleness_weight",
]

# Customers listed per pool in the exchanged sums, those with the most open calls.
MAX_TOP_CUSTOMERS = 8
# Totals up to this age count in full.
FULL_WEIGHT_AGE_S = 3.0
# Time over which the weight of older totals falls from 1 to 0.
DECAY_S = 10.0


@dataclass(frozen=True)
class PoolLoad:
    """Load of a pool, as an endpoint's owner estimates it.

    Attributes:
      open: Open calls of the pool.
      call_limit: Sum of the current call limits of its endpoints in service.
    """

    open: int
    call_limit: float


def load_bound(factor: float, call_limit: float, load: PoolLoad) -> int:
    """Return the bound on an endpoint's open calls if one more is admitted.

    The bound is a multiple of the load that the endpoint would have if the pool's calls
    were spread in proportion to the endpoints' call limits, and at least 1.

    Args:
      factor: Configured multiple of the mean load.
      call_limit: The endpoint's current call limit.
      load: The pool's load without the new call.
    """
    if load.call_limit <= 0:
        return 1
    return max(1, math.ceil(factor * call_limit * (load.open + 1) / load.call_limit))


def estimate_pool_load(board: Blackboard, owned: OwnedEndpoint, now: float) -> PoolLoad:
    """Return the load of an endpoint's pool, as its owner estimates it.

    The endpoint itself counts with the same estimate that is compared with its bound.
    The owner's other endpoints count with a low estimate, since a permit may outlive
    its call.

    The weight of outdated totals falls with their age, and without totals the load
    counts as 0, so that the bound errs on the low side.

    Args:
      board: State of the router.
      owned: The endpoint.
      now: Current time in seconds.
    """
    pool = owned.listed.pool
    own = [item for item in board.owned_endpoints.values() if item.listed.pool == pool]
    other_owned_open = sum(
        item.low_estimated_open(now) for item in own if item is not owned
    )
    own_open = owned.estimated_open(now) + other_owned_open
    total = board.pool_totals.get(pool)
    if total is None or total.call_limit <= 0:
        return PoolLoad(0, 0.0)
    fraction = staleness_weight(now - total.at_s)
    own_call_limit = sum(current_call_limit(board, item) for item in own)
    call_limit = total.others_call_limit + own_call_limit
    return PoolLoad(int(total.others_open * fraction) + own_open, call_limit)


def staleness_weight(age_s: float) -> float:
    """Return the weight of a load total of the given age, from 1 down to 0."""
    excess_s = max(0.0, age_s - FULL_WEIGHT_AGE_S)
    return max(0.0, 1.0 - excess_s / DECAY_S)


def current_call_limit(board: Blackboard, owned: OwnedEndpoint) -> float:
    """Return an endpoint's current call limit, or 0 if it is out of service."""
    if not board.in_service(owned.listed):
        return 0.0
    return float(owned.slow_start.limit())


def open_calls_by_customer(board: Blackboard, pool: str) -> dict[str, int]:
    """Return open calls by customer at the owned endpoints of a pool."""
    counts: dict[str, int] = {}
    for owned in board.owned_endpoints.values():
        if owned.listed.pool != pool:
            continue
        for name, count in owned.permits_by_customer.items():
            counts[name] = counts.get(name, 0) + count
    return counts


def owned_pool_sums(board: Blackboard, now: float) -> dict[str, PoolSum]:
    """Return the sums by pool over the endpoints that this router owns."""
    sums: dict[str, PoolSum] = {}
    for pool in {owned.listed.pool for owned in board.owned_endpoints.values()}:
        owned_endpoints = [
            owned
            for owned in board.owned_endpoints.values()
            if owned.listed.pool == pool
        ]
        by_customer = sorted(
            open_calls_by_customer(board, pool).items(), key=lambda item: -item[1]
        )
        sums[pool] = PoolSum(
            sum(owned.low_estimated_open(now) for owned in owned_endpoints),
            sum(current_call_limit(board, owned) for owned in owned_endpoints),
            dict(by_customer[:MAX_TOP_CUSTOMERS]),
        )
    return sums
