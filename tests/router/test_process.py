"""Reloads, suspensions, internal errors and state dumps of a router."""

import asyncio
from dataclasses import replace

import pytest

from cranberrysail.errors import ConfigError
from cranberrysail.router.coldlimit import ColdBound
from cranberrysail.router.config import BaseSettingsSource
from cranberrysail.router.explain import explain_request
from cranberrysail.router.httpstore import HttpStoreClient
from cranberrysail.router.store import StoreError
from tests.router.simulatedfleet import (
    SimulatedFleet,
    make_config,
    make_request,
    plain_answer,
)
from tests.router.virtualloop import run_virtual


class MemorySettings(BaseSettingsSource):
    """Settings that a test sets directly."""

    def __init__(self, cfg):
        self.cfg = cfg
        self.has_changed = False

    def load(self):
        self.has_changed = False
        if self.cfg is None:
            raise ConfigError("test", ["the settings are not valid"])
        return self.cfg

    def changed(self):
        return self.has_changed


def run_with_router(scenario):
    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        world.add_worker("p0", "plain", plain_answer)
        await world.start_router()
        return await scenario(world)

    return run_virtual(main)


def test_reload_applies_changed_settings():
    async def main(world):
        router = world.router
        settings = MemorySettings(replace(router.cfg, cold=ColdBound(9.0, 9.0)))
        router._settings = settings
        router.reload("a test")
        return router.selector.cold_limiter.bound, dict(world.log_lines)["reloaded"][
            "changed"
        ]

    assert run_with_router(main) == (ColdBound(9.0, 9.0), ["cold"])


def test_reload_rejects_invalid_settings():
    async def main(world):
        router = world.router
        original = router.cfg
        router._settings = MemorySettings(None)
        router.reload("a test")
        return router.cfg is original, world.log_kinds()

    unchanged, kinds = run_with_router(main)
    assert unchanged
    assert "settings_rejected" in kinds


def test_all_topics_are_read_again_after_suspension():
    async def main(world):
        requests_before = sum(world.store.request_counts.values())
        world.loop._virtual_s += 5.0
        await asyncio.sleep(1.0)
        return sum(
            world.store.request_counts.values()
        ) - requests_before, world.log_kinds()

    calls, kinds = run_with_router(main)
    assert "stood_still" in kinds
    assert calls >= 3


def test_internal_error_is_answered_and_logged():
    async def main(world):
        world.router.selector.choose = lambda *args: 1 / 0
        caller = await world.send_and_wait(make_request("/book/1"))
        return caller.status, world.log_kinds()

    status, kinds = run_with_router(main)
    assert status == 502
    assert "internal_error" in kinds


def test_state_dump_contains_no_api_keys():
    async def main(world):
        await world.send_and_wait(make_request("/book/1"))
        return str(world.router.dump()), world.router._metrics_page()

    dump, (status, metrics) = run_with_router(main)
    assert "p0" in dump
    assert "k1" not in dump
    assert status == 200
    assert b"cranberrysail_call_seconds_count 1" in metrics


async def quarantine_content(world):
    """Let a request be quarantined, and return the id of its content."""

    async def answer(conn, received):
        await asyncio.sleep(0.05)
        if received.body == b"sound":
            await plain_answer(conn, received)
            return
        host, _, port = conn.worker.address.partition(":")
        asyncio.get_running_loop().servers.pop((host, int(port)), None)
        for other in conn.worker.conns:
            other.transport.abort()

    for number in range(1, 6):
        world.add_worker(f"p{number}", "plain", answer)
    world.workers["p0"].answer = answer
    await asyncio.sleep(1.0)
    for number in range(8):
        for body in (b"harmful", b"sound"):
            request = make_request("/look/", f"{body.decode()}{number}", body)
            await world.send_and_wait(request)
        await asyncio.sleep(0.7)
    (entry,) = world.router.dump()["quarantine"]
    return entry


def test_state_metrics_and_explanation_tell_of_quarantined_content():
    async def main(world):
        entry = await quarantine_content(world)
        lines = [
            {"at": 0.0, "router": "r1", "kind": kind, **fields}
            for kind, fields in world.log_lines
        ]
        return (
            entry,
            world.router._metrics_page()[1],
            explain_request(lines, "harmful7"),
        )

    entry, metrics, explanation = run_with_router(main)
    assert entry["stage"] == "quarantined"
    assert entry["crashes"] == 3
    assert b"cranberrysail_content_quarantined 1\n" in metrics
    assert b'content_refusals_total{kind="quarantined"}' in metrics
    assert b'endpoint_crashes_total{kind="plain"} 3' in metrics
    text = "\n".join(explanation)
    assert f"not sent: content {entry['content']} is quarantined" in text
    assert "3 endpoints crashed" in text


def test_operator_lifts_a_quarantine_at_any_router():
    async def main(world):
        entry = await quarantine_content(world)
        client = HttpStoreClient(world.router.cfg.admin, 1.0)
        body = entry["content"].encode()
        await client.request("admin", "POST", "/quarantine/lift", body, 1.0)
        return world.router.dump()["quarantine"]

    assert run_with_router(main) == []


def test_quarantine_is_not_lifted_by_a_request_that_only_reads():
    async def main(world):
        await quarantine_content(world)
        client = HttpStoreClient(world.router.cfg.admin, 1.0)
        with pytest.raises(StoreError, match="405"):
            await client.request("admin", "GET", "/quarantine/lift", b"", 1.0)
        return world.router.dump()["quarantine"]

    assert run_with_router(main)
