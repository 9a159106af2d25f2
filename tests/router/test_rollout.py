"""Decisions of roll-outs, without a network: exposure, evidence, verdict, phases."""

import random

import msgspec
import pytest

from cranberrysail.router.endpoints import Endpoint, EndpointState
from cranberrysail.router.model import EndpointRecord
from cranberrysail.router.responsetimes import Duration, ResponseTimes
from cranberrysail.router.rollout import Capacity, Rollout
from cranberrysail.router.rolloutevidence import Evidence, Side, bad_reason
from cranberrysail.router.rolloutexchange import CountsMessage
from cranberrysail.router.rolloutmodel import Phase, RolloutBound, RolloutOrder

DURATION_S = 12.0
ORDER = RolloutOrder("s", "v2", DURATION_S)


def make_endpoint(name, version):
    record = EndpointRecord(
        name, 1, 1, "s", "10.0.0.1:80", "a", slots=24, version=version
    )
    return Endpoint(record, EndpointState.READY, 0.0)


OLD = [make_endpoint(f"o{n}", "v1") for n in range(45)]
NEW = [make_endpoint(f"n{n}", "v2") for n in range(45)]


def make_rollout(credit=0.5, router_id=1, zone="a"):
    return Rollout(
        ORDER,
        RolloutBound(),
        Evidence(router_id, zone, DURATION_S),
        0.0,
        frozenset({"v1"}),
        credit,
    )


def sent_to_new(rollout, now_s, usable=OLD[:3] + NEW[:3], is_retry=False, admits=True):
    chosen = rollout.eligible(usable, lambda e: admits, is_retry, now_s)
    versions = {e.record.version for e in chosen}
    assert len(versions) == 1
    return versions == {"v2"}


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("calls", [3, 48, 500])
def test_sum_of_exposures_of_67_routers_keeps_to_the_share(seed, calls):
    """Accumulators that start at 0, or round up, add up to a wrong share."""
    rng = random.Random(seed)
    rollouts = [make_rollout(rng.random()) for _ in range(67)]
    sent = sum(
        sent_to_new(rollout, n / calls) for rollout in rollouts for n in range(calls)
    )
    expected = 0.06 * 67 * calls
    assert abs(sent - expected) <= 20
    assert sent <= 0.1 * 67 * calls + 50


def test_canaries_are_few_and_the_same_at_all_routers():
    """Spread over all new endpoints, a fault under load would stay hidden."""
    names = {
        tuple(e.id for e in make_rollout(router_id=n).canaries(OLD + NEW))
        for n in range(3)
    }
    (canaries,) = names
    assert len(canaries) == round(45 * 0.06)
    shuffled = random.Random(1).sample(NEW, len(NEW))
    assert tuple(e.id for e in make_rollout().canaries(shuffled)) == canaries


def test_retries_go_to_old_endpoints():
    rollout = make_rollout(credit=1.0)
    assert not sent_to_new(rollout, 1.0, is_retry=True)


def test_calls_go_to_old_endpoints_while_new_ones_take_none():
    """A cold limit refused the calls, and all that was owed came at once."""
    rollout = make_rollout(credit=0.0)
    assert not any(sent_to_new(rollout, 1.0, admits=False) for _ in range(200))
    assert sum(sent_to_new(rollout, 2.0) for _ in range(17)) <= 3


def test_version_of_no_order_gets_nothing():
    rollout = make_rollout()
    stray = make_endpoint("x", "v7")
    for phase in (Phase.EXPOSURE, Phase.SHIFT, Phase.STOPPED):
        rollout.advance(phase, 1.0)
        chosen = rollout.eligible([stray, *OLD, *NEW], lambda e: True, False, 5.0)
        assert stray not in chosen


@pytest.mark.parametrize("phase", [Phase.STOPPED, Phase.ROLLED_BACK])
def test_stopped_version_gets_nothing_even_without_old_endpoints(phase):
    rollout = make_rollout()
    rollout.advance(phase, 1.0, "failures")
    assert rollout.eligible(NEW, lambda e: True, False, 2.0) == []


def test_phases_only_rise():
    """News of a slower router, or an older record, undid a final state."""
    rollout = make_rollout()
    assert rollout.advance(Phase.STOPPED, 1.0, "slow")
    assert not rollout.advance(Phase.SHIFT, 2.0)
    assert rollout.advance(Phase.COMPLETED, 3.0)
    assert not rollout.advance(Phase.ROLLED_BACK, 4.0)
    assert rollout.phase is Phase.COMPLETED


def count(evidence, side, good, bad=0, slow=0, route="r"):
    for n in range(good + bad):
        evidence.add_response(route, side, n < bad)
        evidence.add_duration(route, side, n < slow)


