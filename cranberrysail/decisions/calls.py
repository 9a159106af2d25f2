"""Life cycle of a call: claim, admission, attempts, retries and final result."""

from collections import Counter, deque
from typing import Any

from cranberrysail.decisions.actions import Dispatch, FailCall, ReplayResponse
from cranberrysail.decisions.admission import DenyReason
from cranberrysail.decisions.blackboard import Blackboard
from cranberrysail.decisions.callerrors import (
    as_outcome_unknown,
    broken_attempt,
    claim_error,
    endpoint_unreachable,
    no_endpoint,
    overloaded,
)
from cranberrysail.decisions.callhistory import CallHistory
from cranberrysail.decisions.callstate import (
    CallPhase,
    CallState,
    PendingAdmission,
    WaitQueue,
)
from cranberrysail.decisions.claimclient import ClaimClient
from cranberrysail.decisions.claims import ClaimVerdict
from cranberrysail.decisions.controller import CONTROLLERS, BaseController, on
from cranberrysail.decisions.events import (
    AttemptEnded,
    CallArrived,
    CallCancelled,
    CallResult,
    Tick,
)
from cranberrysail.decisions.invariants import Invariant
from cranberrysail.decisions.messages import (
    AdmissionRequest,
    ChatRelocated,
    ClaimReply,
    Deny,
    Grant,
    HeldPermit,
    Release,
)
from cranberrysail.decisions.placement import Candidate, rank_candidates
from cranberrysail.decisions.retry import RetryBudget
from cranberrysail.errors import CallError, NotRunError
from cranberrysail.tables import Idempotency

__all__ = ["CallsController"]

# A round ranks the pool's endpoints for a call and requests admission at one after the
# other. Most admission requests in a round of a call that has not been queued yet.
MAX_ROUND_REQUESTS = 6
# Attempts at endpoints per call, the first included.
MAX_ATTEMPTS = 3
# Time that a call stays in the queue before the tick retries it.
WAITING_RETRY_DELAY_S = 0.05
# Waiting calls retried per pool and tick.
WAITING_RETRIES_PER_TICK = 8
# Rate and burst size of the token bucket that limits the admission requests of
# waiting calls.
WAITING_REQUESTS_PER_S = 40.0
# Most admission requests for a call that has been queued, each time it is retried.
MAX_WAITING_ROUND_REQUESTS = 3
# Time for which an endpoint is skipped after a denial for one of _BACKOFF_REASONS.
DENIED_BACKOFF_S = 0.05
CLAIM_TIMEOUT_S = 3.0
# Time after a grant within which the request must be sent.
DISPATCH_TIMEOUT_S = 2.0
# Age of an admission request beyond which its grant is returned unused.
MAX_GRANT_WAIT_S = 1.0
# Release result of a permit that was returned without an attempt.
UNUSED = "unused"
_BACKOFF_REASONS = (
    DenyReason.FULL,
    DenyReason.COLD,
    DenyReason.SETTLING,
    DenyReason.SILENT,
)


