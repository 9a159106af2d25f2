"""Placement: chooses the endpoint for a call.

Returning chats and shared prompts should find their prompt cache even under uneven
load. If all calls that share a prompt prefix go to one home endpoint, the prefix is
prefilled only once. Endpoints are therefore ranked by rendezvous hash of the longest
shared prefix, on which all routers agree without coordination. When the load of the
home exceeds a multiple of the mean, calls spill to the next endpoint in rank, which
fetches the cache from the home; that costs a sixth of prefilling the prefix again. If
the load of all endpoints is too high, the least loaded one gets the call.

If work is weighed, calls also spill whose first event would be late at the home and in
time at one of the next in rank. Load that comes as a few long prompts delays calls that
have no more calls beside them than usual.
"""

from collections.abc import Callable
from dataclasses import dataclass

from cranberrysail.router.endpoints import Endpoint
from cranberrysail.router.load import LoadEstimate
from cranberrysail.router.prefillbacklog import FirstEventForecast
from cranberrysail.router.rendezvous import score

__all__ = [
    "Candidate",
    "Placement",
    "PlacementBound",
    "choose_cache_source",
    "shared_prefix_id",
    "shared_prefix_length",
    "choose_endpoint",
]

# Returns samples of the standard normal distribution.
NormalSampler = Callable[[], float]
Forecaster = Callable[[Endpoint, float, bool], FirstEventForecast]
# If the highest-ranked endpoint within the spill load has no free slot, a call queues
# at the least loaded of this many in rank. A slot becomes free soon, whereas prefilling
# the prompt at yet another endpoint would lengthen all queues.
QUEUE_CANDIDATES = 2


@dataclass(frozen=True, slots=True)
class PlacementBound:
    """Bounds on the load of one endpoint relative to the mean of its service.

    Attributes:
      spill_factor: Multiple of the mean load above which calls spill to the next
        endpoint in rank.
      spill_slack: Calls added to that multiple.
      large_fleet_factor: The multiple in a fleet of many routers. It is lower there
        because a home gets more calls between two load reports, the more routers
        there are.
      large_fleet_slack: Calls added to the multiple in such a fleet.
      large_fleet_from: Number of routers up to which ``spill_factor`` and
        ``spill_slack`` apply; beyond it the bounds are interpolated.
      large_fleet_full: Number of routers from which ``large_fleet_factor`` and
        ``large_fleet_slack`` apply in full.
      cross_zone_calls: Penalty, in calls, for an endpoint in another zone when a
        call without a prompt is placed.
      weighs_work: True if the expected time to the first event decides, too. Endpoints
        that report a pace turn this on as well.
      due_share: Fraction of the time until a first event is due within which it must be
        expected at an endpoint; the rest is for what the forecast does not know.
      due_candidates: Number of endpoints in rank, within the spill load, of which the
        first one in time is chosen.
      late_gain: Fraction of the wait at its home below which the wait elsewhere must be
        for a call to leave its home if it is late everywhere.
    """

    spill_factor: float = 1.7
    spill_slack: float = 3.0
    large_fleet_factor: float = 1.2
    large_fleet_slack: float = 2.0
    large_fleet_from: int = 10
    large_fleet_full: int = 50
    cross_zone_calls: float = 0.5
    weighs_work: bool = False
    due_share: float = 0.85
    due_candidates: int = 3
    late_gain: float = 0.5

    def spill_load(self, mean: float, routers: int) -> float:
        """Return the load above which calls spill to the next endpoint in rank.

        Args:
          mean: Mean load over the endpoints of the service.
          routers: Number of routers in the fleet.
        """
        fraction = (routers - self.large_fleet_from) / (
            self.large_fleet_full - self.large_fleet_from
        )
        fraction = min(1.0, max(0.0, fraction))
        factor = self.spill_factor + fraction * (
            self.large_fleet_factor - self.spill_factor
        )
        slack = self.spill_slack + fraction * (
            self.large_fleet_slack - self.spill_slack
        )
        return mean * factor + slack


@dataclass(slots=True)
class Candidate:
    """An endpoint that may be chosen for a call.

    Attributes:
      slots: Calls that the endpoint processes concurrently.
      estimator: Returns the effective load of an endpoint: its open calls, raised if it
        is slow or failing. It is asked only for endpoints that are looked at, which
        are few of many.
      deprioritized: True if it is used only when all candidates are deprioritized,
        for example after connection failures or while it is unresponsive.
      forecaster: Returns when the first event of the call is expected, by endpoint, the
        number of calls assumed there, and whether it is the home of the call's prompt;
        None if work is not weighed.
      pace: Expected time that work takes at the endpoint, as a multiple of the usual
        time; set only for a call without a prompt.
    """

    endpoint: Endpoint
    slots: int
    estimator: Callable[[Endpoint], LoadEstimate]
    deprioritized: bool = False
    forecaster: Forecaster | None = None
    pace: float = 1.0
    _estimate: LoadEstimate | None = None

    @property
    def estimate(self) -> LoadEstimate:
        """Return the effective load."""
        if self._estimate is None:
            self._estimate = self.estimator(self.endpoint)
        return self._estimate

    @property
    def load(self) -> float:
        """Return the expected effective load."""
        return self.estimate.mean

    def sample_load(self, normal: NormalSampler) -> float:
        """Return a random load that the endpoint may have."""
        return self.estimate.mean + self.estimate.deviation * normal()


