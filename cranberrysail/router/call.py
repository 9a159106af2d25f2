"""State of one call in progress."""

from dataclasses import dataclass, field

from xxhash import xxh3_128_hexdigest

from cranberrysail.router.clock import now
from cranberrysail.router.headercodec import CallHead, Headers
from cranberrysail.router.httplistener import HttpRequest, HttpServerConn
from cranberrysail.router.model import CallKind, Customer, Route, RouteTables, Service
from cranberrysail.router.placement import shared_prefix_length
from cranberrysail.router.prefillbacklog import CallWork
from cranberrysail.router.sse import EventSplitter

__all__ = ["Call"]

# Events of a stream after which an endpoint has begun to answer.
MIN_ANSWER_EVENTS = 2
# Longer ids of prompt parts are replaced by their digests.
MAX_PART_ID_CHARS = 64


@dataclass(slots=True)
class Call:
    """State of one call from its arrival to the end of its response.

    A call is what the router does for one HTTP request of a caller; it consists of one
    or more attempts, each of which sends the request to an endpoint.

    Attributes:
      caller_conn: The caller's connection.
      deadline_s: Time at which the call times out, on the router's clock.
      executions: Attempts that were executed or may have been.
      declined: Attempts whose endpoint responded that it did not execute the call.
      attempts_sent: Attempts whose request was sent, whether it was executed or not.
      tried: Ids of the endpoints of earlier attempts, even if no connection could be
        opened.
      event_splitter: Splitter for stream events, which tracks the id of the last
        event sent.
      response_started: True once part of a response has been sent to the caller.
      latency_s: Time from the call's arrival to the first data of a stream, of the last
        attempt that got any, or until another response was buffered or found too large
        for that; 0 before that and if there were only error responses (5xx).
      attempt_sent_s: Time at which the request of the last attempt was sent.
      events_before_attempt: Complete events of the stream before the last attempt.
      endpoint_error: Last error response of an endpoint, which is sent to the caller
        if no other attempt succeeds.
      calls_per_slot_sent: Open calls relative to the slots of the service when the call
        was sent, as far as known.
      counted_as_sent: True while the call counts as one that was sent in its turn.
    """

    request: HttpRequest
    caller_conn: HttpServerConn
    head: CallHead
    route: Route
    service: str
    tables: RouteTables
    customer: Customer | None
    deadline_s: float
    executions: int = 0
    declined: int = 0
    attempts_sent: int = 0
    tried: set[str] = field(default_factory=set)
    event_splitter: EventSplitter = field(default_factory=EventSplitter)
    response_started: bool = False
    latency_s: float = 0.0
    attempt_sent_s: float = 0.0
    events_before_attempt: int = 0
    endpoint_error: tuple[int, Headers, bytes] | None = None
    calls_per_slot_sent: float = 0.0
    counted_as_sent: bool = False
    _content_ids: tuple[str, ...] | None = None

    @property
    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline_s - now()

    def begin_attempt(self) -> None:
        """Record that the request is sent to an endpoint."""
        self.executions += 1
        self.attempts_sent += 1
        self.attempt_sent_s = now()
        self.events_before_attempt = self.event_splitter.event_count

    @property
    def is_being_answered(self) -> bool:
        """Return whether the endpoint of the last attempt has begun to answer.

        One that crashes when it begins may have written the first event of a stream.
        """
        if self.route.kind is not CallKind.STREAM:
            return self.response_started
        events = self.event_splitter.event_count - self.events_before_attempt
        return events >= MIN_ANSWER_EVENTS

    @property
    def can_continue(self) -> bool:
        """Return whether another attempt can continue the response.

        A response that was not started is simply begun. Of the others, only a stream
        whose last event has an id can be continued without missing or repeating a part.
        """
        if not self.response_started:
            return True
        events = self.event_splitter
        is_stream = self.route.kind is CallKind.STREAM
        return is_stream and bool(events.last_id or not events.event_count)

    @property
    def work(self) -> CallWork:
        """Return the work of the call, and the time until its first event is due."""
        head = self.head
        shared = sum(head.part_tokens[: shared_prefix_length(head.prompt_parts)])
        waited_s = now() - self.request.arrived_s
        return CallWork(
            max(head.prompt_tokens, sum(head.part_tokens)),
            shared,
            self.route.target_latency_s - waited_s,
        )

    @property
    def service_config(self) -> Service:
        """Return the configuration of the call's service."""
        return self.tables.services.get(self.service, Service(self.service))

    @property
    def priority(self) -> int:
        """Return the scheduling priority; 0 is the most urgent."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def content_ids(self) -> tuple[str, ...]:
        """Return ids of the content that this call has in common with others.

        They are the parts of its prompt but the last, which belongs to the call or its
        chat; of a call without those, the digest of its whole request. Each begins with
        the service, as content may be harmful to the endpoints of one service only.
        """
        if self._content_ids is None:
            shared = dict.fromkeys(map(_short_id, self.head.prompt_parts[:-1]))
            parts = tuple(shared) or (self._request_digest(),)
            self._content_ids = tuple(f"{self.service}/{part}" for part in parts)
        return self._content_ids

    def _request_digest(self) -> str:
        request = self.request
        data = b"\0".join(
            (request.method.encode("latin-1"), request.target, request.body)
        )
        return f"request-{xxh3_128_hexdigest(data)}"


def _short_id(part: str) -> str:
    if len(part) <= MAX_PART_ID_CHARS:
        return part
    return f"part-{xxh3_128_hexdigest(part.encode())}"
