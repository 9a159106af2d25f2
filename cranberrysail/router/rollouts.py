"""The orders that a router executes: from records and responses to its decisions."""

import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from cranberrysail.router.clock import now, unix_time
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.eligibility import Admissible, BaseEligibility
from cranberrysail.router.endpoints import Endpoint, EndpointDirectory, EndpointState
from cranberrysail.router.metrics import RouterMetrics
from cranberrysail.router.responsetimes import Duration, ResponseTimes
from cranberrysail.router.rollout import Capacity, Rollout
from cranberrysail.router.rolloutevidence import Evidence, Field, Side, count_of
from cranberrysail.router.rolloutmodel import (
    Phase,
    RolloutBound,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)

__all__ = ["Rollouts"]

# A version that appears at a service beside others gets no calls for this time, unless
# an order names it: endpoints may start just before the order, which is read within
# 1.4 s.
NEW_VERSION_HOLD_S = 2.0
# Orders that a restored store lacks, or has in an older form, are written again within
# this time.
ORDERS_REWRITE_S = 4.0
# A final state is passed on to other routers for this time; until then they have read
# it from the store (a read of the topic waits up to 8 s).
FINAL_SHARED_S = 12.0
# Open calls that were counted longer ago are left out, as in ``rollout``.
MAX_GAUGE_AGE_S = 1.5


@dataclass
class _Service:
    """What is known of a service with an order, or that had one.

    Attributes:
      rollout: The order that is executed or that has ended; None without one.
      read_in_snapshot: Whether the order was found at a start, and may be older.
      withdrawn_s: Time at which an order was last withdrawn. What is known of
        executions that began earlier does not concern a later order, even if both
        have the same content.
      stored: The newest status read from the store.
      barred: Versions that get no calls, as they were rolled back.
      final_s: Time at which the final state became known.
      pending: Order of a restored store that is applied unless it is written again.
    """

    rollout: Rollout | None = None
    read_in_snapshot: bool = False
    withdrawn_s: float = float("-inf")
    stored: RolloutStatus | None = None
    barred: set[str] = field(default_factory=set)
    final_s: float = float("inf")
    pending: tuple[float, RolloutOrder | None] | None = None