@dataclass(frozen=True, slots=True)
class Placement:
    """The endpoint chosen for a call.

    Attributes:
      rank: Number of usable endpoints that rank higher for the call's prefix, 0 for the
        home endpoint; None for a call without a prompt.
      forecast: When the first event is expected, if work is weighed.
      left_late: True if the call spilled because its first event would have been late
        at an endpoint that ranks higher.
    """

    candidate: Candidate
    rank: int | None = None
    forecast: FirstEventForecast | None = None
    left_late: bool = False


def shared_prefix_id(parts: tuple[str, ...]) -> str:
    """Return the id of the longest prompt prefix that other calls may share.

    That is the id of the second last part, as the last part is usually specific to the
    call; a prompt of a single part is taken as shared. Without parts the id is empty.

    Args:
      parts: Ids of the prompt's parts in order.
    """
    return parts[shared_prefix_length(parts) - 1] if parts else ""


def shared_prefix_length(parts: tuple[str, ...]) -> int:
    """Return the number of parts of the longest prefix that other calls may share."""
    return min(len(parts), max(1, len(parts) - 1))


def choose_endpoint(
    candidates: list[Candidate],
    prefix_id: str,
    zone: str,
    bound: PlacementBound,
    spill_load: float,
    normal: NormalSampler,
    due_s: float | None = None,
) -> Placement | None:
    """Return the endpoint for a call, or None if there is no candidate.

    Args:
      candidates: Endpoints that may be chosen.
      prefix_id: Id of the shared prompt prefix; empty for a call without a prompt.
      zone: The router's availability zone.
      bound: Gives the penalty for another zone, for a call without a prompt.
      spill_load: Load above which calls spill to the next endpoint in rank.
      normal: Samples the loads, so that routers with the same reports choose
        differently.
      due_s: Time within which the first event must be expected at an endpoint; None if
        work is not weighed.
    """
    if not candidates:
        return None
    available = [c for c in candidates if not c.deprioritized] or candidates
    if not prefix_id:

        def sort_key(candidate: Candidate) -> tuple[float, float]:
            same_zone = candidate.endpoint.record.zone == zone
            penalty = 0.0 if same_zone else bound.cross_zone_calls
            load = candidate.sample_load(normal)
            if due_s is not None:
                # The call itself counts, so that pace matters at an idle endpoint too.
                load = (load + 1) * candidate.pace
            # Endpoints of equal load are chosen at random.
            return load + penalty, normal()

        chosen = min(available, key=sort_key)
        return Placement(chosen, forecast=_forecast(chosen, chosen.load, False))
    ranked = sorted(
        available, key=lambda c: score(prefix_id, c.endpoint.id), reverse=True
    )
    if due_s is not None:
        return _choose_in_time(ranked, spill_load, due_s, bound, normal)
    chosen = _choose_ranked(ranked, spill_load, normal)
    return Placement(chosen, ranked.index(chosen))


def _choose_ranked(
    ranked: list[Candidate], spill_load: float, normal: NormalSampler
) -> Candidate:
    within_spill_load: list[tuple[float, Candidate]] = []
    for candidate in ranked:
        load = candidate.sample_load(normal)
        if load > spill_load:
            continue
        if not within_spill_load and load < candidate.slots:
            return candidate
        within_spill_load.append((load, candidate))
        if len(within_spill_load) == QUEUE_CANDIDATES:
            break
    options = within_spill_load or [(c.sample_load(normal), c) for c in ranked]
    return min(options, key=lambda option: option[0])[1]


def _choose_in_time(
    ranked: list[Candidate],
    spill_load: float,
    due_s: float,
    bound: PlacementBound,
    normal: NormalSampler,
) -> Placement:
    """Return the first endpoint in rank where the first event is expected in time.

    If there is none, the call stays at the first one within the spill load, as long as
    the wait elsewhere is not much shorter: leaving costs a cache fetch.
    """
    options: list[Placement] = []
    for rank, candidate in enumerate(ranked):
        load = candidate.sample_load(normal)
        if load > spill_load:
            continue
        forecast = _forecast(candidate, load, rank == 0)
        placement = Placement(candidate, rank, forecast, bool(options))
        if forecast.wait_s <= due_s:
            return placement
        options.append(placement)
        if len(options) == bound.due_candidates:
            break
    if not options:
        rank, candidate = min(
            enumerate(ranked), key=lambda option: option[1].sample_load(normal)
        )
        return Placement(
            candidate, rank, _forecast(candidate, candidate.load, rank == 0)
        )
    first = options[0]
    best = min(options, key=lambda option: option.forecast.wait_s)
    is_better = best.forecast.wait_s < first.forecast.wait_s * bound.late_gain
    return best if is_better else first


def _forecast(
    candidate: Candidate, load: float, at_home: bool
) -> FirstEventForecast | None:
    if candidate.forecaster is None:
        return None
    return candidate.forecaster(candidate.endpoint, load, at_home)


def choose_cache_source(
    endpoints: list[Endpoint], prefix_id: str, target: Endpoint
) -> Endpoint | None:
    """Return the endpoint that most likely has the prompt cache for a call.

    Args:
      endpoints: Reachable endpoints, including draining ones.
      prefix_id: Id of the shared prompt prefix.
      target: Endpoint chosen for the call, which is to fetch the cache.
    """
    others = [e for e in endpoints if e is not target]
    return max(others, key=lambda e: score(prefix_id, e.id), default=None)
