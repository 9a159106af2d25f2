"""Carrying one call from its caller to an endpoint and the answer back."""

import asyncio
import random
from dataclasses import dataclass, field

import msgspec

from cranberrysail.errors import UpstreamError
from cranberrysail.router.admission import RefusalReason, retry_after_s
from cranberrysail.router.callerconn import CallerConn, CallerLeftError, CallerRequest
from cranberrysail.router.clock import now
from cranberrysail.router.config import RouterConfig
from cranberrysail.router.connpool import ConnectionPool
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.dialect import BaseDialect, CallHead, Headers, SendTerms
from cranberrysail.router.endpoints import Endpoint
from cranberrysail.router.follower import Beliefs
from cranberrysail.router.httpclient import HttpClientConn
from cranberrysail.router.metrics import RouterMetrics
from cranberrysail.router.model import CallKind, Customer, Route, RouteTables, Service
from cranberrysail.router.outcome import Attempt, AttemptResult, NextStep, next_step
from cranberrysail.router.repeats import RepeatBudget
from cranberrysail.router.selector import Choice, Selector
from cranberrysail.router.sse import EventSplitter

__all__ = ["Call", "Exchange"]

# Largest answer that is held until it is whole, so that a spoilt one can be
# replaced; larger ones are passed on as they come.
HELD_BYTES = 256 * 1024
# An answer must come this much before the call's time is over to be of use.
REPLY_MARGIN_S = 0.02
CONTENT_TYPE = (b"content-type", b"application/json")
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


