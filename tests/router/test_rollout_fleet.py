"""Roll-outs from the order to the final state, with routers in virtual time."""

import asyncio
import json

import pytest

from cranberrysail.router.rolloutmodel import RolloutBound
from cranberrysail.router.store import StoreError, Topic
from tests.router.rolloutscenario import DURATION_S, KEY, Fault, make_scenario
from tests.router.virtualloop import run_virtual

ROUTERS = 8
CALLS_PER_S = 200.0


def roll_out(
    fault=None,
    during=None,
    cold_ms=0,
    after_s=2.0,
    routers=ROUTERS,
    calls_per_s=CALLS_PER_S,
):
    """Run one order; ``during`` acts while it is executed."""

    async def main(loop):
        scenario = make_scenario(loop, fault)
        await scenario.start_routers(routers)
        scenario.start_callers(calls_per_s)
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


def test_67_routers_keep_to_the_share_if_the_fault_appears_last():
    """All calls have just moved, and each of them counts until all routers know.

    Failures waited for the next exchange: 336 of 377 allowed requests were received
    when only part of the calls had moved.
    """
    scenario = roll_out(
        Fault(from_s=8.45), cold_ms=3000, after_s=1.0, routers=67, calls_per_s=270.0
    )
    assert scenario.states == ["running", "rolled_back"]
    received, allowed = scenario.exposure()
    assert received <= allowed
    assert scenario.last_after_bad_s <= 5.0


def from_router(scenario, name, from_s=0.0, to_s=DURATION_S):
    """Return the requests of one router by version."""
    counts = {"v1": 0, "v2": 0}
    for at_s, version, router in scenario.received_from:
        if router == name and from_s <= at_s - scenario.ordered_s < to_s:
            counts[version] += 1
    return counts


def writers_of(scenario):
    """Return the names of the routers in the order in which they write."""
    routers = scenario.world.routers
    return sorted(routers, key=lambda name: routers[name].routers.rank("rollout/plain"))


@pytest.mark.parametrize("fault", [None, Fault()], ids=["good", "bad"])
def test_router_that_is_cut_off_keeps_to_its_share(fault):
    """Its share does not depend on messages, and the others end the order."""
    name = "r6"

    async def cut_off(scenario):
        await asyncio.sleep(0.5)
        scenario.cut_off(name)

    scenario = roll_out(fault, cut_off)
    assert scenario.states[-1] == ("rolled_back" if fault else "completed")
    counts = from_router(scenario, name)
    assert counts["v2"] <= 0.1 * sum(counts.values()) + 1


@pytest.mark.parametrize("fault", [None, Fault(from_s=5.0)], ids=["good", "bad"])
@pytest.mark.parametrize("at_s", [0.0, 4.0, 7.0])
def test_order_ends_although_its_writers_are_killed(fault, at_s):
    """The next router in the order of writers ends it before the deadline."""

    async def kill(scenario):
        await asyncio.sleep(at_s)
        for name in writers_of(scenario)[:2]:
            scenario.kill(name)

    scenario = roll_out(fault, kill)
    assert scenario.states[-1] == ("rolled_back" if fault else "completed")
    assert scenario.final_s < DURATION_S - 1


def test_first_routers_of_zones_may_be_killed():
    """Evidence reaches all others by the next router of the zone."""

    async def kill(scenario):
        await asyncio.sleep(2.0)
        for name, router in list(scenario.world.routers.items()):
            if router.routers.is_first_of_zone:
                scenario.kill(name)

    scenario = roll_out(Fault(from_s=5.0), kill)
    assert scenario.states[-1] == "rolled_back"
    received, allowed = scenario.exposure()
    assert received <= allowed
    after = scenario.received_between(scenario.final_s + 1.5, DURATION_S + 2)
    assert "v2" not in after