def reason(old, new, route="r"):
    evidence = Evidence(1, "a", DURATION_S)
    count(evidence, Side.OLD, **old)
    count(evidence, Side.NEW, **new, route=route)
    evidence.add_up_zone(1.0, 1.0, True)
    return bad_reason(*evidence.total())


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ({"good": 1000}, {"good": 200}, ""),
        ({"good": 1000}, {"good": 10, "bad": 2}, ""),
        ({"good": 1000}, {"good": 10, "bad": 3}, "failures"),
        ({"good": 0}, {"good": 10, "bad": 4}, "failures"),
        ({"good": 900, "bad": 100}, {"good": 90, "bad": 14}, ""),
        ({"good": 900, "bad": 100}, {"good": 60, "bad": 30}, "failures"),
        ({"good": 1000, "slow": 150}, {"good": 40, "slow": 12}, ""),
        ({"good": 1000, "slow": 0}, {"good": 40, "slow": 20}, "slow"),
        ({"good": 100_000}, {"good": 5000, "bad": 5000}, "failures"),
    ],
)
def test_verdict_needs_an_excess_beyond_chance(old, new, expected):
    assert reason(old, new) == expected


def test_version_that_is_bad_on_one_route_only():
    """In the sum over all routes, few failures of one route are lost."""
    evidence = Evidence(1, "a", DURATION_S)
    for number in range(9):
        count(evidence, Side.OLD, 1000, route=f"r{number}")
        count(evidence, Side.NEW, 60, route=f"r{number}")
    count(evidence, Side.NEW, 5, bad=3, route="rare")
    count(evidence, Side.OLD, 100, route="rare")
    evidence.add_up_zone(1.0, 1.0, True)
    assert bad_reason(*evidence.total()) == "failures"


def test_crash_of_one_endpoint_is_no_fault_of_the_version():
    """Its connections end all at once, at all routers."""
    evidence = Evidence(1, "a", DURATION_S)
    count(evidence, Side.NEW, 50)
    for _ in range(40):
        evidence.add_loss(Side.NEW, 3.2)
    evidence.add_up_zone(4.0, 1.0, True)
    assert bad_reason(*evidence.total()) == ""
    evidence.add_loss(Side.NEW, 4.2)
    evidence.add_loss(Side.NEW, 5.2)
    evidence.add_up_zone(6.0, 1.0, True)
    assert bad_reason(*evidence.total()) == "lost connections"


def test_messages_may_be_lost_repeated_and_late():
    """Counts that are added up per message counted some calls twice."""
    first, second = Evidence(1, "a", DURATION_S), Evidence(2, "a", DURATION_S)
    hub = Evidence(3, "a", DURATION_S)
    far = Evidence(4, "b", DURATION_S)
    rng = random.Random(3)
    sent = []
    for step in range(60):
        for evidence in (first, second):
            count(evidence, Side.NEW, 1, bad=step % 2)
            own = evidence.own
            sent.append((evidence._router_id, dict(own.counts), list(own.losses)))
        for router, counts, losses in rng.choices(sent, k=3) + sent[-2:]:
            hub.merge_router(router, counts, losses, evidence.own.gauges)
        hub.add_up_zone(float(step), 1.0, True)
        zone = hub.zones["a"]
        for _ in range(rng.randrange(3)):
            far.merge_zone("a", zone.counts, zone.losses, zone.gauges)
    far.merge_zone("a", zone.counts, zone.losses, zone.gauges)
    expected = first.own.counts + second.own.counts
    assert far.total()[0] == expected


def test_open_calls_of_a_router_that_ended_do_not_count():
    """It could hold up the completion until the deadline."""
    hub = Evidence(1, "a", DURATION_S)
    other = Evidence(2, "a", DURATION_S)
    other.set_open_calls(1.0, 5, 7)
    hub.set_open_calls(1.2, 1, 2)
    hub.merge_router(2, {}, (0, 0), other.own.gauges)
    hub.add_up_zone(1.3, 1.5, True)
    assert hub.open_calls(1.3, 1.5) == (6, 9)
    hub.set_open_calls(4.0, 0, 2)
    hub.add_up_zone(4.0, 1.5, True)
    assert hub.open_calls(4.0, 1.5) == (0, 2)


def run_until(rollout, until_s, capacity, from_s=0.0):
    """Update every 0.1 s with good responses; return the wanted phases with times."""
    wanted = []
    step = 0
    while (now_s := from_s + step / 10) <= until_s:
        count(rollout.evidence, Side.OLD, 10)
        count(rollout.evidence, Side.NEW, step % 2)
        rollout.evidence.set_open_calls(now_s, 0, 20)
        rollout.evidence.add_up_zone(now_s, 1.5, True)
        rollout.update(capacity, now_s)
        phase = rollout.wanted_phase(now_s)
        if not wanted or wanted[-1][1] is not phase:
            wanted.append((now_s, phase))
        if phase is Phase.SHIFT:
            rollout.advance(phase, now_s)
        step += 1
    return wanted