@dataclass(slots=True)
class Call:
    """A call under way.

    Attributes:
      until_s: When its time is over.
      ran: Attempts that ran or may have run.
      not_run: Attempts that an endpoint turned away.
      arrived: Attempts that reached an endpoint, whether it ran them or not.
      tried: Endpoints that it was sent to.
      events: Events passed on so far, for a stream.
      begun: True once a part of an answer has gone to the caller.
      failure: An endpoint's failure that may still be given to the caller.
    """

    request: CallerRequest
    conn: CallerConn
    head: CallHead
    route: Route
    service: str
    tables: RouteTables
    customer: Customer | None
    until_s: float
    ran: int = 0
    not_run: int = 0
    arrived: int = 0
    tried: set[str] = field(default_factory=set)
    events: EventSplitter = field(default_factory=EventSplitter)
    begun: bool = False
    failure: tuple[int, Headers, bytes] | None = None

    @property
    def left_s(self) -> float:
        """Return the time that is left."""
        return self.until_s - now()

    @property
    def priority(self) -> int:
        """Return how urgent it is, 0 first."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority


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
        self._left: set[asyncio.Task] = set()
        self._calls = 0
        self.pool = ConnectionPool()

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
            attempt = await self._attempt(call, choice)
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

    async def _attempt(self, call: Call, choice: Choice) -> Attempt:
        endpoint = choice.endpoint
        service = call.tables.services.get(call.service, Service(call.service))
        self._selector.cold.note(endpoint.name, now())
        self._beliefs.endpoints.chosen(endpoint, now())
        if not call.tried:
            self._budget.first(call.service, now())
        most = service.max_connections // self._selector.fleet
        self._calls += 1
        number = self._calls
        view = self._selector.loads.view(endpoint)
        endpoint.open += 1
        try:
            conn = await self._connection(endpoint, most)
            if conn is None:
                return Attempt(AttemptResult.NOT_SENT, "no connection")
            view.pending[number] = now()
            return await self._on_connection(call, choice, conn, number)
        finally:
            endpoint.open -= 1
            view.pending.pop(number, None)

    async def _connection(self, endpoint: Endpoint, most: int) -> HttpClientConn | None:
        try:
            return await self.pool.acquire(endpoint, most)
        except UpstreamError as exc:
            self._beliefs.endpoints.broke(endpoint, now(), exc.reason)
            return None

    async def _on_connection(
        self, call: Call, choice: Choice, conn: HttpClientConn, number: int
    ) -> Attempt:
        endpoint = choice.endpoint
        kept = True
        try:
            return await self._speak(call, choice, conn, number)
        except UpstreamError as exc:
            return self._broke(call, endpoint, exc)
        except asyncio.CancelledError:
            kept = not self._leave_running(call, endpoint, conn)
            raise
        finally:
            if kept:
                self.pool.release(endpoint, conn)

    def _broke(self, call: Call, endpoint: Endpoint, exc: UpstreamError) -> Attempt:
        self._beliefs.endpoints.broke(endpoint, now(), exc.reason)
        if not exc.sent:
            return Attempt(AttemptResult.NOT_SENT, exc.reason)
        self._selector.loads.view(endpoint).judge(1.0, True, now())
        result = AttemptResult.BROKEN_OFF if call.begun else AttemptResult.UNKNOWN
        return Attempt(result, exc.reason)

    def _leave_running(
        self, call: Call, endpoint: Endpoint, conn: HttpClientConn
    ) -> bool:
        """Let a call that runs at most once end at its endpoint."""
        if call.route.kind is not CallKind.ONCE or conn.complete:
            return False
        task = asyncio.ensure_future(self._take_rest(call, endpoint, conn))
        self._left.add(task)
        task.add_done_callback(self._left.discard)
        return True

    async def _take_rest(
        self, call: Call, endpoint: Endpoint, conn: HttpClientConn
    ) -> None:
        endpoint.open += 1
        try:
            async with asyncio.timeout(max(0.0, call.left_s)):
                await conn.head()
                await conn.read_up_to(HELD_BYTES)
        except (TimeoutError, UpstreamError) as exc:
            self._log.write(
                "left_call_ended", id=call.head.attempt_id, why=str(exc) or "timeout"
            )
        finally:
            endpoint.open -= 1
            self.pool.release(endpoint, conn)

    def _request_bytes(self, call: Call, choice: Choice) -> bytes:
        source = choice.cache_source
        terms = SendTerms(
            choice.endpoint.name,
            max(0.001, call.left_s - REPLY_MARGIN_S),
            call.customer.name if call.customer else "",
            call.priority,
            call.events.last_id,
            source.record.address if source else "",
        )
        request = call.request
        head = bytearray(request.method.encode("latin-1"))
        head += b" " + request.target + b" HTTP/1.1\r\n"
        for name, value in self._dialect.endpoint_headers(request.headers, terms):
            head += name + b": " + value + b"\r\n"
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            head += b"content-length: %d\r\n" % len(request.body)
        return bytes(head + b"\r\n") + request.body

    async def _speak(
        self, call: Call, choice: Choice, conn: HttpClientConn, number: int
    ) -> Attempt:
        endpoint = choice.endpoint
        wanted = call.head.attempt_id

        def is_ours(status: int, headers: Headers) -> bool:
            answered = self._dialect.answer_head(status, headers).attempt_id
            return answered in ("", wanted)

        sent_s = now()
        conn.send(self._request_bytes(call, choice), is_ours)
        call.ran += 1
        call.arrived += 1
        await conn.head()
        answer = self._dialect.answer_head(conn.status, conn.headers)
        conn.keep_s = answer.keep_s
        if answer.closing:
            conn.reusable = False
        if answer.report is not None:
            self._selector.loads.report(endpoint, answer.report, now())
        cold_s = call.tables.services.get(call.service, Service("")).cold_s
        if not answer.displaced:
            self._beliefs.endpoints.answered(endpoint, now(), cold_s)
        if answer.displaced or answer.not_run:
            call.ran -= 1
            return await self._not_run(endpoint, conn, answer.displaced)
        if conn.status < 300 and not answer.sealed:
            conn.reusable = False
            return Attempt(AttemptResult.UNKNOWN, "the answer bears no seal")
        streams = call.route.kind is CallKind.STREAM and conn.status < 300
        if streams:
            return await self._relay(call, endpoint, conn, number, sent_s)
        return await self._whole(call, endpoint, conn, number, sent_s)

    async def _not_run(
        self, endpoint: Endpoint, conn: HttpClientConn, displaced: bool
    ) -> Attempt:
        try:
            await conn.read_up_to(HELD_BYTES)
        except UpstreamError:
            conn.reusable = False
        if displaced:
            self._beliefs.endpoints.displaced(endpoint, now())
            return Attempt(AttemptResult.DISPLACED, "another endpoint answers there")
        self._selector.loads.view(endpoint).judge(1.0, True, now())
        return Attempt(AttemptResult.NOT_RUN, f"it answered {conn.status}, not run")

    async def _whole(
        self,
        call: Call,
        endpoint: Endpoint,
        conn: HttpClientConn,
        number: int,
        sent_s: float,
    ) -> Attempt:
        body = await conn.read_up_to(HELD_BYTES)
        status, headers = conn.status, _passed_back(conn.headers)
        self._heard(call, endpoint, number, sent_s, status)
        if status >= 500:
            call.failure = (status, headers, body)
            return Attempt(AttemptResult.FAILED, f"it answered {status}")
        if conn.complete:
            call.conn.send_whole(status, headers, body)
            return Attempt(AttemptResult.DELIVERED)
        call.begun = True
        call.conn.begin(status, headers)
        await call.conn.write(body)
        while data := await conn.read():
            await call.conn.write(data)
        call.conn.finish()
        return Attempt(AttemptResult.DELIVERED)

    def _heard(
        self, call: Call, endpoint: Endpoint, number: int, sent_s: float, status: int
    ) -> None:
        """Judge an endpoint by its first answer to a call."""
        took_s = now() - sent_s
        view = self._selector.loads.view(endpoint)
        view.heard_s = now()
        view.pending.pop(number, None)
        mean_s = self._selector.first.mean_s(call.route.name, took_s)
        failed = status >= 500
        view.judge(took_s / max(0.001, mean_s), failed, now())
        if failed:
            return
        self._selector.first.note(call.route.name, took_s)
        if call.route.kind is not CallKind.STREAM:
            self._selector.work.note(call.service, took_s)
        self._metrics.observe("first_byte", now() - call.request.arrived_s)

    async def _relay(
        self,
        call: Call,
        endpoint: Endpoint,
        conn: HttpClientConn,
        number: int,
        sent_s: float,
    ) -> Attempt:
        first = True
        view = self._selector.loads.view(endpoint)
        while data := await conn.read():
            if first:
                first = False
                self._heard(call, endpoint, number, sent_s, conn.status)
            view.heard_s = now()
            events = call.events.feed(data)
            if events:
                await self._pass_on(call, conn, events)
        if call.events.tail or not call.begun:
            await self._pass_on(call, conn, call.events.tail)
        call.conn.finish()
        self._selector.work.note(call.service, now() - sent_s)
        return Attempt(AttemptResult.DELIVERED)

    async def _pass_on(self, call: Call, conn: HttpClientConn, events: bytes) -> None:
        if not call.begun:
            call.begun = True
            call.conn.begin(conn.status, _passed_back(conn.headers))
        if events:
            await call.conn.write(events)

    def sweep(self) -> None:
        """Drop connections and views of endpoints that are gone."""
        endpoints = self._beliefs.endpoints
        endpoints.tick(now())
        keys = {endpoint.key for endpoint in endpoints}
        self.pool.sweep(keys)
        self._selector.loads.keep(keys)


def _passed_back(headers: Headers) -> Headers:
    return [(name, value) for name, value in headers if name not in HOP_BY_HOP]
