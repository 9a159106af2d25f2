"""Placement and scheduling policies to be compared by simulation."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cranberrysail.benchmark.arrivals import Arrival
from cranberrysail.benchmark.config import CallProfile
from cranberrysail.registry import Registry
from cranberrysail.router.admission import AdmissionBound, RefusalReason
from cranberrysail.router.endpoints import Endpoint
from cranberrysail.router.placement import PlacementBound, choose_cache_source
from cranberrysail.router.prefillbacklog import CallWork
from cranberrysail.router.rendezvous import score
from cranberrysail.router.selector import Choice

if TYPE_CHECKING:
    from cranberrysail.benchmark.simulation import SimulatedRouter, Simulation

__all__ = ["POLICIES", "BasePolicy", "PlacementRequest"]

# Factor and slack of a spill load that no endpoint reaches.
UNBOUNDED = 1e9


@dataclass(frozen=True)
class PlacementRequest:
    """A call to be placed.

    Attributes:
      simulation: Simulation that provides the time and the state of the engines.
      router: Router that received the call.
      profile: Profile of the call.
      arrival: Arrival of the call.
      remaining_s: Time until the caller's deadline.
    """

    simulation: "Simulation"
    router: "SimulatedRouter"
    profile: CallProfile
    arrival: Arrival
    remaining_s: float

    @property
    def work(self) -> CallWork:
        """Return the work of the call, and the time until its first token is due."""
        arrival = self.arrival
        waited_s = self.simulation.now - arrival.at_s
        return CallWork(
            arrival.shared + arrival.own,
            arrival.shared,
            self.profile.aim_ms / 1000 - waited_s,
        )

    def ranked_endpoints(self) -> list[Endpoint]:
        """Return the engines by rendezvous rank for the shared prefix, highest first.

        The first one is the home endpoint of the prefix.
        """
        return sorted(
            self.router.endpoints.values(),
            key=lambda e: score(self.arrival.prefix_id, e.id),
            reverse=True,
        )


class BasePolicy(ABC):
    """Chooses the engine of a call and the priority of the call there.

    Attributes:
      placement_bound: Load above which calls spill from their home endpoint.
      admission_bound: Limit on queueing time above which calls are refused, and limits
        on retry delays.
      gossips_load: True if the routers of a zone exchange load gossip.
      learns_speed: True if routers measure the response speed of engines.
      fetches_cache: True if engines fetch cached prefixes from each other.
      reads_pace: True if routers read the pace in load reports.
      max_open_calls: Maximum number of open calls of one router at one engine;
        further calls queue at the router. 0 for no limit.
    """

    placement_bound = PlacementBound()
    admission_bound = AdmissionBound()
    gossips_load = True
    learns_speed = True
    fetches_cache = True
    reads_pace = True
    max_open_calls = 0

    @abstractmethod
    def choose(self, request: PlacementRequest) -> Choice:
        """Choose the engine of a call, or refuse the call.

        Args:
          request: The call and the router that received it.
        """

    def priority(self, profile: CallProfile) -> int:
        """Return the priority of a call at its engine; 0 is the most urgent."""
        return profile.priority


POLICIES: Registry[type[BasePolicy]] = Registry("policy")


@POLICIES.register("as the product")
class DefaultPolicy(BasePolicy):
    """Placement and admission as in the serving router."""

    def choose(self, request: PlacementRequest) -> Choice:
        """Return the choice of the router's selector."""
        # The last id stands for the part of the prompt that no other call shares.
        prompt_parts = (request.arrival.prefix_id, "own")
        return request.router.choose(
            request.simulation.tables,
            prompt_parts,
            request.remaining_s,
            request.simulation.now,
            request.work,
        )


@POLICIES.register("by calls")
class CallCountPolicy(DefaultPolicy):
    """As the product, without pace and without the work of calls."""

    reads_pace = False


