"""Use of a service by customer, and how far each customer exceeds its share of it.

Each router counts the work that it sends itself. Calls reach routers at random, so one
router's counts are a sample of the whole, and no message is needed; the additional work
that is assumed for everyone keeps small samples from deciding.
"""

import math
from dataclasses import dataclass, field

__all__ = ["CustomerShares"]

# Time constant of recent use. In a fleet of 62 routers one sees about 3 calls a second
# of a plain service, so it holds some 15 calls.
RECENT_S = 5.0
# Time constant of usual use; a burst of 11 s raises it by less than a fifth of itself.
USUAL_S = 60.0
# Calls of mean work that are assumed of everyone, in proportion to the shares.
PRIOR_CALLS = 4.0
# Customers below this recent use, in calls of mean work, do not count as active.
ACTIVE_CALLS = 0.05


@dataclass(slots=True)
class _Use:
    """Decayed work of one customer at one service."""

    recent: float = 0.0
    usual: float = 0.0
    updated_s: float = 0.0

    def decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.updated_s)
        self.recent *= math.exp(-elapsed_s / RECENT_S)
        self.usual *= math.exp(-elapsed_s / USUAL_S)
        self.updated_s = now

    def add(self, work: float, now: float) -> None:
        self.decay(now)
        self.recent += work / RECENT_S
        self.usual += work / USUAL_S


@dataclass(slots=True)
class _ServiceUse:
    """Decayed work of all customers at one service."""

    total: _Use = field(default_factory=_Use)
    calls: _Use = field(default_factory=_Use)
    customers: dict[str, _Use] = field(default_factory=dict)


@dataclass
class CustomerShares:
    """Work that this router has sent, by service and customer."""

    _services: dict[str, _ServiceUse] = field(default_factory=dict)

    def record(self, service: str, customer: str, work: float, now: float) -> None:
        """Record work that is sent for a customer.

        Args:
          service: Name of the service.
          customer: Name of the customer; empty for callers without one.
          work: Its amount, in a unit of the service.
          now: Current time in seconds.
        """
        use = self._services.setdefault(service, _ServiceUse())
        use.total.add(work, now)
        use.calls.add(1.0, now)
        use.customers.setdefault(customer, _Use()).add(work, now)

    def excess(self, service: str, customer: str, now: float) -> float:
        """Return a customer's recent use relative to its share; 1 if it is equal.

        The share is an equal part for each active customer, or the part of the service
        that the customer usually has, whichever is larger.

        Args:
          service: Name of the service.
          customer: Name of the customer.
          now: Current time in seconds.
        """
        use = self._services.get(service)
        if use is None:
            return 1.0
        use.total.decay(now)
        use.calls.decay(now)
        if use.total.recent <= 0 or use.calls.recent <= 0:
            return 1.0
        mean_work = use.total.recent / use.calls.recent
        own = use.customers.get(customer) or _Use(updated_s=now)
        own.decay(now)
        active = self._active(use, mean_work, now)
        if customer not in active:
            active.append(customer)
        usual = own.usual / use.total.usual if use.total.usual > 0 else 0.0
        share = max(1.0 / len(active), usual)
        prior = PRIOR_CALLS * mean_work / RECENT_S
        recent = (own.recent + prior * share) / (use.total.recent + prior)
        return recent / share

    def _active(self, use: _ServiceUse, mean_work: float, now: float) -> list[str]:
        min_use = ACTIVE_CALLS * mean_work / RECENT_S
        for other in use.customers.values():
            other.decay(now)
        return [n for n, other in use.customers.items() if other.recent >= min_use]

    def forget_unused(self, now: float) -> None:
        """Delete the counts of customers whose usual use has decayed to nothing."""
        for use in self._services.values():
            for name, own in list(use.customers.items()):
                own.decay(now)
                if own.usual * USUAL_S < ACTIVE_CALLS:
                    del use.customers[name]

    def top(self, service: str, count: int, now: float) -> list[tuple[str, float]]:
        """Return the customers that exceed their shares the most, for operators."""
        use = self._services.get(service)
        names = list(use.customers) if use else []
        excesses = [(name, self.excess(service, name, now)) for name in names]
        return sorted(excesses, key=lambda entry: -entry[1])[:count]
