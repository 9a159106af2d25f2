"""How much of a service's capacity is in use, as far as this router knows."""

from collections.abc import Sequence
from dataclasses import dataclass

from cranberrysail.router.endpoints import Endpoint
from cranberrysail.router.load import REPORT_MAX_AGE_S, LoadTracker

__all__ = ["ServicePressure", "measure_pressure"]

# Age of load reports that is assumed before there are any: routers of a large fleet
# exchange them every 0.3 s, and have them 0.3 to 0.5 s after the endpoint.
ASSUMED_REPORT_AGE_S = 0.4


@dataclass(frozen=True, slots=True)
class ServicePressure:
    """Capacity of a service and its use by all routers.

    Attributes:
      endpoints: Endpoints that take requests.
      slots: Calls that they process concurrently.
      load: Expected number of open calls at them.
      free_slots: Expected number of slots without a call.
      report_age_s: Mean age of the endpoints' last load reports.
    """

    endpoints: int = 0
    slots: int = 0
    load: float = 0.0
    free_slots: float = 0.0
    report_age_s: float = ASSUMED_REPORT_AGE_S

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
    ages_s = [
        now - stats.reported_s
        for stats in map(loads.stats, taking)
        if now - stats.reported_s <= REPORT_MAX_AGE_S
    ]
    age_s = sum(ages_s) / len(ages_s) if ages_s else ASSUMED_REPORT_AGE_S
    return ServicePressure(len(taking), sum(slots), sum(calls), free, age_s)
