"""Waiting calls are sent in order, and the room is bounded."""

from cranberrysail.router.waitingroom import WaitingCall, WaitingRoom


def make_call(priority=2, excess=1.0, deadline_s=8.0, limit_s=4.0, size=100, **kw):
    service = kw.get("service", "s")
    return WaitingCall(service, priority, excess, deadline_s, limit_s, size, 0.0)


def enter_all(*calls, max_calls=64, max_bytes=10_000):
    room = WaitingRoom(max_calls, max_bytes)
    left = [other for call in calls for other in room.enter(call)]
    return room, left


def test_order_is_by_priority_then_use_then_deadline():
    late = make_call(deadline_s=9.0)
    early = make_call(deadline_s=7.0)
    over = make_call(excess=2.0, deadline_s=1.0)
    urgent = make_call(priority=0, excess=4.0, deadline_s=9.0)
    room, _ = enter_all(late, over, urgent, early)
    assert room.waiting("s") == [urgent, early, late, over]


def test_small_differences_in_use_leave_the_order_to_deadlines():
    less_used = make_call(excess=1.0, deadline_s=9.0)
    sooner = make_call(excess=1.05, deadline_s=2.0)
    room, _ = enter_all(less_used, sooner)
    assert room.waiting("s") == [sooner, less_used]


def test_full_room_refuses_the_last_in_order_and_not_the_last_to_come():
    over = make_call(excess=3.0)
    others = [make_call() for _ in range(3)]
    room, left = enter_all(over, *others, max_calls=3)
    assert left == [over]
    assert len(room) == 3


def test_call_that_is_itself_the_last_in_order_is_the_one_to_leave():
    over = make_call(excess=3.0)
    _, left = enter_all(make_call(), make_call(), over, max_calls=2)
    assert left == [over]


def test_bytes_of_waiting_calls_are_bounded():
    big = make_call(size=9_950, deadline_s=9.0)
    room, left = enter_all(big, make_call(size=100))
    assert left == [big]
    assert room.held_bytes == 100


def test_call_that_left_is_not_sent_and_holds_nothing():
    call = make_call()
    room, _ = enter_all(call)
    assert room.leave(call)
    assert not room.leave(call)
    assert (len(room), room.held_bytes, room.services()) == (0, 0, [])


def test_only_calls_whose_time_is_over_are_due():
    soon, later = make_call(limit_s=1.0), make_call(limit_s=3.0, service="t")
    room, _ = enter_all(soon, later)
    assert room.due(2.0) == [soon]
