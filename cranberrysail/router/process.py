"""One serving router: listeners, tasks and signals."""

import asyncio
import dataclasses
import random
import signal
import traceback

import msgspec

from cranberrysail.errors import ConfigError
from cranberrysail.router.admin import page_front
from cranberrysail.router.callerconn import CallerFront
from cranberrysail.router.clock import now
from cranberrysail.router.config import BaseSettings, RouterConfig
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.dialect import BaseDialect
from cranberrysail.router.endpoints import (
    Endpoint,
    EndpointChange,
    EndpointDirectory,
)
from cranberrysail.router.exchange import Exchange
from cranberrysail.router.follower import BaseDecoder, Beliefs, Follower
from cranberrysail.router.load import LoadBook
from cranberrysail.router.loadnews import LoadNews
from cranberrysail.router.metrics import RouterMetrics
from cranberrysail.router.peers import PeerBook, peer_front
from cranberrysail.router.selector import Selector
from cranberrysail.router.store import BaseStore

__all__ = ["ServingRouter"]

# How often connections, views and lapsed entries are looked at.
TICK_S = 0.25
# The balancer asks once a second and acts on the second miss.
BALANCER_LEAVES_S = 2.6
# A tick that is later than this means that the host stood still.
STOOD_STILL_S = 1.0
# How often the settings file is looked at; it may change without a signal.
SETTINGS_EVERY_S = 1.0
# Time kept at the end of a planned stop for closing.
CLOSE_S = 0.5


