"""The router process: listeners, background tasks and signals."""

import asyncio
import dataclasses
import random
import signal
from functools import partial

import msgspec

from cranberrysail.errors import ConfigError
from cranberrysail.router.admin import create_page_server
from cranberrysail.router.backgroundtasks import BackgroundTasks, location
from cranberrysail.router.callhandler import CallHandler
from cranberrysail.router.clock import now
from cranberrysail.router.config import BaseSettingsSource, RouterConfig
from cranberrysail.router.contentguard import ContentGuard
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.endpoints import (
    Endpoint,
    EndpointChange,
    EndpointDirectory,
)
from cranberrysail.router.follower import BaseRecordDecoder, Follower, RoutingState
from cranberrysail.router.headercodec import BaseHeaderCodec
from cranberrysail.router.httplistener import HttpListener
from cranberrysail.router.isolation import run_isolated
from cranberrysail.router.load import LoadTracker
from cranberrysail.router.loadexchange import LoadExchange
from cranberrysail.router.loadgossip import LoadGossip
from cranberrysail.router.metrics import RouterMetrics
from cranberrysail.router.peers import RouterDirectory, create_peer_server
from cranberrysail.router.peertables import PeerTables
from cranberrysail.router.quarantine import ContentStage, Quarantine
from cranberrysail.router.quarantineexchange import QuarantineExchange
from cranberrysail.router.quarantinestore import StoredQuarantine
from cranberrysail.router.resourcelimits import ResourceLimits
from cranberrysail.router.rolloutexchange import RolloutExchange
from cranberrysail.router.rollouts import Rollouts
from cranberrysail.router.rotation import Rotation, is_zone_cut_off
from cranberrysail.router.selector import Selector
from cranberrysail.router.store import BaseStore
from cranberrysail.router.storedrollouts import StoredRollouts
from cranberrysail.router.zonetester import ZoneTester

__all__ = ["Router"]

# Interval at which expired endpoints and idle connections, and the load and health of
# removed endpoints, are cleaned up.
MAINTENANCE_INTERVAL_S = 0.25
# Time until the load balancer sends no more callers: it checks readiness once a
# second and acts on the second failure.
BALANCER_DRAIN_S = 2.6
# If maintenance starts later than planned by more than this, the host is taken to have
# been suspended.
SUSPENSION_THRESHOLD_S = 1.0
# Path at which operators lift a quarantine; the body is the id of the content.
LIFT_PATH = "/quarantine/lift"
# Interval of the check of the settings file, which may change without a signal.
SETTINGS_POLL_S = 1.0
# Time reserved at the end of a graceful shutdown to close connections.
CLOSE_MARGIN_S = 0.5
# Time before that in which calls that are still open get a final response.
FINAL_RESPONSES_S = 0.1
# Time before SIGKILL at which the process ends, whatever keeps the stop from its end.
END_MARGIN_S = 0.25


