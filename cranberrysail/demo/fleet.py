"""A small fleet with simulated services in one process, for the demo and tests."""

import asyncio
import hashlib
import time
import uuid
from dataclasses import dataclass, field

import zmq

from cranberrysail.decisions.events import ListedEndpoint
from cranberrysail.demo.simulated import (
    SimulatedEngine,
    SimulatedPlatform,
    SimulatedService,
)
from cranberrysail.links.platformlog import HttpLog
from cranberrysail.links.tableeditor import TableEditor
from cranberrysail.process import RouterProcess
from cranberrysail.settings import (
    CallerSettings,
    OperatorSettings,
    PeerKeys,
    PeerSettings,
    PlatformSettings,
    Settings,
)
from cranberrysail.tables import (
    Customer,
    Idempotency,
    Pool,
    Route,
    RouteKind,
    Tables,
)

__all__ = ["Fleet", "FleetPlan", "uuid7"]

CHAT_POOL = "servi-modello"
BOOKING_POOL = "gestione-corsi"
REGION = "isola"
TIMESTAMP_SHIFT = 80
VERSION_BITS = 0x7 << 76
VARIANT_BITS = 0x2 << 62
READY_TIMEOUT_S = 15.0


def uuid7() -> str:
    """Return a new UUID of version 7 (RFC 9562)."""
    millis = int(time.time() * 1000)
    random_bits = uuid.uuid4().int
    value = (millis << TIMESTAMP_SHIFT) | VERSION_BITS | VARIANT_BITS
    value |= random_bits & (0xFFF << 64)
    value |= random_bits & ((1 << 62) - 1)
    return str(uuid.UUID(int=value))


@dataclass(frozen=True)
class FleetPlan:
    """Size of a fleet and limits of its engines.

    Attributes:
      zones: Names of the availability zones.
      customers: Names of customers; the API key of each is ``NAME:secret``.
      token_s: Time that an engine needs for each token, in seconds.
    """

    zones: tuple[str, ...] = ("bosco-nord", "vulcano")
    routers_per_zone: int = 2
    engines_per_zone: int = 3
    services_per_zone: int = 1
    customers: tuple[str, ...] = ("guide", "soci")
    engine_max_open: int = 16
    engine_cold_open: int = 2
    token_s: float = 0.005


def demo_tables(plan: FleetPlan) -> Tables:
    """Return the tables of a fleet."""
    return Tables(
        pools={CHAT_POOL: Pool(), BOOKING_POOL: Pool()},
        routes={
            "chat": Route(
                prefix="/v1/chat/completions",
                pool=CHAT_POOL,
                kind=RouteKind.CHAT,
                methods=("POST",),
                idempotency=Idempotency.SAFE,
            ),
            "enrol": Route(
                prefix="/enrolments",
                pool=BOOKING_POOL,
                methods=("POST",),
                idempotency=Idempotency.KEYED,
            ),
            "look-up": Route(
                prefix="/enrolments",
                pool=BOOKING_POOL,
                methods=("GET",),
                idempotency=Idempotency.SAFE,
            ),
        },
        customers={
            name: Customer(
                keys_sha256=(hashlib.sha256(f"{name}:secret".encode()).hexdigest(),)
            )
            for name in plan.customers
        },
    )


@dataclass
class Fleet:
    """Routers, engines, services and the platform, in one process."""

    plan: FleetPlan
    platform: SimulatedPlatform = field(default_factory=SimulatedPlatform)
    routers: list[RouterProcess] = field(default_factory=list)
    engines: dict[str, SimulatedEngine] = field(default_factory=dict)
    services: dict[str, SimulatedService] = field(default_factory=dict)
    keys: PeerKeys | None = None

    async def start(self) -> None:
        """Start all parts and wait until all routers are ready."""
        public, secret = zmq.curve_keypair()
        self.keys = PeerKeys(public=public.decode(), secret=secret.decode())
        await self.platform.start()
        for zone in self.plan.zones:
            await self._start_zone(zone)
        await self.table_editor().publish(demo_tables(self.plan), 0)
        for zone in self.plan.zones:
            for number in range(self.plan.routers_per_zone):
                await self.add_router(f"{zone}-r{number}", zone)
        await self.wait_ready()

    async def _start_zone(self, zone: str) -> None:
        for number in range(self.plan.engines_per_zone):
            engine = SimulatedEngine(self.plan.token_s, self.plan.engine_cold_open)
            name = f"{zone}-e{number}"
            await engine.start()
            self.engines[name] = engine
            self.list_engine(name, zone)
        for number in range(self.plan.services_per_zone):
            service = SimulatedService()
            name = f"{zone}-s{number}"
            await service.start()
            self.services[name] = service
            self.platform.list_host(
                ListedEndpoint(
                    name,
                    f"host-{name}",
                    BOOKING_POOL,
                    zone,
                    REGION,
                    service.address,
                    service.instance,
                    cold_open=16,
                )
            )

    def list_engine(self, name: str, zone: str) -> None:
        """Add an engine to the platform's host list."""
        engine = self.engines[name]
        self.platform.list_host(
            ListedEndpoint(
                name,
                f"host-{name}",
                CHAT_POOL,
                zone,
                REGION,
                engine.address,
                engine.instance,
                max_open=self.plan.engine_max_open,
                cold_open=self.plan.engine_cold_open,
            )
        )

    def settings(self, name: str, zone: str) -> Settings:
        """Return settings for a router that binds any free ports."""
        seeds = tuple(
            router.node.board.address for router in self.routers if router.node
        )
        return Settings(
            name=name,
            zone=zone,
            region=REGION,
            callers=CallerSettings(port=0),
            operators=OperatorSettings(port=0),
            peers=PeerSettings(port=0, seeds=seeds, keys=self.keys),
            platform=PlatformSettings(
                log_url=self.platform.log_url, hosts_url=self.platform.hosts_url
            ),
        )

    async def add_router(self, name: str, zone: str) -> RouterProcess:
        """Start a router and add it to the fleet."""
        router = RouterProcess.from_config(self.settings(name, zone))
        await router.start()
        self.routers.append(router)
        return router

    def table_editor(self) -> TableEditor:
        """Return an editor of the tables in the platform's log."""
        log = HttpLog(self.platform.log_url, 2.0)
        return TableEditor(log)

    async def wait_ready(self) -> None:
        """Wait until the fleet is ready.

        It is ready when all routers know each other and have tables, and each endpoint
        has an owner that has probed it.

        Raises:
          TimeoutError: If that takes longer than READY_TIMEOUT_S.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not self._ready():
                await asyncio.sleep(0.05)

    def _ready(self) -> bool:
        boards = [router.node.board for router in self.routers]
        names = {board.name for board in boards}
        if any(set(board.members) < names for board in boards):
            return False
        if any(not board.tables.routes for board in boards):
            return False
        owned_endpoints = [
            owned for board in boards for owned in board.owned_endpoints.values()
        ]
        probed = {
            owned.listed.name
            for owned in owned_endpoints
            if owned.settled and owned.report
        }
        return probed == set(self.platform.hosts)

    async def stop(self) -> None:
        """Stop all parts at the same time."""
        await asyncio.gather(*(router.close() for router in self.routers))
        parts = [*self.engines.values(), *self.services.values(), self.platform]
        await asyncio.gather(*(part.stop() for part in parts))
