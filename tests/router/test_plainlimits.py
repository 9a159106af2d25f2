"""Which calls to a pressed plain service are refused."""

import pytest

from cranberrysail.router.plainlimits import (
    FULL_CALLS_PER_SLOT,
    MIN_PRESSED_CALLS_PER_SLOT,
    refused_fraction,
    retry_pause_s,
)

WORK_S = 0.075
LOADS = [n / 10 for n in range(60)]


def fraction(load, age_s=0.4, excess=1.0, priority=2):
    return refused_fraction(load, age_s, WORK_S, excess, priority)


@pytest.mark.parametrize("age_s", [0.0, 0.1, 0.4, 10.0])
@pytest.mark.parametrize("excess", [0.1, 1.0, 10.0])
def test_nothing_is_refused_while_slots_are_free(age_s, excess):
    assert fraction(1.0, age_s, excess) == 0.0
    assert fraction(MIN_PRESSED_CALLS_PER_SLOT, age_s, excess) == 0.0


def test_fraction_grows_with_the_load_to_all_calls():
    fractions = [fraction(load) for load in LOADS]
    assert fractions == sorted(fractions)
    assert fraction(FULL_CALLS_PER_SLOT) == 1.0


def test_calls_are_refused_from_a_smaller_queue_by_older_reports():
    assert fraction(3.0, age_s=0.05) == 0.0
    assert fraction(3.0, age_s=0.4) > 0.3


def test_less_urgent_calls_are_refused_no_less_often():
    for load in LOADS:
        fractions = [fraction(load, priority=p) for p in range(10)]
        assert fractions == sorted(fractions)


def test_customers_above_their_share_are_refused_more_often():
    for load in LOADS:
        fractions = [fraction(load, excess=e) for e in (0.2, 0.5, 1.0, 1.5, 2.0, 8.0)]
        assert fractions == sorted(fractions)


def test_declined_call_goes_on_at_once_where_others_have_room():
    assert retry_pause_s(2.0, WORK_S, 1.0) == 0.0


def test_declined_call_waits_where_all_are_full_and_is_not_held_in_vain():
    assert retry_pause_s(5.0, WORK_S, 1.0) == WORK_S
    assert retry_pause_s(5.0, WORK_S, 0.2) is None
