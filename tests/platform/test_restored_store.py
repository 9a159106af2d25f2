"""Routers that read a restored store over HTTP."""

import asyncio
import json

import pytest

from cranberrysail.platform.headers import PlatformHeaderCodec
from cranberrysail.platform.records import PlatformDecoder
from cranberrysail.platform.store import PlatformStore
from cranberrysail.router.config import RouterConfig
from cranberrysail.router.process import Router
from cranberrysail.router.store import Topic
from tests.platform.simulatedstore import SimulatedStore
from tests.router.simulatedfleet import make_config
from tests.router.virtualloop import run_virtual

STORE = ("10.9.0.1", 80)
HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


def write_config(store, version):
    document = json.dumps(make_config(version)).encode()
    store.records.append(Topic.OPERATORS, "config", document)


async def start_routers():
    routers = []
    for number, host in enumerate(HOSTS):
        addresses = [f"{host}:{port}" for port in (8000, 8001, 8002)]
        cfg = RouterConfig(f"r{number}", "a", *addresses, "store", f"{host}:8003")
        codecs = (PlatformDecoder(), PlatformHeaderCodec())
        routers.append(Router(cfg, PlatformStore("10.9.0.1:80"), *codecs))
        await routers[-1].start()
    await asyncio.sleep(4.0)
    return routers


@pytest.mark.parametrize("away_s", [0.0, 0.3, 2.0])
@pytest.mark.parametrize("written", [1, 2, 4])
def test_tables_written_after_a_restore_are_in_force_in_time(away_s, written):
    async def main(loop):
        store = SimulatedStore(loop, STORE)
        write_config(store, 1)
        routers = await start_routers()
        copy = store.records.copy()
        write_config(store, 2)
        write_config(store, 3)
        await asyncio.sleep(1.5)
        store.away = True
        await asyncio.sleep(away_s)
        store.restore(copy)
        for version in range(4, 4 + written):
            write_config(store, version)
        store.away = False
        await asyncio.sleep(2.0)
        eras = [router.follower.sources.store.era.number for router in routers]
        registered = {key for key, _ in store.records.records(Topic.ROUTERS)}
        versions = [router.routing_state.tables.version for router in routers]
        for router in routers:
            router.close()
        return versions, eras, registered

    versions, eras, registered = run_virtual(main)
    assert versions == [3 + written] * 3
    assert eras == [2] * 3
    assert registered == {"r0", "r1", "r2"}
