"""Checks of invariants against the actual state of a simulated fleet."""

import math
from collections import Counter, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cranberrysail.decisions.calls import MAX_GRANT_WAIT_S
from cranberrysail.decisions.events import HostState
from cranberrysail.decisions.invariants import Invariant, InvariantCounts
from cranberrysail.decisions.tablesync import TABLES_STREAM
from cranberrysail.simulation.engine import WARM_UP_CALLS, EngineModel
from cranberrysail.simulation.state import CallOutcome
from cranberrysail.tables import Idempotency

if TYPE_CHECKING:
    from cranberrysail.simulation.fleet import FleetSimulation

__all__ = ["InvariantChecker"]

# Time within which all routers must learn that a zone or host is out of service.
OUT_OF_SERVICE_GRACE_S = 3.0
# Age limit of the load of each zone in a pool, as an owner of an endpoint knows it.
LOAD_WINDOW_S = 5.0
# Time within which routers must detect an unannounced restart of an engine.
RESTART_DETECTION_S = 3.0
# Time after a partition until all routers know the load of all zones again.
PARTITION_RECOVERY_S = 20.0
# Interval at which partitions are recorded.
PARTITION_CHECK_INTERVAL_S = 0.25


@dataclass(frozen=True)
class _LoadSample:
    """Actual load of a pool at one time.

    Attributes:
      at_s: Time of the sample.
      open_by_zone: Open calls by zone.
      total_weight: Sum of the weights of the endpoints in service.
      weights: Number of open calls that the owner allows, by endpoint.
    """

    at_s: float
    open_by_zone: Counter
    total_weight: float
    weights: dict[str, int]


