"""One attempt of a call at an endpoint."""

import asyncio

from cranberrysail.errors import UpstreamError
from cranberrysail.router.call import Call
from cranberrysail.router.clock import now
from cranberrysail.router.connpool import ConnectionPool
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.dialect import BaseDialect, Headers, SendTerms
from cranberrysail.router.endpoints import Endpoint, EndpointDirectory
from cranberrysail.router.hopbyhop import HOP_BY_HOP
from cranberrysail.router.httpclient import HttpClientConn
from cranberrysail.router.metrics import RouterMetrics
from cranberrysail.router.model import CallKind
from cranberrysail.router.outcome import Attempt, AttemptResult
from cranberrysail.router.selector import Choice, Selector
from cranberrysail.router.sse import EVENT_END

__all__ = ["AttemptRunner"]

# Largest answer that is held until it is whole, so that a spoilt one can be
# replaced; larger ones are passed on as they come.
HELD_BYTES = 256 * 1024
# An answer must come this much before the call's time is over to be of use.
REPLY_MARGIN_S = 0.02


class AttemptRunner:
    """Sends calls to endpoints, and learns from how they answer.

    Attributes:
      pool: Kept connections.
    """

    def __init__(
        self,
        endpoints: EndpointDirectory,
        selector: Selector,
        dialect: BaseDialect,
        log: DecisionLog,
        metrics: RouterMetrics,
    ) -> None:
        """Create a runner.

        Args:
          endpoints: What is told of broken connections and answers.
          selector: What is told of loads and times.
          dialect: Translates headers.
          log: Where decisions go.
          metrics: Where durations go.
        """
        self._endpoints = endpoints
        self._selector = selector
        self._dialect = dialect
        self._log = log
        self._metrics = metrics
        self._left: set[asyncio.Task] = set()
        self._calls = 0
        self.pool = ConnectionPool()

    async def run(self, call: Call, choice: Choice) -> Attempt:
        """Send a call to an endpoint and pass its answer on.

        Args:
          call: The call.
          choice: Where it goes.
        """
        endpoint = choice.endpoint
        self._selector.cold.note(endpoint.name, now())
        self._endpoints.chosen(endpoint, now())
        most = call.pool.max_connections // self._selector.fleet
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
            self._endpoints.broke(endpoint, now(), exc.reason)
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
        self._endpoints.broke(endpoint, now(), exc.reason)
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
        bodiless = call.request.method == "HEAD"
        conn.send(self._request_bytes(call, choice), is_ours, bodiless)
        call.ran += 1
        call.arrived += 1
        await conn.head()
        answer = self._dialect.answer_head(conn.status, conn.headers)
        conn.keep_s = answer.keep_s
        if answer.closing:
            conn.reusable = False
        if answer.report is not None:
            self._selector.loads.report(endpoint, answer.report, now())
        if not answer.displaced:
            self._endpoints.answered(endpoint, now(), call.pool.cold_s)
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
            self._endpoints.displaced(endpoint, now())
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
        failed = status >= 500
        view.judge(self._slowness(call, took_s), failed, now())
        if failed:
            return
        self._selector.first.note(call.route.name, took_s)
        if call.route.kind is not CallKind.STREAM:
            self._selector.work.note(call.service, took_s)
        call.first_s = now() - call.request.arrived_s
        self._metrics.observe("first_byte", call.first_s)
        if call.first_s > call.route.target_s:
            self._metrics.count("late", call.route.name)

    def _slowness(self, call: Call, took_s: float) -> float:
        """Return how long a first answer took over the time expected.

        A stream's first event waits for its prompt to be read, so it says nothing of
        the engine's speed; the pace of its events does.
        """
        if call.route.kind is CallKind.STREAM:
            return 1.0
        return took_s / max(0.001, self._selector.first.mean_s(call.route.name, took_s))

    async def _relay(
        self,
        call: Call,
        endpoint: Endpoint,
        conn: HttpClientConn,
        number: int,
        sent_s: float,
    ) -> Attempt:
        first_s = 0.0
        count = 0
        view = self._selector.loads.view(endpoint)
        while data := await conn.read():
            if not first_s:
                first_s = now()
                self._heard(call, endpoint, number, sent_s, conn.status)
            view.heard_s = now()
            events = call.events.feed(data)
            if events:
                count += events.count(EVENT_END)
                await self._pass_on(call, conn, events)
        self._selector.note_pace(call.service, view, count, view.heard_s - first_s)
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


def _passed_back(headers: Headers) -> Headers:
    return [(name, value) for name, value in headers if name not in HOP_BY_HOP]