def test_bad_version_gets_nothing_while_the_store_is_away():
    """Routers stop by the exchange, and write once the store is back."""

    async def outage(scenario):
        scenario.world.store.away = True
        await asyncio.sleep(8.0)
        scenario.world.store.away = False

    scenario = roll_out(Fault(from_s=2.0), outage)
    assert scenario.states[-1] == "rolled_back"
    received, allowed = scenario.exposure()
    assert received <= allowed
    assert "v2" not in scenario.received_between(5.0, DURATION_S + 2)


def test_good_version_is_not_completed_without_the_store():
    """Calls stay where they were, as nobody may stop the old endpoints."""

    async def outage(scenario):
        await asyncio.sleep(2.0)
        scenario.world.store.away = True

    scenario = roll_out(None, outage)
    assert scenario.states == ["running"]
    assert set(scenario.results) == {200}
    received, allowed = scenario.exposure()
    assert received <= allowed


def test_slow_store_and_lost_acknowledgements_do_not_delay_the_end():
    """A write whose response was lost is found by the next read."""

    async def lose(scenario):
        for router in scenario.world.routers.values():
            store = router.follower.sources.store
            append_at = store.append_at

            async def append_and_fail(*args, append_at=append_at):
                await asyncio.sleep(0.4)
                await append_at(*args)
                raise StoreError("the connection was lost")

            store.append_at = append_and_fail

    scenario = roll_out(None, lose)
    assert scenario.states == ["running", "completed"]
    assert scenario.final_s < DURATION_S - 1


@pytest.mark.parametrize("fault", [None, Fault(from_s=5.0)], ids=["good", "bad"])
def test_router_that_starts_midway_takes_part(fault):
    """It takes the start of the order and the old versions from the status."""

    async def start(scenario):
        await asyncio.sleep(2.5)
        scenario.hosts["r99"] = "10.0.0.99"
        await scenario.world.start_router(
            1.0, "r99", "10.0.0.99", rollout=RolloutBound()
        )
        rollout = scenario.world.routers["r99"].rollouts.active()["plain"]
        assert rollout.old_versions == {"v1"}
        started_s = rollout.started_s - scenario.ordered_s
        assert started_s == pytest.approx(0.0, abs=0.5)

    scenario = roll_out(fault, start)
    assert scenario.states[-1] == ("rolled_back" if fault else "completed")
    last = from_router(scenario, "r99", scenario.final_s + 1.0, DURATION_S + 2)
    assert last["v1" if fault is None else "v2"] == 0


def run_orders(act):
    """Run a scenario without an order of its own."""

    async def main(loop):
        scenario = make_scenario(loop)
        await scenario.start_routers(4)
        scenario.start_callers(100.0)
        await asyncio.sleep(3.0)
        await act(scenario)
        scenario.stop()
        return scenario

    return run_virtual(main)


@pytest.mark.parametrize("service", ["plain", "unknown"])
def test_order_for_nothing_is_rolled_back(service):
    """The service does not exist, or the version never comes."""

    async def order(scenario):
        scenario.order("v9", service)
        await asyncio.sleep(DURATION_S)

    scenario = run_orders(order)
    assert scenario.states == ["running", "rolled_back"]
    assert scenario.final_s < DURATION_S - 1
    assert set(scenario.results) == {200}
    assert "rollout_ordered" in scenario.world.log_kinds()


def test_two_orders_in_a_row():
    """The second is not ended by the status of the first, whose version stays out."""

    async def order(scenario):
        scenario.fault = Fault()
        scenario.order("v2")
        scenario.add_workers("v2", 4)
        await asyncio.sleep(6.0)
        assert scenario.states == ["running", "rolled_back"]
        scenario.fault = None
        scenario.order("v3")
        scenario.add_workers("v3", 4)
        await asyncio.sleep(DURATION_S)

    scenario = run_orders(order)
    assert scenario.states == ["running", "rolled_back", "running", "completed"]
    assert scenario.statuses[-1][1]["to"] == "v3"
    assert "v2" not in scenario.received_between(0.0, DURATION_S)


