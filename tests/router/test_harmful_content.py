"""Tests that content on which engines crash does not reach one after the other."""

import asyncio

import pytest

from tests.router.harmfulcontent import (
    MAX_LATER_CALLS,
    HarmfulContent,
    Setting,
)
from tests.router.randomharmfulcontent import RandomHarmfulContent, random_setting
from tests.router.simulatedfleet import SimulatedFleet, make_config, make_request
from tests.router.virtualloop import run_virtual

CASES = {
    "slow": Setting(),
    "two-attempts": Setting(attempts=2),
    "rapid": Setting(routers=12, interval_s=0.12),
    "rapid-two-attempts": Setting(routers=12, interval_s=0.12, attempts=2),
    "all-restarted": Setting(restart_at_s=20.0, duration_s=40.0),
    "restarted-in-turn": Setting(routers=6, zones=3, restarts_one_by_one=True),
    "every-three-seconds": Setting(interval_s=3.0, duration_s=60.0),
    "with-companions": Setting(companions=2),
    "crashes-by-chance-too": Setting(routers=6, random_crashes_per_s=1.0),
    "head-then-crash": Setting(writes_before_crash="head", attempts=2, renames=True),
    "unframed-head-then-crash": Setting(writes_before_crash="head", framed=False),
    "part-of-event-then-reset": Setting(
        writes_before_crash="event", resets=True, attempts=2
    ),
    "unframed-event-then-close": Setting(
        writes_before_crash="event", framed=False, renames=True
    ),
    "rare-sound-parts": Setting(
        routers=30, zones=5, interval_s=0.12, sound_parts=2000, sound_calls_per_s=60.0
    ),
    "few-engines": Setting(
        routers=12, engines=5, interval_s=0.12, sound_parts=600, duration_s=20.0
    ),
    "several-parts": Setting(harmful_parts=5),
    "part-that-was-sound": Setting(turns=True, sound_calls_per_s=60.0),
    "195-routers": Setting(
        routers=195, zones=5, engines=40, interval_s=0.3, duration_s=20.0
    ),
}


def play(setting):
    return run_virtual(lambda loop: HarmfulContent(loop, setting).run())


@pytest.mark.parametrize("case", CASES)
def test_engines_do_not_crash_one_after_the_other_on_the_same_content(case):
    scenario = play(CASES[case])
    assert scenario.later_calls <= MAX_LATER_CALLS, scenario.summary()


@pytest.mark.parametrize("case", CASES)
def test_sound_calls_are_not_refused_with_the_content_that_crashes_engines(case):
    scenario = play(CASES[case])
    assert scenario.keeps_sound_calls(), scenario.summary()


# In the last one, crashes by chance are as frequent as those on the content.
@pytest.mark.parametrize("seed", [*range(12), 742])
def test_engines_do_not_crash_one_after_the_other_beside_other_troubles(seed):
    setting = random_setting(seed)
    scenario = run_virtual(lambda loop: RandomHarmfulContent(loop, setting).run())
    assert scenario.later_calls <= MAX_LATER_CALLS, scenario.summary()
    assert scenario.keeps_sound_calls(), scenario.summary()


@pytest.mark.parametrize("sound_parts", [7, 600])
def test_calls_are_not_refused_after_engines_that_crashed_on_all_calls_are_well(
    sound_parts,
):
    setting = Setting(
        harmful=False, broken_s=(5.0, 12.0), sound_parts=sound_parts, duration_s=30.0
    )
    scenario = play(setting)
    # Engines are back 2.5 s later, and suspected content is tried within 7 s.
    assert not scenario.refused_sound(12.0 + 2.5 + 7.0), scenario.summary()


@pytest.mark.parametrize("sound_parts", [7, 600])
def test_calls_are_not_refused_after_many_engines_crashed_at_once(sound_parts):
    setting = Setting(
        harmful=False,
        simultaneous_s=5.0,
        sound_parts=sound_parts,
        sound_calls_per_s=200.0,
        duration_s=12.0,
    )
    scenario = play(setting)
    assert not scenario.refused_sound(), scenario.summary()


@pytest.mark.parametrize("seed", range(3))
def test_sound_calls_are_served_while_engines_crash_by_chance(seed):
    scenario = play(
        Setting(harmful=False, random_crashes_per_s=1.4, seed=seed, duration_s=20.0)
    )
    assert scenario.random_crashes >= 14
    lost = [c for c in scenario.calls if c.sent_s < 15.0 and c.status != 200]
    assert all(scenario.counts[c.attempt] == 2 for c in lost), lost


def end_worker(worker):
    """End a worker with all its connections."""
    host, _, port = worker.address.partition(":")
    asyncio.get_running_loop().servers.pop((host, int(port)), None)
    for conn in worker.conns:
        conn.transport.abort()


async def repeat_request(loop, endpoints, repeats):
    """Repeat one request on which plain endpoints crash; return those that did."""
    fleet = SimulatedFleet(loop)
    crashed = []

    async def answer(conn, received):
        await asyncio.sleep(0.05)
        if received.body == b"harmful":
            crashed.append(conn.worker.name)
            end_worker(conn.worker)
        else:
            conn.reply(200, "Cranberrysail-Response-Seal: s\r\n", b"fine", None)

    fleet.write_config(make_config())
    for number in range(endpoints):
        fleet.add_worker(f"p{number}", "plain", answer)
    await fleet.start_router()
    statuses = []
    for number in range(repeats):
        request = make_request("/look/x", f"a{number}", b"harmful")
        statuses.append((await fleet.send_and_wait(request)).status)
        other = make_request("/look/x", f"b{number}", b"sound")
        assert (await fleet.send_and_wait(other)).status == 200
        await asyncio.sleep(0.3)
    return crashed, statuses


def test_repeated_request_does_not_crash_one_plain_endpoint_after_the_other():
    crashed, statuses = run_virtual(lambda loop: repeat_request(loop, 12, 20))
    assert len(crashed) <= 3
    # Only a request that reached no endpoint is refused as not run.
    assert statuses[0] == 502
    assert statuses[-1] == 503
