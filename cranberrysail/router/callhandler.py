"""Handling of one call: routing, authentication, retries and the response."""

import asyncio
import random
from functools import partial

import msgspec

from cranberrysail.router.admission import RefusalReason, jittered_retry_after_s
from cranberrysail.router.attempt import AttemptRunner
from cranberrysail.router.call import Call
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
from cranberrysail.router.quarantine import ContentRefusal, ContentStage
from cranberrysail.router.retrybudget import RetryBudget
from cranberrysail.router.selector import Choice, Selector

__all__ = ["Call", "CallHandler"]

# Content-Type header of responses that the router generates itself.
JSON_HEADER = (b"content-type", b"application/json")
# Wait for an endpoint, in seconds, that the retry delay assumes before tables and
# endpoints have been read.
NOT_LOADED_WAIT_S = 0.5
# Time after a start within which tables and endpoints are read, unless the store is
# away.
LOADING_S = 1.5
# Fraction of a caller's timeout for which its call waits for them.
MAX_LOAD_WAIT_SHARE = 0.3
# Time that a caller is assumed to wait if it does not say, as long as there are no
# tables with the timeout of its route.
DEFAULT_CALLER_TIMEOUT_S = 1.0
# Retry delay after the deadline passed before the call was executed. It is not computed
# as usual, since no time remains of which it could be a share.
TOO_LATE_RETRY_AFTER_S = 0.1