def test_order_that_was_rolled_back_may_be_given_again():
    """Its content is the same, so only the new record shows that it is new."""

    async def order(scenario):
        scenario.fault = Fault()
        scenario.order("v2")
        scenario.add_workers("v2", 4)
        await asyncio.sleep(6.0)
        scenario.fault = None
        scenario.order("v2")
        await asyncio.sleep(DURATION_S)

    scenario = run_orders(order)
    assert scenario.states == ["running", "rolled_back", "running", "completed"]


def test_old_order_that_a_restored_store_shows_again_is_not_executed():
    """What operators write again after a restore undid a final state."""

    async def order(scenario):
        scenario.fault = Fault()
        scenario.order("v2")
        scenario.add_workers("v2", 4)
        await asyncio.sleep(6.0)
        store = scenario.world.store
        store.restore(store.copy())
        await asyncio.sleep(1.0)
        scenario.order("v2")
        await asyncio.sleep(6.0)

    scenario = run_orders(order)
    assert scenario.states == ["running", "rolled_back"]
    assert "v2" not in scenario.received_between(0.0, 6.0)


def test_version_that_appears_before_its_order_is_read_gets_no_calls():
    """Endpoints of a bad version had all calls until the order was read."""

    async def order(scenario):
        scenario.ordered_s = scenario.world.loop.time()
        scenario.add_workers("v2", 4)
        await asyncio.sleep(1.4)
        assert "v2" not in scenario.received_between(0.0, 1.4)
        await asyncio.sleep(2.0)
        assert "v2" in scenario.received_between(0.0, 3.4)

    run_orders(order)


def test_order_may_be_given_again_after_it_was_withdrawn():
    """The final state of the first execution does not end the second one."""

    async def order(scenario):
        scenario.fault = Fault()
        scenario.order("v2")
        scenario.add_workers("v2", 4)
        await asyncio.sleep(6.0)
        scenario.fault = None
        scenario.world.store.append(Topic.OPERATORS, KEY, None)
        await asyncio.sleep(3.0)
        scenario.order("v2")
        await asyncio.sleep(DURATION_S)

    scenario = run_orders(order)
    assert scenario.states == ["running", "rolled_back", "running", "completed"]


@pytest.mark.parametrize("change", ["withdrawn", "changed"])
def test_order_that_is_withdrawn_or_changed(change):
    """The version gets no more calls; a new order is executed from its start."""

    async def order(scenario):
        scenario.order("v2")
        scenario.add_workers("v2", 4)
        await asyncio.sleep(4.0)
        if change == "changed":
            scenario.order("v3")
            scenario.add_workers("v3", 4)
        else:
            scenario.world.store.append(Topic.OPERATORS, KEY, None)
            scenario.ordered_s = scenario.world.loop.time()
        await asyncio.sleep(DURATION_S)

    scenario = run_orders(order)
    changed = change == "changed"
    assert scenario.states[-1] == ("completed" if changed else "rolled_back")
    assert "v2" not in scenario.received_between(1.5, DURATION_S)


def test_final_state_is_written_again_after_the_store_was_restored():
    """A copy from before the end lacks the final state, and may lack the order."""

    async def order(scenario):
        copy_before = scenario.world.store.copy()
        scenario.order("v2")
        scenario.add_workers("v2", 4)
        await asyncio.sleep(DURATION_S)
        assert scenario.states[-1] == "completed"
        lost = scenario.world.store.restore(
            {**scenario.world.store.copy(), Topic.ROUTERS: copy_before[Topic.ROUTERS]}
        )
        assert lost[Topic.ROUTERS]
        await asyncio.sleep(12.0)
        statuses = [
            json.loads(value)["state"]
            for key, value in scenario.world.store.records(Topic.ROUTERS)
            if key == KEY
        ]
        assert statuses[-1] == "completed"
        assert "rolled_back" not in statuses

    run_orders(order)
