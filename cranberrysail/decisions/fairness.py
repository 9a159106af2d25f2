"""Which customer gives way to which while a pool is full."""

from collections.abc import Iterable

__all__ = ["gives_way"]


def gives_way(
    customer: str,
    waiting: Iterable[str],
    usage: dict[str, int],
    weights: dict[str, float],
) -> bool:
    """Return whether a customer leaves free room to one that waits.

    It does if a waiting customer uses less for its weight, which over time
    gives each its weighted max-min fair share and leaves nothing idle.

    Args:
      customer: The customer that asks.
      waiting: Customers that were lately denied for lack of room.
      usage: Open calls by customer.
      weights: Weight by customer; 1 where missing.
    """

    def share(name: str) -> float:
        return usage.get(name, 0) / weights.get(name, 1.0)

    own = share(customer)
    return any(share(name) + 1 < own for name in waiting if name != customer)
