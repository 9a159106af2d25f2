"""Applies the allocation of capacity to calls: waits, wakes and what is logged."""

import asyncio
import math
import random
from collections import Counter
from dataclasses import replace
from functools import partial

from cranberrysail.router.admission import AdmissionBound, RefusalReason
from cranberrysail.router.allocation import Allocation, CallFacts, Turn, TurnLimit
from cranberrysail.router.call import Call
from cranberrysail.router.clock import now
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.isolation import run_isolated
from cranberrysail.router.metrics import RouterMetrics
from cranberrysail.router.outcome import Attempt, AttemptResult
from cranberrysail.router.selector import Selector
from cranberrysail.router.servicepressure import ServicePressure, measure_pressure
from cranberrysail.router.waitingroom import WaitingCall

__all__ = ["CallOrder"]

# Interval at which waiting calls are checked against loads that other routers have
# reported, and against their limits. Loads are exchanged every 0.3 s, each with another
# router, and a wait is at least some 0.1 s.
POLL_INTERVAL_S = 0.02
# Interval at which the counts of customers that no longer call are deleted.
FORGET_INTERVAL_S = 60.0
# Time for which a measured pressure is used again, with the calls sent since added. To
# measure it takes 3.4 us for an endpoint.
MEASURE_INTERVAL_S = 0.01
SENT_AT_ONCE = Turn(None, TurnLimit.FREE)


