"""What this router knows of the load and health of each endpoint."""

from dataclasses import dataclass, field

from cranberrysail.router.endpoints import Endpoint

__all__ = ["REPORT_LIFE_S", "EndpointView", "LoadBook", "LoadReport"]

# Reports come with answers. One that is older than this says less and less: what
# it told fades to the mean.
REPORT_FRESH_S = 2.0
REPORT_HALF_S = 3.0
# From then on it says nothing.
REPORT_LIFE_S = 10.0
# Weight of a new sample in the averages of an endpoint.
SAMPLE_WEIGHT = 0.2
# Time in which an endpoint that failed or was slow is half forgiven.
FORGIVE_S = 3.0
# A first answer may take this many times the mean without its endpoint being slow.
USUAL_SPREAD = 2.0
# One answer counts as no slower than this many times the mean.
MOST_SLOW = 10.0
# How fast events follow each other is nearly the same for all streams, so one that
# ran slowly says much, and a smaller difference counts.
PACE_WEIGHT = 0.5
PACE_FORGIVE_S = 5.0
PACE_SPREAD = 1.5
# Calls that wait for a first byte longer than this count as unanswered.
SILENT_S = 0.7


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an endpoint tells with an answer.

    Attributes:
      running: Calls that it works on, from all routers.
      waiting: Calls in its queue.
      slots: Calls that it works on at once.
    """

    running: int
    waiting: int
    slots: int


@dataclass(slots=True)
class EndpointView:
    """This router's view of one incarnation of an endpoint.

    Attributes:
      reported: Open calls of all routers at the last report.
      others: Those of other routers.
      reported_s: When the last report came.
      slowness: Average of the time of an answer over the time expected.
      pace: Average of the time between events over the time expected.
      paced_s: When a stream's pace was last noted.
      failing: Average share of calls that it failed.
      judged_s: When an answer was last judged.
      pending: Start of each call that has had no byte of its answer, by call.
      heard_s: When the last byte came from it.
    """

    reported: int = 0
    others: float = 0.0
    reported_s: float = float("-inf")
    slowness: float = 1.0
    pace: float = 1.0
    paced_s: float = 0.0
    failing: float = 0.0
    judged_s: float = 0.0
    heard_s: float = float("-inf")
    pending: dict[int, float] = field(default_factory=dict)

    def silent(self, now: float) -> bool:
        """Return whether calls wait there and nothing has come for long."""
        if not self.pending:
            return False
        oldest_s = next(iter(self.pending.values()))
        return now - max(oldest_s, self.heard_s) > SILENT_S

    def trust(self, now: float) -> float:
        """Return how much the last report says of now, from 0 to 1."""
        age_s = now - self.reported_s
        if age_s > REPORT_LIFE_S:
            return 0.0
        return 0.5 ** (max(0.0, age_s - REPORT_FRESH_S) / REPORT_HALF_S)

    def _fade(self, now: float) -> None:
        keep = 0.5 ** ((now - self.judged_s) / FORGIVE_S)
        self.slowness = 1.0 + (self.slowness - 1.0) * keep
        self.failing *= keep
        self.judged_s = now

    def note_pace(self, ratio: float, now: float) -> None:
        """Take how fast the events of a stream came.

        Args:
          ratio: Time between them over the time expected.
          now: Current time in seconds.
        """
        self.pace = self._pace(now)
        self.pace += PACE_WEIGHT * (min(ratio, MOST_SLOW) - self.pace)
        self.paced_s = now

    def _pace(self, now: float) -> float:
        keep = 0.5 ** ((now - self.paced_s) / PACE_FORGIVE_S)
        return 1.0 + (self.pace - 1.0) * keep

    def judge(self, ratio: float, failed: bool, now: float) -> None:
        """Take how an answer came.

        Args:
          ratio: Time that it took over the time expected.
          failed: Whether the endpoint failed the call.
          now: Current time in seconds.
        """
        self._fade(now)
        self.failing += SAMPLE_WEIGHT * (float(failed) - self.failing)
        if not failed:
            self.slowness += SAMPLE_WEIGHT * (min(ratio, MOST_SLOW) - self.slowness)

    def burden(self, now: float) -> float:
        """Return by how much its load counts more than it is.

        First answers differ several times over by how much of a prompt is read, so
        a ratio counts only beyond that.
        """
        self._fade(now)
        slow = max(1.0, self.slowness / USUAL_SPREAD, self._pace(now) / PACE_SPREAD)
        return slow / max(0.1, 1.0 - self.failing)


@dataclass
class LoadBook:
    """The views of all endpoints."""

    _views: dict[tuple[str, int], EndpointView] = field(default_factory=dict)

    def view(self, endpoint: Endpoint) -> EndpointView:
        """Return the view of an endpoint."""
        view = self._views.get(endpoint.key)
        if view is None:
            view = self._views[endpoint.key] = EndpointView()
        return view

    def report(self, endpoint: Endpoint, report: LoadReport, now: float) -> None:
        """Take a report; what this router has open there is not others' load."""
        self.note_load(endpoint, report.running + report.waiting, now)

    def note_load(self, endpoint: Endpoint, load: int, at_s: float) -> None:
        """Take the open calls that an endpoint had, unless a newer count is known.

        Args:
          endpoint: The endpoint.
          load: Its open calls, from all routers.
          at_s: When it said so.
        """
        view = self.view(endpoint)
        if at_s <= view.reported_s:
            return
        view.reported = load
        view.others = max(0, load - endpoint.open)
        view.reported_s = at_s

    def load(self, endpoint: Endpoint, fallback: float, now: float) -> float:
        """Return the open calls that an endpoint has, as far as known.

        Args:
          endpoint: The endpoint.
          fallback: Others' calls to assume if its report is old.
          now: Current time in seconds.
        """
        view = self.view(endpoint)
        trust = view.trust(now)
        return endpoint.open + fallback + trust * (view.others - fallback)

    def mean_others(self, endpoints: list[Endpoint], now: float) -> float:
        """Return the mean of others' calls over endpoints with fresh reports."""
        known = [(view.trust(now), view.others) for view in map(self.view, endpoints)]
        total = sum(trust for trust, _ in known)
        return sum(trust * others for trust, others in known) / total if total else 0.0

    def keep(self, keys: set[tuple[str, int]]) -> None:
        """Drop the views of endpoints that are gone."""
        for key in [key for key in self._views if key not in keys]:
            del self._views[key]