@CONTROLLERS.register("calls")
class CallsController(BaseController):
    """Drives each call of this router from arrival to its final result."""

    def __init__(self, board: Blackboard) -> None:
        super().__init__(board)
        self._cfg = board.settings
        self._calls: dict[int, CallState] = {}
        self._not_running: dict[int, CallState] = {}
        self._queues: dict[str, WaitQueue] = {}
        self._running_by_customer: Counter = Counter()
        self._backoff_until_s: dict[str, float] = {}
        self._retry_budget = RetryBudget(board.settings.limits.retry_share)
        self._claims = ClaimClient(board, self.send)
        self._request_tokens = WAITING_REQUESTS_PER_S
        self._tokens_refilled_s = 0.0

    @on(CallArrived)
    def call_arrived(self, event: CallArrived, now: float) -> None:
        """Register a call, then claim its idempotency key or request admission."""
        self.board.counters["calls.arrived"] += 1
        self.board.open_calls += 1
        self._retry_budget.earn()
        self.board.recent_calls.begin(
            CallHistory(event.request_id, event.customer, event.route_name, now)
        )
        call = CallState(event, now, CallPhase.ASKING, now)
        self._calls[event.call_id] = call
        self._not_running[event.call_id] = call
        if event.route.idempotency is Idempotency.KEYED:
            self._request_claim(call, now)
            return
        self._start_round(call, now)

    def _record_step(self, call: CallState, now: float, text: str) -> None:
        self.board.recent_calls.add_step(call.arrived.request_id, now, text)

    def _request_claim(self, call: CallState, now: float) -> None:
        call.phase = CallPhase.CLAIMING
        call.phase_since_s = now
        owner = self._claims.request(call.arrived)
        self._record_step(
            call, now, f"requested a claim on the idempotency key from {owner}"
        )

    @on(ClaimReply)
    def claim_reply(self, source: str, message: ClaimReply, now: float) -> None:
        """Run, answer or fail a call according to the verdict on its key."""
        call = self._calls.get(message.call_id)
        if call is None or call.phase is not CallPhase.CLAIMING:
            self._claims.abandon_late_claim(message)
            return
        self._record_step(call, now, f"idempotency key verdict: {message.verdict}")
        if message.verdict == ClaimVerdict.RUN:
            call.claim_id = message.claim_id
            self._start_round(call, now)
            return
        if message.verdict == ClaimVerdict.DONE:
            self.board.counters["calls.answered_from_record"] += 1
            self.emit(
                ReplayResponse(
                    message.call_id, message.status, message.headers, message.body
                )
            )
            self._remove(call, now)
            return
        self._fail(call, claim_error(message.verdict), now)

    def _start_round(self, call: CallState, now: float) -> None:
        event = call.arrived
        ranked = rank_candidates(self.board, call.pool, event.chat_key, now)
        if not ranked:
            self._fail(call, no_endpoint(call.pool), now)
            return
        unrestricted = [c.endpoint for c in ranked if not c.cached_only]
        call.first_ranked = unrestricted[0] if event.chat_key else ""
        usable = [c for c in ranked if c.endpoint not in call.failed_endpoints]
        call.remaining = deque(c for c in usable if self._should_request(c, call, now))
        call.requests_in_round = 0
        self._request_next(call, now)

    def _should_request(
        self, candidate: Candidate, call: CallState, now: float
    ) -> bool:
        """Return whether to request admission at a candidate.

        Admission at the chat's first-ranked endpoint is requested even during its
        back-off, because its owner knows which endpoint holds the chat's cache.
        """
        name = candidate.endpoint
        return name == call.first_ranked or self._backoff_until_s.get(name, 0.0) <= now

    def _request_next(self, call: CallState, now: float) -> None:
        event = call.arrived
        call.pending_admission = None
        max_requests = (
            MAX_WAITING_ROUND_REQUESTS if call.has_waited else MAX_ROUND_REQUESTS
        )
        while call.remaining and call.requests_in_round < max_requests:
            candidate = call.remaining.popleft()
            owner = self._owner_if_in_service(candidate.endpoint)
            if owner is None:
                continue
            call.requests_in_round += 1
            if call.has_waited:
                self._request_tokens -= 1.0
            call.phase = CallPhase.ASKING
            call.pending_admission = PendingAdmission(candidate.endpoint, owner, now)
            request = AdmissionRequest(
                event.call_id,
                candidate.endpoint,
                event.customer,
                event.chat_key,
                event.route.priority,
                candidate.cached_only,
                candidate.ignore_relocation,
            )
            if self.send(owner, request):
                return
        self._enqueue(call, now)

    def _owner_if_in_service(self, endpoint: str) -> str | None:
        listed = self.board.listed_endpoints.get(endpoint)
        if listed is None or not self.board.in_service(listed):
            return None
        return self.board.owner_of(endpoint)

    def _enqueue(self, call: CallState, now: float) -> None:
        call.pending_admission = None
        call.phase = CallPhase.WAITING
        call.has_waited = True
        call.phase_since_s = now
        self._record_step(
            call, now, f"queued for pool {call.pool}: {call.last_denial or 'busy'}"
        )
        evicted = self._queue(call.pool).add(call)
        if evicted is not None:
            self._fail(evicted, _overload_error(evicted, "queue full"), now)

    def _queue(self, pool: str) -> WaitQueue:
        if pool not in self._queues:
            self._queues[pool] = WaitQueue(self._cfg.limits.queue_calls)
        return self._queues[pool]

    @on(Grant)
    def grant(self, source: str, message: Grant, now: float) -> None:
        """Dispatch an admitted call, or return the permit if it is no longer wanted."""
        call = self._calls.get(message.call_id)
        pending = call.pending_admission if call is not None else None
        if pending is None or pending.endpoint != message.endpoint:
            if call is None or call.endpoint != message.endpoint:
                self.send(source, Release(message.call_id, message.endpoint, UNUSED))
            return
        if now - pending.sent_s > MAX_GRANT_WAIT_S:
            self._release(message.call_id, message.endpoint, UNUSED, 0)
            self._request_next(call, now)
            return
        self._dispatch(call, message, now)

    def _dispatch(self, call: CallState, message: Grant, now: float) -> None:
        event = call.arrived
        listed = self.board.listed_endpoints.get(message.endpoint)
        if listed is None:
            # An endpoint that is not listed has no owner, so no release is sent.
            self._release(call.arrived.call_id, message.endpoint, UNUSED, 0)
            self._request_next(call, now)
            return
        may_send = event.route.idempotency is Idempotency.SAFE or not call.maybe_ran
        self.board.invariants.check(
            Invariant.AT_MOST_ONCE,
            may_send,
            now,
            f"{event.request_id} sent again after it may have run",
        )
        call.pending_admission = None
        call.phase = CallPhase.RUNNING
        self._not_running.pop(event.call_id, None)
        call.phase_since_s = now
        call.endpoint = message.endpoint
        call.attempts += 1
        self._running_by_customer[event.customer] += 1
        held = HeldPermit(event.call_id, event.customer, event.chat_key)
        self.board.add_permit(message.endpoint, held, now)
        cached = "with" if message.cached else "without"
        self._record_step(
            call,
            now,
            f"admitted to {message.endpoint}, {cached} a known cache of its chat",
        )
        self.board.counters[f"placement.{cached}_cache"] += 1
        if call.first_ranked and call.first_ranked != message.endpoint:
            self._notify_first_ranked(call)
        self.emit(
            Dispatch(
                event.call_id, listed.name, listed.address, now + DISPATCH_TIMEOUT_S
            )
        )

    def _notify_first_ranked(self, call: CallState) -> None:
        self.board.counters["placement.off_first_rank"] += 1
        owner = self.board.owner_of(call.first_ranked)
        if owner is not None:
            self.send(
                owner,
                ChatRelocated(call.first_ranked, call.arrived.chat_key, call.endpoint),
            )

    @on(Deny)
    def deny(self, source: str, message: Deny, now: float) -> None:
        """Request admission at the next candidate, or queue the call."""
        call = self._calls.get(message.call_id)
        if call is None or call.pending_admission is None:
            return
        if call.pending_admission.endpoint != message.endpoint:
            return
        call.last_denial = message.reason
        self._record_step(
            call,
            now,
            f"{source} denied admission to {message.endpoint}: {message.reason}",
        )
        if message.reason in _BACKOFF_REASONS:
            self._backoff_until_s[message.endpoint] = now + DENIED_BACKOFF_S
        if message.reason == DenyReason.ELSEWHERE:
            call.remaining.appendleft(
                Candidate(message.endpoint, ignore_relocation=True)
            )
            if message.cached_at not in call.failed_endpoints:
                call.remaining.appendleft(Candidate(message.cached_at))
        if message.reason == DenyReason.OVER_SHARE:
            self._enqueue(call, now)
            return
        self._request_next(call, now)

    @on(AttemptEnded)
    def attempt_ended(self, event: AttemptEnded, now: float) -> None:
        """Release the permit of an attempt, then finish or retry the call."""
        call = self._calls.get(event.call_id)
        if call is None or call.phase is not CallPhase.RUNNING:
            return
        endpoint = call.endpoint
        self._end_attempt(call, event)
        self.board.counters[f"calls.{event.result.value}"] += 1
        self._record_step(
            call, now, f"attempt at {endpoint} ended: {event.result.value}"
        )
        if event.result is CallResult.OK:
            self._claims.record_response(call, event)
            self._remove(call, now)
        elif event.result in (CallResult.CANCELLED, CallResult.CUT):
            call.maybe_ran = True
            self._remove(call, now)
        else:
            call.failed_endpoints.add(endpoint)
            call.maybe_ran |= event.result is CallResult.BROKEN
            self._retry_or_fail(call, event, now)
        self._retry_waiting(call.pool, now, 1)

    def _end_attempt(self, call: CallState, event: AttemptEnded) -> None:
        endpoint = call.endpoint
        call.endpoint = ""
        self._not_running[event.call_id] = call
        self._running_by_customer[call.arrived.customer] -= 1
        if self._running_by_customer[call.arrived.customer] <= 0:
            del self._running_by_customer[call.arrived.customer]
        self.board.remove_permit(endpoint, event.call_id)
        self._release(event.call_id, endpoint, event.result.value, event.first_ms)

    def _release(self, call_id: int, endpoint: str, result: str, first_ms: int) -> None:
        owner = self.board.owner_of(endpoint)
        if owner is not None:
            self.send(owner, Release(call_id, endpoint, result, first_ms))

    def _retry_or_fail(self, call: CallState, event: AttemptEnded, now: float) -> None:
        safe = call.arrived.route.idempotency is Idempotency.SAFE
        retryable = safe or not call.maybe_ran
        if retryable and call.attempts < MAX_ATTEMPTS and self._retry_budget.spend():
            self.board.counters["calls.retried"] += 1
            self._start_round(call, now)
            return
        if call.maybe_ran:
            self._fail(call, broken_attempt(event.result), now)
            return
        self._fail(call, endpoint_unreachable(event.result), now)

    @on(CallCancelled)
    def call_cancelled(self, event: CallCancelled, now: float) -> None:
        """Drop a call whose caller disconnected while no attempt was running."""
        call = self._calls.get(event.call_id)
        if call is None or call.phase is CallPhase.RUNNING:
            return
        self.board.counters["calls.cancelled_early"] += 1
        self._record_step(call, now, "caller disconnected")
        self._claims.abandon(call)
        self._remove(call, now)

    def _fail(self, call: CallState, error: CallError, now: float) -> None:
        if isinstance(error, NotRunError) and call.maybe_ran:
            error = as_outcome_unknown(error)
        if isinstance(error, NotRunError):
            self.board.invariants.check(
                Invariant.NOT_RUN_TRUE,
                not call.maybe_ran,
                now,
                f"{call.arrived.request_id} may have run but is reported as not run",
            )
            self._claims.abandon(call)
        self.board.counters[f"calls.failed.{error.code}"] += 1
        self._record_step(call, now, f"failed: {error.code}, {error.outcome}")
        self.emit(FailCall(call.arrived.call_id, error))
        self._remove(call, now)

    def _remove(self, call: CallState, now: float) -> None:
        if self._calls.pop(call.arrived.call_id, None) is None:
            return
        self._not_running.pop(call.arrived.call_id, None)
        self.board.open_calls -= 1
        queue = self._queues.get(call.pool)
        if queue is not None:
            queue.remove(call.arrived.call_id)

    @on(Tick)
    def tick(self, event: Tick, now: float) -> None:
        """Time out overdue calls and retry waiting ones."""
        for call in list(self._not_running.values()):
            self._expire(call, now)
        for pool in list(self._queues):
            self._retry_waiting(pool, now, WAITING_RETRIES_PER_TICK)
        self._backoff_until_s = {
            n: at for n, at in self._backoff_until_s.items() if at > now
        }

    def _expire(self, call: CallState, now: float) -> None:
        if (
            call.phase is CallPhase.CLAIMING
            and now - call.phase_since_s > CLAIM_TIMEOUT_S
        ):
            self._fail(call, claim_error(ClaimVerdict.UNAVAILABLE), now)
        elif call.phase is CallPhase.ASKING and call.pending_admission is not None:
            if now - call.pending_admission.sent_s > self._cfg.admission.ask_s:
                self._record_step(
                    call, now, f"no admission reply from {call.pending_admission.owner}"
                )
                call.last_denial = "owner did not reply"
                self._request_next(call, now)
        elif call.phase is CallPhase.WAITING:
            self._expire_waiting(call, now)

    def _expire_waiting(self, call: CallState, now: float) -> None:
        wait_s = self._cfg.limits.queue_s
        if now - call.arrived_s > wait_s:
            self._fail(
                call,
                _overload_error(
                    call,
                    f"no endpoint had capacity {wait_s:g} s after the request arrived",
                ),
                now,
            )

    def _retry_waiting(self, pool: str, now: float, count: int) -> None:
        queue = self._queues.get(pool)
        if queue is None or not len(queue):
            return
        refill = (now - self._tokens_refilled_s) * WAITING_REQUESTS_PER_S
        self._request_tokens = min(
            WAITING_REQUESTS_PER_S, self._request_tokens + refill
        )
        self._tokens_refilled_s = now
        # A count of 1 means that an attempt ended: the call is retried without delay.
        for call in queue.next_calls(count, self._running_by_customer):
            if self._request_tokens < 1.0:
                return
            if now - call.phase_since_s >= WAITING_RETRY_DELAY_S or count == 1:
                queue.remove(call.arrived.call_id)
                self._continue_round(call, now)

    def _continue_round(self, call: CallState, now: float) -> None:
        """Request admission at the remaining candidates, or start a new round."""
        if not call.remaining:
            self._start_round(call, now)
            return
        call.requests_in_round = 0
        self._request_next(call, now)

    def dump(self) -> dict[str, Any]:
        """Return open calls by phase and endpoint, queue lengths and retry tokens."""
        phases = Counter(call.phase.value for call in self._calls.values())
        return {
            "by_phase": dict(phases),
            "queues": {pool: len(queue) for pool, queue in self._queues.items()},
            "retry_tokens": round(self._retry_budget.tokens, 1),
            "open_by_endpoint": {
                name: len(permits)
                for name, permits in sorted(self.board.held_permits.items())
            },
        }


def _overload_error(call: CallState, reason: str) -> NotRunError:
    return overloaded(call.pool, call.last_denial, reason)
