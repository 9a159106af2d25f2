"""Roll-outs from the order to the final state, with routers in virtual time."""

import asyncio

import pytest

from tests.router.rolloutscenario import DURATION_S, Fault, make_scenario
from tests.router.virtualloop import run_virtual

ROUTERS = 8
CALLS_PER_S = 200.0


def roll_out(fault=None, during=None, cold_ms=0, after_s=2.0):
    """Run one order; ``during`` acts while it is executed."""

    async def main(loop):
        scenario = make_scenario(loop, fault)
        await scenario.start_routers(ROUTERS)
        scenario.start_callers(CALLS_PER_S)
        await asyncio.sleep(4.0)
        scenario.order()
        await asyncio.sleep(0.5)
        scenario.add_workers("v2", 4, cold_ms)
        if during is not None:
            await during(scenario)
        end_s = scenario.ordered_s + DURATION_S + after_s
        await asyncio.sleep(max(0.0, end_s - loop.time()))
        scenario.stop()
        return scenario

    return run_virtual(main)


def test_good_version_is_completed_before_the_deadline():
    """All calls move, none is lost, and no old endpoint is in use at the end."""
    scenario = roll_out()
    assert scenario.states == ["running", "completed"]
    assert scenario.final_s < DURATION_S - 1
    assert set(scenario.results) == {200}
    after = scenario.received_between(scenario.final_s - 0.05, DURATION_S + 1)
    assert set(after) == {"v2"}


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(Fault(), id="at once"),
        pytest.param(Fault(from_s=5.0), id="late"),
        pytest.param(Fault(path="/book/1", share=0.5), id="on one route"),
        pytest.param(Fault(slowdown=5.0, share=0.6), id="slow only"),
        pytest.param(Fault(from_s=7.8, share=0.5), id="when all calls move"),
        pytest.param(Fault(min_open=2, share=0.7), id="under load"),
    ],
)
def test_bad_version_is_rolled_back(fault):
    """A bad version stayed within its share, and got nothing soon after."""
    scenario = roll_out(fault)
    assert scenario.states == ["running", "rolled_back"]
    assert scenario.final_s < DURATION_S - 1
    received, allowed = scenario.exposure()
    assert received <= allowed
    assert scenario.last_after_bad_s <= 5.0
    after = scenario.received_between(scenario.final_s + 1.0, DURATION_S + 2)
    assert "v2" not in after
