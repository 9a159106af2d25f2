"""Detection of endpoints that crash, and of the calls that were open at them.

A connection that an endpoint closes or resets tells little: the endpoint may be faulty,
or close one connection only. If it has crashed, all its connections end, and its
address accepts no new one.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from cranberrysail.errors import UpstreamError
from cranberrysail.router.clock import now
from cranberrysail.router.connpool import CONNECT_TIMEOUT_S, ConnectionPool
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.endpoints import Endpoint, EndpointState
from cranberrysail.router.httpclient import connect
from cranberrysail.router.isolation import run_isolated
from cranberrysail.router.metrics import RouterMetrics

__all__ = ["Crash", "CrashDetector", "OpenCall"]

# The connections of an endpoint that crashes end within this time.
CONNECTIONS_END_WITHIN_S = 0.05
# Ids of content in one log line.
MAX_LOGGED_IDS = 12


@dataclass(frozen=True, slots=True)
class OpenCall:
    """A call that was open at an endpoint when its connection ended.

    Attributes:
      request_id: Id of the caller's request.
      content_ids: Ids of the content that it has in common with other calls.
      sent_s: Time at which it was sent to the endpoint.
      answered: True if an endpoint had written part of the answer, beyond the first
        event of a stream.
    """

    request_id: str
    content_ids: tuple[str, ...]
    sent_s: float
    answered: bool


@dataclass(frozen=True, slots=True)
class Crash:
    """The crash of an endpoint.

    Attributes:
      at_s: Time at which the first connection ended.
      calls: Calls of this router that were open at it.
    """

    endpoint: Endpoint
    at_s: float
    calls: tuple[OpenCall, ...]

    def unanswered_ids(self) -> dict[str, float]:
        """Return the content ids of unanswered calls and when they were last sent."""
        last_sent_s: dict[str, float] = {}
        for call in self.calls:
            if call.answered:
                continue
            for content_id in call.content_ids:
                last_sent_s[content_id] = max(
                    call.sent_s, last_sent_s.get(content_id, call.sent_s)
                )
        return last_sent_s


@dataclass
class _Examination:
    """Connections that an endpoint has ended within a short time."""

    endpoint: Endpoint
    since_s: float
    calls: list[OpenCall] = field(default_factory=list)
    task: asyncio.Task | None = None


class CrashDetector:
    """Tells crashes of endpoints from connections that end for another reason."""

    def __init__(
        self,
        pool: ConnectionPool,
        log: DecisionLog,
        metrics: RouterMetrics,
        on_crash: Callable[[Crash], None],
    ) -> None:
        """Create a detector.

        Args:
          pool: The connections of this router to endpoints.
          log: Log of crashes.
          metrics: Counts them.
          on_crash: Called with each crash.
        """
        self._pool = pool
        self._log = log
        self._metrics = metrics
        self._on_crash = on_crash
        self._examinations: dict[tuple[str, int], _Examination] = {}

    def disconnected(self, endpoint: Endpoint, call: OpenCall) -> None:
        """Record that an endpoint ended the connection of an open call."""
        examination = self._examinations.get(endpoint.incarnation)
        if examination is None:
            examination = _Examination(endpoint, now())
            self._examinations[endpoint.incarnation] = examination
            examination.task = asyncio.ensure_future(self._examine(examination))
        examination.calls.append(call)

    async def wait_until_known(self, endpoint: Endpoint) -> None:
        """Wait until it is known whether an endpoint has crashed."""
        examination = self._examinations.get(endpoint.incarnation)
        if examination is not None:
            await asyncio.wait([examination.task])

    async def _examine(self, examination: _Examination) -> None:
        endpoint = examination.endpoint
        try:
            await asyncio.sleep(CONNECTIONS_END_WITHIN_S)
            why = await self._reason_against(endpoint)
        finally:
            del self._examinations[endpoint.incarnation]
        crash = Crash(endpoint, examination.since_s, tuple(examination.calls))
        if why:
            self._write_log("connections_ended", crash, why=why)
            return
        self._metrics.count("endpoint_crashes", endpoint.record.service)
        run_isolated(
            partial(self._write_log, "endpoint_crashed", crash),
            partial(self._on_crash, crash),
        )

    async def _reason_against(self, endpoint: Endpoint) -> str:
        """Return what speaks against a crash, empty if nothing does."""
        if endpoint.state is EndpointState.DRAINING:
            return "the endpoint was draining"
        if self._pool.is_connected(endpoint):
            return "another connection is open"
        try:
            conn = await connect(endpoint.record.address, CONNECT_TIMEOUT_S)
        except UpstreamError as exc:
            # If it cannot be reached at all, the network may be at fault.
            return "" if isinstance(exc.__cause__, ConnectionError) else exc.reason
        conn.close()
        return "its address accepts connections"

    def _write_log(self, kind: str, crash: Crash, **fields: object) -> None:
        unanswered = [call for call in crash.calls if not call.answered]
        counts = Counter(i for call in unanswered for i in call.content_ids)
        self._log.write(
            kind,
            endpoint=crash.endpoint.id,
            started_ms=crash.endpoint.record.started_ms,
            calls=len(crash.calls),
            unanswered=len(unanswered),
            # How many of the unanswered calls had each content.
            content=dict(counts.most_common(MAX_LOGGED_IDS)),
            requests=[call.request_id for call in unanswered[:MAX_LOGGED_IDS]],
            **fields,
        )

    def close(self) -> None:
        """Stop all examinations."""
        for examination in self._examinations.values():
            examination.task.cancel()
