"""Handling of one call: the steps admit, order, place, send, and what ends it."""

import asyncio
from functools import partial

from cranberrysail.router.admission import RefusalReason
from cranberrysail.router.allocation import Turn
from cranberrysail.router.attempt import AttemptRunner
from cranberrysail.router.call import Call
from cranberrysail.router.calllog import CallLog
from cranberrysail.router.callorder import CallOrder
from cranberrysail.router.callresponses import (
    DEFAULT_CALLER_TIMEOUT_S,
    CallResponder,
    error_response,
)
from cranberrysail.router.clock import now
from cranberrysail.router.config import RouterConfig
from cranberrysail.router.contentguard import ContentGuard
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.endpoints import Endpoint
from cranberrysail.router.follower import RoutingState
from cranberrysail.router.headercodec import BaseHeaderCodec, CallHead, Headers
from cranberrysail.router.httplistener import (
    CallerDisconnectedError,
    HttpRequest,
    HttpServerConn,
)
from cranberrysail.router.metrics import RouterMetrics
from cranberrysail.router.model import Customer, Route, RouteTables
from cranberrysail.router.outcome import Attempt, AttemptResult, NextStep, next_step
from cranberrysail.router.retrybudget import RetryBudget
from cranberrysail.router.selector import Choice, Selector

__all__ = ["Call", "CallHandler"]

# Time after a start within which tables and endpoints are read, unless the store is
# away.
LOADING_S = 1.5
# Fraction of a caller's timeout for which its call waits for them.
MAX_LOAD_WAIT_SHARE = 0.3


