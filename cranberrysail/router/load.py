"""Load and health of each endpoint, as far as this router knows.

Load reports are old when they are used, and all routers of a zone have the same ones.
If each took them at face value, all would choose the same endpoint until the next
reports. A load is therefore estimated as a distribution, and routers choose by a sample
of it. The distribution is that of a queue with unlimited servers: a reported call is
still open with a probability that decays with the report's age, at the rate at which
calls end, and new ones arrive as at the other endpoints.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from cranberrysail.router.endpoints import Endpoint
from cranberrysail.router.prefillbacklog import (
    FirstEventForecast,
    PaceEstimate,
    PrefillModel,
    parse_pace,
)

__all__ = [
    "REPORT_MAX_AGE_S",
    "EndpointStats",
    "LoadEstimate",
    "LoadReport",
    "LoadTracker",
]

# Older reports are ignored.
REPORT_MAX_AGE_S = 10.0
# An endpoint may be silent for this many mean intervals between reports before it is
# assumed to have fewer calls than the others, as each of its calls brings a report.
SILENT_INTERVALS = 2.0
# A report that is newer than the known one by less than this is the same one: its age
# shifts by the transit time each time it is passed on.
SAME_REPORT_S = 0.02
# Lower limit of the mean interval between reports: as many reports arrive at once when
# routers exchange them.
MIN_REPORT_INTERVAL_S = 0.5
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
# Time constant with which a backlog of prompts returns to its mean.
BACKLOG_MEMORY_S = 0.6
# Time constant of the mean backlog of an endpoint.
MEAN_BACKLOG_S = 3.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an endpoint reports with a response.

    Attributes:
      running: Calls in progress, from all routers.
      waiting: Calls in its queue.
      slots: Calls that the endpoint processes concurrently.
      pace_percent: Time that work takes on the endpoint's host at present, in percent
        of the usual time; None if the endpoint does not say.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int | None = None

    @property
    def pace(self) -> float:
        """Return the pace as a multiple of the usual time; 0 if there is none."""
        return parse_pace(self.pace_percent)


@dataclass(frozen=True, slots=True)
class LoadEstimate:
    """Estimated number of open calls at an endpoint.

    Attributes:
      mean: Expected number.
      deviation: Standard deviation.
    """

    mean: float
    deviation: float


@dataclass(slots=True)
class EndpointStats:
    """Load and health of one incarnation of an endpoint.

    Attributes:
      reported_calls: Open calls of all routers in the last report, without the call
        that brought it: at its arrival a call finds the mean number, and adds one.
      other_calls: Those of them that belong to other routers.
      reported_s: Time of the last report.
      received_s: Time at which it reached this router.
      received_from: Name of the router that passed it on; empty if it came with a
        response.
      latency_ratio: Moving average of actual over expected latency.
      interval_ratio: Moving average of actual over expected time between events.
      interval_updated_s: Time of the last update of ``interval_ratio``.
      failure_rate: Moving average of the fraction of calls that failed.
      health_updated_s: Time of the last update of ``latency_ratio`` and
        ``failure_rate``.
      last_byte_s: Time at which the last byte arrived from the endpoint.
      pending: Start times of this router's attempts whose latency has not been recorded
        yet, by the number of the attempt.
      prefilling: Forecasts of those of them that have no first event yet.
      reported_waiting: Calls without a first event in the last report.
      other_waiting: Calls of other routers without a first event, in the last report.
      mean_waiting: Moving average of ``other_waiting``. Homes of popular prompts have
        more, so a backlog returns to this mean and not to that of all endpoints.
      pace: Reported pace, as a multiple of the usual time; 0 if there is none.
    """

    reported_calls: int = 0
    other_calls: float = 0.0
    reported_s: float = float("-inf")
    received_s: float = float("-inf")
    received_from: str = ""
    latency_ratio: float = 1.0
    interval_ratio: float = 1.0
    interval_updated_s: float = 0.0
    failure_rate: float = 0.0
    health_updated_s: float = 0.0
    last_byte_s: float = float("-inf")
    pending: dict[int, float] = field(default_factory=dict)
    prefilling: dict[int, FirstEventForecast] = field(default_factory=dict)
    reported_waiting: int = 0
    other_waiting: float = 0.0
    mean_waiting: float = 0.0
    pace: float = 0.0

    def begin_attempt(
        self, number: int, forecast: FirstEventForecast | None, now: float
    ) -> None:
        """Record that an attempt is sent to the endpoint.

        Args:
          number: Number of the attempt.
          forecast: When its first event is expected, if known.
          now: Current time in seconds.
        """
        self.pending[number] = now
        if forecast is not None:
            self.prefilling[number] = forecast

    def end_attempt(self, number: int) -> FirstEventForecast | None:
        """Record that an attempt got its first data or ended; return its forecast."""
        self.pending.pop(number, None)
        return self.prefilling.pop(number, None)

    def backlog(
        self, model: PrefillModel, now: float, normal: float
    ) -> tuple[float, float]:
        """Return a sample of the calls and prompt tokens ahead of a call.

        Args:
          model: Mean work of a call.
          now: Current time in seconds.
          normal: Sample of the standard normal distribution, so that routers with the
            same reports choose differently.
        """
        age_s = max(0.0, now - self.reported_s)
        valid = math.exp(-age_s / BACKLOG_MEMORY_S)
        others = self.mean_waiting + valid * (self.other_waiting - self.mean_waiting)
        variance = (1.0 - valid) * (valid * self.other_waiting + self.mean_waiting)
        others = max(0.0, others + normal * math.sqrt(variance))
        own = sum(forecast.call_tokens for forecast in self.prefilling.values())
        calls = len(self.prefilling) + others
        return calls, own + others * model.mean_call_tokens

    def is_unresponsive(self, now: float) -> bool:
        """Return whether calls are pending and nothing has arrived for too long."""
        if not self.pending:
            return False
        oldest_s = next(iter(self.pending.values()))
        return now - max(oldest_s, self.last_byte_s) > UNRESPONSIVE_S

    def open_fraction(self, now: float, residual_s: float) -> float:
        """Return the expected fraction of the last report's calls still open.

        Args:
          now: Current time in seconds.
          residual_s: Mean time for which calls found open stay open.
        """
        age_s = max(0.0, now - self.reported_s)
        if age_s > REPORT_MAX_AGE_S:
            return 0.0
        return math.exp(-age_s / residual_s)

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
    """Load and health of all endpoints.

    Attributes:
      paces: Mean pace of the endpoints that report one.
    """

    _stats: dict[tuple[str, int], EndpointStats] = field(default_factory=dict)
    # Endpoints by incarnation, in the order in which their last reports arrived.
    _by_arrival: dict[tuple[str, int], Endpoint] = field(default_factory=dict)
    paces: PaceEstimate = field(default_factory=PaceEstimate)

    def stats(self, endpoint: Endpoint) -> EndpointStats:
        """Return the load and health of an endpoint, creating them if needed."""
        stats = self._stats.get(endpoint.incarnation)
        if stats is None:
            stats = self._stats[endpoint.incarnation] = EndpointStats()
        return stats

    def record_report(self, endpoint: Endpoint, report: LoadReport, now: float) -> None:
        """Record a load report that arrived with the response to an open call."""
        load = report.running + report.waiting
        stats = self.stats(endpoint)
        if now <= stats.reported_s:
            return
        stats.reported_calls = max(0, load - 1)
        stats.other_calls = max(0, load - endpoint.open_calls)
        interval_s, stats.reported_s = now - stats.reported_s, now
        stats.received_from = ""
        # The call that brought the report has its first event.
        own_waiting = max(0, len(stats.prefilling) - 1)
        self._record_work(stats, report.waiting, own_waiting, report.pace, interval_s)
        self._mark_received(endpoint, stats, now)

    def _mark_received(
        self, endpoint: Endpoint, stats: EndpointStats, now: float
    ) -> None:
        stats.received_s = now
        self._by_arrival.pop(endpoint.incarnation, None)
        self._by_arrival[endpoint.incarnation] = endpoint

    def received_since(self, since_s: float) -> Iterator[Endpoint]:
        """Return the endpoints whose last report arrived at a time or later."""
        for endpoint in reversed(self._by_arrival.values()):
            if self.stats(endpoint).received_s < since_s:
                return
            yield endpoint

    def record_load(
        self,
        endpoint: Endpoint,
        load: int,
        at_s: float,
        now: float,
        waiting: int = 0,
        pace: float = 0.0,
        source: str = "",
    ) -> None:
        """Record a load that another router reports, unless a newer one is known.

        This router's own open calls are subtracted to get those of other routers.

        Args:
          endpoint: The endpoint.
          load: Its open calls, from all routers, as in ``reported_calls``.
          at_s: Time of the report.
          now: Current time in seconds.
          waiting: Those of the calls that have no first event.
          pace: Reported pace, as a multiple of the usual time; 0 if there is none.
          source: Name of the other router; empty if unknown.
        """
        stats = self.stats(endpoint)
        if at_s <= stats.reported_s + SAME_REPORT_S:
            return
        stats.reported_calls = load
        stats.other_calls = max(0, load - endpoint.open_calls)
        interval_s, stats.reported_s = at_s - stats.reported_s, at_s
        stats.received_from = source
        self._record_work(stats, waiting, len(stats.prefilling), pace, interval_s)
        self._mark_received(endpoint, stats, now)

    def _record_work(
        self,
        stats: EndpointStats,
        waiting: int,
        own_waiting: int,
        pace: float,
        interval_s: float,
    ) -> None:
        stats.reported_waiting = waiting
        stats.other_waiting = max(0, waiting - own_waiting)
        weight = 1.0 - math.exp(-max(0.0, interval_s) / MEAN_BACKLOG_S)
        stats.mean_waiting += weight * (stats.other_waiting - stats.mean_waiting)
        stats.pace = pace
        if pace:
            self.paces.add_sample(pace)

    def pace(self, endpoint: Endpoint, now: float) -> float:
        """Return the expected pace of an endpoint, as a multiple of the usual time.

        It is 1 for endpoints that report no pace.
        """
        stats = self.stats(endpoint)
        if not stats.pace:
            return 1.0
        return self.paces.expected(stats.pace, now - stats.reported_s)

    def estimate(
        self, endpoint: Endpoint, typical: float, now: float, residual_s: float
    ) -> LoadEstimate:
        """Return the estimated number of open calls at an endpoint.

        Args:
          endpoint: The endpoint.
          typical: Mean number of other routers' calls at the endpoints.
          now: Current time in seconds.
          residual_s: Mean time for which calls found open stay open.
        """
        stats = self.stats(endpoint)
        open_fraction = stats.open_fraction(now, residual_s)
        arrived = typical * (1.0 - open_fraction)
        still_open = stats.other_calls * open_fraction
        return LoadEstimate(
            endpoint.open_calls + still_open + arrived,
            math.sqrt(still_open * (1.0 - open_fraction) + arrived),
        )

    def expected_other_calls(
        self, endpoints: list[Endpoint], now: float
    ) -> list[float]:
        """Return the expected number of other routers' calls at each endpoint.

        An endpoint reports with each call, so one that has been silent for long has few
        calls; without this, idle endpoints would count like the mean of the busy ones.
        """
        all_stats = [self.stats(endpoint) for endpoint in endpoints]
        recent = [s for s in all_stats if now - s.reported_s <= REPORT_MAX_AGE_S]
        if not recent:
            return [0.0] * len(endpoints)
        interval_s = max(
            MIN_REPORT_INTERVAL_S, sum(now - s.reported_s for s in recent) / len(recent)
        )
        unknown = sum(s.other_calls for s in recent) / len(recent)
        found = []
        for endpoint, stats in zip(endpoints, all_stats, strict=True):
            is_recent = now - stats.reported_s <= REPORT_MAX_AGE_S
            silent_s = now - (stats.reported_s if is_recent else endpoint.declared_s)
            calls = stats.other_calls if is_recent else unknown
            excess = max(0.0, silent_s / interval_s - SILENT_INTERVALS)
            # The probability that a loaded endpoint is silent for so long.
            found.append(calls * math.exp(-excess))
        return found

    def retain(self, incarnations: set[tuple[str, int]]) -> None:
        """Drop the load and health of all incarnations but the given ones."""
        for incarnation in [i for i in self._stats if i not in incarnations]:
            del self._stats[incarnation]
            self._by_arrival.pop(incarnation, None)
