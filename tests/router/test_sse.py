"""Splitting of event streams, whatever their line ends and however they arrive."""

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrysail.errors import UpstreamError
from cranberrysail.router import sse
from cranberrysail.router.sse import EventSplitter

LINE_ENDS = [b"\n", b"\r\n", b"\r"]


def make_stream(line_end, events=3):
    lines = [b"id: %d\ndata: part %d\n\n" % (n, n) for n in range(1, events + 1)]
    return b"".join(lines).replace(b"\n", line_end)


@pytest.mark.parametrize("line_end", LINE_ENDS, ids=["lf", "crlf", "cr"])
def test_events_are_complete_at_a_blank_line_of_any_kind(line_end):
    stream = make_stream(line_end)
    splitter = EventSplitter()
    assert splitter.feed(stream + b"data: more") == stream
    assert (splitter.event_count, splitter.last_id) == (3, b"3")
    assert splitter.tail == b"data: more"


@settings(derandomize=True, database=None)
@given(st.sampled_from(LINE_ENDS), st.lists(st.integers(0, 80), max_size=8))
def test_events_are_the_same_however_they_arrive(line_end, cuts):
    stream = make_stream(line_end, 4)
    splitter = EventSplitter()
    bounds = [0, *sorted(min(cut, len(stream)) for cut in cuts), len(stream)]
    parts = [stream[a:b] for a, b in pairwise(bounds)]
    received = b"".join(splitter.feed(part) for part in parts)
    assert received + splitter.tail == stream
    assert (splitter.event_count, splitter.last_id) == (4, b"4")


def test_id_without_a_space_is_found():
    splitter = EventSplitter()
    splitter.feed(b"id:7\ndata: x\n\n")
    assert splitter.last_id == b"7"


def test_comments_are_no_events():
    splitter = EventSplitter()
    assert splitter.feed(b": ping\n\n") == b": ping\n\n"
    assert splitter.event_count == 0


@pytest.mark.parametrize(
    ("tail", "in_event"),
    [(b"", False), (b"\n", False), (b": ping", False), (b"d", True), (b"id: 2", True)],
)
def test_comments_and_line_ends_after_the_last_event_are_no_event(tail, in_event):
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: x\n\n" + tail)
    assert splitter.in_event is in_event


def test_event_above_the_size_limit_is_an_error(monkeypatch):
    monkeypatch.setattr(sse, "MAX_EVENT_BYTES", 100)
    splitter = EventSplitter()
    splitter.feed(b"data: x\n\n" * 50 + b"data: " + b"x" * 90)
    with pytest.raises(UpstreamError):
        splitter.feed(b"x" * 10)


def test_events_before_one_above_the_size_limit_are_not_lost(monkeypatch):
    """Guards against a resumed stream that misses events, as their id was noted."""
    monkeypatch.setattr(sse, "MAX_EVENT_BYTES", 100)
    splitter = EventSplitter()
    event = b"id: 1\ndata: x\n\n"
    assert splitter.feed(event + b"x" * 101) == event
    with pytest.raises(UpstreamError):
        splitter.check()
