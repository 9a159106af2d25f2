"""Decisions on one order: which calls try the new version, the verdict, the phases.

Nothing here reads the time or does I/O. ``docs/design/rollouts.md`` gives the reasons.
"""

from collections.abc import Callable
from dataclasses import dataclass

from cranberrysail.router.endpoints import Endpoint
from cranberrysail.router.rendezvous import score
from cranberrysail.router.rolloutevidence import (
    Evidence,
    Field,
    Ground,
    Side,
    bad_reason,
    count_of,
)
from cranberrysail.router.rolloutmodel import Phase, RolloutBound, RolloutOrder

__all__ = ["Capacity", "Rollout"]

# Fraction of the share that is used until the verdict. The rest is for a fault that
# appears only when all traffic moves, in about the second until all routers know.
USED_SHARE = 0.6
# Fractions of the duration. An order may last 12 s, of which the moving takes 1 s, the
# calls at old endpoints about 1 s, and the store a second if it is slow.
EARLIEST_VERDICT = 0.6
LATEST_VERDICT = 0.72
# Time for the store, and other routers, to pass on a verdict that came last.
VERDICT_STORED_S = 0.5
# Time for which responses of the new version must have been seen, as a fraction of the
# duration, since endpoints may become ready late.
MIN_OBSERVED = 0.12
# Fraction of the expected responses that the new version must have given. Fewer come if
# its endpoints are cold, or reject requests.
MIN_EXPECTED_RESPONSES = 0.2
# Responses expected below this number say nothing: the service has hardly any calls.
MIN_EXPECTATION = 5.0
# Time in which the fraction of calls that moves rises to 1, as a fraction of the
# duration. A fault under load shows before all calls meet it. The rise is quadratic, so
# that few calls have moved when the load comes near that of full service.
RAMP = 0.1
RAMP_START = 0.1
# A final state is to be written this long before the deadline at the latest. The store
# must acknowledge it 1 s before; a slow store takes 0.4 s for a response, of which a
# write needs two, and the first writers may have ended.
FINAL_MARGIN_S = 3.0
# Of short orders, this fraction of the duration.
FINAL_MARGIN = 0.2
# After the last router moved its calls, open calls of all routers are known after this
# time: some intervals of the exchange.
SETTLE_S = 0.8
# Near the deadline, the time from the end of the ramp for calls sent before it.
MIN_SETTLE_S = 0.3
# Open calls that were counted longer ago than this are those of a router that ended, or
# of a zone that is cut off.
MAX_GAUGE_AGE_S = 1.5
# Slow responses must exceed chance for this time. A host that others use is slow for
# about 0.6 s at a time, and then so are all responses of an endpoint on it.
SLOW_CONFIRM_S = 1.0
# Time in which a router that starts hears from others when an order began: some
# intervals of the exchange.
START_WAIT_S = 1.0
# Slots per open call from which on new endpoints can take all calls.
SLOTS_PER_CALL = 1.25

REASON_NO_ENDPOINT = "no endpoint of the version became ready in time"
REASON_UNPROVEN = "too few responses of the version in time"
REASON_CAPACITY = "the endpoints of the version cannot carry the load"
REASON_WITHDRAWN = "the order was withdrawn"


@dataclass(frozen=True, slots=True)
class Capacity:
    """The endpoints of the new version, as this router sees them.

    Attributes:
      ready: Endpoints that may be sent calls.
      warm_slots: Slots of those that are not cold.
      old: Endpoints of the old versions that exist.
    """

    ready: int = 0
    warm_slots: int = 0
    old: int = 0