class ServingRouter:
    """A router with its listeners and its clients."""

    def __init__(
        self,
        cfg: RouterConfig,
        store: BaseStore,
        decoder: BaseDecoder,
        dialect: BaseDialect,
        settings: BaseSettings | None = None,
    ) -> None:
        """Create a router that has not started.

        Args:
          cfg: Settings.
          store: Where operators and endpoints declare things.
          decoder: Reads the store's records.
          dialect: Translates headers.
          settings: Where changed settings come from, if they can change.
        """
        self.cfg = cfg
        self._settings = settings
        self.log = DecisionLog(cfg.name)
        self.metrics = RouterMetrics()
        self.endpoints = EndpointDirectory(self._note_endpoint)
        self.peers = PeerBook(cfg.name, cfg.zone)
        self.beliefs = Beliefs(
            self.endpoints, self.peers, self.log, decoder, self._tables_changed
        )
        loads = LoadBook()
        self.news = LoadNews(loads, self.endpoints)
        self.follower = Follower(cfg, store, self.beliefs, self.news)
        self.selector = Selector(
            cfg, self.endpoints, loads, self.peers, random.Random()
        )
        self.exchange = Exchange(
            cfg, self.beliefs, self.selector, dialect, self.log, self.metrics
        )
        self.front = CallerFront(
            self.exchange.serve, self.exchange.refusal, self._failed
        )
        self._stop_s: float | None = None
        self._tasks: list[asyncio.Task] = []
        self.stopped = asyncio.Event()

    def _note_endpoint(self, change: EndpointChange, endpoint: Endpoint, why: str):
        record = endpoint.record
        self.log.write(
            "endpoint",
            change=change,
            endpoint=record.instance,
            service=record.service,
            zone=record.zone,
            count=record.count,
            why=why,
        )
        self.metrics.count("endpoint_changes", change.value)
        if change is EndpointChange.REMOVED:
            self.selector.cold.forget(record.instance)

    def _failed(self, exc: BaseException) -> None:
        where = traceback.extract_tb(exc.__traceback__)[-1]
        self.log.write(
            "internal_error", why=repr(exc), where=f"{where.name}:{where.lineno}"
        )
        self.metrics.count("internal_errors")

    def _tables_changed(self) -> None:
        self.front.limits = self.beliefs.tables.limits

    @property
    def ready(self) -> bool:
        """Return whether the balancer should send callers."""
        return self.beliefs.complete and self._stop_s is None

    def _ready_page(self) -> tuple[int, bytes]:
        return (200, b"ready\n") if self.ready else (503, b"not ready\n")

    def _metrics_page(self) -> tuple[int, bytes]:
        gauges = {
            "callers": len(self.front.conns),
            "calls_open": self.front.busy,
            "endpoints": len(self.endpoints),
            "routers": len(self.peers),
            "tables_version": self.beliefs.tables.version if self.ready else 0,
            "connections_opened": self.exchange.attempts.pool.opened,
        }
        return 200, self.metrics.text(gauges).encode()

    def dump(self) -> dict[str, object]:
        """Return the router's state for operators, without keys or bodies."""
        tables = self.beliefs.tables
        return {
            "name": self.cfg.name,
            "zone": self.cfg.zone,
            "ready": self.ready,
            "tables": tables.version if tables else None,
            "routers": len(self.peers),
            "zones_out": sorted(self.endpoints.zones_out),
            "followers": {
                f._topic.value: {"failing": f.failing, "age_s": now() - f.read_s}
                for f in self.follower.topics
            },
            "endpoints": [
                {
                    "name": e.name,
                    "service": e.record.service,
                    "zone": e.record.zone,
                    "state": e.state.value,
                    "open": e.open,
                    "cold": e.is_cold(now()),
                    "unsure": e.unsure,
                    "age_s": round(now() - e.seen_s, 2),
                }
                for e in self.endpoints
            ],
        }

    def _dump_page(self) -> tuple[int, bytes]:
        return 200, msgspec.json.encode(self.dump())

    async def start(self) -> None:
        """Open the listeners and begin to follow the store."""
        host, _, port = self.cfg.callers.rpartition(":")
        await self.front.start(host, int(port))
        await self._listen(
            self.cfg.ready,
            page_front({self.cfg.ready_path: self._ready_page}, self._failed),
        )
        pages = {"/metrics": self._metrics_page, "/state": self._dump_page}
        await self._listen(self.cfg.admin, page_front(pages, self._failed))
        follower = self.follower
        await self._listen(
            self.cfg.peers,
            peer_front(
                follower.relay,
                lambda: follower.sources.age_s,
                self.news,
                self._failed,
            ),
        )
        self._spawn(self.front.sweep())
        self._spawn(self._tick())
        if self._settings is not None:
            self._spawn(self._watch_settings())
        self._spawn(self.follower.run())
        self.log.write("started", zone=self.cfg.zone, callers=self.cfg.callers)

    async def _listen(self, address: str, front: CallerFront) -> None:
        host, _, port = address.rpartition(":")
        await front.start(host, int(port))
        self._spawn(front.sweep())

    def _spawn(self, work) -> None:
        self._tasks.append(asyncio.ensure_future(work))

    async def _tick(self) -> None:
        while True:
            before_s = now()
            await asyncio.sleep(TICK_S)
            self.exchange.sweep()
            late_s = now() - before_s - TICK_S
            if late_s > STOOD_STILL_S:
                self.log.write("stood_still", seconds=round(late_s, 2))
                self.follower.doubt_all()

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_EVERY_S)
            if self._settings.changed():
                self.reload("the file changed")

    def request_stop(self) -> None:
        """Begin the planned stop: callers leave, open calls are finished."""
        if self._stop_s is not None:
            return
        self._stop_s = now()
        self.front.draining = True
        self.log.write("stopping", open=self.front.busy)
        self._spawn(self._stop())

    async def _stop(self) -> None:
        await asyncio.sleep(BALANCER_LEAVES_S)
        await self.front.finish(self._stop_s + self.cfg.grace_s - CLOSE_S)
        self.log.write("stopped", open=self.front.busy)
        self.stopped.set()

    async def run(self) -> None:
        """Serve until the planned stop is complete."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGINT, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload, "a signal")
        await self.start()
        stopped = asyncio.ensure_future(self.stopped.wait())
        await asyncio.wait([stopped, *self._tasks], return_when=asyncio.FIRST_COMPLETED)
        for task in self._tasks:
            if task.done() and not task.cancelled():
                task.result()
        await stopped
        self.close()

    def reload(self, why: str) -> None:
        """Take changed bounds into use; addresses stay until the next start.

        Args:
          why: What asked for it, for the log.
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
        self.selector.configure(cfg)
        self.exchange.configure(cfg)
        self.log.write("reloaded", why=why, changed=changed)

    def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        self.exchange.attempts.pool.close()
        self.follower.sources.close()
