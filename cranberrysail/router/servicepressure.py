"""How much of a service's capacity is in use, as far as this router knows."""

from collections.abc import Sequence
from dataclasses import dataclass

from cranberrysail.router.endpoints import Endpoint
from cranberrysail.router.load import LoadTracker

__all__ = ["ServicePressure", "measure_pressure"]


@dataclass(frozen=True, slots=True)
class ServicePressure:
    """Capacity of a service and its use by all routers.

    Attributes:
      endpoints: Endpoints that take requests.
      slots: Calls that they process concurrently.
      load: Expected number of open calls at them.
      free_slots: Expected number of slots without a call.
    """

    endpoints: int = 0
    slots: int = 0
    load: float = 0.0
    free_slots: float = 0.0

    @property
    def calls_per_slot(self) -> float:
        """Return the open calls relative to the slots."""
        return self.load / max(1, self.slots)

    @property
    def queued(self) -> float:
        """Return the expected number of calls that wait at the endpoints."""
        return max(0.0, self.load - self.slots)


def measure_pressure(
    endpoints: Sequence[Endpoint], loads: LoadTracker, now: float
) -> ServicePressure:
    """Return the pressure on a service.

    Args:
      endpoints: Its usable endpoints.
      loads: Load of each endpoint.
      now: Current time in seconds.
    """
    taking = [
        endpoint
        for endpoint in endpoints
        if endpoint.takes_requests(now) and now >= endpoint.backoff_until_s
    ]
    others = loads.expected_other_calls(taking, now)
    calls = [e.open_calls + n for e, n in zip(taking, others, strict=True)]
    slots = [max(1, endpoint.record.slots) for endpoint in taking]
    free = sum(max(0.0, s - n) for s, n in zip(slots, calls, strict=True))
    return ServicePressure(len(taking), sum(slots), sum(calls), free)
