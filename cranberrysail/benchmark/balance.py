"""Measures of how evenly load is spread over endpoints."""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["SAMPLE_INTERVAL_S", "Balance"]

# Interval in virtual time between samples.
SAMPLE_INTERVAL_S = 0.1


@dataclass
class Balance:
    """Samples of the load of one service's endpoints, each 100 ms.

    Attributes:
      ratios: Load of the busiest endpoint divided by the mean, at a mean of 1 or more.
      idle_shares: Fraction of the endpoints that are idle, 0 if none has a queue.
    """

    ratios: list[float] = field(default_factory=list)
    idle_shares: list[float] = field(default_factory=list)
    _recent_choices: list[tuple[int, str]] = field(default_factory=list)
    _pairs: int = 0
    _same_pairs: int = 0
    _endpoints: int = 0

    def record_choice(self, router: int, endpoint: str) -> None:
        """Record that a router chose an endpoint."""
        self._recent_choices.append((router, endpoint))

    def sample(self, loads: list[int], queued: list[bool]) -> None:
        """Record the state of the endpoints at present.

        Args:
          loads: Open calls of each endpoint.
          queued: Whether each endpoint has a call that waits for another one.
        """
        self._endpoints = len(loads)
        mean = sum(loads) / len(loads)
        if mean >= 1.0:
            self.ratios.append(max(loads) / mean)
        idle = sum(not load for load in loads)
        self.idle_shares.append(idle / len(loads) if any(queued) else 0.0)
        self._count_pairs()

    def _count_pairs(self) -> None:
        """Count the pairs of recent choices by different routers."""
        choices, self._recent_choices = self._recent_choices, []
        by_router = Counter(router for router, _ in choices)
        by_endpoint = Counter(endpoint for _, endpoint in choices)
        by_both = Counter(choices)
        self._pairs += _pairs(len(choices)) - sum(map(_pairs, by_router.values()))
        self._same_pairs += sum(map(_pairs, by_endpoint.values())) - sum(
            map(_pairs, by_both.values())
        )

    @property
    def coincidence(self) -> float:
        """Return how often two routers chose the same endpoint, relative to chance.

        Both choices fall into one interval between samples; 1 is chance.
        """
        return self._endpoints * self._same_pairs / max(1, self._pairs)


def _pairs(count: int) -> int:
    return count * (count - 1) // 2