class Rollouts(BaseEligibility):
    """Executes the operators' orders at one router."""

    def __init__(
        self,
        bound: RolloutBound | None,
        zone: str,
        endpoints: EndpointDirectory,
        log: DecisionLog,
        metrics: RouterMetrics,
        rng: random.Random,
    ) -> None:
        """Create an instance without orders.

        Args:
          bound: Bound on the exposure; None if orders have no effect.
          zone: Zone of this router.
          endpoints: The endpoints.
          log: Log of decisions.
          metrics: Counts responses by version.
          rng: Source of the random starts.
        """
        self.bound = bound
        self.endpoints_known = False
        self.on_change: Callable[[], None] = lambda: None
        self._zone = zone
        self._endpoints = endpoints
        self._log = log
        self._metrics = metrics
        self._rng = rng
        # Tells this process from an earlier one of the same router, whose counts stand.
        self.router_id = rng.getrandbits(48)
        self.is_hub = False
        self._times = ResponseTimes()
        self._services: dict[str, _Service] = {}
        self._first_seen_s: dict[tuple[str, str], float] = {}

    @property
    def enabled(self) -> bool:
        """Return whether orders have an effect."""
        return self.bound is not None

    def active(self) -> dict[str, Rollout]:
        """Return the orders that are shared with other routers, by service."""
        return {
            name: service.rollout
            for name, service in self._services.items()
            if service.rollout is not None and now() - service.final_s <= FINAL_SHARED_S
        }

    def wanted(self) -> dict[str, RolloutStatus]:
        """Return the statuses that the store is to show, by service."""
        return {
            name: self._status(service.rollout)
            for name, service in self._services.items()
            if service.rollout is not None
        }

    def stored(self, service: str) -> RolloutStatus | None:
        """Return the newest status of a service that was read from the store."""
        known = self._services.get(service)
        return known.stored if known else None

    def forget_stored(self) -> None:
        """Forget what the store had, before all that it has now is applied."""
        for service in self._services.values():
            service.stored = None

    def _status(self, rollout: Rollout) -> RolloutStatus:
        wanted = rollout.wanted_phase(now())
        elapsed_s = rollout.elapsed_s(now())
        return RolloutStatus(
            rollout.order.service,
            rollout.order.to,
            wanted.state,
            wanted,
            rollout.order.duration_s,
            round((unix_time() - elapsed_s) * 1000),
            rollout.old_versions,
            rollout.reason,
        )

    # Orders and statuses from the store.

    def apply_orders(
        self,
        orders: dict[str, RolloutOrder | None],
        is_snapshot: bool,
        restored: bool = False,
        kept: Collection[str] = (),
    ) -> None:
        """Apply the orders of operators.

        Args:
          orders: Orders by service, None for one that was withdrawn.
          is_snapshot: Whether they are all that there are.
          restored: Whether the store was restored lately from a copy. It may lack the
            newest orders, and shows orders again that were known.
          kept: Services whose orders stand although a snapshot lacks them.
        """
        if not self.enabled:
            return
        if is_snapshot:
            missing = {
                name: None
                for name, service in self._services.items()
                if service.rollout is not None
                and not service.rollout.withdrawn
                and name not in kept
            }
            orders = missing | orders
        for name, order in orders.items():
            service = self._services.setdefault(name, _Service())
            service.pending = None
            if service.rollout is not None and restored and is_snapshot:
                service.pending = (now() + ORDERS_REWRITE_S, order)
                continue
            is_repeated = (
                service.rollout is not None
                and service.rollout.phase is Phase.ROLLED_BACK
                and service.rollout.order == order
            )
            if is_repeated and not restored and not is_snapshot:
                # Operators have written it again, to try once more.
                self._withdraw(name, service)
            self._apply_order(name, service, order, is_snapshot)

    def _apply_order(
        self,
        name: str,
        service: _Service,
        order: RolloutOrder | None,
        is_snapshot: bool,
    ) -> None:
        previous = service.rollout
        if order is None:
            self._withdraw(name, service)
            return
        is_known = previous is not None and previous.order == order
        if is_known and not previous.withdrawn:
            return
        if previous is not None and previous.phase is not Phase.COMPLETED:
            service.barred.add(previous.order.to)
        service.barred.discard(order.to)
        excluded = service.barred | {order.to}
        if previous is not None and previous.phase is Phase.COMPLETED:
            excluded |= previous.old_versions or set()
        old_versions = self._versions(name) - excluded
        service.rollout = Rollout(
            order,
            self.bound,
            Evidence(self.router_id, self._zone, order.duration_s),
            now(),
            frozenset(old_versions) if self.endpoints_known and old_versions else None,
            self._rng.random(),
        )
        service.read_in_snapshot = is_snapshot
        service.final_s = float("inf")
        self._log.write(
            "rollout_ordered",
            service=name,
            to=order.to,
            duration_s=order.duration_s,
            old=sorted(old_versions),
            endpoints=len(self._of_service(name)),
            snapshot=is_snapshot,
        )
        self._metrics.count("rollout_orders")
        if service.stored is not None:
            self.apply_status(service.stored)
        self.on_change()

    def _withdraw(self, name: str, service: _Service) -> None:
        rollout = service.rollout
        service.withdrawn_s = now()
        if rollout is None or rollout.withdrawn:
            return
        rollout.withdrawn = True
        self._log.write(
            "rollout_withdrawn",
            service=name,
            to=rollout.order.to,
            phase=rollout.phase.value,
        )
        if rollout.phase.is_final:
            service.rollout = None
        self.on_change()

    def apply_status(self, status: RolloutStatus) -> None:
        """Apply a status read from the store."""
        if not self.enabled:
            return
        service = self._services.setdefault(status.service, _Service())
        service.stored = status
        rollout = service.rollout
        if rollout is None or not status.concerns(rollout.order):
            named = rollout is not None and rollout.order.to == status.to
            if status.state is RolloutState.ROLLED_BACK and not named:
                service.barred.add(status.to)
            return
        if self._is_older(service, unix_time() - status.started_ms / 1000):
            return
        if service.read_in_snapshot:
            if status.started_ms:
                age_s = max(0.0, unix_time() - status.started_ms / 1000)
                rollout.estimate_start(now() - age_s)
            if status.old_versions:
                rollout.old_versions = status.old_versions
        phase = status.phase
        if status.is_final:
            completed = status.state is RolloutState.COMPLETED
            phase = Phase.COMPLETED if completed else Phase.ROLLED_BACK
        self._advance(service, phase, status.reason)

    def _is_older(self, service: _Service, age_s: float) -> bool:
        """Return whether an execution began before its order was withdrawn."""
        if service.rollout is None or service.rollout.withdrawn:
            return False
        return now() - age_s < service.withdrawn_s

    def may_replace(self, status: RolloutStatus) -> bool:
        """Return whether the status in the store may be replaced by this router's.

        A final state of the same order stays, and so does the status of a newer order,
        which this router has not read yet.
        """
        service = self._services.get(status.service)
        if service is None or service.rollout is None:
            return False
        rollout = service.rollout
        age_s = unix_time() - status.started_ms / 1000
        if status.concerns(rollout.order):
            return not status.is_final or self._is_older(service, age_s)
        return age_s >= rollout.elapsed_s(now())

    def hear(
        self,
        order: RolloutOrder,
        age_s: float,
        phase: Phase,
        reason: str,
        start_is_estimated: bool = False,
    ) -> Rollout | None:
        """Adopt the phase that another router has reached.

        Args:
          order: The order that it executes.
          age_s: Time since it was first read.
          phase: The phase.
          reason: Why the order was stopped.
          start_is_estimated: Whether the other router knows the age by the time of day.

        Returns:
          The order at this router; None if it executes another one or none.
        """
        service = self._services.get(order.service)
        if service is None or service.rollout is None:
            return None
        rollout = service.rollout
        if rollout.order != order or self._is_older(service, age_s):
            return None
        rollout.hear_start(now() - age_s, start_is_estimated)
        self._advance(service, phase, reason)
        return rollout

    def _advance(self, service: _Service, phase: Phase, reason: str = "") -> None:
        rollout = service.rollout
        if not rollout.advance(phase, now(), reason):
            return
        self._on_phase(service)

    def _on_phase(self, service: _Service) -> None:
        """Log a phase that was entered, with the evidence, and pass it on."""
        rollout = service.rollout
        if rollout.phase.is_final:
            service.final_s = now()
        if rollout.phase is Phase.ROLLED_BACK:
            service.barred.add(rollout.order.to)
        counts, losses = rollout.evidence.total()
        elapsed_s = rollout.elapsed_s(now())
        open_old, open_all = rollout.evidence.open_calls(elapsed_s, MAX_GAUGE_AGE_S)
        self._log.write(
            "rollout_phase",
            service=rollout.order.service,
            to=rollout.order.to,
            phase=rollout.phase.value,
            why=rollout.reason,
            elapsed_s=round(elapsed_s, 2),
            **{
                f"{side.name.lower()}_{what.name.lower()}": count_of(counts, side, what)
                for side in Side
                for what in Field
            },
            old_losses=losses[Side.OLD].bit_count(),
            new_losses=losses[Side.NEW].bit_count(),
            open_old=open_old,
            open_all=open_all,
        )
        self._metrics.count("rollout_phases", rollout.phase.value)
        if rollout.withdrawn and rollout.phase.is_final:
            service.rollout = None
        self.on_change()

    # Choice of endpoints.

    def eligible(
        self,
        service: str,
        usable: list[Endpoint],
        admissible: Admissible,
        is_retry: bool,
        now: float,
    ) -> list[Endpoint]:
        """Return the endpoints among which the one for a call is chosen."""
        if not self.enabled:
            return usable
        known = self._services.get(service)
        if known is not None and known.rollout is not None:
            return known.rollout.eligible(usable, admissible, is_retry, now)
        barred = known.barred if known is not None else ()
        allowed = [
            e
            for e in usable
            if e.record.version not in barred and not self._is_held(e, now)
        ]
        return allowed or usable

    def restricts(self, service: str) -> bool:
        """Return whether an order is executed for a service."""
        known = self._services.get(service)
        return known is not None and known.rollout is not None

    def _is_held(self, endpoint: Endpoint, now: float) -> bool:
        key = (endpoint.record.service, endpoint.record.version)
        seen_s = self._first_seen_s.get(key, float("-inf"))
        return now - seen_s < NEW_VERSION_HOLD_S

    def _of_service(self, name: str) -> list[Endpoint]:
        return [e for e in self._endpoints if e.record.service == name]

    def _versions(self, name: str) -> set[str]:
        return {e.record.version for e in self._of_service(name)}

    # Evidence.

    def record_response(
        self,
        endpoint: Endpoint,
        route: str,
        elapsed_s: float,
        failed: bool,
        is_stream: bool,
    ) -> None:
        """Record a response of an endpoint, or the first data of a stream.

        Args:
          endpoint: The endpoint.
          route: Name of the call's route.
          elapsed_s: Time since the request was sent.
          failed: Whether it shows a fault of the endpoint.
          is_stream: Whether the response is a stream.
        """
        if not self.enabled:
            return
        rollout, side = self._running(endpoint)
        if rollout is not None and side is not None:
            rollout.evidence.add_response(route, side, failed)
            self._count(endpoint, "failed" if failed else "responded")
            if failed and side is Side.NEW:
                self.on_change()
        if not failed:
            what = Duration.FIRST_EVENT if is_stream else Duration.RESPONSE
            self._record_duration(endpoint, route, what, elapsed_s)

    def record_interval(
        self, endpoint: Endpoint, route: str, interval_s: float
    ) -> None:
        """Record the mean time between the events of a stream."""
        if self.enabled:
            self._record_duration(endpoint, route, Duration.INTERVAL, interval_s)

    def _record_duration(
        self, endpoint: Endpoint, route: str, what: Duration, seconds: float
    ) -> None:
        service = endpoint.record.service
        rollout, side = self._running(endpoint)
        if endpoint.is_cold(now()) or (rollout is not None and side is None):
            return
        if rollout is not None:
            slow = self._times.is_slow(what, service, route, seconds)
            if slow is not None:
                rollout.evidence.add_duration(route, side, slow)
                if slow:
                    self._count(endpoint, "slow")
        if rollout is None or side is Side.OLD:
            self._times.add(what, service, route, seconds)

    def record_loss(self, endpoint: Endpoint) -> None:
        """Record that a response was lost, or did not come by its deadline."""
        if not self.enabled:
            return
        rollout, side = self._running(endpoint)
        if rollout is not None and side is not None:
            rollout.evidence.add_loss(side, rollout.elapsed_s(now()))
            self._count(endpoint, "lost")
            if side is Side.NEW:
                self.on_change()

    def _running(self, endpoint: Endpoint) -> tuple[Rollout | None, Side | None]:
        service = self._services.get(endpoint.record.service)
        if service is None or service.rollout is None:
            return None, None
        rollout = service.rollout
        if rollout.phase.is_final:
            return None, None
        return rollout, rollout.side(endpoint.record.version)

    def _count(self, endpoint: Endpoint, result: str) -> None:
        record = endpoint.record
        label = f"{record.service} {record.version} {result}"
        self._metrics.count("version_responses", label)

    # Judgement at intervals.

    def update(self) -> None:
        """Judge the evidence of all orders, and apply what waited long enough."""
        if not self.enabled:
            return
        if not self._first_seen_s:
            self._note_versions(self._endpoints)
        for name, service in list(self._services.items()):
            if service.pending is not None and now() >= service.pending[0]:
                order, service.pending = service.pending[1], None
                self._apply_order(name, service, order, True)
            rollout = service.rollout
            if rollout is not None and not rollout.phase.is_final:
                self._judge(name, service, rollout)

    def _note_versions(self, endpoints: Iterable[Endpoint]) -> None:
        if not self.endpoints_known:
            return
        is_first = not self._first_seen_s
        present = {(e.record.service, e.record.version) for e in endpoints}
        services = {service for service, _ in self._first_seen_s}
        for key in present.difference(self._first_seen_s):
            is_old = is_first or key[0] not in services
            self._first_seen_s[key] = float("-inf") if is_old else now()

    def note_endpoint(self, endpoint: Endpoint) -> None:
        """Note the version of an endpoint that has appeared."""
        if self.enabled and self._first_seen_s:
            self._note_versions([endpoint])

    def _judge(self, name: str, service: _Service, rollout: Rollout) -> None:
        endpoints = self._of_service(name)
        if rollout.old_versions is None and self.endpoints_known:
            old = self._versions(name) - service.barred - {rollout.order.to}
            rollout.old_versions = frozenset(old) or None
        old = [e for e in endpoints if rollout.side(e.record.version) is Side.OLD]
        elapsed_s = rollout.elapsed_s(now())
        evidence = rollout.evidence
        evidence.set_open_calls(
            elapsed_s,
            sum(e.open_calls for e in old),
            sum(e.open_calls for e in endpoints),
        )
        evidence.add_up_zone(elapsed_s, MAX_GAUGE_AGE_S, self.is_hub)
        if rollout.update(self._capacity(rollout, endpoints, len(old)), now()):
            self._on_phase(service)

    def _capacity(
        self, rollout: Rollout, endpoints: list[Endpoint], old: int
    ) -> Capacity:
        ready = [
            e
            for e in endpoints
            if e.record.version == rollout.order.to
            and e.state is EndpointState.READY
            and e.record.zone not in self._endpoints.zones_out
        ]
        warm = sum(max(1, e.record.slots) for e in ready if not e.is_cold(now()))
        return Capacity(len(ready), warm, old)

    def dump(self) -> list[dict[str, object]]:
        """Return the orders for operators."""
        return [
            {
                "service": name,
                "to": service.rollout.order.to,
                "phase": service.rollout.phase.value,
                "why": service.rollout.reason,
                "elapsed_s": round(service.rollout.elapsed_s(now()), 2),
                "fraction": round(service.rollout.fraction(now()), 3),
                "old": sorted(service.rollout.old_versions or ()),
            }
            for name, service in sorted(self._services.items())
            if service.rollout is not None
        ]
