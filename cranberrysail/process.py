"""A router process: listeners, clients and timers around a node."""

import asyncio
import random
import ssl
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from cranberrysail import logs
from cranberrysail.clock import Clock
from cranberrysail.decisions.actions import (
    Action,
    AppendRecord,
    ExitProcess,
    ProbeEndpoint,
    ReadStream,
    SendPeer,
)
from cranberrysail.decisions.events import (
    AppendDone,
    AppendFailed,
    Event,
    HostsRead,
    PeerMessageReceived,
    ProbeAnswered,
    ProbeFailed,
    StopRequested,
    StreamFailed,
    StreamRead,
    Tick,
)
from cranberrysail.decisions.messages import Message
from cranberrysail.decisions.node import Node
from cranberrysail.endpoints.probe import probe_endpoint
from cranberrysail.errors import LogUnavailableError
from cranberrysail.front.callerapi import CallerApi, tls_context
from cranberrysail.front.gateway import Gateway
from cranberrysail.front.operatorapi import OperatorApi
from cranberrysail.handlers import handlers_of, on
from cranberrysail.links.peers import PeerTransport
from cranberrysail.links.platformlog import HostListClient, HttpLog
from cranberrysail.metrics import Metrics
from cranberrysail.router.clock import now
from cranberrysail.router.httplistener import HttpListener
from cranberrysail.router.model import CallerLimits
from cranberrysail.router.resourcelimits import ResourceLimits
from cranberrysail.settings import Settings

__all__ = ["RouterProcess"]

TICK_INTERVAL_S = 0.05
HOSTS_POLL_INTERVAL_S = 1.0
IDLE_CHECK_INTERVAL_S = 30.0
PROBE_TIMEOUT_S = 1.0
# Pause before a background task that failed is started again.
RESTART_PAUSE_S = 0.1
# Time to send the remaining responses once the node has stopped, in seconds.
SHUTDOWN_GRACE_S = 2.0


