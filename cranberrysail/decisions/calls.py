"""Finding an endpoint for each call, and bringing it to one end."""

from collections import Counter, deque
from typing import Any

from cranberrysail.decisions.actions import AnswerRecorded, Dispatch, FailCall
from cranberrysail.decisions.admission import DenyReason
from cranberrysail.decisions.blackboard import Blackboard
from cranberrysail.decisions.callerrors import (
    broken,
    claim_error,
    may_have_run,
    no_endpoint,
    not_reached,
    overloaded,
)
from cranberrysail.decisions.callrecords import CallRecord
from cranberrysail.decisions.callstate import Asking, CallPhase, CallState, WaitQueue
from cranberrysail.decisions.claims import ClaimVerdict
from cranberrysail.decisions.controller import CONTROLLERS, BaseController, on
from cranberrysail.decisions.events import (
    CallArrived,
    CallCancelled,
    CallEnded,
    CallResult,
    Tick,
)
from cranberrysail.decisions.invariants import Invariant
from cranberrysail.decisions.keyclaims import KeyClaims
from cranberrysail.decisions.messages import (
    Ask,
    ClaimReply,
    Deny,
    Grant,
    HeldCall,
    Lives,
    Release,
)
from cranberrysail.decisions.placement import Candidate, candidates
from cranberrysail.decisions.retry import RetryBudget
from cranberrysail.errors import CallError, NotRunError
from cranberrysail.tables import Idempotency

__all__ = ["CallsController"]

MAX_ASKS = 6
MAX_ATTEMPTS = 3
TRY_AGAIN_S = 0.05
TRIES_PER_TICK = 8
RETRY_ASKS_S = 40.0
RETRY_ASKS = 3
FULL_S = 0.05
CLAIM_S = 3.0
SEND_WITHIN_S = 2.0
GRANT_LIFE_S = 1.0
UNUSED = "unused"
_HINTED = (DenyReason.FULL, DenyReason.COLD, DenyReason.SETTLING, DenyReason.SILENT)