class CallHandler:
    """Handles callers' requests; what it does for one of them is a call.

    A request is admitted as a ``Call`` or denied. The call gets its ``Turn`` in the
    order of calls, at once while capacity is free. Each of its attempts is placed,
    which gives a ``Choice``, and sent, which gives an ``Attempt``, until a step ends
    the call with a response.

    Attributes:
      order: Order in which calls are sent where capacity is scarce.
      attempt_runner: Sends calls to endpoints.
    """

    def __init__(
        self,
        cfg: RouterConfig,
        state: RoutingState,
        selector: Selector,
        content_guard: ContentGuard,
        header_codec: BaseHeaderCodec,
        log: DecisionLog,
        metrics: RouterMetrics,
    ) -> None:
        """Create a handler.

        Args:
          cfg: Settings of the router.
          state: Route tables and endpoints known to this router.
          selector: Chooses an endpoint for each attempt.
          content_guard: Knows the content on which endpoints crash.
          header_codec: Translates to and from the platform's HTTP headers.
          log: Log of routing decisions.
          metrics: Counters and latency histograms.
        """
        self._state = state
        self._selector = selector
        self._content_guard = content_guard
        self._header_codec = header_codec
        self._metrics = metrics
        self._call_log = CallLog(log, metrics)
        self.order = CallOrder(cfg.admission, selector, log, metrics)
        self._responder = CallResponder(
            cfg.admission, header_codec, self._call_log, self.order.retry_after_s
        )
        self._started_s = now()
        self._stop_at_s = float("inf")
        self._accepts_long_calls = True
        # Those of calls that are being handled.
        self._timeouts: set[asyncio.Timeout] = set()
        self._budget = RetryBudget(cfg.repeats)
        self.attempt_runner = AttemptRunner(
            state.endpoints,
            selector,
            content_guard,
            header_codec,
            log,
            metrics,
            state.rollouts,
        )

    def configure(self, cfg: RouterConfig) -> None:
        """Apply changed settings."""
        self._responder.bound = cfg.admission
        self.order.configure(cfg.admission)
        self._budget.bound = cfg.repeats

    def error_response(self, status: int, error_code: str) -> tuple[Headers, bytes]:
        """Return headers and body of an error response by the router itself."""
        return error_response(status, error_code)

    def refusal_headers(self, request: HttpRequest) -> Headers:
        """Return further headers of a refusal by the listener, which lacks memory."""
        head = self._header_codec.call_head(request.headers)
        return self._responder.short_of_memory(head)

    def end_calls_by(self, stop_at_s: float) -> None:
        """End calls at a time before connections are closed, with a response.

        Args:
          stop_at_s: The time, on the router's clock.
        """
        self._stop_at_s = stop_at_s
        loop_time_s = asyncio.get_running_loop().time() + stop_at_s - now()
        for timeout in self._timeouts:
            # A call that has timed out ends by itself, in the next pass of the event
            # loop; its timeout can no longer be changed.
            if not timeout.expired():
                timeout.reschedule(min(timeout.when(), loop_time_s))

    def refuse_long_calls(self) -> None:
        """Refuse calls from now on whose timeouts do not end before the stop.

        This includes those that wait for their turn.
        """
        self._accepts_long_calls = False
        self.order.refuse_long_calls(self._stop_at_s)

    async def serve(self, request: HttpRequest, conn: HttpServerConn) -> None:
        """Handle one request and send its response.

        Args:
          request: The request with its whole body.
          conn: The caller's connection.
        """
        call = await self._admit(request, conn)
        if call is not None:
            await self._run_with_deadline(call)

    async def _run_with_deadline(self, call: Call) -> None:
        remaining_s = min(call.remaining_s, self._stop_at_s - now())
        try:
            async with asyncio.timeout(max(0.0, remaining_s)) as timeout:
                self._timeouts.add(timeout)
                try:
                    await self._run(call)
                finally:
                    self._timeouts.discard(timeout)
                    self.order.call_ended(call)
        except TimeoutError:
            self._responder.deadline_exceeded(call, self._stop_at_s < call.deadline_s)
        except CallerDisconnectedError:
            self._call_log.caller_left(call)
        except asyncio.CancelledError:
            # The listener cancels the handler when the caller disconnects.
            self._call_log.caller_left(call)
            raise

    async def _run(self, call: Call) -> None:
        turn = await self._order(call)
        if turn.refusal is not None:
            self._responder.refuse(call, turn.refusal, turn.wait_s)
            return
        while True:
            choice = self._place(call)
            if choice is None:
                return
            attempt = await self._send(call, choice)
            if not await self._goes_on(call, choice.endpoint, attempt):
                return
            if not self._content_guard.is_known_good(call):
                # Its content may be what the endpoint has crashed on.
                await self.attempt_runner.wait_until_crash_known(choice.endpoint)

    async def _admit(self, request: HttpRequest, conn: HttpServerConn) -> Call | None:
        """Return the call of a valid request; otherwise respond to it."""
        head = self._header_codec.call_head(request.headers)
        if not self._state.is_loaded:
            await self._state.wait_until_loaded(self._max_load_wait_s(head))
        tables = self._state.tables
        if tables is None or not self._state.is_loaded:
            self._responder.refuse_not_loaded(conn, head)
            return None
        deny = partial(self._responder.deny, conn, head, tables_version=tables.version)
        route = tables.find(request.header(b"host").decode("latin-1"), request.path)
        if route is None:
            deny(404, "no_route")
            return None
        customer = tables.customers.get(head.api_key)
        if customer is None and not route.public:
            deny(401, "bad_key")
            return None
        if not head.request_id:
            deny(400, "no_attempt_id")
            return None
        call = self._create_call(request, conn, head, route, tables, customer)
        if not self._accepts_long_calls and call.deadline_s > self._stop_at_s:
            self._responder.refuse(call, RefusalReason.STOPPING, 0.0)
            return None
        return call

    def _max_load_wait_s(self, head: CallHead) -> float:
        """Return how long a call waits for the tables of a router that has started.

        A caller that is refused comes back once, and may find another router that has
        just started. If the tables are late, the store is away, and calls are refused
        at once.
        """
        loading_for_s = self._started_s + LOADING_S - now()
        caller_timeout_s = head.timeout_s or DEFAULT_CALLER_TIMEOUT_S
        return max(0.0, min(loading_for_s, caller_timeout_s * MAX_LOAD_WAIT_SHARE))

    def _create_call(
        self,
        request: HttpRequest,
        conn: HttpServerConn,
        head: CallHead,
        route: Route,
        tables: RouteTables,
        customer: Customer | None,
    ) -> Call:
        timeout_s = route.timeout_s
        if head.timeout_s is not None:
            timeout_s = min(timeout_s, head.timeout_s)
        return Call(
            request,
            conn,
            head,
            route,
            self._selector.choose_service(route),
            tables,
            customer,
            request.arrived_s + timeout_s,
        )

    async def _order(self, call: Call) -> Turn:
        """Wait until the call is sent; return why if it is not.

        A call with content that is held back is not held here, as it is bound to be
        refused, or is sent singly.
        """
        return await self.order.turn(call, not self._content_guard.is_held_back(call))

    def _place(self, call: Call) -> Choice | None:
        """Return the endpoint for the next attempt; without one, end the call."""
        refusal = self._content_guard.check(call)
        if refusal is not None:
            self._responder.refuse_content(call, refusal)
            return None
        choice = self._selector.choose(
            call.tables,
            call.service,
            call.head.prompt_parts,
            call.tried,
            self.order.patience_s(call),
            now(),
            call.work,
        )
        if choice.endpoint is None:
            self._responder.no_endpoint(call, choice)
            return None
        self._call_log.placed(call, choice)
        self._metrics.count("placements", choice.placement_kind)
        return choice

    async def _send(self, call: Call, choice: Choice) -> Attempt:
        if not call.tried:
            self._budget.record_first_send(call.service, now())
        attempt = await self.attempt_runner.run(call, choice)
        self._metrics.count("attempts", attempt.result.value)
        self.order.attempt_ended(call, attempt)
        return attempt

    async def _goes_on(self, call: Call, endpoint: Endpoint, attempt: Attempt) -> bool:
        """Record how an attempt ended; return whether another one follows.

        If not, the final response is sent.
        """
        if attempt.result is AttemptResult.DELIVERED:
            self._call_log.delivered(call, endpoint, attempt)
            return False
        call.tried.add(endpoint.id)
        if attempt.result in (AttemptResult.NOT_RUN, AttemptResult.DISPLACED):
            call.declined += 1
        decide = partial(
            next_step,
            call.route,
            attempt.result,
            call.executions,
            call.declined,
            can_continue=call.can_continue,
        )
        step = decide(within_budget=True)
        pause_s: float | None = 0.0
        if step is NextStep.SEND_AGAIN and attempt.result is AttemptResult.NOT_RUN:
            pause_s = self.order.pause_s(call)
            if pause_s is None:
                # Another attempt would be in vain: the step without one.
                step = decide(within_budget=False)
        # Retries are charged to the retry budget once an attempt of the call has been
        # sent to an endpoint; before that, no attempt has caused any load.
        exempt = step is not NextStep.SEND_AGAIN or not call.attempts_sent
        within_budget = exempt or self._budget.spend(
            call.service, self._selector.fleet_size, now()
        )
        if not within_budget:
            step = decide(within_budget=False)
        self._call_log.attempt_ended(call, endpoint, attempt, within_budget, step)
        if step is NextStep.SEND_AGAIN:
            call.event_splitter.discard_tail()
            if pause_s:
                await asyncio.sleep(pause_s)
            return True
        self._responder.finish(call, step)
        return False

    def sweep(self) -> None:
        """Remove lapsed endpoints whose time is up, and state no longer needed.

        Closes expired connections and drops the state of removed endpoints.
        """
        self._state.remove_expired()
        incarnations = {endpoint.incarnation for endpoint in self._state.endpoints}
        self.attempt_runner.connection_pool.sweep(incarnations)
        self._selector.loads.retain(incarnations)
