"""Reloads, standstills and errors of a serving router."""

import asyncio
from dataclasses import replace

from cranberrysail.errors import ConfigError
from cranberrysail.router.coldlimit import ColdBound
from cranberrysail.router.config import BaseSettings
from tests.router.virtual import play
from tests.router.world import World, config, plain_answer, request


class MemorySettings(BaseSettings):
    """Settings that a test changes."""

    def __init__(self, cfg):
        self.cfg = cfg
        self.new = False

    def load(self):
        self.new = False
        if self.cfg is None:
            raise ConfigError("test", ["not valid; correct it"])
        return self.cfg

    def changed(self):
        return self.new


def scene(play_it):
    async def main(loop):
        world = World(loop)
        world.publish(config())
        world.add_worker("p0", "plain", plain_answer)
        await world.start()
        return await play_it(world)

    return play(main)


def test_changed_settings_come_into_force():
    async def main(world):
        router = world.router
        settings = MemorySettings(replace(router.cfg, cold=ColdBound(9.0, 9.0)))
        router._settings = settings
        router.reload("a test")
        return router.selector.cold.bound, dict(world.lines)["reloaded"]["changed"]

    assert scene(main) == (ColdBound(9.0, 9.0), ["cold"])


def test_settings_that_are_not_valid_change_nothing():
    async def main(world):
        router = world.router
        before = router.cfg
        router._settings = MemorySettings(None)
        router.reload("a test")
        return router.cfg is before, world.kinds()

    kept, kinds = scene(main)
    assert kept
    assert "settings_rejected" in kinds


def test_after_a_standstill_the_store_is_read_anew():
    async def main(world):
        calls = sum(world.store.calls.values())
        world.loop._virtual_s += 5.0
        await asyncio.sleep(1.0)
        return sum(world.store.calls.values()) - calls, world.kinds()

    calls, kinds = scene(main)
    assert "stood_still" in kinds
    assert calls >= 3


def test_an_error_of_our_own_gets_an_answer_and_a_log_line():
    async def main(world):
        world.router.selector.choose = lambda *args: 1 / 0
        caller = await world.ask(request("/book/1"))
        return caller.status, world.kinds()

    status, kinds = scene(main)
    assert status == 502
    assert "internal_error" in kinds


def test_the_state_is_shown_without_keys():
    async def main(world):
        await world.ask(request("/book/1"))
        return str(world.router.dump()), world.router._metrics_page()

    dump, (status, metrics) = scene(main)
    assert "p0" in dump
    assert "k1" not in dump
    assert status == 200
    assert b"cranberrysail_call_seconds_count 1" in metrics