@CONTROLLERS.register("calls")
class CallsController(BaseController):
    """Takes calls from arrival to their end."""

    def __init__(self, board: Blackboard) -> None:
        super().__init__(board)
        self._cfg = board.settings
        self._calls: dict[int, CallState] = {}
        self._pending: dict[int, CallState] = {}
        self._queues: dict[str, WaitQueue] = {}
        self._running: Counter = Counter()
        self._full_until: dict[str, float] = {}
        self._budget = RetryBudget(board.settings.limits.retry_share)
        self._keys = KeyClaims(board, self.send)
        self._tokens = RETRY_ASKS_S
        self._tokens_s = 0.0

    @on(CallArrived)
    def arrived(self, event: CallArrived, now: float) -> None:
        """Begin a call."""
        self.board.counters["calls.arrived"] += 1
        self.board.open_calls += 1
        self._budget.earn()
        self.board.decisions.begin(
            CallRecord(event.request_id, event.customer, event.route_name, now)
        )
        call = CallState(event, now, CallPhase.ASKING, now)
        self._calls[event.call] = call
        self._pending[event.call] = call
        if event.route.idempotency is Idempotency.KEYED:
            self._claim(call, now)
            return
        self._plan(call, now)

    def _note(self, call: CallState, now: float, text: str) -> None:
        self.board.decisions.note(call.arrived.request_id, now, text)

    def _claim(self, call: CallState, now: float) -> None:
        call.phase = CallPhase.CLAIMING
        call.since_s = now
        owner = self._keys.claim(call.arrived)
        self._note(call, now, f"asked {owner} to claim the idempotency key")

    @on(ClaimReply)
    def claim_reply(self, source: str, message: ClaimReply, now: float) -> None:
        """Go on with a keyed call as the log decided."""
        call = self._calls.get(message.call)
        if call is None or call.phase is not CallPhase.CLAIMING:
            self._keys.abandon_late(message)
            return
        self._note(call, now, f"the log says of the key: {message.verdict}")
        if message.verdict == ClaimVerdict.RUN:
            call.claim = message.claim
            self._plan(call, now)
            return
        if message.verdict == ClaimVerdict.DONE:
            self.board.counters["calls.answered_from_record"] += 1
            self.act(
                AnswerRecorded(
                    message.call, message.status, message.headers, message.body
                )
            )
            self._forget(call, now)
            return
        self._fail(call, claim_error(message.verdict), now)

    def _plan(self, call: CallState, now: float) -> None:
        event = call.arrived
        ranked = candidates(self.board, call.pool, event.chat, now)
        if not ranked:
            self._fail(call, no_endpoint(call.pool), now)
            return
        homes = [c.endpoint for c in ranked if not c.cached_only]
        call.home = homes[0] if event.chat else ""
        usable = [c for c in ranked if c.endpoint not in call.failed]
        call.plan = deque(c for c in usable if self._worth_asking(c, call, now))
        call.asks = 0
        self._ask_next(call, now)

    def _worth_asking(self, candidate: Candidate, call: CallState, now: float) -> bool:
        """Return whether to ask; a full home still knows where a chat lives."""
        name = candidate.endpoint
        return name == call.home or self._full_until.get(name, 0.0) <= now

    def _ask_next(self, call: CallState, now: float) -> None:
        event = call.arrived
        call.asking = None
        most = RETRY_ASKS if call.waited else MAX_ASKS
        while call.plan and call.asks < most:
            candidate = call.plan.popleft()
            owner = self._owner_in_service(candidate.endpoint)
            if owner is None:
                continue
            call.asks += 1
            if call.waited:
                self._tokens -= 1.0
            call.phase = CallPhase.ASKING
            call.asking = Asking(candidate.endpoint, owner, now)
            ask = Ask(
                event.call,
                candidate.endpoint,
                event.customer,
                event.chat,
                event.route.priority,
                candidate.cached_only,
                candidate.here,
            )
            if self.send(owner, ask):
                return
        self._wait(call, now)

    def _owner_in_service(self, endpoint: str) -> str | None:
        host = self.board.hosts.get(endpoint)
        if host is None or not self.board.in_service(host):
            return None
        return self.board.owner_of(endpoint)

    def _wait(self, call: CallState, now: float) -> None:
        call.asking = None
        call.phase = CallPhase.WAITING
        call.waited = True
        call.since_s = now
        self._note(call, now, f"waits for pool {call.pool}: {call.last_deny or 'busy'}")
        worst = self._queue(call.pool).add(call)
        if worst is not None:
            self._fail(worst, _no_room(worst, "the queue is full"), now)

    def _queue(self, pool: str) -> WaitQueue:
        if pool not in self._queues:
            self._queues[pool] = WaitQueue(self._cfg.limits.queue_calls)
        return self._queues[pool]

    @on(Grant)
    def grant(self, source: str, message: Grant, now: float) -> None:
        """Send a call to the endpoint that admits it."""
        call = self._calls.get(message.call)
        asking = call.asking if call is not None else None
        if asking is None or asking.endpoint != message.endpoint:
            if call is None or call.endpoint != message.endpoint:
                self.send(source, Release(message.call, message.endpoint, UNUSED))
            return
        if now - asking.since_s > GRANT_LIFE_S:
            self._release(message.call, message.endpoint, UNUSED, 0)
            self._ask_next(call, now)
            return
        self._start(call, message, now)

    def _start(self, call: CallState, message: Grant, now: float) -> None:
        event = call.arrived
        host = self.board.hosts.get(message.endpoint)
        if host is None:
            self._release(call.arrived.call, message.endpoint, UNUSED, 0)
            self._ask_next(call, now)
            return
        once = event.route.idempotency is Idempotency.SAFE or not call.maybe_ran
        self.board.invariants.check(
            Invariant.AT_MOST_ONCE, once, now, f"{event.request_id} sent again"
        )
        call.asking = None
        call.phase = CallPhase.RUNNING
        self._pending.pop(event.call, None)
        call.since_s = now
        call.endpoint = message.endpoint
        call.attempts += 1
        self._running[event.customer] += 1
        held = HeldCall(event.call, event.customer, event.chat)
        self.board.hold(message.endpoint, held, now)
        cached = "with" if message.cached else "without"
        self._note(call, now, f"{message.endpoint} admits it, {cached} its cache")
        self.board.counters[f"placement.{cached}_cache"] += 1
        if call.home and call.home != message.endpoint:
            self._tell_home(call)
        self.act(Dispatch(event.call, host.name, host.address, now + SEND_WITHIN_S))

    def _tell_home(self, call: CallState) -> None:
        self.board.counters["placement.off_first_rank"] += 1
        owner = self.board.owner_of(call.home)
        if owner is not None:
            self.send(owner, Lives(call.home, call.arrived.chat, call.endpoint))

    @on(Deny)
    def deny(self, source: str, message: Deny, now: float) -> None:
        """Ask the next endpoint, or wait."""
        call = self._calls.get(message.call)
        if call is None or call.asking is None:
            return
        if call.asking.endpoint != message.endpoint:
            return
        call.last_deny = message.reason
        self._note(call, now, f"{source} says of {message.endpoint}: {message.reason}")
        if message.reason in _HINTED:
            self._full_until[message.endpoint] = now + FULL_S
        if message.reason == DenyReason.ELSEWHERE:
            call.plan.appendleft(Candidate(message.endpoint, here=True))
            if message.elsewhere not in call.failed:
                call.plan.appendleft(Candidate(message.elsewhere))
        if message.reason == DenyReason.OVER_SHARE:
            self._wait(call, now)
            return
        self._ask_next(call, now)

    @on(CallEnded)
    def ended(self, event: CallEnded, now: float) -> None:
        """Return the permit, then finish the call or try again."""
        call = self._calls.get(event.call)
        if call is None or call.phase is not CallPhase.RUNNING:
            return
        endpoint = call.endpoint
        self._stop_running(call, event)
        self.board.counters[f"calls.{event.result.value}"] += 1
        self._note(call, now, f"{endpoint} ended it: {event.result.value}")
        if event.result is CallResult.OK:
            self._keys.done(call, event)
            self._forget(call, now)
        elif event.result in (CallResult.CANCELLED, CallResult.CUT):
            call.maybe_ran = True
            self._forget(call, now)
        else:
            call.failed.add(endpoint)
            call.maybe_ran |= event.result is CallResult.BROKEN
            self._retry_or_fail(call, event, now)
        self._wake(call.pool, now, 1)

    def _stop_running(self, call: CallState, event: CallEnded) -> None:
        endpoint = call.endpoint
        call.endpoint = ""
        self._pending[event.call] = call
        self._running[call.arrived.customer] -= 1
        if self._running[call.arrived.customer] <= 0:
            del self._running[call.arrived.customer]
        self.board.let_go(endpoint, event.call)
        self._release(event.call, endpoint, event.result.value, event.first_ms)

    def _release(self, call: int, endpoint: str, result: str, first_ms: int) -> None:
        owner = self.board.owner_of(endpoint)
        if owner is not None:
            self.send(owner, Release(call, endpoint, result, first_ms))

    def _retry_or_fail(self, call: CallState, event: CallEnded, now: float) -> None:
        safe = call.arrived.route.idempotency is Idempotency.SAFE
        allowed = safe or not call.maybe_ran
        if allowed and call.attempts < MAX_ATTEMPTS and self._budget.spend():
            self.board.counters["calls.retried"] += 1
            self._plan(call, now)
            return
        if call.maybe_ran:
            self._fail(call, broken(event.result), now)
            return
        self._fail(call, not_reached(event.result), now)

    @on(CallCancelled)
    def cancelled(self, event: CallCancelled, now: float) -> None:
        """Forget a call whose caller left before it was sent."""
        call = self._calls.get(event.call)
        if call is None or call.phase is CallPhase.RUNNING:
            return
        self.board.counters["calls.cancelled_early"] += 1
        self._note(call, now, "the caller left")
        self._keys.abandon(call)
        self._forget(call, now)

    def _fail(self, call: CallState, error: CallError, now: float) -> None:
        if isinstance(error, NotRunError) and call.maybe_ran:
            error = may_have_run(error)
        if isinstance(error, NotRunError):
            self.board.invariants.check(
                Invariant.NOT_RUN_TRUE,
                not call.maybe_ran,
                now,
                f"{call.arrived.request_id} may have run",
            )
            self._keys.abandon(call)
        self.board.counters[f"calls.failed.{error.code}"] += 1
        self._note(call, now, f"refused: {error.code}, {error.outcome}")
        self.act(FailCall(call.arrived.call, error))
        self._forget(call, now)

    def _forget(self, call: CallState, now: float) -> None:
        if self._calls.pop(call.arrived.call, None) is None:
            return
        self._pending.pop(call.arrived.call, None)
        self.board.open_calls -= 1
        queue = self._queues.get(call.pool)
        if queue is not None:
            queue.remove(call.arrived.call)

    @on(Tick)
    def tick(self, event: Tick, now: float) -> None:
        """Expire what took too long and try waiting calls."""
        for call in list(self._pending.values()):
            self._expire(call, now)
        for pool in list(self._queues):
            self._wake(pool, now, TRIES_PER_TICK)
        self._full_until = {n: at for n, at in self._full_until.items() if at > now}

    def _expire(self, call: CallState, now: float) -> None:
        if call.phase is CallPhase.CLAIMING and now - call.since_s > CLAIM_S:
            self._fail(call, claim_error(ClaimVerdict.UNAVAILABLE), now)
        elif call.phase is CallPhase.ASKING and call.asking is not None:
            if now - call.asking.since_s > self._cfg.admission.ask_s:
                self._note(call, now, f"{call.asking.owner} did not answer")
                call.last_deny = "owner did not answer"
                self._ask_next(call, now)
        elif call.phase is CallPhase.WAITING:
            self._expire_waiting(call, now)

    def _expire_waiting(self, call: CallState, now: float) -> None:
        wait_s = self._cfg.limits.queue_s
        if now - call.arrived_s > wait_s:
            self._fail(call, _no_room(call, f"no room within {wait_s:g} s"), now)

    def _wake(self, pool: str, now: float, count: int) -> None:
        queue = self._queues.get(pool)
        if queue is None or not len(queue):
            return
        earned = (now - self._tokens_s) * RETRY_ASKS_S
        self._tokens = min(RETRY_ASKS_S, self._tokens + earned)
        self._tokens_s = now
        for call in queue.next_calls(count, self._running):
            if self._tokens < 1.0:
                return
            if now - call.since_s >= TRY_AGAIN_S or count == 1:
                queue.remove(call.arrived.call)
                self._go_on(call, now)

    def _go_on(self, call: CallState, now: float) -> None:
        """Ask further down the ranking, or from its top once it is exhausted."""
        if not call.plan:
            self._plan(call, now)
            return
        call.asks = 0
        self._ask_next(call, now)

    def dump(self) -> dict[str, Any]:
        """Return open calls by phase and the queues."""
        phases = Counter(call.phase.value for call in self._calls.values())
        return {
            "by_phase": dict(phases),
            "queues": {pool: len(queue) for pool, queue in self._queues.items()},
            "retry_tokens": round(self._budget.tokens, 1),
            "open_by_endpoint": {
                name: len(held) for name, held in sorted(self.board.held.items())
            },
        }


def _no_room(call: CallState, why: str) -> NotRunError:
    return overloaded(call.pool, call.last_deny, why)