class RouterProcess:
    """A router with its listeners and clients.

    Attributes:
      caller_port: Port of the listener for callers.
      operator_port: Port of the listener for operators.
      stopped: Set once the node has stopped.
    """

    def __init__(self, cfg: Settings) -> None:
        """Create a router without starting it.

        Args:
          cfg: Settings of the process.
        """
        self.cfg = cfg
        self.clock = Clock()
        self.metrics = Metrics()
        self.caller_port = cfg.callers.port
        self.operator_port = cfg.operators.port
        self.stopped = asyncio.Event()
        self._log = logs.get_logger("main")
        self._tasks: set[asyncio.Task] = set()
        self._listeners: list[HttpListener] = []
        self._resources = ResourceLimits()
        self._peers = PeerTransport(cfg.name, cfg.peers.keys, self._receive)
        self._platform_log = HttpLog(cfg.platform.log_url, cfg.platform.timeout_s)
        self._host_list = HostListClient(cfg.platform.hosts_url, cfg.platform.timeout_s)
        self._action_handlers = handlers_of(self)

    @classmethod
    def from_config(cls, cfg: Settings) -> "RouterProcess":
        """Create a router from its settings."""
        return cls(cfg)

    async def start(self) -> None:
        """Open all listeners and start the background tasks."""
        peers = self.cfg.peers
        port = self._peers.start_listening(peers.address, peers.port)
        incarnation = int(time.time() * 1000)
        self.node = Node.from_config(
            self.cfg,
            f"{peers.address}:{port}",
            incarnation,
            random.Random(incarnation),
        )
        self.gateway = Gateway(
            self.cfg.limits,
            self.handle,
            self.clock,
            self.metrics,
            self.node.board.invariants,
        )
        self._action_handlers |= handlers_of(self.gateway)
        await self._listen()
        self._spawn(self._run_forever(self._tick_loop))
        self._spawn(self._run_forever(self._poll_hosts))
        self._log.info(
            "{} serves callers on port {} and operators on port {}.",
            self.cfg.name,
            self.caller_port,
            self.operator_port,
        )

    async def _listen(self) -> None:
        caller_api = CallerApi(self.node.board, self.cfg.limits, self.gateway)
        operator_api = OperatorApi(
            self.cfg.operators,
            self.node,
            self.metrics,
            self._process_state,
            self._counters,
        )
        cfg = self.cfg.callers
        tls = tls_context(cfg.tls_cert, cfg.tls_key)
        self.caller_port = await self._open_listener(
            caller_api, cfg.address, cfg.port, tls
        )
        cfg = self.cfg.operators
        self.operator_port = await self._open_listener(
            operator_api, cfg.address, cfg.port
        )

    async def _open_listener(
        self,
        api: CallerApi | OperatorApi,
        address: str,
        port: int,
        tls: ssl.SSLContext | None = None,
    ) -> int:
        limits = self.cfg.limits
        listener = HttpListener(
            api.serve, api.reject, self._log_failure, self._resources
        )
        listener.limits = CallerLimits(
            limits.header_bytes, limits.body_bytes, limits.request_s, limits.keep_s
        )
        self._listeners.append(listener)
        port = await listener.start(address, port, tls)
        self._spawn(self._run_forever(listener.check_timeouts_forever))
        return port

    async def _run_forever(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a background task, and start it again whenever it fails."""
        while True:
            try:
                await run()
            except Exception as exc:
                self._log_failure(exc)
            await asyncio.sleep(RESTART_PAUSE_S)

    def _spawn(self, coro: Any) -> None:
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log_failure(task.exception())

    def _log_failure(self, exc: BaseException) -> None:
        self._log.opt(exception=exc).error("Unhandled exception.")

    def handle(self, event: Event) -> None:
        """Pass an event to the node and carry out the resulting actions.

        Raises:
          ExceptionGroup: If actions fail; the others have been carried out.
        """
        errors = []
        for action in self.node.handle(event, self.clock.now()):
            try:
                self._execute(action)
            except Exception as exc:
                errors.append(exc)
        if errors:
            raise ExceptionGroup("actions failed", errors)

    def _execute(self, action: Action) -> None:
        self._action_handlers[type(action)](action)

    def _receive(self, source: str, message: Message) -> None:
        self.handle(PeerMessageReceived(source, message))

    @on(SendPeer)
    def _send_peer(self, action: SendPeer) -> None:
        self._peers.send(action.address, action.message, self.clock.now())

    @on(ProbeEndpoint)
    def _start_probe(self, action: ProbeEndpoint) -> None:
        self._spawn(self._probe(action))

    @on(ReadStream)
    def _start_read(self, action: ReadStream) -> None:
        self._spawn(self._read(action))

    @on(AppendRecord)
    def _start_append(self, action: AppendRecord) -> None:
        self._spawn(self._append(action))

    @on(ExitProcess)
    def _note_stopped(self, action: ExitProcess) -> None:
        self.stopped.set()

    async def _tick_loop(self) -> None:
        next_check_s = self.clock.now() + IDLE_CHECK_INTERVAL_S
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.handle(Tick())
            if self.clock.now() >= next_check_s:
                next_check_s += IDLE_CHECK_INTERVAL_S
                self._peers.close_idle(self.clock.now())

    async def _poll_hosts(self) -> None:
        while True:
            try:
                hosts = await self._host_list.read()
            except LogUnavailableError:
                self.metrics.counters["hosts.unavailable"] += 1
                hosts = None
            if hosts is not None:
                self.handle(HostsRead(hosts))
            await asyncio.sleep(HOSTS_POLL_INTERVAL_S)

    async def _probe(self, action: ProbeEndpoint) -> None:
        report = await probe_endpoint(action.address, PROBE_TIMEOUT_S)
        if report is None:
            self.handle(ProbeFailed(action.endpoint))
        else:
            self.handle(ProbeAnswered(action.endpoint, report))

    async def _read(self, action: ReadStream) -> None:
        try:
            page = await self._platform_log.read(
                action.stream, action.after_offset, action.wait_s
            )
        except LogUnavailableError:
            self.metrics.counters["log.read_failed"] += 1
            self.handle(StreamFailed(action.stream))
            return
        self.handle(
            StreamRead(
                action.stream,
                action.after_offset,
                page.first,
                page.end,
                page.records,
                page.lapsed_s,
            )
        )

    async def _append(self, action: AppendRecord) -> None:
        started_s = self.clock.now()
        try:
            offset = await self._platform_log.append(action.stream, action.data)
        except LogUnavailableError as exc:
            self.metrics.counters["log.append_failed"] += 1
            self.handle(AppendFailed(action.uid, action.stream, exc.maybe_appended))
            return
        self.metrics.record("log_append", self.clock.now() - started_s)
        self.handle(AppendDone(action.uid, action.stream, offset))

    def _counters(self) -> dict[str, int]:
        counters: Counter = Counter(self.node.board.counters)
        counters.update(self._peers.counters)
        counters.update(self.metrics.counters)
        return dict(counters)

    def _process_state(self) -> dict[str, Any]:
        return {
            "live_calls": self.gateway.open_call_count,
            "tasks": len(self._tasks),
            "peers": dict(self._peers.counters),
        }

    def request_stop(self) -> None:
        """Start a graceful stop."""
        self._log.info("Stop requested; waiting for open calls to finish.")
        for listener in self._listeners:
            listener.draining = True
        self.handle(StopRequested())

    async def run(self) -> None:
        """Wait until the graceful stop is complete, then close all sockets."""
        await self.stopped.wait()
        await self.close()

    async def close(self) -> None:
        """Close all sockets, after up to ``SHUTDOWN_GRACE_S`` for open responses."""
        deadline_s = now() + SHUTDOWN_GRACE_S
        await asyncio.gather(
            *(listener.shutdown(deadline_s) for listener in self._listeners)
        )
        for task in list(self._tasks):
            task.cancel()
        await self._peers.close()
        await self._platform_log.close()
        await self._host_list.close()
        self._log.info("{} has stopped.", self.cfg.name)