def test_good_version_is_moved_in_time_for_the_store():
    wanted = run_until(make_rollout(), DURATION_S, Capacity(4, 96, 4))
    phases = [phase for _, phase in wanted]
    assert phases == [Phase.EXPOSURE, Phase.SHIFT, Phase.COMPLETED]
    assert wanted[-1][0] < DURATION_S - 2


@pytest.mark.parametrize("warm_slots", [0, 10], ids=["all cold", "too few slots"])
def test_version_that_cannot_carry_the_load_is_not_completed(warm_slots):
    wanted = run_until(make_rollout(), DURATION_S, Capacity(4, warm_slots, 4))
    assert [phase for _, phase in wanted] == [Phase.EXPOSURE, Phase.ROLLED_BACK]
    assert wanted[-1][0] < DURATION_S - 2


def test_new_endpoints_lost_during_the_move_end_it():
    """``completed`` would stop the old endpoints, and nothing were left."""
    rollout = make_rollout()
    run_until(rollout, 7.5, Capacity(4, 96, 4))
    assert rollout.phase is Phase.SHIFT
    wanted = run_until(rollout, DURATION_S, Capacity(1, 0, 4), 7.6)
    assert wanted[-1][1] is Phase.ROLLED_BACK
    assert wanted[-1][0] < DURATION_S - 1


def test_version_that_only_rejects_requests_is_not_good():
    """Without responses there are no failures either."""
    rollout = make_rollout()
    for step in range(100):
        count(rollout.evidence, Side.OLD, 10)
        rollout.evidence.add_up_zone(step / 10, 1.5, True)
        rollout.update(Capacity(4, 96, 4), step / 10)
        assert rollout.wanted_phase(step / 10) is not Phase.SHIFT
    assert rollout.phase is Phase.STOPPED


def test_busy_host_does_not_condemn_a_version():
    """All responses of a canary were slow for 0.6 s, and then none."""
    rollout = make_rollout()
    count(rollout.evidence, Side.OLD, 300, slow=45)
    for step in range(60):
        busy = 10 <= step < 16
        count(rollout.evidence, Side.NEW, 2, slow=2 if busy else 0)
        rollout.evidence.add_up_zone(step / 10, 1.5, True)
        rollout.update(Capacity(4, 96, 4), step / 10)
    assert rollout.phase is Phase.EXPOSURE


def test_durations_are_judged_once_there_are_samples_and_outliers_are_cut():
    times = ResponseTimes()
    assert times.is_slow(Duration.RESPONSE, "s", "r", 9.0) is None
    for _ in range(20):
        times.add(Duration.RESPONSE, "s", "r", 0.06)
    times.add(Duration.RESPONSE, "s", "r", 60.0)
    assert times.is_slow(Duration.RESPONSE, "s", "r", 0.3)
    assert not times.is_slow(Duration.RESPONSE, "s", "r", 0.1)


def test_messages_of_a_large_deployment_are_small():
    """Control may cost a router 5 KB/s, and it exchanges 3.4 times a second."""
    hub = Evidence(1, "zone-a", DURATION_S)
    for zone in ("zone-a", "zone-b", "zone-c", "zone-d"):
        for route in range(5):
            for side in Side:
                count(hub, side, 500, bad=3, slow=20, route=f"route-{route}")
        hub.add_up_zone(9.0, 1.5, True)
        own = hub.zones["zone-a"]
        hub.merge_zone(zone, own.counts, own.losses, own.gauges)
    zones = {name: CountsMessage.of(zone) for name, zone in hub.zones.items()}
    request = msgspec.msgpack.encode(CountsMessage.of(hub.own))
    response = msgspec.msgpack.encode(zones)
    assert (len(request) + len(response) + 200) * 3.4 < 5000


def test_clock_of_a_router_that_starts_does_not_move_the_deadline():
    """A clock that is an hour ahead stopped the order at all routers."""
    running, started = make_rollout(), make_rollout(router_id=2)
    started.estimate_start(-3600.0)
    running.hear_start(started.started_s, started.start_is_estimated)
    assert running.started_s == 0.0
    started.hear_start(running.started_s, running.start_is_estimated)
    assert started.started_s == 0.0
    assert not started.start_is_estimated


def test_router_that_starts_waits_for_others_before_it_stops_an_order():
    rollout = make_rollout()
    rollout.estimate_start(-3600.0)
    assert not rollout.update(Capacity(45, 1080, 45), 0.5)
    assert rollout.update(Capacity(45, 1080, 45), 1.5)
    assert rollout.phase is Phase.STOPPED


def test_endpoints_of_another_version_are_used_where_the_old_ones_are_gone():
    """An order that stands after it was rolled back refused all calls."""
    rollout = make_rollout()
    rollout.advance(Phase.ROLLED_BACK, 1.0)
    other = [make_endpoint("x", "v3")]
    assert rollout.eligible([*other, *NEW], lambda e: True, False, 2.0) == other
    assert rollout.eligible([*other, *OLD], lambda e: True, False, 2.0) == OLD