class Rollout:
    """One order at one router.

    Attributes:
      started_s: First read of the order by any router.
      old_versions: Versions that the calls come from; None until endpoints are known.
      phase: How far the order has come.
      reason: Why it was stopped.
      evidence: Counts of responses by version.
      withdrawn: Whether the order is no longer there.
    """

    def __init__(
        self,
        order: RolloutOrder,
        bound: RolloutBound,
        evidence: Evidence,
        started_s: float,
        old_versions: frozenset[str] | None,
        credit: float,
    ) -> None:
        """Start to execute an order.

        Args:
          order: The order.
          bound: Bound on the exposure.
          evidence: Counts of responses, empty.
          started_s: Time at which this router read the order.
          old_versions: Versions that the calls come from, None if not known yet.
          credit: Random number from 0 to 1, the part of a call that the new version is
            owed; random so that the sum over many routers keeps to the share.
        """
        self.order = order
        self.bound = bound
        self.evidence = evidence
        self.started_s = started_s
        self.start_is_estimated = False
        self._read_s = started_s
        self.old_versions = old_versions
        self.phase = Phase.EXPOSURE
        self.reason = ""
        self.withdrawn = False
        self._credit = credit
        self._shift_s = float("inf")
        self._first_response_s = float("inf")
        self._slow_since_s = float("inf")
        self._capacity = Capacity()

    def elapsed_s(self, now: float) -> float:
        """Return the time since the order was first read."""
        return now - self.started_s

    def estimate_start(self, started_s: float) -> None:
        """Set the start by the time of day, which may differ between hosts."""
        self.started_s = min(self.started_s, started_s)
        self.start_is_estimated = True

    def hear_start(self, started_s: float, is_estimated: bool) -> None:
        """Record when another router takes the order to have been read.

        What a router states that has executed the order wins over an estimate by the
        time of day, which could end the order at all routers.
        """
        if self.start_is_estimated and not is_estimated:
            self.started_s = started_s
            self.start_is_estimated = False
        elif self.start_is_estimated or not is_estimated:
            self.started_s = min(self.started_s, started_s)

    def _awaits_start(self, now: float) -> bool:
        """Return whether a router that runs longer may still tell the start."""
        return self.start_is_estimated and now - self._read_s < START_WAIT_S

    @property
    def final_at_s(self) -> float:
        """Return the time at which a final state is to be written at the latest."""
        margin_s = min(FINAL_MARGIN_S, self.order.duration_s * FINAL_MARGIN)
        return self.started_s + self.order.duration_s - margin_s

    def side(self, version: str) -> Side | None:
        """Return whether a version is the new one or an old one; None for others."""
        if version == self.order.to:
            return Side.NEW
        if self.old_versions is None or version in self.old_versions:
            return Side.OLD
        return None

    def advance(self, phase: Phase, now: float, reason: str = "") -> bool:
        """Enter a phase unless it is over; return whether it is new."""
        if phase.rank <= self.phase.rank:
            return False
        if phase is Phase.SHIFT:
            self._shift_s = now
        if phase in (Phase.STOPPED, Phase.ROLLED_BACK):
            self.reason = self.reason or reason
        self.phase = phase
        return True

    # Exposure.

    def canaries(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return the new endpoints that calls try the version at.

        They are the same at all routers, and as large a fraction of the new endpoints
        as their calls are of all calls, so that each has the load of full service.
        """
        new = [e for e in endpoints if e.record.version == self.order.to]
        count = max(1, round(len(new) * self._exposed_fraction))
        key = f"{self.order.service}/{self.order.to}"
        new.sort(key=lambda e: score(key, e.id), reverse=True)
        return new[:count]

    @property
    def _exposed_fraction(self) -> float:
        return USED_SHARE * self.bound.exposure_share

    def eligible(
        self,
        usable: list[Endpoint],
        admissible: Callable[[Endpoint], bool],
        is_retry: bool,
        now: float,
    ) -> list[Endpoint]:
        """Return the endpoints among which the one for a call is chosen.

        Args:
          usable: Endpoints of the service that may be sent calls.
          admissible: Whether an endpoint may be sent a call at present.
          is_retry: Whether the call was sent to another endpoint before.
          now: Current time in seconds.
        """
        new = [e for e in usable if self.side(e.record.version) is Side.NEW]
        old = [e for e in usable if self.side(e.record.version) is Side.OLD]
        # Endpoints of versions that nobody named are used if there are no others, such
        # as when the old ones were replaced while the order stands.
        old = old or [e for e in usable if self.side(e.record.version) is None]
        if self.phase in (Phase.STOPPED, Phase.ROLLED_BACK):
            return old
        if self.phase is Phase.COMPLETED:
            return new or old
        if self._is_abandoned(old, now):
            return new
        if is_retry:
            return old or (new if self.phase is Phase.SHIFT else [])
        if not self._takes_new(now):
            return old or (new if self.phase is Phase.SHIFT else [])
        tried = self.canaries(new) if self.phase is Phase.EXPOSURE else new
        chosen = [e for e in tried if admissible(e)]
        if chosen:
            return chosen
        # The call that the new version is owed waits for its endpoints.
        self._credit += 1.0
        return old or (new if self.phase is Phase.SHIFT else [])

    def _is_abandoned(self, old: list[Endpoint], now: float) -> bool:
        """Return whether the old endpoints are gone, as the order was completed.

        A router that is cut off does not hear of it. Until the deadline it keeps to its
        share.
        """
        if self._capacity.old == 0 and self._capacity.ready:
            return not old
        over = self.elapsed_s(now) > self.order.duration_s
        return over and all(now < e.backoff_until_s for e in old)

    def _takes_new(self, now: float) -> bool:
        """Return whether a call is sent to the new version, and charge for it."""
        self._credit = min(self._credit, 1.0) + self.fraction(now)
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def fraction(self, now: float) -> float:
        """Return the fraction of the calls that are sent to the new version."""
        if self.phase is Phase.EXPOSURE:
            return self._exposed_fraction
        if self.phase is not Phase.SHIFT:
            return 1.0 if self.phase is Phase.COMPLETED else 0.0
        ramp_s = RAMP * self.order.duration_s
        progress = max(0.0, min(1.0, (now - self._shift_s) / ramp_s))
        ramp = RAMP_START + (1.0 - RAMP_START) * progress**2
        _, open_all = self.evidence.open_calls(self.elapsed_s(now), MAX_GAUGE_AGE_S)
        room = self._capacity.warm_slots / max(1.0, SLOTS_PER_CALL * open_all)
        return min(ramp, room)

    # Verdict.

    def update(self, capacity: Capacity, now: float) -> bool:
        """Judge the evidence; return whether the phase has changed."""
        self._capacity = capacity
        if self.phase not in (Phase.EXPOSURE, Phase.SHIFT) or self._awaits_start(now):
            return False
        counts, losses = self.evidence.total()
        if count_of(counts, Side.NEW, Field.RESPONSES):
            self._first_response_s = min(self._first_response_s, now)
        why = self._fault(bad_reason(counts, losses), now) or self._overdue(now)
        if why:
            return self.advance(Phase.STOPPED, now, why)
        return False

    def _fault(self, ground: str, now: float) -> str:
        if ground != Ground.SLOW.value:
            self._slow_since_s = float("inf")
            return ground
        self._slow_since_s = min(self._slow_since_s, now)
        return ground if now - self._slow_since_s >= SLOW_CONFIRM_S else ""

    def _overdue(self, now: float) -> str:
        """Return why the order cannot be completed any more."""
        if self.withdrawn:
            return REASON_WITHDRAWN
        if self.phase is Phase.EXPOSURE:
            latest_s = LATEST_VERDICT * self.order.duration_s
            if self.elapsed_s(now) < latest_s + VERDICT_STORED_S:
                return ""
            return REASON_UNPROVEN if self._capacity.ready else REASON_NO_ENDPOINT
        if now >= self.final_at_s and not self._can_carry_load(now):
            return REASON_CAPACITY
        return ""

    def _can_carry_load(self, now: float) -> bool:
        _, open_all = self.evidence.open_calls(self.elapsed_s(now), MAX_GAUGE_AGE_S)
        return 0 < self._capacity.warm_slots >= open_all

    def is_good(self, now: float) -> bool:
        """Return whether the calls may move to the new version now."""
        duration_s = self.order.duration_s
        elapsed_s = self.elapsed_s(now)
        if not EARLIEST_VERDICT <= elapsed_s / duration_s <= LATEST_VERDICT:
            return False
        if self._awaits_start(now):
            return False
        if not self._can_carry_load(now) or self._slow_since_s < now:
            return False
        counts, _ = self.evidence.total()
        responses = count_of(counts, Side.NEW, Field.RESPONSES)
        expected = self._exposed_fraction * (
            count_of(counts, Side.OLD, Field.RESPONSES) + responses
        )
        if expected < MIN_EXPECTATION:
            return True
        observed_s = now - self._first_response_s
        return (
            responses >= MIN_EXPECTED_RESPONSES * expected
            and observed_s >= MIN_OBSERVED * duration_s
        )

    def is_moved(self, now: float) -> bool:
        """Return whether the old endpoints are no longer needed."""
        if self.phase is not Phase.SHIFT or self._awaits_start(now):
            return False
        if not self._can_carry_load(now):
            return False
        ramp_end_s = self._shift_s + RAMP * self.order.duration_s
        if now >= max(self.final_at_s, ramp_end_s + MIN_SETTLE_S):
            return True
        settled_s = ramp_end_s + SETTLE_S
        open_old, _ = self.evidence.open_calls(self.elapsed_s(now), MAX_GAUGE_AGE_S)
        return now >= settled_s and open_old == 0 and self.fraction(now) >= 1.0

    def wanted_phase(self, now: float) -> Phase:
        """Return the phase that the store is to show."""
        if self.phase is Phase.EXPOSURE and self.is_good(now):
            return Phase.SHIFT
        if self.is_moved(now):
            return Phase.COMPLETED
        if self.phase is Phase.STOPPED:
            return Phase.ROLLED_BACK
        return self.phase
