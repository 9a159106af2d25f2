"""Carrying one call from its caller to an endpoint and the answer back."""

import asyncio
import random

import msgspec

from cranberrysail.router.admission import RefusalReason, retry_after_s
from cranberrysail.router.attempt import AttemptRunner
from cranberrysail.router.call import Call
from cranberrysail.router.callerconn import CallerConn, CallerLeftError, CallerRequest
from cranberrysail.router.clock import now
from cranberrysail.router.config import RouterConfig
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.dialect import BaseDialect, CallHead, Headers
from cranberrysail.router.endpoints import Endpoint
from cranberrysail.router.follower import Beliefs
from cranberrysail.router.metrics import RouterMetrics
from cranberrysail.router.model import Customer, Route, RouteTables
from cranberrysail.router.outcome import Attempt, AttemptResult, NextStep, next_step
from cranberrysail.router.repeats import RepeatBudget
from cranberrysail.router.selector import Choice, Selector

__all__ = ["Call", "Exchange"]

# Of the answers that are the router's own.
CONTENT_TYPE = (b"content-type", b"application/json")


class Exchange:
    """Answers callers' requests."""

    def __init__(
        self,
        cfg: RouterConfig,
        beliefs: Beliefs,
        selector: Selector,
        dialect: BaseDialect,
        log: DecisionLog,
        metrics: RouterMetrics,
    ) -> None:
        """Create an exchange.

        Args:
          cfg: Settings of the router.
          beliefs: Tables and endpoints.
          selector: Chooses endpoints.
          dialect: Translates headers.
          log: Where decisions go.
          metrics: Where counts and durations go.
        """
        self._cfg = cfg
        self._beliefs = beliefs
        self._selector = selector
        self._dialect = dialect
        self._log = log
        self._metrics = metrics
        self._budget = RepeatBudget(cfg.repeats)
        self.attempts = AttemptRunner(
            beliefs.endpoints, selector, dialect, log, metrics
        )

    def configure(self, cfg: RouterConfig) -> None:
        """Take changed bounds into use."""
        self._cfg = cfg
        self._budget.bound = cfg.repeats

    async def serve(self, request: CallerRequest, conn: CallerConn) -> None:
        """Answer one request.

        Args:
          request: The whole request.
          conn: The caller's connection.
        """
        head = self._dialect.call_head(request.headers)
        tables = self._beliefs.tables
        if tables is None or not self._beliefs.complete:
            self._refuse_unknown(conn, head)
            return
        route = tables.find(request.header(b"host").decode("latin-1"), request.path)
        if route is None:
            self._deny(conn, head, 404, "no_route", tables.version)
            return
        customer = tables.customers.get(head.key)
        if customer is None and not route.public:
            self._deny(conn, head, 401, "bad_key", tables.version)
            return
        if not head.attempt_id:
            self._deny(conn, head, 400, "no_attempt_id", tables.version)
            return
        call = self._call(request, conn, head, route, tables, customer)
        await self._carry_in_time(call)

    def _call(
        self,
        request: CallerRequest,
        conn: CallerConn,
        head: CallHead,
        route: Route,
        tables: RouteTables,
        customer: Customer | None,
    ) -> Call:
        wait_s = route.timeout_s
        if head.deadline_s is not None:
            wait_s = min(wait_s, head.deadline_s)
        return Call(
            request,
            conn,
            head,
            route,
            self._selector.service_for(route),
            tables,
            customer,
            request.arrived_s + wait_s,
        )

    def refusal(self, status: int, reason: str) -> tuple[Headers, bytes]:
        """Return headers and body of an answer of the router's own."""
        body = msgspec.json.encode({"error": reason})
        return [CONTENT_TYPE], body

    def _answer(
        self,
        conn: CallerConn,
        head: CallHead,
        status: int,
        reason: str,
        retry_s: float | None = None,
    ) -> None:
        headers, body = self.refusal(status, reason)
        headers += self._dialect.refusal_headers(head.attempt_id, retry_s)
        conn.send_whole(status, headers, body)
        self._metrics.count("answers_own", f"{status} {reason}")

    def _deny(
        self, conn: CallerConn, head: CallHead, status: int, reason: str, version: int
    ) -> None:
        self._answer(conn, head, status, reason)
        self._log.write(
            "denied", id=head.attempt_id, status=status, why=reason, tables=version
        )

    def _refuse_unknown(self, conn: CallerConn, head: CallHead) -> None:
        retry_s = self._retry_after(0.5, head.deadline_s or 1.0)
        self._answer(conn, head, 503, RefusalReason.NO_TABLES.value, retry_s)
        self._log.write("refused", id=head.attempt_id, why=RefusalReason.NO_TABLES)

    def _retry_after(self, backlog_s: float, left_s: float) -> float:
        return retry_after_s(self._cfg.admission, backlog_s, left_s, random.random())

    async def _carry_in_time(self, call: Call) -> None:
        try:
            async with asyncio.timeout(max(0.0, call.left_s)):
                await self._carry(call)
        except TimeoutError:
            self._time_over(call)
        except CallerLeftError:
            self._log.write("caller_left", id=call.head.attempt_id, ran=call.ran)
        except asyncio.CancelledError:
            self._log.write("caller_left", id=call.head.attempt_id, ran=call.ran)
            raise

    def _time_over(self, call: Call) -> None:
        self._log.write(
            "time_over",
            id=call.head.attempt_id,
            ran=call.ran,
            events=call.events.last_id.decode("latin-1"),
        )
        if call.begun:
            call.conn.break_off()
        elif call.ran:
            self._answer(call.conn, call.head, 504, "no_answer_in_time")
        else:
            reason = RefusalReason.TOO_LATE.value
            self._answer(call.conn, call.head, 503, reason, 0.1)

    async def _carry(self, call: Call) -> None:
        while True:
            choice = self._selector.choose(
                call.tables,
                call.service,
                call.head.parts,
                call.tried,
                call.left_s,
                now(),
            )
            if choice.endpoint is None:
                self._no_endpoint(call, choice)
                return
            self._log_placed(call, choice)
            if not call.tried:
                self._budget.first(call.service, now())
            attempt = await self.attempts.run(call, choice)
            self._metrics.count("attempts", attempt.result.value)
            if attempt.result is AttemptResult.DELIVERED:
                self._log_done(call, choice.endpoint)
                return
            if not self._go_on(call, choice.endpoint, attempt):
                return

    def _log_placed(self, call: Call, choice: Choice) -> None:
        endpoint = choice.endpoint
        self._log.write(
            "placed",
            id=call.head.attempt_id,
            route=call.route.name,
            endpoint=endpoint.name,
            load=round(choice.load, 1),
            of=choice.candidates,
            cache_from=choice.cache_source.name if choice.cache_source else None,
            cold=endpoint.is_cold(now()),
            declared_age_s=round(now() - endpoint.seen_s, 2),
            tables=call.tables.version,
            attempt=len(call.tried) + 1,
        )

    def _log_done(self, call: Call, endpoint: Endpoint) -> None:
        took_s = now() - call.request.arrived_s
        self._metrics.observe("call", took_s)
        self._log.write(
            "delivered",
            id=call.head.attempt_id,
            endpoint=endpoint.name,
            ms=round(took_s * 1000),
            first_ms=round(call.first_s * 1000),
            late=call.first_s > call.route.target_s,
        )

    def _go_on(self, call: Call, endpoint: Endpoint, attempt: Attempt) -> bool:
        """Decide what follows an attempt and return whether to send again."""
        call.tried.add(endpoint.name)
        if attempt.result in (AttemptResult.NOT_RUN, AttemptResult.DISPLACED):
            call.not_run += 1
        counts = (call.route, attempt.result, call.ran, call.not_run)
        step = next_step(*counts, budget=True)
        # What reached no endpoint is no load, so the next send is still the first.
        free = step is not NextStep.SEND_AGAIN or not call.arrived
        budget = free or self._budget.spend(call.service, self._selector.fleet, now())
        if not budget:
            step = next_step(*counts, budget=False)
        self._log.write(
            "attempt_ended",
            id=call.head.attempt_id,
            endpoint=endpoint.name,
            result=attempt.result,
            why=attempt.why,
            ran=call.ran,
            repeat_budget=budget,
            next=step,
        )
        if step is NextStep.SEND_AGAIN:
            call.events.restart()
            return True
        self._end(call, step)
        return False

    def _no_endpoint(self, call: Call, choice: Choice) -> None:
        self._log.write(
            "no_endpoint",
            id=call.head.attempt_id,
            service=call.service,
            why=choice.reason,
            load=round(choice.load, 1),
            of=choice.candidates,
            ran=call.ran,
        )
        if call.begun:
            self._end(call, NextStep.BREAK_OFF)
        elif call.failure is not None:
            self._end(call, NextStep.GIVE_FAILURE)
        elif call.ran:
            self._end(call, NextStep.ANSWER_UNKNOWN)
        else:
            retry_s = self._retry_after(choice.backlog_s, call.left_s)
            self._answer(call.conn, call.head, 503, choice.reason.value, retry_s)

    def _end(self, call: Call, step: NextStep) -> None:
        if call.begun:
            call.conn.break_off()
        elif step is NextStep.GIVE_FAILURE or call.failure is not None:
            status, headers, body = call.failure
            call.conn.send_whole(status, headers, body)
        elif step is NextStep.REFUSE:
            reason = RefusalReason.ENDPOINT_REFUSED.value
            retry_s = self._retry_after(0.0, call.left_s)
            self._answer(call.conn, call.head, 503, reason, retry_s)
        else:
            self._answer(call.conn, call.head, 502, "outcome_unknown")

    def sweep(self) -> None:
        """Drop connections and views of endpoints that are gone."""
        endpoints = self._beliefs.endpoints
        endpoints.tick(now())
        keys = {endpoint.key for endpoint in endpoints}
        self.attempts.pool.sweep(keys)
        self._selector.loads.keep(keys)
