"""Statuses of roll-outs in the store over HTTP."""

import asyncio
import json

from cranberrysail.platform.headers import PlatformHeaderCodec
from cranberrysail.platform.records import PlatformDecoder
from cranberrysail.platform.store import PlatformStore
from cranberrysail.router.config import RouterConfig
from cranberrysail.router.process import Router
from cranberrysail.router.rolloutmodel import RolloutBound
from cranberrysail.router.store import Topic
from tests.platform.simulatedstore import SimulatedStore
from tests.router.simulatedfleet import make_config
from tests.router.virtualloop import run_virtual

STORE = ("10.9.0.1", 80)
KEY = "rollout/plain"


async def start_routers(lines):
    routers = []
    for number in range(3):
        host = f"10.0.0.{number + 1}"
        addresses = [f"{host}:{port}" for port in (8000, 8001, 8002)]
        cfg = RouterConfig(
            f"r{number}",
            "a",
            *addresses,
            "store",
            f"{host}:8003",
            rollout=RolloutBound(),
        )
        codecs = (PlatformDecoder(), PlatformHeaderCodec())
        router = Router(cfg, PlatformStore("10.9.0.1:80"), *codecs)
        router.log.write = lambda kind, **f: lines.append(kind)
        routers.append(router)
        await router.start()
    await asyncio.sleep(4.0)
    return routers


def statuses(store):
    return [
        json.loads(value)["state"]
        for key, value in store.records.records(Topic.ROUTERS)
        if key == KEY
    ]


def run(act):
    async def main(loop):
        store = SimulatedStore(loop, STORE)
        document = json.dumps(make_config(1)).encode()
        store.records.append(Topic.OPERATORS, "config", document)
        lines = []
        routers = await start_routers(lines)
        lines.clear()
        order = {"service": "plain", "to": "v2", "duration_s": 12}
        store.records.append(Topic.OPERATORS, KEY, json.dumps(order).encode())
        await act(store)
        await asyncio.sleep(12.0)
        for router in routers:
            router.close()
        return statuses(store), lines

    return run_virtual(main)


def test_statuses_are_written_without_disturbing_the_reads_of_the_topic():
    """A write that used the connection of a waiting read ended that read."""

    async def act(store):
        pass

    states, lines = run(act)
    assert states == ["running", "rolled_back"]
    assert "store_lost" not in lines
    assert "rollout_not_stored" not in lines


def test_records_of_others_between_read_and_write_lead_to_another_read():
    """The store rejects such a write; the status still comes, and only once."""

    async def write_others(store):
        for number in range(200):
            store.records.append(Topic.ROUTERS, f"quarantine/x{number % 3}", b"{}")
            await asyncio.sleep(0.013)

    states, _ = run(write_others)
    assert states == ["running", "rolled_back"]
