"""One attempt to run a call at an endpoint."""

import asyncio
from dataclasses import replace

from cranberrysail.errors import UpstreamError
from cranberrysail.router.bodyframing import BodyFraming
from cranberrysail.router.call import Call
from cranberrysail.router.clock import now
from cranberrysail.router.connpool import ConnectionPool
from cranberrysail.router.contentguard import ContentGuard
from cranberrysail.router.crashdetector import CrashDetector, OpenCall
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.endpoints import Endpoint, EndpointDirectory
from cranberrysail.router.headercodec import (
    BaseHeaderCodec,
    EndpointRequestInfo,
    Headers,
    ResponseHead,
)
from cranberrysail.router.hopbyhop import HOP_BY_HOP
from cranberrysail.router.httpclient import HttpClientConn
from cranberrysail.router.metrics import RouterMetrics
from cranberrysail.router.model import CallKind
from cranberrysail.router.outcome import Attempt, AttemptResult, ReceivedResponse
from cranberrysail.router.rollouts import Rollouts
from cranberrysail.router.selector import Choice, Selector
from cranberrysail.router.sse import is_event_stream

__all__ = ["AttemptRunner"]

# Responses up to about this size are buffered whole, so that a retry can replace one
# whose connection is lost; larger ones are forwarded as they arrive, error responses
# (5xx) too. Streams are never buffered. What is left of a response that nobody needs is
# read up to this size, so that its connection can be reused.
MAX_BUFFERED_BYTES = 256 * 1024
# Subtracted from the deadline that an endpoint is given: a response must arrive this
# long before the call's deadline to be of use.
RESPONSE_MARGIN_S = 0.02

# Streams with fewer events tell little of the time between events.
MIN_INTERVAL_EVENTS = 4