class InvariantChecker:
    """Checks invariants against the actual state of the endpoints.

    Attributes:
      invariants: Counts of checks and violations.
      cold_since_s: Time of the latest cold start, by endpoint.
    """

    def __init__(self, fleet: "FleetSimulation") -> None:
        """Create a checker without violations.

        Args:
          fleet: The fleet to check.
        """
        self._fleet = fleet
        self.invariants = InvariantCounts()
        self.cold_since_s: dict[str, float] = {}
        self._isolated_at_s: dict[str, float] = {}
        self._partitioned_at_s = -math.inf
        self._loads: dict[str, deque[_LoadSample]] = {}

    def _check(self, invariant: Invariant, holds: bool, detail: str) -> None:
        self.invariants.check(invariant, holds, self._fleet.now, detail)

    def _can_learn_newest_version(self, zone: str) -> bool:
        """Return whether a zone can learn of the newest version of the tables.

        Zones learn of it from the log, or through other zones that know it or can
        learn of it.
        """
        zones = {spec.zone for spec in self._fleet.specs.values()}
        end = self._fleet.log.read_at(TABLES_STREAM, 0, self._fleet.now, 0).end
        informed = (
            set()
            if self._fleet.faults.log_down
            else zones - self._fleet.faults.zones_without_log
        )
        informed |= {
            self._fleet.specs[name].zone
            for name, node in self._fleet.nodes.items()
            if node.board.tables.version == end
        }
        while informed and zone not in informed:
            newly_informed = {
                other
                for other in zones - informed
                if any(self._fleet.reachable(other, known) for known in informed)
            }
            if not newly_informed:
                break
            informed |= newly_informed
        return zone in informed

    def watch_partitions(self) -> None:
        """Record which zones are cut off, now and at regular intervals."""
        for zone in {spec.zone for spec in self._fleet.specs.values()}:
            if not self._can_learn_newest_version(zone):
                self._isolated_at_s[zone] = self._fleet.now
        if self._fleet.faults.partitions or self._has_zone_without_running_router():
            self._partitioned_at_s = self._fleet.now
        self._fleet.schedule(PARTITION_CHECK_INTERVAL_S, self.watch_partitions)

    def _has_zone_without_running_router(self) -> bool:
        """Return whether some zone has no running router.

        To routers in other zones, this looks like a partition.
        """
        running = {
            self._fleet.specs[name].zone
            for name in self._fleet.nodes
            if not self._fleet.is_paused(name)
        }
        return running != {spec.zone for spec in self._fleet.specs.values()}

    def _sample_load(self, pool: str) -> _LoadSample:
        open_by_zone: Counter = Counter()
        total_weight = 0.0
        weights: dict[str, int] = {}
        for engine in self._fleet.engines.values():
            if engine.host.pool == pool:
                open_by_zone[engine.host.zone] += len(engine.open_calls)
                weight = weights[engine.host.name] = self._weight(engine)
                total_weight += weight if self._in_service(engine) else 0.0
        return _LoadSample(self._fleet.now, open_by_zone, total_weight, weights)

    def _max_recent_weight(self, engine: EngineModel) -> int:
        """Return the highest weight of an endpoint within the lifetime of a grant.

        A call that starts now was admitted within that time, perhaps under another
        limit. The current weight is not enough: during a handover no router owns the
        endpoint, and its weight is 0.
        """
        name = engine.host.name
        return max(
            load.weights[name]
            for load in self._loads[engine.host.pool]
            if self._fleet.now - load.at_s <= MAX_GRANT_WAIT_S
        )

    def _weight(self, engine: EngineModel) -> int:
        """Return the slow-start limit of an endpoint at its owner.

        This is the highest limit if several running routers own the endpoint, and 0 if
        none does.
        """
        name = engine.host.name
        limits = [
            node.board.owned_endpoints[name].slow_start.limit()
            for router, node in self._fleet.nodes.items()
            if name in node.board.owned_endpoints
            and self._fleet.paused_until_s.get(router, 0.0) <= self._fleet.now
        ]
        return max(limits, default=0)

    def _in_service(self, engine: EngineModel) -> bool:
        listed = self._fleet.listed.get(engine.host.name)
        return (
            engine.alive
            and listed is not None
            and listed.state is HostState.LIVE
            and engine.host.zone not in self._fleet.zone_out_since_s
            and engine.host.host not in self._fleet.host_out_since_s
        )

    def record_load(self, pool: str) -> None:
        """Record the current load of a pool and drop samples outside the window."""
        recent = self._loads.setdefault(pool, deque())
        recent.append(self._sample_load(pool))
        while self._fleet.now - recent[0].at_s > LOAD_WINDOW_S:
            recent.popleft()

    def check_call_start(self, engine: EngineModel, outcome: CallOutcome) -> None:
        """Check the invariants that concern the start of a call's execution.

        Args:
          engine: The endpoint at which the call starts.
          outcome: State of the call before the start.
        """
        self._check_out_of_service(engine)
        self._check_cold_limit(engine)
        self._check_load_bound(engine)
        safe = outcome.arrived.route.idempotency is Idempotency.SAFE
        allowed = safe or outcome.executions == 0
        key = outcome.arrived.key
        allowed = allowed and not (key and self._fleet.executions_by_key[key])
        detail = f"{outcome.arrived.request_id} {key}"
        self._check(Invariant.AT_MOST_ONCE, allowed, detail)

    def _check_out_of_service(self, engine: EngineModel) -> None:
        for name, since_s in (
            (engine.host.zone, self._fleet.zone_out_since_s),
            (engine.host.host, self._fleet.host_out_since_s),
        ):
            # For a zone that was isolated, the grace period begins after the isolation.
            isolated_at_s = self._isolated_at_s.get(engine.host.zone, -math.inf)
            out_s = self._fleet.now - max(since_s.get(name, math.inf), isolated_at_s)
            detail = (
                f"{engine.host.name} got a call {out_s:.2f} s "
                "after it was taken out of service"
            )
            self._check(
                Invariant.OUT_OF_SERVICE, out_s < OUT_OF_SERVICE_GRACE_S, detail
            )

    def _check_cold_limit(self, engine: EngineModel) -> None:
        since_s = self.cold_since_s.get(engine.host.name)
        if not engine.cold_calls_left or since_s is None:
            return
        if self._fleet.now - since_s < RESTART_DETECTION_S:
            return
        after = len(engine.open_calls) + 1
        # Slow start doubles the limit after as many successes as the limit. An engine
        # that is still cold may therefore hold one call more for each success.
        successes = WARM_UP_CALLS - engine.cold_calls_left
        limit = max(engine.host.cold_open, 1) + successes
        detail = f"{engine.host.name} holds {after} open calls, cold limit {limit}"
        self._check(Invariant.COLD_LIMIT, after <= limit, detail)

    def _check_load_bound(self, engine: EngineModel) -> None:
        pool = engine.host.pool
        self.record_load(pool)
        # During a partition, routers take the mean over the endpoints that they reach.
        if self._fleet.now - self._partitioned_at_s < PARTITION_RECOVERY_S:
            return
        # An owner knows the load of each zone as of some time within the window, so
        # the check allows the highest load of each zone and the lowest total weight.
        recent = self._loads[pool]
        zones = {zone for load in recent for zone in load.open_by_zone}
        total = sum(max(load.open_by_zone[zone] for load in recent) for zone in zones)
        total_weight = max(1.0, min(load.total_weight for load in recent))
        factor = self._fleet.admission.load_factor
        mean = (total + 1) / total_weight
        limit = max(1, math.ceil(factor * self._max_recent_weight(engine) * mean))
        after = len(engine.open_calls) + 1
        detail = f"{engine.host.name} holds {after} open calls, load bound {limit}"
        self._check(Invariant.LOAD_BOUND, after <= limit, detail)