@POLICIES.register("by work")
class WorkPolicy(DefaultPolicy):
    """As the product where calls are placed by their work."""

    placement_bound = PlacementBound(weighs_work=True)


@POLICIES.register("least loaded")
class LeastLoadedPolicy(DefaultPolicy):
    """Places by load alone, ignoring shared prefixes, and without cache fetches."""

    fetches_cache = False

    def choose(self, request: PlacementRequest) -> Choice:
        """Return the least loaded engine, as far as the router knows the loads."""
        return request.router.choose(
            request.simulation.tables, (), request.remaining_s, request.simulation.now
        )


@POLICIES.register("without fetching")
class NoFetchPolicy(DefaultPolicy):
    """Spilled calls process their shared prefix again instead of fetching it."""

    fetches_cache = False


@POLICIES.register("spill early")
class EarlySpillPolicy(DefaultPolicy):
    """Calls spill at 1.25 times the mean load plus 2 calls, in fleets of any size."""

    placement_bound = PlacementBound(1.25, 2.0, 1.25, 2.0)


@POLICIES.register("spill late")
class LateSpillPolicy(DefaultPolicy):
    """Calls spill at 1.7 times the mean load plus 3 calls, in fleets of any size."""

    placement_bound = PlacementBound(large_fleet_factor=1.7, large_fleet_slack=3.0)


@POLICIES.register("without news")
class NoLoadGossipPolicy(DefaultPolicy):
    """Routers learn loads only from the responses to their own calls."""

    gossips_load = False


@POLICIES.register("speed not learnt")
class NoSpeedLearningPolicy(DefaultPolicy):
    """Engine speed is ignored in the comparison of loads."""

    learns_speed = False


@POLICIES.register("never spill")
class NeverSpillPolicy(DefaultPolicy):
    """Calls always go to their home endpoint, whatever its load."""

    placement_bound = PlacementBound(UNBOUNDED, UNBOUNDED, UNBOUNDED, UNBOUNDED)


@POLICIES.register("queue at the entry")
class RouterQueuePolicy(DefaultPolicy):
    """Routers limit their open calls at each engine and queue the others."""

    max_open_calls = 3


@POLICIES.register("no urgency")
class NoPriorityPolicy(DefaultPolicy):
    """Engines admit calls in order of arrival."""

    def priority(self, profile: CallProfile) -> int:
        """Return the same priority for all calls."""
        return 0