class Router:
    """A router with its listeners and its connections to store, peers and endpoints."""

    def __init__(
        self,
        cfg: RouterConfig,
        store: BaseStore,
        decoder: BaseRecordDecoder,
        header_codec: BaseHeaderCodec,
        settings: BaseSettingsSource | None = None,
    ) -> None:
        """Create a router without starting it.

        Args:
          cfg: Settings.
          store: Store of tables, endpoints and routers.
          decoder: Decodes the store's records.
          header_codec: Translates to and from the platform's HTTP headers.
          settings: Source of changed settings, or None if they cannot change.
        """
        self.cfg = cfg
        self._settings = settings
        self.log = DecisionLog(cfg.name)
        self.metrics = RouterMetrics()
        self.endpoints = EndpointDirectory(self._on_endpoint_change)
        self.endpoints.reachability.on_change = self._on_zone_change
        self.zone_tester = ZoneTester(self.endpoints, self.metrics)
        self.rotation = Rotation()
        self.routers = RouterDirectory(cfg.name, cfg.zone)
        self.quarantine = Quarantine()
        self.quarantine_exchange = QuarantineExchange(
            self.quarantine, self.routers, self.log, self.metrics
        )
        self.stored_quarantine = StoredQuarantine(
            self.quarantine,
            store,
            self.routers.rank,
            self.log,
            self.quarantine_exchange.update,
        )
        self.rollouts = Rollouts(
            cfg.rollout,
            cfg.zone,
            self.endpoints,
            self.log,
            self.metrics,
            random.Random(),
        )
        self.rollout_exchange = RolloutExchange(
            self.rollouts, cfg.zone, self.routers, self.log
        )
        self.stored_rollouts = StoredRollouts(
            self.rollouts, store, decoder, self.routers.rank, self.log
        )
        self.routing_state = RoutingState(
            self.endpoints,
            self.routers,
            self.log,
            decoder,
            self._on_tables_changed,
            self.stored_quarantine,
            self.rollouts,
            self.stored_rollouts,
        )
        loads = LoadTracker()
        self.load_gossip = LoadGossip(loads, self.endpoints)
        self.follower = Follower(cfg, store, self.routing_state, self.metrics)
        self.peer_tables = PeerTables(
            self.routing_state, self.routers, self.follower.cache, self.log
        )
        self.load_exchange = LoadExchange(
            cfg.name,
            self.load_gossip,
            self.peer_tables,
            self.quarantine_exchange,
            self.routers,
            self.log,
            lambda: self.selector.weighs_work,
        )
        self.selector = Selector(
            cfg, self.endpoints, loads, self.routers, random.Random(), self.rollouts
        )
        self.call_handler = CallHandler(
            cfg,
            self.routing_state,
            self.selector,
            ContentGuard(self.quarantine, self.quarantine_exchange, self.routers),
            header_codec,
            self.log,
            self.metrics,
        )
        self.resources = ResourceLimits(
            cfg.memory_mb, cfg.file_descriptors, self._on_shed
        )
        self.listener = HttpListener(
            self.call_handler.serve,
            self.call_handler.error_response,
            self._on_unexpected_error,
            self.resources,
            "callers",
            self.call_handler.refusal_headers,
        )
        self._stop_requested_s: float | None = None
        self.background_tasks = BackgroundTasks(self.log, self.metrics)
        self.stopped = asyncio.Event()

    def _on_endpoint_change(self, change: EndpointChange, endpoint: Endpoint, why: str):
        # The directory is in the middle of a change, which an exception would leave
        # half-done.
        run_isolated(
            partial(self._log_endpoint_change, change, endpoint, why),
            partial(self.rollouts.note_endpoint, endpoint),
            partial(self._forget_removed, change, endpoint),
        )

    def _log_endpoint_change(
        self, change: EndpointChange, endpoint: Endpoint, why: str
    ) -> None:
        record = endpoint.record
        self.log.write(
            "endpoint",
            change=change,
            endpoint=record.endpoint_id,
            service=record.service,
            zone=record.zone,
            count=record.sequence,
            why=why,
        )
        self.metrics.count("endpoint_changes", change.value)

    def _forget_removed(self, change: EndpointChange, endpoint: Endpoint) -> None:
        if change is EndpointChange.REMOVED:
            self.selector.cold_limiter.forget(endpoint.id)

    def _on_zone_change(self, zone: str, reachable: bool) -> None:
        if reachable:
            self.endpoints.zone_reached(zone, now())
        self.log.write("zone_reached" if reachable else "zone_unreachable", zone=zone)
        self.metrics.count("zone_changes", "reached" if reachable else "unreachable")

    def _update_rotation(self) -> None:
        unreachable = self.endpoints.reachability.unreachable
        cut_off = self.cfg.tolerated_zones > 0 and is_zone_cut_off(
            self.endpoints, self.cfg.zone, unreachable, self.endpoints.zones_out
        )
        if self.rotation.update(cut_off, now()):
            kind = "left_rotation" if cut_off else "back_in_rotation"
            self.log.write(kind, zone=self.cfg.zone, unreachable=sorted(unreachable))
        # Callers keep their connections; once the balancer sends no new ones, those
        # that are closed are opened at a router of another zone.
        self.listener.draining = (
            self._stop_requested_s is not None
            or self.rotation.left_for(BALANCER_DRAIN_S, now())
        )

    def _on_unexpected_error(self, exc: BaseException) -> None:
        self.log.write("internal_error", why=repr(exc), where=location(exc))
        self.metrics.count("internal_errors")

    def _on_shed(self, listener: str, client: str, why: str, held_bytes: int) -> None:
        account = self.resources.account
        self.log.write(
            "client_shed",
            listener=listener,
            client=client,
            why=why,
            held_kb=held_bytes // 1024,
            used_kb=account.used // 1024,
            budget_kb=account.budget // 1024,
            connections=len(self.resources.connections),
        )
        self.metrics.count("clients_shed", f"{listener} {why}")

    def _on_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Log an exception of a callback, or of a task that nobody awaits."""
        exc = context.get("exception") or RuntimeError(context["message"])
        if isinstance(exc, OSError):
            # A socket failed in the event loop, such as one that its peer has reset.
            self.log.write("connection_failed", why=f"{context['message']}: {exc!r}")
            return
        self._on_unexpected_error(exc)

    def _on_tables_changed(self) -> None:
        self.listener.limits = self.routing_state.tables.limits

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send callers."""
        return self.routing_state.is_loaded and self._stop_requested_s is None

    def _ready_page(self) -> tuple[int, bytes]:
        in_rotation = self.ready and self.rotation.left_s is None
        return (200, b"ready\n") if in_rotation else (503, b"not ready\n")

    def _metrics_page(self) -> tuple[int, bytes]:
        gauges = {
            "callers": len(self.listener.conns),
            "calls_open": self.listener.busy_connections,
            "memory_held_bytes": self.resources.account.used,
            "memory_budget_bytes": self.resources.account.budget,
            "connections_accepted": len(self.resources.connections),
            "connections_allowed": self.resources.connections.max_connections,
            "calls_waiting": len(self.call_handler.order.allocation.room),
            "endpoints": len(self.endpoints),
            "routers": len(self.routers),
            "tables_version": self.routing_state.tables.version if self.ready else 0,
            "store_era": self.follower.sources.store.era.number,
            "records_failed": self.routing_state.failed_records,
            **{
                f"content_{stage.value}": self.quarantine.stage_counts()[stage]
                for stage in (ContentStage.SUSPECTED, ContentStage.QUARANTINED)
            },
            "connections_opened": (
                self.call_handler.attempt_runner.connection_pool.opened
            ),
        }
        return 200, self.metrics.text(gauges).encode()

    def dump(self) -> dict[str, object]:
        """Return the router's state for operators, without API keys or bodies."""
        tables = self.routing_state.tables
        return {
            "name": self.cfg.name,
            "zone": self.cfg.zone,
            "ready": self.ready,
            "tables": tables.version if tables else None,
            "store_era": self.follower.sources.store.era.number,
            "routers": len(self.routers),
            "zones_out": sorted(self.endpoints.zones_out),
            "zones_unreachable": sorted(self.endpoints.reachability.unreachable),
            "in_rotation": self.rotation.left_s is None,
            "records_failed": self.routing_state.failed_records,
            "task_failures": dict(self.background_tasks.failures),
            "store_reads": self.metrics.by_label("store_reads"),
            "followers": {
                f.topic.value: {"failing": f.failing, "age_s": now() - f.last_read_s}
                for f in self.follower.topic_followers
            },
            "allocation": self.call_handler.order.state(),
            "quarantine": [
                {
                    "content": record.content_id,
                    "stage": self.quarantine.stage(record.content_id).value,
                    "crashes": len(record.open_crashes()),
                    "last_crash_s": round(now() - record.last_crash_s, 1),
                    "for_s": round(max(0.0, record.quarantine_end_s - now()), 1),
                }
                for record in self.quarantine.records.values()
                if record.open_crashes()
            ],
            "rollouts": self.rollouts.dump(),
            "endpoints": [
                {
                    "name": e.id,
                    "service": e.record.service,
                    "version": e.record.version,
                    "zone": e.record.zone,
                    "state": e.state.value,
                    "open": e.open_calls,
                    "cold": e.is_cold(now()),
                    "unsure": e.maybe_restarted,
                    "age_s": round(now() - e.declared_s, 2),
                }
                for e in self.endpoints
            ],
        }

    def _lift_quarantine(self, body: bytes) -> tuple[int, bytes]:
        content_id = body.decode("utf-8", "replace").strip()
        if not self.quarantine.lift(content_id, now()):
            return 404, b"nothing is held against this content; see /state\n"
        self.log.write("quarantine_lifted", content=content_id)
        self.quarantine_exchange.update()
        return 200, b"lifted\n"

    def _dump_page(self) -> tuple[int, bytes]:
        return 200, msgspec.json.encode(self.dump())

    async def start(self) -> None:
        """Open the listeners and start the background tasks."""
        host, _, port = self.cfg.callers.rpartition(":")
        await self.listener.start(host, int(port))
        await self._listen(
            "ready",
            self.cfg.ready,
            create_page_server(
                {self.cfg.ready_path: self._ready_page}, self._on_unexpected_error
            ),
        )
        pages = {"/metrics": self._metrics_page, "/state": self._dump_page}
        await self._listen(
            "admin",
            self.cfg.admin,
            create_page_server(
                pages, self._on_unexpected_error, {LIFT_PATH: self._lift_quarantine}
            ),
        )
        follower = self.follower
        await self._listen(
            "peer",
            self.cfg.peers,
            create_peer_server(
                follower.cache,
                follower.sources.since_store_read_s,
                follower.sources.store.era,
                self.load_gossip,
                self.peer_tables,
                self.quarantine_exchange,
                self._on_unexpected_error,
                self.rollout_exchange,
            ),
        )
        tasks = {
            "caller_timeouts": self.listener.check_timeouts_forever,
            "maintenance": self._run_maintenance,
            "zone_tests": self.zone_tester.run,
            **self.follower.background_tasks(),
            "load_exchange": self.load_exchange.run,
            "peer_tables": self.peer_tables.run,
            "quarantine_exchange": self.quarantine_exchange.run,
            "stored_quarantine": self.stored_quarantine.run,
        }
        if self.rollouts.enabled:
            tasks["rollout_exchange"] = self.rollout_exchange.run
            tasks["stored_rollouts"] = self.stored_rollouts.run
        if self._settings is not None:
            tasks["settings"] = self._watch_settings
        for name, run in tasks.items():
            self.background_tasks.start(name, run)
        self.log.write("started", zone=self.cfg.zone, callers=self.cfg.callers)

    async def _listen(self, name: str, address: str, listener: HttpListener) -> None:
        host, _, port = address.rpartition(":")
        listener.resources, listener.name = self.resources, name
        await listener.start(host, int(port))
        self.background_tasks.start(f"{name}_timeouts", listener.check_timeouts_forever)

    async def _run_maintenance(self) -> None:
        while True:
            started_s = now()
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            run_isolated(self.call_handler.sweep, self._update_rotation)
            late_s = now() - started_s - MAINTENANCE_INTERVAL_S
            if late_s > SUSPENSION_THRESHOLD_S:
                self.log.write("stood_still", seconds=round(late_s, 2))
                self.follower.interrupt_all()

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            if self._settings.changed():
                self.reload("the settings file changed")

    def request_stop(self) -> None:
        """Start a graceful shutdown: callers are drained and open calls finished."""
        if self._stop_requested_s is not None:
            return
        self._stop_requested_s = now()
        self.listener.draining = True
        run_isolated(
            partial(self.background_tasks.start, "stop", self._drain_and_stop),
            self._schedule_end,
            self._log_stopping,
            partial(
                self.call_handler.end_calls_by, self._close_at_s - FINAL_RESPONSES_S
            ),
        )

    def _schedule_end(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.cfg.grace_s - END_MARGIN_S, self.stopped.set)

    def _log_stopping(self) -> None:
        self.log.write("stopping", open=self.listener.busy_connections)

    def _log_stopped(self) -> None:
        self.log.write("stopped", open=self.listener.busy_connections)

    @property
    def _close_at_s(self) -> float:
        """Return the time at which all connections are closed in a stop."""
        return self._stop_requested_s + self.cfg.grace_s - CLOSE_MARGIN_S

    async def _drain_and_stop(self) -> None:
        """Carry out a stop; called again if it fails, while calls may be open."""
        await asyncio.sleep(self._stop_requested_s + BALANCER_DRAIN_S - now())
        run_isolated(self.call_handler.refuse_long_calls)
        await self.listener.shutdown(self._close_at_s)
        run_isolated(self._log_stopped, self.stopped.set)

    async def run(self) -> None:
        """Serve until the graceful shutdown is complete."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGINT, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload, "SIGHUP received")
        loop.set_exception_handler(self._on_loop_error)
        await self.start()
        await self.stopped.wait()
        self.close()

    def reload(self, why: str) -> None:
        """Apply changed bounds; changed addresses apply at the next start.

        Args:
          why: Reason for the reload, for the log.
        """
        if self._settings is None:
            return
        try:
            cfg = self._settings.load()
        except ConfigError as exc:
            self.log.write("settings_rejected", why=str(exc))
            return
        changed = [
            f.name
            for f in dataclasses.fields(cfg)
            if getattr(cfg, f.name) != getattr(self.cfg, f.name)
        ]
        self.cfg = cfg
        run_isolated(
            partial(self.selector.configure, cfg),
            partial(self.call_handler.configure, cfg),
            partial(self.resources.configure, cfg.memory_mb, cfg.file_descriptors),
        )
        self.log.write("reloaded", why=why, changed=changed)

    def close(self) -> None:
        """Cancel all tasks and close all outgoing connections."""
        run_isolated(
            self.background_tasks.close,
            self.call_handler.attempt_runner.crash_detector.close,
            self.call_handler.attempt_runner.connection_pool.close,
            self.follower.sources.close,
            self.load_exchange.close,
            self.quarantine_exchange.close,
            self.rollout_exchange.close,
        )