class CallOrder:
    """Holds calls until it is their turn.

    Attributes:
      allocation: The decisions and their state.
    """

    def __init__(
        self,
        bound: AdmissionBound,
        selector: Selector,
        log: DecisionLog,
        metrics: RouterMetrics,
    ) -> None:
        """Create an order in which no call waits yet.

        Args:
          bound: Limits on waiting, and whether capacity is allocated at all.
          selector: Knows the endpoints, their loads and the number of routers.
          log: Log of routing decisions.
          metrics: Counters and latency histograms.
        """
        self.allocation = Allocation(bound)
        self._selector = selector
        self._log = log
        self._metrics = metrics
        self._futures: dict[WaitingCall, asyncio.Future[Turn]] = {}
        self._measured: dict[str, tuple[float, ServicePressure]] = {}
        self._sent_since: Counter[str] = Counter()
        self._poll: asyncio.TimerHandle | None = None
        self._forget_at_s = now() + FORGET_INTERVAL_S

    @property
    def enabled(self) -> bool:
        """Return whether capacity is allocated."""
        return self.allocation.bound.allocates

    def configure(self, bound: AdmissionBound) -> None:
        """Apply changed limits."""
        self.allocation.bound = bound
        self.allocation.room.max_calls = bound.max_waiting
        self.allocation.room.max_bytes = bound.max_waiting_bytes

    def pressure(
        self, service: str, without: frozenset[str] = frozenset()
    ) -> ServicePressure:
        """Return the pressure on a service.

        Args:
          service: Name of the service.
          without: Ids of endpoints that are left out.
        """
        at_s, measured = self._measured.get(service, (-math.inf, ServicePressure()))
        if not without and now() - at_s < MEASURE_INTERVAL_S:
            sent = self._sent_since[service]
            return replace(
                measured,
                load=measured.load + sent,
                free_slots=max(0.0, measured.free_slots - sent),
            )
        usable = self._selector.endpoints.usable(service)
        endpoints = [e for e in usable if e.id not in without]
        measured = measure_pressure(endpoints, self._selector.loads, now())
        if not without:
            self._measured[service] = (now(), measured)
            self._sent_since[service] = 0
        return measured

    async def turn(self, call: Call, may_wait: bool) -> Turn:
        """Return whether a call is sent; may wait until it is its turn.

        Args:
          call: The call.
          may_wait: False if the call is sent at once or refused, such as one that is
            sent again.
        """
        if not self.enabled or call.attempts_sent or not may_wait:
            return SENT_AT_ONCE
        facts = _facts(call)
        pressure = self.pressure(call.service)
        decided = self.allocation.decide(
            facts, pressure, self._routers, random.random(), now()
        )
        if isinstance(decided, WaitingCall):
            decided = await self._wait(call, decided, pressure)
        if decided.refusal is not None or decided.waited_s:
            self._record(call, decided)
        if decided.refusal is None:
            call.calls_per_slot_sent = decided.calls_per_slot
            call.counted_as_sent = True
            self.allocation.record_sent(facts, now())
            self._sent_since[call.service] += 1
        return decided

    @property
    def _routers(self) -> int:
        return max(1, len(self._selector.routers))

    async def _wait(
        self, call: Call, waiting: WaitingCall, pressure: ServicePressure
    ) -> Turn:
        future = asyncio.get_running_loop().create_future()
        self._futures[waiting] = future
        for refused in self.allocation.enter(waiting, pressure, self._routers):
            wait_s = self.allocation.drain_s(refused.service, pressure)
            self._end(refused, RefusalReason.LONG_WAIT, TurnLimit.ROOM, wait_s)
        self._schedule_poll()
        try:
            return await future
        finally:
            # The caller may have left, or the call's time may be over.
            self._futures.pop(waiting, None)
            if self.allocation.room.leave(waiting):
                self._log.write(
                    "wait_ended",
                    id=call.head.request_id,
                    waited_ms=round((now() - waiting.entered_s) * 1000),
                )
                self._metrics.count("waits", f"priority {waiting.priority} ended")

    def _end(
        self,
        waiting: WaitingCall,
        refusal: RefusalReason | None,
        limit: TurnLimit,
        wait_s: float = 0.0,
    ) -> None:
        """End the wait of a call that has left the room."""
        future = self._futures.pop(waiting, None)
        if future is None or future.done():
            return
        waited_s = now() - waiting.entered_s
        future.set_result(Turn(refusal, limit, wait_s, waited_s, waiting.excess))

    def _schedule_poll(self) -> None:
        if self._poll is None and len(self.allocation.room):
            loop = asyncio.get_running_loop()
            self._poll = loop.call_later(POLL_INTERVAL_S, self._on_poll)

    def _on_poll(self) -> None:
        self._poll = None
        for waiting in self.allocation.room.due(now()):
            self.allocation.room.leave(waiting)
            self._end(waiting, None, TurnLimit.TIME)
        services = self.allocation.room.services()
        run_isolated(*(partial(self._wake, service) for service in services))
        self._schedule_poll()

    def _wake(self, service: str, freed: int = 0) -> None:
        pressure = self.pressure(service)
        for waiting in self.allocation.pop_ready(service, pressure, freed):
            self._end(waiting, None, TurnLimit.ORDER)

    def attempt_ended(self, call: Call, attempt: Attempt) -> None:
        """Record the end of an attempt, and pass its slot on to a waiting call."""
        if not self.enabled:
            return
        if attempt.result is AttemptResult.DELIVERED:
            self.allocation.record_ended(
                _facts(call), now() - call.attempt_sent_s, call.calls_per_slot_sent
            )
        self._sent_since[call.service] -= 1
        if self.allocation.room.waiting(call.service):
            self._wake(call.service, freed=1)
        if now() >= self._forget_at_s:
            self._forget_at_s = now() + FORGET_INTERVAL_S
            self.allocation.shares.forget_unused(now())

    def call_ended(self, call: Call) -> None:
        """Record that a call has ended, in whatever way."""
        if call.counted_as_sent:
            call.counted_as_sent = False
            self.allocation.record_left(_facts(call))

    def patience_s(self, call: Call) -> float:
        """Return the time by which placement judges whether an endpoint is too full.

        Engines serve calls of a lower priority later, so a call of a higher one has
        more time for a queue of the same length.
        """
        if not self.enabled or not call.service_config.engine_slots:
            return call.remaining_s
        part = self.allocation.part_before(call.service, call.priority)
        return call.remaining_s / part

    def pause_s(self, call: Call) -> float | None:
        """Return how long a declined call waits before it is sent again.

        Returns:
          The time in seconds; None if another attempt would be in vain.
        """
        if not self.enabled or call.service_config.engine_slots:
            return 0.0
        pressure = self.pressure(call.service, frozenset(call.tried))
        return self.allocation.pause_s(_facts(call), pressure, now())

    def retry_after_s(self, call: Call, wait_s: float) -> float | None:
        """Return the retry delay of a refused call; None if none is scheduled."""
        if not self.enabled:
            return None
        return self.allocation.retry_after_s(
            call.service,
            wait_s,
            self.pressure(call.service),
            self._routers,
            call.remaining_s,
            random.random(),
            now(),
        )

    def refuse_long_calls(self, stop_at_s: float) -> None:
        """Refuse the waiting calls whose deadlines are after a planned stop."""
        for service in list(self.allocation.room.services()):
            for waiting in list(self.allocation.room.waiting(service)):
                if waiting.deadline_s > stop_at_s:
                    self.allocation.room.leave(waiting)
                    self._end(waiting, RefusalReason.STOPPING, TurnLimit.STOP)

    def _record(self, call: Call, turn: Turn) -> None:
        kind = "waited" if turn.refusal is None else "not_admitted"
        self._log.write(
            kind,
            id=call.head.request_id,
            service=call.service,
            priority=call.priority,
            customer=call.customer.name if call.customer else None,
            why=turn.refusal,
            limit=turn.limit,
            waited_ms=round(turn.waited_s * 1000),
            wait_s=round(turn.wait_s, 2),
            over_share=round(turn.excess, 2),
            calls_per_slot=round(turn.calls_per_slot, 2),
        )
        outcome = turn.refusal or "sent"
        self._metrics.count("turns", f"priority {call.priority} {outcome}")
        if turn.waited_s:
            self._metrics.observe("wait", turn.waited_s)

    def state(self) -> dict[str, object]:
        """Return what operators see of the allocation."""
        services = sorted({e.record.service for e in self._selector.endpoints})
        state = self.allocation.state(services, now())
        pressures = {name: self.pressure(name) for name in services}
        return (
            {"enabled": self.enabled}
            | state
            | {
                "calls_per_slot": {
                    name: round(pressure.calls_per_slot, 2)
                    for name, pressure in pressures.items()
                }
            }
        )


def _facts(call: Call) -> CallFacts:
    return CallFacts(
        call.service,
        bool(call.service_config.engine_slots),
        call.route.name,
        call.priority,
        call.customer.name if call.customer else "",
        call.route.target_latency_s,
        call.deadline_s,
        _size(call),
    )


def _size(call: Call) -> int:
    request = call.request
    head = sum(len(name) + len(value) for name, value in request.headers)
    return len(request.body) + len(request.target) + head