class AttemptRunner:
    """Sends calls to endpoints and records the endpoints' load, latency and failures.

    Attributes:
      connection_pool: Connections to endpoints.
      crash_detector: Detects crashes of endpoints by lost connections.
    """

    def __init__(
        self,
        endpoints: EndpointDirectory,
        selector: Selector,
        content_guard: ContentGuard,
        header_codec: BaseHeaderCodec,
        log: DecisionLog,
        metrics: RouterMetrics,
        rollouts: Rollouts,
    ) -> None:
        """Create a runner.

        Args:
          endpoints: Directory in which connection failures and responses are
            recorded.
          selector: Receives the measured loads and latencies.
          content_guard: Told of crashes of endpoints, and of calls that they answer.
          header_codec: Translates to and from the platform's HTTP headers.
          log: Log of routing decisions.
          metrics: Counters and latency histograms.
          rollouts: Told of responses, and of lost ones, by the version of endpoints.
        """
        self._rollouts = rollouts
        self._endpoints = endpoints
        self._selector = selector
        self._content_guard = content_guard
        self._header_codec = header_codec
        self._log = log
        self._metrics = metrics
        self._detached_tasks: set[asyncio.Task] = set()
        self._attempt_count = 0
        self.connection_pool = ConnectionPool()
        self.crash_detector = CrashDetector(
            self.connection_pool, log, metrics, content_guard.on_crash
        )

    async def wait_until_crash_known(self, endpoint: Endpoint) -> None:
        """Wait until it is known whether an endpoint has crashed."""
        await self.crash_detector.wait_until_known(endpoint)

    async def run(self, call: Call, choice: Choice) -> Attempt:
        """Send a call to an endpoint and forward the response to the caller.

        Args:
          call: The call.
          choice: The chosen endpoint.
        """
        endpoint = choice.endpoint
        self._selector.cold_limiter.record_call(endpoint.id, now())
        self._endpoints.call_assigned(endpoint, now())
        # The limit of the service is for all routers together.
        max_connections = (
            call.service_config.max_connections // self._selector.fleet_size
        )
        self._attempt_count += 1
        pending_id = self._attempt_count
        stats = self._selector.loads.stats(endpoint)
        endpoint.open_calls += 1
        try:
            conn = await self._acquire_connection(endpoint, max_connections)
            if conn is None:
                return Attempt(AttemptResult.NOT_SENT, "no connection to the endpoint")
            if not endpoint.takes_requests(now()):
                self.connection_pool.release(endpoint, conn)
                return Attempt(
                    AttemptResult.NOT_SENT, "the endpoint asked for no more requests"
                )
            stats.begin_attempt(pending_id, choice.forecast, now())
            self._selector.record_work(call.service, choice.forecast)
            return await self._run_on_connection(call, choice, conn, pending_id)
        finally:
            endpoint.open_calls -= 1
            stats.end_attempt(pending_id)

    async def _acquire_connection(
        self, endpoint: Endpoint, max_connections: int
    ) -> HttpClientConn | None:
        try:
            return await self.connection_pool.acquire(endpoint, max_connections)
        except UpstreamError as exc:
            self._endpoints.connection_failed(endpoint, now(), exc.reason)
            return None

    async def _run_on_connection(
        self, call: Call, choice: Choice, conn: HttpClientConn, pending_id: int
    ) -> Attempt:
        endpoint = choice.endpoint
        release = True
        try:
            attempt = await self._send_and_receive(call, choice, conn, pending_id)
        except UpstreamError as exc:
            attempt = self._on_connection_failed(call, endpoint, exc)
        except asyncio.CancelledError:
            if call.remaining_s <= RESPONSE_MARGIN_S and not conn.complete:
                self._rollouts.record_loss(endpoint)
            if call.remaining_s <= RESPONSE_MARGIN_S and _is_unfinished(call, conn):
                self._record_endless_response(endpoint)
            release = not self._detach(call, endpoint, conn)
            raise
        finally:
            if release:
                self.connection_pool.release(endpoint, conn)
        return replace(attempt, received=_received_response(call, conn))

    def _record_endless_response(self, endpoint: Endpoint) -> None:
        """Record that a response began and did not end by the deadline.

        By its first bytes it was a success, so the next calls would meet it, too.
        """
        self._selector.loads.stats(endpoint).record_response(
            1.0, failed=True, now=now()
        )
        self._metrics.count("endless_responses")

    def _on_connection_failed(
        self, call: Call, endpoint: Endpoint, exc: UpstreamError
    ) -> Attempt:
        self._endpoints.connection_failed(endpoint, now(), exc.reason)
        self._detect_crash(call, endpoint, exc)
        if not exc.sent:
            return Attempt(AttemptResult.NOT_SENT, exc.reason)
        self._rollouts.record_loss(endpoint)
        self._selector.loads.stats(endpoint).record_response(
            1.0, failed=True, now=now()
        )
        result = (
            AttemptResult.BROKEN_OFF if call.response_started else AttemptResult.UNKNOWN
        )
        return Attempt(result, exc.reason)

    def _detect_crash(self, call: Call, endpoint: Endpoint, exc: UpstreamError) -> None:
        if not exc.sent or not exc.disconnected:
            return
        open_call = OpenCall(
            call.head.request_id,
            call.content_ids,
            call.attempt_sent_s,
            call.is_being_answered,
        )
        self.crash_detector.disconnected(endpoint, open_call)

    def _detach(self, call: Call, endpoint: Endpoint, conn: HttpClientConn) -> bool:
        """Keep reading the response of a cancelled call that must not run twice.

        Closing the connection would cancel the call at the endpoint, perhaps half-way.
        Only calls of kind ONCE are kept, until their deadline; all others are cancelled
        in this way. Returns whether a background task now releases the connection.
        """
        if call.route.kind is not CallKind.ONCE or conn.complete:
            return False
        task = asyncio.ensure_future(self._read_detached_response(call, endpoint, conn))
        self._detached_tasks.add(task)
        task.add_done_callback(self._detached_tasks.discard)
        return True

    async def _read_detached_response(
        self, call: Call, endpoint: Endpoint, conn: HttpClientConn
    ) -> None:
        endpoint.open_calls += 1
        # The body is not sent again. The ids of the content, which are kept once they
        # were computed, may be its digest and are needed if the endpoint crashes.
        _ = call.content_ids
        call.request.body = b""
        held = call.caller_conn.resources.hold(conn.unsent_bytes, conn.close)
        try:
            with held:
                await self._read_rest(call, endpoint, conn)
        except (TimeoutError, UpstreamError) as exc:
            # The response to a call whose caller left was not received.
            if isinstance(exc, UpstreamError):
                self._detect_crash(call, endpoint, exc)
            self._log.write(
                "left_call_ended", id=call.head.request_id, why=str(exc) or "timeout"
            )
        finally:
            endpoint.open_calls -= 1
            self.connection_pool.release(endpoint, conn)

    async def _read_rest(
        self, call: Call, endpoint: Endpoint, conn: HttpClientConn
    ) -> None:
        async with asyncio.timeout(max(0.0, call.remaining_s)):
            await conn.wait_for_head()
            response = self._header_codec.response_head(conn.status, conn.headers)
            self._record_wishes(endpoint, call.head.request_id, conn.status, response)
            await conn.read_up_to(MAX_BUFFERED_BYTES)

    def _request_bytes(self, call: Call, choice: Choice) -> bytes:
        cache_source = choice.cache_source
        info = EndpointRequestInfo(
            choice.endpoint.id,
            max(0.001, call.remaining_s - RESPONSE_MARGIN_S),
            call.customer.name if call.customer else "",
            call.priority,
            call.event_splitter.last_id,
            cache_source.record.address if cache_source else "",
        )
        request = call.request
        head = bytearray(request.method.encode("latin-1"))
        head += b" " + request.target + b" HTTP/1.1\r\n"
        for name, value in self._header_codec.endpoint_headers(request.headers, info):
            head += name + b": " + value + b"\r\n"
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            head += b"content-length: %d\r\n" % len(request.body)
        return bytes(head + b"\r\n") + request.body

    async def _send_and_receive(
        self, call: Call, choice: Choice, conn: HttpClientConn, pending_id: int
    ) -> Attempt:
        endpoint = choice.endpoint
        request_id = call.head.request_id

        def matches_request(status: int, headers: Headers) -> bool:
            response_request_id = self._header_codec.response_head(
                status, headers
            ).request_id
            if not response_request_id:
                # It may be an earlier response, sent once more.
                return conn.requests_sent == 1
            return response_request_id == request_id

        sent_s = now()
        bodiless = call.request.method == "HEAD"
        conn.send(self._request_bytes(call, choice), matches_request, bodiless)
        call.begin_attempt()
        call.caller_conn.charge_unsent_request(conn.unsent_bytes)
        await conn.wait_for_head()
        call.caller_conn.charge_unsent_request(conn.unsent_bytes)
        response = self._header_codec.response_head(conn.status, conn.headers)
        self._record_wishes(endpoint, request_id, conn.status, response)
        conn.idle_timeout_s = response.idle_timeout_s
        if response.closing or not response.request_id:
            conn.reusable = False
        if response.report is not None:
            self._selector.loads.record_report(endpoint, response.report, now())
        if not response.displaced:
            self._endpoints.call_answered(endpoint, now(), call.service_config.cold_s)
        if response.displaced or response.not_run:
            return await self._on_not_executed(call, endpoint, conn, response)
        # A success without a valid seal may come from something between router and
        # endpoint, or may have been changed on the way.
        if conn.status < 300 and not response.from_endpoint:
            conn.reusable = False
            self._rollouts.record_response(
                endpoint, call.route.name, now() - sent_s, True, False
            )
            return Attempt(AttemptResult.UNKNOWN, "response has no valid seal")
        if _is_stream(call, conn) and _can_follow(call, conn):
            return await self._forward_stream(call, endpoint, conn, pending_id, sent_s)
        if response.promises_not_run and not call.route.retryable:
            return await self._on_false_promise(
                call, endpoint, conn, pending_id, sent_s
            )
        return await self._forward_response(call, endpoint, conn, pending_id, sent_s)

    def _record_wishes(
        self, endpoint: Endpoint, request_id: str, status: int, response: ResponseHead
    ) -> None:
        """Record whether an endpoint leaves, or wants no requests for a time."""
        if response.displaced:
            return
        if response.leaving and self._endpoints.said_leaving(endpoint, now()):
            self._metrics.count("endpoints_leaving")
            self._log.write(
                "endpoint_leaving",
                endpoint=endpoint.id,
                started_ms=endpoint.record.started_ms,
                request=request_id,
                status=status,
            )
        if response.pause_s:
            until_s = now() + response.pause_s
            self._endpoints.said_pause(endpoint, now(), until_s)
            self._metrics.count("endpoint_pauses")
            self._log.write(
                "endpoint_paused",
                endpoint=endpoint.id,
                seconds=response.pause_s,
                request=request_id,
                status=status,
            )

    async def _on_false_promise(
        self,
        call: Call,
        endpoint: Endpoint,
        conn: HttpClientConn,
        pending_id: int,
        sent_s: float,
    ) -> Attempt:
        """Handle a status that promises callers more than the endpoint declares."""
        await conn.read_up_to(MAX_BUFFERED_BYTES)
        self._record_response(call, endpoint, pending_id, sent_s, conn.status)
        return Attempt(
            AttemptResult.UNKNOWN,
            f"status {conn.status} without a declaration that the call was not run",
        )

    async def _on_not_executed(
        self,
        call: Call,
        endpoint: Endpoint,
        conn: HttpClientConn,
        response: ResponseHead,
    ) -> Attempt:
        try:
            await conn.read_up_to(MAX_BUFFERED_BYTES)
        except UpstreamError:
            conn.reusable = False
        if not response.request_id or conn.has_surplus:
            # A faulty endpoint may refuse a call that it runs, or is yet to run.
            return Attempt(
                AttemptResult.UNKNOWN,
                f"status {conn.status}, a refusal that may belong to another call",
            )
        call.executions -= 1
        if response.displaced:
            self._endpoints.address_reassigned(endpoint, now())
            return Attempt(
                AttemptResult.DISPLACED, "the address now belongs to another endpoint"
            )
        if not response.pause_s:
            self._selector.loads.stats(endpoint).record_response(
                1.0, failed=True, now=now()
            )
        return Attempt(AttemptResult.NOT_RUN, f"status {conn.status}, call not run")

    async def _forward_response(
        self,
        call: Call,
        endpoint: Endpoint,
        conn: HttpClientConn,
        pending_id: int,
        sent_s: float,
    ) -> Attempt:
        body = await conn.read_up_to(MAX_BUFFERED_BYTES)
        status, headers = conn.status, _without_hop_by_hop(conn.headers)
        self._record_response(call, endpoint, pending_id, sent_s, status)
        if call.response_started:
            return Attempt(
                AttemptResult.BROKEN_OFF,
                f"status {status} in place of the rest of the stream",
            )
        if status >= 500 and conn.complete:
            call.endpoint_error = (status, headers, body)
            return Attempt(AttemptResult.FAILED, f"status {status}")
        if conn.complete:
            call.caller_conn.send_response(status, headers, body)
            return Attempt(AttemptResult.DELIVERED)
        call.response_started = True
        call.caller_conn.start_response(status, headers)
        await call.caller_conn.write(body)
        while data := await conn.read():
            await call.caller_conn.write(data)
        call.caller_conn.end_response()
        return Attempt(AttemptResult.DELIVERED)

    def _record_response(
        self,
        call: Call,
        endpoint: Endpoint,
        pending_id: int,
        sent_s: float,
        status: int,
    ) -> None:
        """Record the latency and status of a response.

        Called at the first data of a stream; otherwise once the response was buffered,
        or when it turned out to be too large for that.
        """
        elapsed_s = now() - sent_s
        stats = self._selector.loads.stats(endpoint)
        stats.last_byte_s = now()
        forecast = stats.end_attempt(pending_id)
        failed = status >= 500
        self._rollouts.record_response(
            endpoint,
            call.route.name,
            elapsed_s,
            failed,
            call.route.kind is CallKind.STREAM,
        )
        stats.record_response(self._latency_ratio(call, elapsed_s), failed, now())
        if failed:
            return
        if call.route.kind is not CallKind.STREAM:
            self._content_guard.on_answer(call)
        if call.route.kind is CallKind.STREAM and forecast is not None:
            self._selector.record_first_event(call.service, stats, forecast, elapsed_s)
        self._selector.latency.add_sample(call.route.name, elapsed_s)
        if call.route.kind is not CallKind.STREAM:
            self._selector.record_service_time(call.service, elapsed_s)
        call.latency_s = now() - call.request.arrived_s
        self._metrics.observe("first_byte", call.latency_s)
        if call.latency_s > call.route.target_latency_s:
            self._metrics.count("late", call.route.name)

    def _latency_ratio(self, call: Call, elapsed_s: float) -> float:
        """Return the ratio of a call's latency to the mean latency of its route.

        For streams it is 1: their first event waits until the prompt is prefilled,
        so it does not show the endpoint's speed, which is measured by the time between
        events.
        """
        if call.route.kind is CallKind.STREAM:
            return 1.0
        return elapsed_s / max(
            0.001, self._selector.latency.mean_s(call.route.name, elapsed_s)
        )

    async def _forward_stream(
        self,
        call: Call,
        endpoint: Endpoint,
        conn: HttpClientConn,
        pending_id: int,
        sent_s: float,
    ) -> Attempt:
        first_data_s = 0.0
        answer_recorded = False
        stats = self._selector.loads.stats(endpoint)
        while data := await conn.read():
            if not first_data_s:
                first_data_s = now()
                self._record_response(call, endpoint, pending_id, sent_s, conn.status)
            stats.last_byte_s = now()
            events = call.event_splitter.feed(data)
            if call.is_being_answered and not answer_recorded:
                answer_recorded = True
                self._content_guard.on_answer(call)
            if events:
                await self._forward_events(call, conn, events)
            call.event_splitter.check()
        fault = call.event_splitter.fault_at_end(conn.framing)
        if fault:
            raise UpstreamError(
                fault,
                sent=True,
                started=True,
                disconnected=conn.framing is BodyFraming.CLOSE,
            )
        if not answer_recorded:
            self._content_guard.on_answer(call)
        event_count = call.event_splitter.event_count - call.events_before_attempt
        self._selector.record_event_interval(
            call.service, stats, event_count, stats.last_byte_s - first_data_s
        )
        if event_count >= MIN_INTERVAL_EVENTS:
            interval_s = (stats.last_byte_s - first_data_s) / (event_count - 1)
            self._rollouts.record_interval(endpoint, call.route.name, interval_s)
        # A comment may follow the last event, and a stream without any event still
        # needs a response head.
        if call.event_splitter.tail or not call.response_started:
            await self._forward_events(call, conn, call.event_splitter.tail)
        call.caller_conn.end_response()
        self._selector.record_service_time(call.service, now() - sent_s)
        return Attempt(AttemptResult.DELIVERED)

    async def _forward_events(
        self, call: Call, conn: HttpClientConn, events: bytes
    ) -> None:
        if not call.response_started:
            call.response_started = True
            call.caller_conn.start_response(
                conn.status, _without_hop_by_hop(conn.headers)
            )
        if events:
            await call.caller_conn.write(events)


def _is_stream(call: Call, conn: HttpClientConn) -> bool:
    is_stream = call.route.kind is CallKind.STREAM or is_event_stream(conn.headers)
    return is_stream and conn.status < 300


def _can_follow(call: Call, conn: HttpClientConn) -> bool:
    """Return whether a response can be sent after what the caller has received.

    A body of another type, such as the text of an error, is not to stand among events.
    """
    has_type = any(name == b"content-type" for name, _ in conn.headers)
    return not (call.response_started and has_type) or is_event_stream(conn.headers)


def _is_unfinished(call: Call, conn: HttpClientConn) -> bool:
    """Return whether a response other than a stream has begun and has not ended."""
    return bool(conn.status) and not conn.complete and not _is_stream(call, conn)


def _received_response(call: Call, conn: HttpClientConn) -> ReceivedResponse | None:
    if not conn.status:
        return None
    received = ReceivedResponse(conn.status, conn.framing, conn.body_bytes)
    if not _is_stream(call, conn):
        return received
    events = call.event_splitter
    return replace(
        received, whole_events=events.event_count, partial_bytes=len(events.tail)
    )


def _without_hop_by_hop(headers: Headers) -> Headers:
    return [(name, value) for name, value in headers if name not in HOP_BY_HOP]
