"""A customer exceeds its share by a burst, not by being large as usual."""

from cranberrysail.router.customershares import CustomerShares

CUSTOMERS = [f"c{n}" for n in range(10)]


def use(shares, rates, from_s, until_s, work=1.0):
    """Record calls at fixed rates, of which each customer has a multiple of 0.5/s."""
    now = from_s
    while now < until_s:
        for customer, rate in rates.items():
            shares.record("s", customer, work * rate * 0.5 * 0.2, now)
        now += 0.2
    return now


def test_customers_with_equal_use_have_their_shares():
    shares = CustomerShares()
    now = use(shares, dict.fromkeys(CUSTOMERS, 1.0), 0.0, 60.0)
    assert all(0.9 < shares.excess("s", c, now) < 1.1 for c in CUSTOMERS)


def test_burst_exceeds_the_share_and_the_others_fall_below_theirs():
    shares = CustomerShares()
    now = use(shares, dict.fromkeys(CUSTOMERS, 1.0), 0.0, 60.0)
    now = use(shares, dict.fromkeys(CUSTOMERS, 1.0) | {"c0": 8.0}, now, now + 5.0)
    assert shares.excess("s", "c0", now) > 2.0
    assert all(shares.excess("s", c, now) < 1.0 for c in CUSTOMERS[1:])


def test_large_customer_does_not_exceed_its_share_by_its_usual_calls():
    shares = CustomerShares()
    now = use(shares, dict.fromkeys(CUSTOMERS, 1.0) | {"c0": 8.0}, 0.0, 120.0)
    assert shares.excess("s", "c0", now) < 1.1


def test_burst_is_forgotten_within_seconds():
    shares = CustomerShares()
    now = use(shares, dict.fromkeys(CUSTOMERS, 1.0), 0.0, 60.0)
    now = use(shares, dict.fromkeys(CUSTOMERS, 1.0) | {"c0": 8.0}, now, now + 5.0)
    now = use(shares, dict.fromkeys(CUSTOMERS, 1.0), now, now + 15.0)
    assert shares.excess("s", "c0", now) < 1.1


def test_work_of_few_large_calls_counts_as_that_of_many_small_ones():
    shares = CustomerShares()
    for second in range(20):
        shares.record("s", "few", 10.0, second)
        for _ in range(10):
            shares.record("s", "many", 1.0, second)
    few, many = (shares.excess("s", name, 20.0) for name in ("few", "many"))
    assert abs(few - many) < 0.05


def test_first_calls_of_a_router_decide_nothing():
    shares = CustomerShares()
    assert shares.excess("s", "c0", 0.0) == 1.0
    shares.record("s", "c0", 1.0, 0.0)
    assert shares.excess("s", "c0", 0.1) < 1.3


def test_customers_that_no_longer_call_are_forgotten():
    shares = CustomerShares()
    shares.record("s", "gone", 1.0, 0.0)
    shares.record("s", "here", 1.0, 590.0)
    shares.forget_unused(600.0)
    assert [name for name, _ in shares.top("s", 5, 600.0)] == ["here"]
