"""Forwarding of calls to endpoints, as the node's decisions direct."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from cranberrysail import logs
from cranberrysail.clock import Clock
from cranberrysail.decisions.actions import Dispatch, FailCall, ReplayResponse
from cranberrysail.decisions.events import (
    AttemptEnded,
    CallArrived,
    CallCancelled,
    CallResult,
    Event,
)
from cranberrysail.decisions.invariants import Invariant, InvariantCounts
from cranberrysail.endpoints.upstream import UpstreamCall, UpstreamRequest, open_call
from cranberrysail.errors import UpstreamError
from cranberrysail.front.relay import EventRelay, PlainRelay
from cranberrysail.front.response import Headers, Response, error_response
from cranberrysail.handlers import on
from cranberrysail.metrics import Metrics
from cranberrysail.router.hopbyhop import end_to_end_headers
from cranberrysail.settings import LimitSettings
from cranberrysail.tables import Idempotency, RouteKind

__all__ = ["Gateway", "LiveCall"]

MAX_RECORDED_BODY_BYTES = 16 * 1024 * 1024
RESUME_DELAY_S = 0.2
DROPPED_HEADERS = frozenset((b"date", b"x-request-id"))


@dataclass
class LiveCall:
    """A call that the router has not finished.

    Attributes:
      arrived: The call as it was passed to the node.
      request: The request that is sent to endpoints.
      arrived_s: Time at which the call arrived.
      response: Set once the response to the caller is known.
      upstream: The open connection to an endpoint, if any.
      task: The task of the latest attempt, if any.
      relay: The stream to the caller, if it has begun.
      attempt_running: True while an attempt is in progress.
      cancelled: True once the caller has disconnected.
      first_byte_s: Time from sending the request to the first byte of the response
        body, or to the whole body if the response is buffered; 0 before.
    """

    arrived: CallArrived
    request: UpstreamRequest
    arrived_s: float
    response: asyncio.Future[Response] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    upstream: UpstreamCall | None = None
    task: asyncio.Task | None = None
    relay: PlainRelay | None = None
    attempt_running: bool = False
    cancelled: bool = False
    first_byte_s: float = 0.0


class Gateway:
    """Forwards the live calls of one router to endpoints."""

    def __init__(
        self,
        limits: LimitSettings,
        handle: Callable[[Event], None],
        clock: Clock,
        metrics: Metrics,
        invariants: InvariantCounts,
    ) -> None:
        """Create a gateway.

        Args:
          limits: Size limits and timeouts.
          handle: Passes an event to the node and carries out its actions.
          clock: Source of the time.
          metrics: Records durations and counters.
          invariants: Records checks of invariants.
        """
        self._limits = limits
        self._handle = handle
        self._clock = clock
        self._metrics = metrics
        self._invariants = invariants
        self._live: dict[int, LiveCall] = {}
        self._log = logs.get_logger("calls")

    async def run(self, arrived: CallArrived, request: UpstreamRequest) -> Response:
        """Run a call and return the response to its caller.

        Args:
          arrived: The call.
          request: The request to send to an endpoint.
        """
        live = LiveCall(arrived, request, self._clock.now())
        self._live[arrived.call_id] = live
        self._handle(arrived)
        return await live.response

    def cancel(self, call: int) -> None:
        """Cancel a call whose caller has disconnected."""
        live = self._live.get(call)
        if live is None or live.cancelled:
            return
        live.cancelled = True
        if not live.response.done():
            live.response.cancel()
        if not live.attempt_running:
            self._live.pop(call, None)
            self._handle(CallCancelled(call))
            return
        if live.relay is not None:
            live.relay.finish(False)
        elif live.task is not None:
            live.task.cancel()

    @on(Dispatch)
    def dispatch(self, action: Dispatch) -> None:
        """Start an attempt of a call at an endpoint."""
        live = self._live.get(action.call_id)
        if live is None:
            self._handle(AttemptEnded(action.call_id, CallResult.CANCELLED))
            return
        live.attempt_running = True
        live.task = asyncio.ensure_future(self._run_attempt(live, action))

    @on(FailCall)
    def fail(self, action: FailCall) -> None:
        """Respond to a caller with the final error of its call."""
        error = action.error
        live = self._live.get(action.call_id)
        if live is not None:
            self._log.info(
                "Call {} failed with error {}.", live.arrived.request_id, error.code
            )
        self._respond(action.call_id, error_response(error))

    @on(ReplayResponse)
    def replay_answer(self, action: ReplayResponse) -> None:
        """Respond to a caller with the recorded response to an earlier call."""
        headers = [
            (n.encode("latin-1"), v.encode("latin-1")) for n, v in action.headers
        ]
        headers.append((b"x-idempotent-replay", b"true"))
        self._respond(action.call_id, Response(action.status, headers, action.body))

    def _respond(self, call: int, response: Response) -> None:
        live = self._live.pop(call, None)
        if live is not None and not live.response.done():
            live.response.set_result(response)

    async def _run_attempt(self, live: LiveCall, action: Dispatch) -> None:
        try:
            await self._call_endpoint(live, action)
        except UpstreamError as exc:
            self._log.info(
                "Attempt of call {} failed: {}.", live.arrived.request_id, exc.reason
            )
            self._close_upstream(live)
            self._end_attempt(live, _call_result(exc))
        except TimeoutError:
            self._log.info(
                "Attempt of call {} timed out waiting for the response.",
                live.arrived.request_id,
            )
            self._close_upstream(live)
            self._end_attempt(live, CallResult.BROKEN)
        except asyncio.CancelledError:
            self._close_upstream(live)
            self._end_attempt(live, CallResult.CANCELLED)

    def _close_upstream(self, live: LiveCall) -> None:
        if live.upstream is not None:
            live.upstream.close()
            live.upstream = None

    def _end_attempt(
        self, live: LiveCall, result: CallResult, **recorded: object
    ) -> None:
        call = live.arrived.call_id
        live.attempt_running = False
        if live.cancelled:
            result = CallResult.CANCELLED
        first_ms = int(live.first_byte_s * 1000) + 1 if live.first_byte_s else 0
        if result in (CallResult.OK, CallResult.CUT, CallResult.CANCELLED):
            self._live.pop(call, None)
        self._handle(AttemptEnded(call, result, first_ms, **recorded))

    async def _call_endpoint(self, live: LiveCall, action: Dispatch) -> None:
        sent_s = await self._send_request(
            live, action.address, live.request, action.send_by_s
        )
        limits = self._limits
        async with asyncio.timeout(limits.first_byte_s):
            await live.upstream.wait_for_response()
        self._log.debug(
            "Call {}: received response headers from {}.",
            live.arrived.request_id,
            action.endpoint,
        )
        if live.arrived.route.idempotency is Idempotency.KEYED:
            await self._read_response(live, sent_s)
            return
        self._stream_response(live, action, sent_s)

    async def _send_request(
        self, live: LiveCall, address: str, request: UpstreamRequest, send_by_s: float
    ) -> float:
        call = await open_call(address, self._limits.connect_s)
        live.upstream = call
        sent_s = self._clock.now()
        if sent_s > send_by_s:
            raise UpstreamError("connected after the send deadline", sent=False)
        call.write(request, address)
        return sent_s

    async def _read_response(self, live: LiveCall, sent_s: float) -> None:
        call = live.upstream
        async with asyncio.timeout(self._limits.idle_s):
            body = await call.read_all(MAX_RECORDED_BODY_BYTES)
        live.first_byte_s = self._clock.now() - sent_s
        headers = _forwarded_headers(call)
        recorded = tuple((n.decode("latin-1"), v.decode("latin-1")) for n, v in headers)
        response = Response(call.status, headers, body)
        self._close_upstream(live)
        self._end_attempt(
            live, CallResult.OK, status=call.status, headers=recorded, body=body
        )
        if not live.response.done():
            live.response.set_result(response)

    def _stream_response(self, live: LiveCall, action: Dispatch, sent_s: float) -> None:
        call = live.upstream

        def finish(complete: bool) -> None:
            self._finish_stream(live, complete)

        is_chat = live.arrived.route.kind is RouteKind.CHAT
        if call.is_event_stream and is_chat and call.status == 200:
            relay = EventRelay(
                call,
                self._limits.idle_s,
                finish,
                self._resume_callback(live, action.address),
            )
        else:
            relay = PlainRelay(call, self._limits.idle_s, finish)
        relay.on_first_byte = self._first_byte_callback(live, sent_s)
        live.relay = relay
        if live.response.done():
            relay.finish(False)
            return
        live.response.set_result(
            Response(call.status, _forwarded_headers(call), relay=relay)
        )

    def _first_byte_callback(self, live: LiveCall, sent_s: float) -> Callable[[], None]:
        def record() -> None:
            now = self._clock.now()
            live.first_byte_s = now - sent_s
            self._metrics.record("first_byte", now - live.arrived_s)

        return record

    def _resume_callback(self, live: LiveCall, address: str):
        async def resume(event_id: bytes) -> UpstreamCall:
            await asyncio.sleep(RESUME_DELAY_S)
            call = await open_call(address, self._limits.connect_s)
            call.write(live.request.resumed_after(event_id), address)
            try:
                async with asyncio.timeout(self._limits.connect_s):
                    await call.wait_for_response()
            except TimeoutError as exc:
                call.close()
                raise UpstreamError("resume request timed out", sent=True) from exc
            if call.status != 200 or not call.is_event_stream:
                call.close()
                raise UpstreamError("endpoint refused to resume the stream", sent=True)
            self._metrics.counters["calls.resumed"] += 1
            return call

        return resume

    def _finish_stream(self, live: LiveCall, complete: bool) -> None:
        now = self._clock.now()
        self._metrics.record("call", now - live.arrived_s)
        if complete:
            self._invariants.check(
                Invariant.WHOLE_ANSWER,
                live.relay.complete,
                now,
                f"response to call {live.arrived.request_id} is incomplete",
            )
        live.relay = None
        self._end_attempt(live, CallResult.OK if complete else CallResult.CUT)

    @property
    def open_call_count(self) -> int:
        """Return the number of calls that are not finished."""
        return len(self._live)


def _forwarded_headers(call: UpstreamCall) -> Headers:
    headers = end_to_end_headers(call.headers)
    return [item for item in headers if item[0] not in DROPPED_HEADERS]


def _call_result(exc: UpstreamError) -> CallResult:
    if exc.refused:
        return CallResult.REFUSED
    if not exc.sent:
        return CallResult.NOT_SENT
    return CallResult.BROKEN
