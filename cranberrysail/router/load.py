"""Load and health of each endpoint, as far as this router knows."""

from dataclasses import dataclass, field

from cranberrysail.router.endpoints import Endpoint

__all__ = ["REPORT_MAX_AGE_S", "EndpointStats", "LoadReport", "LoadTracker"]

# Load reports arrive with responses. The weight of a report older than this
# decays, and the estimate moves towards the mean over the endpoints.
REPORT_FRESH_S = 2.0
REPORT_HALF_LIFE_S = 3.0
# Older reports are ignored.
REPORT_MAX_AGE_S = 10.0
# Weight of a new sample in the moving averages of latency and failures.
HEALTH_SAMPLE_WEIGHT = 0.2
# Half-life of measured slowness and failures.
HEALTH_HALF_LIFE_S = 3.0
# An endpoint is not considered slow up to this multiple of the mean latency.
LATENCY_TOLERANCE = 2.0
# Limit on a single sample, as a multiple of the mean.
MAX_RATIO = 10.0
# The interval between events hardly varies from stream to stream, so a single slow
# stream is significant: samples weigh more, and the tolerance is smaller.
INTERVAL_SAMPLE_WEIGHT = 0.5
INTERVAL_HALF_LIFE_S = 5.0
INTERVAL_TOLERANCE = 1.5
# Time without any byte after which an endpoint with pending calls is unresponsive.
UNRESPONSIVE_S = 0.7


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an endpoint reports with a response.

    Attributes:
      running: Calls in progress, from all routers.
      waiting: Calls in its queue.
      slots: Calls that the endpoint processes concurrently.
    """

    running: int
    waiting: int
    slots: int


@dataclass(slots=True)
class EndpointStats:
    """Load and health of one incarnation of an endpoint.

    Attributes:
      reported_calls: Open calls of all routers in the last report.
      other_calls: Those of them that belong to other routers.
      reported_s: Time of the last report.
      latency_ratio: Moving average of actual over expected latency.
      interval_ratio: Moving average of actual over expected time between events.
      interval_updated_s: Time of the last update of ``interval_ratio``.
      failure_rate: Moving average of the fraction of calls that failed.
      health_updated_s: Time of the last update of ``latency_ratio`` and
        ``failure_rate``.
      last_byte_s: Time at which the last byte arrived from the endpoint.
      pending: Start times of this router's attempts whose latency has not been recorded
        yet, by the number of the attempt.
    """

    reported_calls: int = 0
    other_calls: float = 0.0
    reported_s: float = float("-inf")
    latency_ratio: float = 1.0
    interval_ratio: float = 1.0
    interval_updated_s: float = 0.0
    failure_rate: float = 0.0
    health_updated_s: float = 0.0
    last_byte_s: float = float("-inf")
    pending: dict[int, float] = field(default_factory=dict)

    def is_unresponsive(self, now: float) -> bool:
        """Return whether calls are pending and nothing has arrived for too long."""
        if not self.pending:
            return False
        oldest_s = next(iter(self.pending.values()))
        return now - max(oldest_s, self.last_byte_s) > UNRESPONSIVE_S

    def report_weight(self, now: float) -> float:
        """Return the weight of the last report, from 1 if fresh to 0 if too old."""
        age_s = now - self.reported_s
        if age_s > REPORT_MAX_AGE_S:
            return 0.0
        return 0.5 ** (max(0.0, age_s - REPORT_FRESH_S) / REPORT_HALF_LIFE_S)

    def report_age_s(self, now: float) -> float | None:
        """Return the age of the last report in seconds, or None without one."""
        return None if self.reported_s == float("-inf") else now - self.reported_s

    def _decay_health(self, now: float) -> None:
        decay = 0.5 ** ((now - self.health_updated_s) / HEALTH_HALF_LIFE_S)
        self.latency_ratio = 1.0 + (self.latency_ratio - 1.0) * decay
        self.failure_rate *= decay
        self.health_updated_s = now

    def record_interval_ratio(self, ratio: float, now: float) -> None:
        """Record the event interval of a finished stream.

        Args:
          ratio: Actual over expected time between events.
          now: Current time in seconds.
        """
        self.interval_ratio = self._decayed_interval_ratio(now)
        self.interval_ratio += INTERVAL_SAMPLE_WEIGHT * (
            min(ratio, MAX_RATIO) - self.interval_ratio
        )
        self.interval_updated_s = now

    def _decayed_interval_ratio(self, now: float) -> float:
        decay = 0.5 ** ((now - self.interval_updated_s) / INTERVAL_HALF_LIFE_S)
        return 1.0 + (self.interval_ratio - 1.0) * decay

    def record_response(self, ratio: float, failed: bool, now: float) -> None:
        """Record the latency and result of a response.

        Args:
          ratio: Actual over expected latency; ignored if the call failed.
          failed: Whether the endpoint failed the call.
          now: Current time in seconds.
        """
        self._decay_health(now)
        self.failure_rate += HEALTH_SAMPLE_WEIGHT * (float(failed) - self.failure_rate)
        if not failed:
            self.latency_ratio += HEALTH_SAMPLE_WEIGHT * (
                min(ratio, MAX_RATIO) - self.latency_ratio
            )

    def penalty(self, now: float) -> float:
        """Return the factor by which slowness and failures raise the effective load.

        The latency of a call varies several-fold with the length of prompt that
        has to be prefilled, so a ratio counts only above its tolerance.
        """
        self._decay_health(now)
        slowdown = max(
            1.0,
            self.latency_ratio / LATENCY_TOLERANCE,
            self._decayed_interval_ratio(now) / INTERVAL_TOLERANCE,
        )
        return slowdown / max(0.1, 1.0 - self.failure_rate)


@dataclass
class LoadTracker:
    """Load and health of all endpoints."""

    _stats: dict[tuple[str, int], EndpointStats] = field(default_factory=dict)

    def stats(self, endpoint: Endpoint) -> EndpointStats:
        """Return the load and health of an endpoint, creating them if needed."""
        stats = self._stats.get(endpoint.incarnation)
        if stats is None:
            stats = self._stats[endpoint.incarnation] = EndpointStats()
        return stats

    def record_report(self, endpoint: Endpoint, report: LoadReport, now: float) -> None:
        """Record a load report that arrived with a response."""
        self.record_load(endpoint, report.running + report.waiting, now)

    def record_load(self, endpoint: Endpoint, load: int, at_s: float) -> None:
        """Record the open calls of an endpoint, unless a newer count is known.

        This router's own open calls are subtracted to get those of other routers.

        Args:
          endpoint: The endpoint.
          load: Its open calls, from all routers.
          at_s: Time of the report.
        """
        stats = self.stats(endpoint)
        if at_s <= stats.reported_s:
            return
        stats.reported_calls = load
        stats.other_calls = max(0, load - endpoint.open_calls)
        stats.reported_s = at_s

    def load(self, endpoint: Endpoint, fallback: float, now: float) -> float:
        """Return the estimated number of open calls at an endpoint.

        Args:
          endpoint: The endpoint.
          fallback: Calls of other routers to assume instead as its report gets old.
          now: Current time in seconds.
        """
        stats = self.stats(endpoint)
        weight = stats.report_weight(now)
        return endpoint.open_calls + fallback + weight * (stats.other_calls - fallback)

    def mean_other_calls(self, endpoints: list[Endpoint], now: float) -> float:
        """Return the mean of other routers' calls; fresher reports weigh more."""
        samples = [
            (stats.report_weight(now), stats.other_calls)
            for stats in map(self.stats, endpoints)
        ]
        total = sum(weight for weight, _ in samples)
        return (
            sum(weight * calls for weight, calls in samples) / total if total else 0.0
        )

    def retain(self, incarnations: set[tuple[str, int]]) -> None:
        """Drop the load and health of all incarnations but the given ones."""
        for incarnation in [i for i in self._stats if i not in incarnations]:
            del self._stats[incarnation]
