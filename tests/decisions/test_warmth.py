"""The state machine of an endpoint."""

from cranberrysail.decisions.warmth import Warmth, WarmthState


def heard(open_calls=0):
    warmth = Warmth(cold=2, capacity=16)
    warmth.heard("i1", True, open_calls, 0.0)
    return warmth


def succeed(warmth, count, first_ms=50):
    for _ in range(count):
        warmth.succeeded(first_ms, 1.0)


def test_nothing_is_admitted_before_the_endpoint_is_heard():
    assert Warmth(cold=2, capacity=16).limit() == 0


def test_a_cold_endpoint_grows_with_success_until_it_is_warm():
    warmth = heard()
    limits = [warmth.limit()]
    for _ in range(14):
        succeed(warmth, 1)
        limits.append(warmth.limit())
    assert limits[0] == 2
    assert limits == sorted(limits)
    assert warmth.state is WarmthState.WARM


def test_a_new_instance_turns_it_cold_whatever_it_held():
    warmth = heard(open_calls=16)
    assert warmth.state is WarmthState.WARM
    warmth.heard("i2", True, 10, 5.0)
    assert warmth.limit() == 2
    assert warmth.evidence == "new instance"


def test_a_first_report_counts_what_the_endpoint_evidently_bears():
    assert heard(open_calls=9).limit() == 9


def test_a_broken_connection_turns_it_cold():
    warmth = heard(open_calls=16)
    warmth.broken(1.0)
    assert warmth.limit() == 2


def test_slow_first_bytes_in_a_row_turn_it_cold():
    warmth = heard(open_calls=16)
    succeed(warmth, 5)
    succeed(warmth, 2, first_ms=2000)
    assert warmth.state is WarmthState.WARM
    succeed(warmth, 1, first_ms=2000)
    assert warmth.state is WarmthState.COLD


def test_silence_ends_admission_and_an_answer_begins_anew():
    warmth = heard(open_calls=16)
    warmth.silence("no answer to probes")
    assert warmth.limit() == 0
    warmth.heard("i1", True, 0, 9.0)
    assert warmth.limit() == 2


def test_a_flapping_endpoint_needs_more_successes():
    warmth = heard()
    for number in range(3):
        warmth.broken(float(number))
    succeed(warmth, 2)
    assert warmth.limit() == 2
    succeed(warmth, 10)
    assert warmth.limit() == 4


def test_not_ready_is_silence():
    warmth = heard(open_calls=16)
    warmth.heard("i1", False, 0, 1.0)
    assert warmth.limit() == 0


def test_a_state_that_was_never_heard_is_not_adopted():
    warmth = Warmth(cold=2, capacity=16)
    warmth.adopt("", WarmthState.WARM, 16)
    assert warmth.limit() == 0


def test_a_warm_state_is_adopted_until_the_endpoint_says_otherwise():
    warmth = Warmth(cold=2, capacity=16)
    warmth.adopt("i1", WarmthState.WARM, 16)
    assert warmth.limit() == 16
    warmth.heard("i1", True, 0, 1.0)
    assert warmth.limit() == 16
    warmth.heard("i2", True, 0, 2.0)
    assert warmth.limit() == 2
