"""Which connection closes if a process has too many."""

import pytest

from cranberrysail.router.connectionlimit import ConnectionLimit, max_accepted


@pytest.mark.parametrize(
    ("descriptors", "expected"),
    [(0, 2922), (4100, 2925), (8192, 5994), (290, 66), (100, 16)],
)
def test_descriptors_are_left_for_files_and_outgoing_connections(descriptors, expected):
    assert max_accepted(descriptors) == expected


def test_connection_without_a_request_for_longest_closes_first():
    limit = ConnectionLimit(3)
    for conn in "abc":
        assert limit.accept(conn) is None
    limit.request_completed("a")
    limit.request_completed("b")
    limit.request_ended("a")
    assert [limit.accept("d"), limit.accept("e")] == ["c", "a"]
    assert len(limit) == 3


def test_new_connection_is_closed_if_all_others_are_being_served():
    """Guards against closing calls in progress for the sake of new connections."""
    limit = ConnectionLimit(2)
    for conn in "ab":
        limit.accept(conn)
        limit.request_completed(conn)
    assert limit.accept("c") == "c"
    limit.request_ended("b")
    assert limit.accept("d") == "b"
    # The end of a request on a connection that was closed since.
    limit.request_ended("b")
    limit.discard("b")
    assert len(limit) == 2


def test_there_is_room_again_after_connections_end():
    limit = ConnectionLimit(2)
    limit.accept("a")
    limit.accept("b")
    limit.discard("a")
    assert limit.accept("c") is None
