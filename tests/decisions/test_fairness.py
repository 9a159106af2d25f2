"""Which customer gives way."""

from cranberrysail.decisions.fairness import gives_way


def test_the_one_that_uses_more_gives_way():
    usage = {"big": 90, "small": 2}
    assert gives_way("big", ["small"], usage, {})
    assert not gives_way("small", ["big"], usage, {})


def test_nobody_gives_way_while_nobody_else_waits():
    assert not gives_way("big", ["big"], {"big": 90}, {})


def test_weights_count():
    usage = {"big": 90, "small": 40}
    assert not gives_way("big", ["small"], usage, {"big": 3.0})


def test_equals_do_not_block_each_other():
    assert not gives_way("a", ["b"], {"a": 5, "b": 5}, {})
