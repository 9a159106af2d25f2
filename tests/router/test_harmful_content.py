"""Tests that content on which engines crash does not reach one after the other."""

import pytest

from tests.router.harmfulcontent import (
    MAX_LATER_CALLS,
    MIN_SOUND_SHARE,
    STABILITY_WINDOW_S,
    HarmfulContent,
    Setting,
)
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
    from_s = scenario.fatal_s + 2 * STABILITY_WINDOW_S
    before = scenario.sound_share(0.0, scenario.setting.first_s)
    during = scenario.sound_share(from_s, scenario.setting.duration_s)
    assert during >= MIN_SOUND_SHARE * before, scenario.summary()


@pytest.mark.parametrize("seed", range(3))
def test_sound_calls_are_served_while_engines_crash_by_chance(seed):
    scenario = play(
        Setting(harmful=False, random_crashes_per_s=1.4, seed=seed, duration_s=20.0)
    )
    assert scenario.random_crashes >= 14
    lost = [c for c in scenario.calls if c.sent_s < 15.0 and c.status != 200]
    assert all(scenario.counts[c.attempt] == 2 for c in lost), lost
