"""Weighted max-min fairness between the customers of a full pool."""

from collections.abc import Iterable

__all__ = ["exceeds_fair_share"]


def exceeds_fair_share(
    customer: str,
    recently_denied: Iterable[str],
    usage: dict[str, int],
    weights: dict[str, float],
) -> bool:
    """Return whether a customer must leave free capacity to a waiting one.

    It must if its open calls per unit of weight exceed those of a waiting customer by
    more than 1. Over time this gives each customer its weighted max-min fair share, and
    capacity stays idle only for as long as a denial counts as recent.

    Args:
      customer: The customer that requests admission.
      recently_denied: Customers that were recently denied for lack of capacity.
      usage: Open calls by customer.
      weights: Weight by customer, 1 by default.
    """

    def usage_per_weight(name: str) -> float:
        return usage.get(name, 0) / weights.get(name, 1.0)

    own = usage_per_weight(customer)
    return any(
        usage_per_weight(name) + 1 < own for name in recently_denied if name != customer
    )