@POLICIES.register("shortest first")
class ShortestFirstPolicy(DefaultPolicy):
    """Engines admit call profiles with short prompts first."""

    def priority(self, profile: CallProfile) -> int:
        """Return a priority from 0 to 9 that is less urgent for longer prompts."""
        return min(9, (profile.shared + profile.own).bit_length() // 2)


@POLICIES.register("refuse early")
class EarlyRefusalPolicy(DefaultPolicy):
    """Refuses calls that would queue for more than a tenth of their remaining time."""

    admission_bound = AdmissionBound(max_wait_share=0.1)


@dataclass(frozen=True)
class _Forecast:
    """Predicted time to the first token of a call at one engine."""

    first_token_ms: float
    engine_name: str


@POLICIES.register("refuse the late")
class RefuseLatePolicy(DefaultPolicy):
    """Refuses calls whose first token would miss its target.

    The prediction uses the actual state of the chosen engine, which a real router does
    not know. The retry delay is based on the time that the engine needs for the prompts
    queued at it. Calls whose prompt alone takes longer than the target are not refused.
    """

    def choose(self, request: PlacementRequest) -> Choice:
        """Return the router's choice, or a refusal if the target would be missed."""
        choice = super().choose(request)
        if choice.endpoint is None:
            return choice
        engine, arrival = (
            request.simulation.engines[choice.endpoint.id],
            request.arrival,
        )
        prefix_tokens = (
            0 if arrival.prefix_id in engine.cached_prefixes else arrival.shared
        )
        queue_ms = engine.config.prefill_ms(engine.pending_prefill_tokens)
        prefill_ms = engine.config.prefill_ms(prefix_tokens + arrival.own)
        if (
            queue_ms + prefill_ms <= request.profile.aim_ms
            or prefill_ms > request.profile.aim_ms
        ):
            return choice
        return Choice(None, RefusalReason.FULL, wait_s=queue_ms / 1000)


@POLICIES.register("and back at once")
class RefuseLateShortRetryPolicy(RefuseLatePolicy):
    """Like "refuse the late", but with a fixed retry delay of 50 ms."""

    admission_bound = AdmissionBound(min_retry_s=0.05, max_retry_s=0.05)


@POLICIES.register("two homes")
class TwoChoicesPolicy(BasePolicy):
    """Chooses the less loaded of the two highest-ranked engines of a prefix."""

    def choose(self, request: PlacementRequest) -> Choice:
        """Return the less loaded candidate, with the other one as the cache source."""
        candidates = request.ranked_endpoints()[:2]
        loads = request.router.expected_loads(candidates, request.simulation.now)
        best = min(candidates, key=lambda e: loads[e.id])
        source = next((e for e in candidates if e is not best), None)
        return Choice(best, cache_source=source)


@POLICIES.register("soonest as believed")
class EstimatedFirstTokenPolicy(BasePolicy):
    """Minimizes the time to the first token, estimated from what the router knows."""

    def choose(self, request: PlacementRequest) -> Choice:
        """Return the engine with the lowest estimate.

        The estimate is in prompt tokens: the number of open calls times the mean number
        of tokens after the shared prefix, plus the cost of fetching the prefix if the
        engine is not its home endpoint.
        """
        endpoints = list(request.router.endpoints.values())
        home = request.ranked_endpoints()[0]
        loads = request.router.expected_loads(endpoints, request.simulation.now)
        config = request.simulation.config
        mean_own_tokens = sum(c.rate * c.own for c in config.calls)
        mean_own_tokens /= sum(c.rate for c in config.calls)
        fetch_tokens = request.arrival.shared * config.engines.fetch_share
        best = min(
            endpoints,
            key=lambda e: (
                loads[e.id] * mean_own_tokens + fetch_tokens * (e is not home)
            ),
        )
        return Choice(best, cache_source=home if best is not home else None)


@POLICIES.register("all-knowing")
class OraclePolicy(BasePolicy):
    """Minimizes the time to the first token, given the actual state of all engines.

    A real router does not have this knowledge; the policy serves as the reference for
    the best achievable result.
    """

    def choose(self, request: PlacementRequest) -> Choice:
        """Return the engine with the shortest predicted time to the first token."""
        prefix_id = request.arrival.prefix_id
        engine_config = request.simulation.config.engines
        is_cached = any(
            prefix_id in engine.cached_prefixes
            for engine in request.simulation.engines.values()
        )
        forecasts = []
        for name, engine in request.simulation.engines.items():
            cost_per_token = engine_config.fetch_share if is_cached else 1.0
            prefix_tokens = (
                0.0
                if prefix_id in engine.cached_prefixes
                else request.arrival.shared * cost_per_token
            )
            tokens = engine.pending_prefill_tokens + prefix_tokens + request.arrival.own
            # Assumes a wait of ten steps for each call in excess of the slots.
            queue_ms = (
                max(0, engine.load + 1 - engine_config.slots)
                * engine_config.step_ms
                * 10
            )
            forecasts.append(
                _Forecast(engine_config.prefill_ms(tokens) + queue_ms, name)
            )
        best = request.router.endpoints[
            min(forecasts, key=lambda f: f.first_token_ms).engine_name
        ]
        sources = [
            e
            for e in request.router.endpoints.values()
            if prefix_id in request.simulation.cached_prefixes(e)
        ]
        return Choice(best, cache_source=choose_cache_source(sources, prefix_id, best))
