"""What the directory believes of endpoints."""

from cranberrysail.router.endpoints import EndpointDirectory
from cranberrysail.router.model import EndpointRecord

COLD_S = 3.0


def record(name="e", born=1, count=1, **changes):
    fields = {"service": "s", "address": "10.0.0.9:80", "zone": "a", "slots": 8}
    return EndpointRecord(name, born, count, **(fields | changes))


def directory():
    made = EndpointDirectory()
    made.declare(record(), 0.0)
    return made, made.get("e")


def test_a_broken_connection_makes_an_endpoint_count_as_cold():
    made, endpoint = directory()
    made.broke(endpoint, 10.0, "reset")
    assert endpoint.is_cold(10.0)
    assert endpoint.is_cold(60.0)


def test_an_endpoint_that_answers_and_declares_no_start_is_warm_again():
    """Found by explaining a log: entries change only when the endpoint does."""
    made, endpoint = directory()
    made.broke(endpoint, 10.0, "reset")
    made.answered(endpoint, 12.0, COLD_S)
    assert endpoint.is_cold(14.0)
    assert not endpoint.is_cold(15.5)


def test_a_second_break_begins_the_doubt_anew():
    made, endpoint = directory()
    made.broke(endpoint, 10.0, "reset")
    made.answered(endpoint, 11.0, COLD_S)
    made.broke(endpoint, 12.0, "reset")
    assert endpoint.is_cold(20.0)


def test_a_declaration_ends_the_doubt():
    made, endpoint = directory()
    made.broke(endpoint, 10.0, "reset")
    made.declare(record(count=2), 10.5)
    assert not endpoint.is_cold(10.5)


def test_a_cold_endpoint_is_warm_after_the_time_it_declared():
    made = EndpointDirectory()
    made.declare(record(cold_s=3.0), 0.0)
    assert made.get("e").is_cold(2.9)
    assert not made.get("e").is_cold(3.1)


def test_a_restart_under_the_same_id_is_a_new_incarnation():
    made, old = directory()
    made.declare(record(born=2, cold_s=3.0), 5.0)
    new = made.get("e")
    assert new is not old
    assert new.is_cold(6.0)
    made.broke(old, 6.0, "late news of the old one")
    assert not new.unsure


def test_an_address_that_another_endpoint_has_is_not_used():
    made, endpoint = directory()
    made.displaced(endpoint, 1.0)
    assert made.usable("s") == []


def test_an_endpoint_that_breaks_again_is_spared_longer_until_it_answers():
    made, endpoint = directory()
    times = []
    for number in range(5):
        made.broke(endpoint, 100.0 * number, "reset")
        times.append(endpoint.avoid_until_s - 100.0 * number)
    assert times == [1.0, 2.0, 3.0, 3.0, 3.0]
    made.answered(endpoint, 600.0, COLD_S)
    assert endpoint.avoid_until_s == 0.0


def test_one_call_at_a_time_tries_an_endpoint_that_was_spared():
    made, endpoint = directory()
    made.broke(endpoint, 10.0, "reset")
    made.chosen(endpoint, 11.5)
    assert endpoint.avoid_until_s > 11.5


def test_a_zone_of_which_half_cannot_be_reached_is_doubtful():
    made = EndpointDirectory()
    for number in range(4):
        made.declare(record(f"e{number}", zone="b"), 0.0)
    made.declare(record("other"), 0.0)
    made.broke(made.get("e0"), 10.0, "reset")
    made.broke(made.get("other"), 10.0, "reset")
    assert made.doubtful_zones(10.0) == set()
    made.broke(made.get("e1"), 10.0, "reset")
    assert made.doubtful_zones(10.5) == {"b"}
    assert made.doubtful_zones(12.0) == set()
