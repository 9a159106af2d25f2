"""Allocation of scarce capacity: which calls are sent, wait or are refused.

Calls are sent at once while capacity is free as far as this router knows. Where it is
not, calls to engines wait in the router in order of urgency and fair shares, and calls
to plain services are thinned out (``plainlimits``). The decisions take the time as an
argument and do no I/O.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from cranberrysail.router.admission import AdmissionBound, RefusalReason
from cranberrysail.router.customershares import CustomerShares
from cranberrysail.router.plainlimits import refused_fraction, retry_pause_s
from cranberrysail.router.returnschedule import ReturnSchedule
from cranberrysail.router.servicepressure import ServicePressure
from cranberrysail.router.waitingroom import WaitingCall, WaitingRoom

__all__ = ["Allocation", "CallFacts", "Turn", "TurnLimit"]

# Priority of the calls whose wait is limited by their target latency.
MOST_URGENT = 0
# Service time before the first sample, and weights of samples above and below the
# estimate. Those above may have waited at the endpoint for longer than is known.
ASSUMED_SERVICE_TIME_S = 0.1
LONGER_SAMPLE_WEIGHT = 0.05
SHORTER_SAMPLE_WEIGHT = 0.2


class TurnLimit(StrEnum):
    """What decided whether a call is sent.

    Attributes:
      FREE: Capacity was free.
      ORDER: The call waited until it was first in order and capacity was free.
      TIME: The call waited for as long as it may, and is queued at an endpoint.
      PRESSURE: The load of a plain service.
      SHARE: The load of a plain service, and the use of the call's customer.
      WAIT: The expected wait is longer than the call may wait.
      ROOM: The waiting room is full, or others are ahead in order.
      STOP: The router stops.
    """

    FREE = "free"
    ORDER = "order"
    TIME = "time"
    PRESSURE = "pressure"
    SHARE = "share"
    WAIT = "wait"
    ROOM = "room"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class CallFacts:
    """What the allocation takes into account of a call.

    Attributes:
      has_engines: True if the endpoints of the service are model engines.
      target_s: Target latency of the call's route.
      size: Bytes that the call holds while it waits.
    """

    service: str
    has_engines: bool
    route: str
    priority: int
    customer: str
    target_s: float
    deadline_s: float
    size: int = 0


@dataclass(frozen=True, slots=True)
class Turn:
    """Whether a call is sent, and why.

    Attributes:
      refusal: Why it is refused; None if it is sent.
      limit: What decided.
      wait_s: Expected time until capacity is free; 0 if the call is sent.
      waited_s: Time that the call waited in the router.
      excess: The customer's recent use relative to its share.
      calls_per_slot: Open calls relative to the slots, as far as known.
    """

    refusal: RefusalReason | None
    limit: TurnLimit
    wait_s: float = 0.0
    waited_s: float = 0.0
    excess: float = 1.0
    calls_per_slot: float = 0.0


@dataclass
class ServiceTimes:
    """Time that work takes, by service or route, without the wait for a slot.

    Samples are corrected by the queue that was known when the call was sent. As it may
    have been longer, samples above the estimate count less than those below.
    """

    _seconds: dict[str, float] = field(default_factory=dict)

    def add_sample(self, name: str, seconds: float, calls_per_slot: float) -> None:
        """Record the time from sending a call to its response.

        Args:
          name: Name of the service or route.
          seconds: The time.
          calls_per_slot: Open calls relative to the slots when it was sent.
        """
        sample = seconds / max(1.0, calls_per_slot)
        known = self._seconds.get(name, sample)
        longer = sample > known
        weight = LONGER_SAMPLE_WEIGHT if longer else SHORTER_SAMPLE_WEIGHT
        self._seconds[name] = known + weight * (sample - known)

    def get(self, name: str) -> float:
        """Return the time that work takes."""
        return self._seconds.get(name, ASSUMED_SERVICE_TIME_S)


@dataclass
class Allocation:
    """State of the allocation on one router.

    Attributes:
      bound: Limits on waiting.
    """

    bound: AdmissionBound
    shares: CustomerShares = field(default_factory=CustomerShares)
    returns: ReturnSchedule = field(default_factory=ReturnSchedule)
    service_times: ServiceTimes = field(default_factory=ServiceTimes)
    route_times: ServiceTimes = field(default_factory=ServiceTimes)
    _open: Counter[tuple[str, int]] = field(default_factory=Counter)
    room: WaitingRoom = field(init=False)

    def __post_init__(self) -> None:
        self.room = WaitingRoom(self.bound.max_waiting, self.bound.max_waiting_bytes)

    def decide(
        self,
        call: CallFacts,
        pressure: ServicePressure,
        routers: int,
        draw: float,
        now: float,
    ) -> Turn | WaitingCall:
        """Return whether a call is sent at once, refused, or may wait.

        Args:
          call: The call.
          pressure: Pressure on its service.
          routers: Number of routers.
          draw: Random number from 0 to 1.
          now: Current time in seconds.

        Returns:
          The decision; a waiting call has not entered the room yet.
        """
        if not pressure.endpoints:
            # Placement says why there is no endpoint.
            return Turn(None, TurnLimit.FREE)
        if not call.has_engines:
            return self._decide_plain(call, pressure, draw, now)
        if pressure.free_slots >= 1.0 and not self.room.waiting(call.service):
            return Turn(None, TurnLimit.FREE, calls_per_slot=pressure.calls_per_slot)
        max_wait_s = self.max_wait_s(call, now)
        if max_wait_s <= 0 and call.priority <= MOST_URGENT:
            return Turn(None, TurnLimit.TIME, calls_per_slot=pressure.calls_per_slot)
        excess = self.shares.excess(call.service, call.customer, now)
        waiting = WaitingCall(
            call.service,
            call.priority,
            excess,
            call.deadline_s,
            now + max_wait_s,
            call.size,
            now,
        )
        wait_s = self.expected_wait_s(waiting, pressure, routers)
        if now + wait_s > waiting.limit_s and call.priority > MOST_URGENT:
            return Turn(
                RefusalReason.LONG_WAIT,
                TurnLimit.WAIT,
                wait_s,
                excess=excess,
                calls_per_slot=pressure.calls_per_slot,
            )
        return waiting

    def _decide_plain(
        self, call: CallFacts, pressure: ServicePressure, draw: float, now: float
    ) -> Turn:
        excess = self.shares.excess(call.service, call.customer, now)
        load = pressure.calls_per_slot
        service_time_s = self.service_times.get(call.service)

        def fraction(excess: float) -> float:
            return refused_fraction(
                load, pressure.report_age_s, service_time_s, excess, call.priority
            )

        if draw >= fraction(excess):
            return Turn(None, TurnLimit.FREE, excess=excess, calls_per_slot=load)
        over_share = draw >= fraction(1.0)
        return Turn(
            RefusalReason.OVER_SHARE if over_share else RefusalReason.PRESSED,
            TurnLimit.SHARE if over_share else TurnLimit.PRESSURE,
            self.drain_s(call.service, pressure),
            excess=excess,
            calls_per_slot=load,
        )

    def max_wait_s(self, call: CallFacts, now: float) -> float:
        """Return how long a call may wait in the router.

        Engines order their own queues by priority, over all routers, so urgent calls
        wait here for a small part of their target latency, or not at all, and are then
        queued at an engine. They are not refused for the queue of less urgent ones.
        """
        remaining_s = call.deadline_s - now
        wait_s = remaining_s * self.bound.max_wait_share
        if call.priority <= MOST_URGENT:
            wait_s = min(wait_s, call.target_s * self.bound.urgent_wait_share)
        return max(0.0, wait_s)

    def drain_s(self, service: str, pressure: ServicePressure) -> float:
        """Return the expected time until the queue at the endpoints is served."""
        rate = max(1, pressure.slots) / self.service_times.get(service)
        return pressure.queued / rate

    def rate_of_router(
        self, service: str, pressure: ServicePressure, routers: int
    ) -> float:
        """Return this router's part of the calls per second that a service finishes."""
        rate = max(1, pressure.slots) / self.service_times.get(service)
        return rate / max(1, routers)

    def expected_wait_s(
        self, call: WaitingCall, pressure: ServicePressure, routers: int
    ) -> float:
        """Return the expected wait of a call, behind those that are before it."""
        ahead = self.room.ahead_of(call)
        rate = self.rate_of_router(call.service, pressure, routers)
        own_queue_s = max(0.0, ahead + 1 - pressure.free_slots) / rate
        drain_s = self.drain_s(call.service, pressure)
        part = self.part_before(call.service, call.priority)
        return max(drain_s * part, own_queue_s)

    def part_before(self, service: str, priority: int) -> float:
        """Return the part of the calls at engines that go before one of a priority.

        Engines order their queues by priority. What waits there of other routers' calls
        is assumed to be like what this router has sent.
        """
        open_calls = [
            (other, count)
            for (name, other), count in self._open.items()
            if name == service
        ]
        before = sum(n for other, n in open_calls if other <= priority)
        return (before + 1) / (sum(n for _, n in open_calls) + 1)

    def enter(
        self, call: WaitingCall, pressure: ServicePressure, routers: int
    ) -> list[WaitingCall]:
        """Let a call wait; return those that must be refused for it, perhaps itself.

        Besides the last ones of a full room, these are the calls behind it that would
        now wait longer than they may.
        """
        refused = self.room.enter(call)
        rate = self.rate_of_router(call.service, pressure, routers)
        queue = list(self.room.waiting(call.service))
        for position, other in enumerate(queue, 1):
            wait_s = max(0.0, position - pressure.free_slots) / rate
            if other.priority <= MOST_URGENT or other.order <= call.order:
                continue
            if call.entered_s + wait_s > other.limit_s:
                self.room.leave(other)
                refused.append(other)
        return refused

    def pop_ready(
        self, service: str, pressure: ServicePressure, freed: int = 0
    ) -> list[WaitingCall]:
        """Remove and return the waiting calls of a service that are sent now.

        Args:
          service: Name of the service.
          pressure: Pressure on it.
          freed: Slots that calls of this router have left just now.
        """
        free_slots = max(freed, int(pressure.free_slots))
        ready = self.room.waiting(service)[:free_slots]
        for call in ready:
            self.room.leave(call)
        return ready

    def record_sent(self, call: CallFacts, now: float) -> None:
        """Record that a call is sent for the first time.

        Its work is the time that calls of its route take at engines, and one call at
        plain services.
        """
        work = self.route_times.get(call.route) if call.has_engines else 1.0
        self.shares.record(call.service, call.customer, work, now)
        self._open[call.service, call.priority] += 1

    def record_left(self, call: CallFacts) -> None:
        """Record that a call which was sent has ended in whatever way."""
        key = (call.service, call.priority)
        self._open[key] -= 1
        if self._open[key] <= 0:
            del self._open[key]

    def record_ended(
        self, call: CallFacts, seconds: float, calls_per_slot: float
    ) -> None:
        """Record the time from sending a call until its response was delivered."""
        self.service_times.add_sample(call.service, seconds, calls_per_slot)
        self.route_times.add_sample(call.route, seconds, calls_per_slot)

    def pause_s(
        self, call: CallFacts, pressure: ServicePressure, now: float
    ) -> float | None:
        """Return how long a declined call waits before it is sent again.

        Args:
          call: The call.
          pressure: Pressure on the endpoints that have not declined it.
          now: Current time in seconds.

        Returns:
          The time in seconds; None if another attempt would be in vain.
        """
        if not pressure.endpoints:
            return 0.0
        return retry_pause_s(
            pressure.calls_per_slot,
            self.service_times.get(call.service),
            call.deadline_s - now,
        )

    def retry_after_s(
        self,
        service: str,
        wait_s: float,
        pressure: ServicePressure,
        routers: int,
        remaining_s: float,
        jitter: float,
        now: float,
    ) -> float:
        """Return the delay after which a refused caller is to come back.

        Args:
          service: Name of the service.
          wait_s: Expected time until capacity is free.
          pressure: Pressure on the service.
          routers: Number of routers.
          remaining_s: Time until the caller's deadline.
          jitter: Random number from 0 to 1.
          now: Current time in seconds.
        """
        max_delay_s = min(
            self.bound.max_retry_s, max(0.0, remaining_s) * self.bound.max_retry_share
        )
        delay_s = self.returns.delay_s(
            service,
            max(wait_s, self.drain_s(service, pressure)),
            self.rate_of_router(service, pressure, routers),
            max_delay_s,
            jitter,
            now,
        )
        return round(max(0.05, delay_s), 3)

    def state(self, services: Iterable[str], now: float) -> dict[str, object]:
        """Return what operators see of the allocation.

        Args:
          services: Names of the services.
          now: Current time in seconds.
        """
        return {
            "waiting": {name: len(self.room.waiting(name)) for name in services},
            "waiting_bytes": self.room.held_bytes,
            "service_times_ms": {
                name: round(self.service_times.get(name) * 1000, 1) for name in services
            },
            "over_share": {
                name: [
                    [customer, round(excess, 2)]
                    for customer, excess in self.shares.top(name, 3, now)
                    if excess > 1.0
                ]
                for name in services
            },
        }