class CallHandler:
    """Handles callers' requests; what it does for one of them is a call."""

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
        self._cfg = cfg
        self._state = state
        self._selector = selector
        self._content_guard = content_guard
        self._header_codec = header_codec
        self._log = log
        self._metrics = metrics
        self._started_s = now()
        self._stop_at_s = float("inf")
        self._accepts_long_calls = True
        # Those of calls that are being handled.
        self._timeouts: set[asyncio.Timeout] = set()
        self._budget = RetryBudget(cfg.repeats)
        self.attempt_runner = AttemptRunner(
            state.endpoints, selector, content_guard, header_codec, log, metrics
        )

    def configure(self, cfg: RouterConfig) -> None:
        """Apply changed settings."""
        self._cfg = cfg
        self._budget.bound = cfg.repeats

    def end_calls_by(self, stop_at_s: float) -> None:
        """End calls at a time before connections are closed, with a response.

        Args:
          stop_at_s: The time, on the router's clock.
        """
        self._stop_at_s = stop_at_s
        loop_time_s = asyncio.get_running_loop().time() + stop_at_s - now()
        for timeout in self._timeouts:
            timeout.reschedule(min(timeout.when(), loop_time_s))

    def refuse_long_calls(self) -> None:
        """Refuse calls from now on whose timeouts do not end before the stop."""
        self._accepts_long_calls = False

    async def serve(self, request: HttpRequest, conn: HttpServerConn) -> None:
        """Handle one request and send its response.

        Args:
          request: The request with its whole body.
          conn: The caller's connection.
        """
        head = self._header_codec.call_head(request.headers)
        if not self._state.is_loaded:
            await self._state.wait_until_loaded(self._max_load_wait_s(head))
        tables = self._state.tables
        if tables is None or not self._state.is_loaded:
            self._refuse_not_loaded(conn, head)
            return
        route = tables.find(request.header(b"host").decode("latin-1"), request.path)
        if route is None:
            self._deny(conn, head, 404, "no_route", tables.version)
            return
        customer = tables.customers.get(head.api_key)
        if customer is None and not route.public:
            self._deny(conn, head, 401, "bad_key", tables.version)
            return
        if not head.request_id:
            self._deny(conn, head, 400, "no_attempt_id", tables.version)
            return
        call = self._create_call(request, conn, head, route, tables, customer)
        if not self._accepts_long_calls and call.deadline_s > self._stop_at_s:
            self._refuse(call, RefusalReason.STOPPING, 0.0)
            return
        await self._run_with_deadline(call)

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

    def error_response(self, status: int, error_code: str) -> tuple[Headers, bytes]:
        """Return headers and body of an error response by the router itself.

        Args:
          status: HTTP status.
          error_code: Error code for the body.
        """
        body = msgspec.json.encode({"error": error_code})
        return [JSON_HEADER], body

    def refusal_headers(self, request: HttpRequest) -> Headers:
        """Return further headers of a refusal by the listener, which lacks memory."""
        head = self._header_codec.call_head(request.headers)
        retry_after_s = self._retry_after_s(
            0.0, head.timeout_s or DEFAULT_CALLER_TIMEOUT_S
        )
        self._log.write("refused", id=head.request_id, why="memory_short")
        self._metrics.count("answers_own", "503 memory_short")
        return self._header_codec.error_headers(head.request_id, retry_after_s)

    def _send_error(
        self,
        conn: HttpServerConn,
        head: CallHead,
        status: int,
        error_code: str,
        retry_after_s: float | None = None,
    ) -> None:
        headers, body = self.error_response(status, error_code)
        headers += self._header_codec.error_headers(head.request_id, retry_after_s)
        conn.send_response(status, headers, body)
        self._metrics.count("answers_own", f"{status} {error_code}")

    def _deny(
        self,
        conn: HttpServerConn,
        head: CallHead,
        status: int,
        error_code: str,
        tables_version: int,
    ) -> None:
        self._send_error(conn, head, status, error_code)
        self._log.write(
            "denied",
            id=head.request_id,
            status=status,
            why=error_code,
            tables=tables_version,
        )

    def _max_load_wait_s(self, head: CallHead) -> float:
        """Return how long a call waits for the tables of a router that has started.

        A caller that is refused comes back once, and may find another router that has
        just started. If the tables are late, the store is away, and calls are refused
        at once.
        """
        loading_for_s = self._started_s + LOADING_S - now()
        caller_timeout_s = head.timeout_s or DEFAULT_CALLER_TIMEOUT_S
        return max(0.0, min(loading_for_s, caller_timeout_s * MAX_LOAD_WAIT_SHARE))

    def _refuse_not_loaded(self, conn: HttpServerConn, head: CallHead) -> None:
        # The reason covers endpoints that have not been read yet, too.
        retry_after_s = self._retry_after_s(
            NOT_LOADED_WAIT_S, head.timeout_s or DEFAULT_CALLER_TIMEOUT_S
        )
        self._send_error(conn, head, 503, RefusalReason.NO_TABLES.value, retry_after_s)
        self._log.write("refused", id=head.request_id, why=RefusalReason.NO_TABLES)

    def _refuse(self, call: Call, reason: RefusalReason, wait_s: float) -> None:
        retry_after_s = self._retry_after_s(wait_s, call.remaining_s)
        self._send_error(call.caller_conn, call.head, 503, reason.value, retry_after_s)
        self._log.write("refused", id=call.head.request_id, why=reason)

    def _retry_after_s(self, wait_s: float, remaining_s: float) -> float:
        return jittered_retry_after_s(
            self._cfg.admission, wait_s, remaining_s, random.random()
        )

    async def _run_with_deadline(self, call: Call) -> None:
        remaining_s = min(call.remaining_s, self._stop_at_s - now())
        try:
            async with asyncio.timeout(max(0.0, remaining_s)) as timeout:
                self._timeouts.add(timeout)
                try:
                    await self._run_attempts(call)
                finally:
                    self._timeouts.discard(timeout)
        except TimeoutError:
            self._on_deadline_exceeded(call)
        except CallerDisconnectedError:
            self._log.write("caller_left", id=call.head.request_id, ran=call.executions)
        except asyncio.CancelledError:
            # The listener cancels the handler when the caller disconnects.
            self._log.write("caller_left", id=call.head.request_id, ran=call.executions)
            raise

    def _on_deadline_exceeded(self, call: Call) -> None:
        self._log.write(
            "time_over",
            id=call.head.request_id,
            ran=call.executions,
            # Id of the last event sent.
            events=call.event_splitter.last_id.decode("latin-1"),
        )
        if call.response_started:
            call.caller_conn.abort()
        elif call.executions:
            self._send_error(call.caller_conn, call.head, 504, "no_answer_in_time")
        else:
            ended_by_stop = self._stop_at_s < call.deadline_s
            reason = RefusalReason.STOPPING if ended_by_stop else RefusalReason.TOO_LATE
            self._send_error(
                call.caller_conn, call.head, 503, reason.value, TOO_LATE_RETRY_AFTER_S
            )

    async def _run_attempts(self, call: Call) -> None:
        while True:
            refusal = self._content_guard.check(call)
            if refusal is not None:
                self._on_content_refused(call, refusal)
                return
            choice = self._selector.choose(
                call.tables,
                call.service,
                call.head.prompt_parts,
                call.tried,
                call.remaining_s,
                now(),
            )
            if choice.endpoint is None:
                self._on_no_endpoint(call, choice)
                return
            self._log_placement(call, choice)
            if not call.tried:
                self._budget.record_first_send(call.service, now())
            attempt = await self.attempt_runner.run(call, choice)
            self._metrics.count("attempts", attempt.result.value)
            if attempt.result is AttemptResult.DELIVERED:
                self._log_delivered(call, choice.endpoint, attempt)
                return
            if not self._on_not_delivered(call, choice.endpoint, attempt):
                return
            if not self._content_guard.is_known_good(call):
                # Its content may be what the endpoint has crashed on.
                await self.attempt_runner.wait_until_crash_known(choice.endpoint)

    def _log_placement(self, call: Call, choice: Choice) -> None:
        endpoint = choice.endpoint
        self._log.write(
            "placed",
            id=call.head.request_id,
            route=call.route.name,
            endpoint=endpoint.id,
            load=round(choice.load, 1),
            of=choice.candidates,
            mean=round(choice.mean_load, 1),
            spill_load=round(choice.spill_load, 1),
            rank=choice.rank,
            report_age_s=_rounded(choice.report_age_s),
            cache_from=choice.cache_source.id if choice.cache_source else None,
            cold=endpoint.is_cold(now()),
            declared_age_s=round(now() - endpoint.declared_s, 2),
            tables=call.tables.version,
            attempt=len(call.tried) + 1,
        )

    def _log_delivered(self, call: Call, endpoint: Endpoint, attempt: Attempt) -> None:
        elapsed_s = now() - call.request.arrived_s
        self._metrics.observe("call", elapsed_s)
        self._log.write(
            "delivered",
            id=call.head.request_id,
            endpoint=endpoint.id,
            ms=round(elapsed_s * 1000),
            first_ms=round(call.latency_s * 1000),
            late=call.latency_s > call.route.target_latency_s,
            **_response_fields(attempt),
        )

    def _on_not_delivered(
        self, call: Call, endpoint: Endpoint, attempt: Attempt
    ) -> bool:
        """Record an attempt that delivered no response; return whether to try again.

        If not, the final response is sent.
        """
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
        # Retries are charged to the retry budget once an attempt of the call has been
        # sent to an endpoint; before that, no attempt has caused any load.
        exempt = step is not NextStep.SEND_AGAIN or not call.attempts_sent
        within_budget = exempt or self._budget.spend(
            call.service, self._selector.fleet_size, now()
        )
        if not within_budget:
            step = decide(within_budget=False)
        self._log.write(
            "attempt_ended",
            id=call.head.request_id,
            endpoint=endpoint.id,
            result=attempt.result,
            why=attempt.why,
            ran=call.executions,
            # Whether the retry budget allowed a retry; also true if none was due.
            repeat_budget=within_budget,
            next=step,
            **_response_fields(attempt),
        )
        if step is NextStep.SEND_AGAIN:
            call.event_splitter.discard_tail()
            return True
        self._finish_call(call, step)
        return False

    def _on_content_refused(self, call: Call, refusal: ContentRefusal) -> None:
        self._metrics.count("content_refusals", refusal.stage.value)
        self._log.write(
            "content_refused",
            id=call.head.request_id,
            content=refusal.content_id,
            stage=refusal.stage,
            crashes=refusal.crashes,
            wait_s=round(refusal.wait_s, 2),
            ran=call.executions,
        )
        if call.executions or call.response_started or call.endpoint_error is not None:
            self._finish_call(call, NextStep.ANSWER_UNKNOWN)
            return
        retry_after_s = self._retry_after_s(refusal.wait_s, call.remaining_s)
        if refusal.stage is ContentStage.QUARANTINED:
            # To come back earlier would be in vain.
            retry_after_s = refusal.wait_s
        error_code = RefusalReason.CONTENT.value
        self._send_error(call.caller_conn, call.head, 503, error_code, retry_after_s)

    def _on_no_endpoint(self, call: Call, choice: Choice) -> None:
        # "why" tells whether there is no endpoint, all are cold or all are full.
        self._log.write(
            "no_endpoint",
            id=call.head.request_id,
            service=call.service,
            why=choice.reason,
            load=round(choice.load, 1),
            of=choice.candidates,
            ran=call.executions,
        )
        if call.response_started:
            self._finish_call(call, NextStep.BREAK_OFF)
        elif call.endpoint_error is not None:
            self._finish_call(call, NextStep.GIVE_FAILURE)
        elif call.executions:
            self._finish_call(call, NextStep.ANSWER_UNKNOWN)
        else:
            retry_after_s = self._retry_after_s(choice.wait_s, call.remaining_s)
            self._send_error(
                call.caller_conn, call.head, 503, choice.reason.value, retry_after_s
            )

    def _finish_call(self, call: Call, step: NextStep) -> None:
        if call.response_started:
            call.caller_conn.abort()
        elif step is NextStep.GIVE_FAILURE or call.endpoint_error is not None:
            status, headers, body = call.endpoint_error
            call.caller_conn.send_response(status, headers, body)
        elif step is NextStep.REFUSE:
            # Also given if no connection to an endpoint could be opened.
            error_code = RefusalReason.ENDPOINT_REFUSED.value
            retry_after_s = self._retry_after_s(0.0, call.remaining_s)
            self._send_error(
                call.caller_conn, call.head, 503, error_code, retry_after_s
            )
        else:
            self._send_error(call.caller_conn, call.head, 502, "outcome_unknown")

    def sweep(self) -> None:
        """Remove lapsed endpoints whose time is up, and state no longer needed.

        Closes expired connections and drops the state of removed endpoints.
        """
        self._state.remove_expired()
        incarnations = {endpoint.incarnation for endpoint in self._state.endpoints}
        self.attempt_runner.connection_pool.sweep(incarnations)
        self._selector.loads.retain(incarnations)


def _response_fields(attempt: Attempt) -> dict[str, object]:
    """Return the log fields that tell how far an endpoint's response came."""
    received = attempt.received
    if received is None:
        return {}
    fields = {
        "status": received.status,
        "framing": received.framing,
        "body_bytes": received.body_bytes,
    }
    if received.whole_events is not None:
        fields["whole_events"] = received.whole_events
        fields["partial_bytes"] = received.partial_bytes
    return fields


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 2)
