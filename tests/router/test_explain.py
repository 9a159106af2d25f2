"""Tests for the decision log and for explaining a request from it."""

import json
import os

import pytest

from cranberrysail.router import decisionlog
from cranberrysail.router.decisionlog import DecisionLog, NonBlockingSink
from cranberrysail.router.explain import (
    NoSuchRequestError,
    explain_request,
    parse_lines,
)


def line(at, kind, router="r1", **fields):
    return json.dumps({"at": at, "router": router, "kind": kind} | fields).replace(
        ": ", ":"
    )


LOG = [
    line(9.0, "store_lost", topic="endpoints", why="silent"),
    line(1.0, "store_lost", topic="endpoints", why="long before"),
    line(9.9, "endpoint", endpoint="e9", change="avoided", why="another one"),
    "12:00 r1 " + line(10.0, "placed", id="a", endpoint="e1", route="book", attempt=1),
    "no json at all",
    '{"at":"yesterday"}',
    line(10.1, "placed", id="b", endpoint="e1", route="book", attempt=1),
    line(10.4, "attempt_ended", id="a", endpoint="e1", result="unknown", why="reset"),
    line(10.4, "endpoint", endpoint="e1", change="unsure", why="reset"),
    line(10.4, "store_lost", router="r2", topic="endpoints", why="elsewhere"),
]


def test_request_is_explained_with_state_changes_around_it():
    sentences = explain_request(parse_lines(LOG), "a")
    assert sentences[0] == (
        "-1000 ms r1: (context) cannot read endpoints from the store or from peers: "
        "silent"
    )
    assert "attempt 1 assigned to e1 by route book" in sentences[1]
    assert any(
        "attempt at e1 ended with unknown: reset" in sentence for sentence in sentences
    )
    assert any("(context) endpoint e1: unsure" in sentence for sentence in sentences)
    text = "\n".join(sentences)
    assert "long before" not in text
    assert "another one" not in text
    assert "elsewhere" not in text


def test_interrupted_response_is_explained_with_how_far_it_came():
    ended = line(
        10.0,
        "attempt_ended",
        id="a",
        endpoint="e1",
        result="broken_off",
        why="reset",
        status=200,
        framing="close",
        body_bytes=57,
        whole_events=2,
        partial_bytes=9,
    )
    (sentence,) = explain_request(parse_lines([ended]), "a")
    assert (
        "status 200, framing close, 57 bytes of the body, whole events: 2, then 9 bytes"
    ) in sentence


def test_placement_is_explained_with_what_the_router_believed():
    placed = line(
        10.0,
        "placed",
        id="a",
        endpoint="e1",
        route="chat",
        attempt=1,
        load=3.1,
        mean=2.9,
        spill_load=7.9,
        report_age_s=0.42,
        of=5,
        rank=0,
    )
    (sentence,) = explain_request(parse_lines([placed]), "a")
    assert (
        "load 3.1 by a report 0.42 s old, mean 2.9, calls spill above 7.9" in sentence
    )
    assert "5 candidates, rank 0" in sentence


def test_unknown_id_is_an_error_with_advice():
    with pytest.raises(NoSuchRequestError, match="logs of all routers"):
        explain_request(parse_lines(LOG), "zzz")


def test_lines_of_one_kind_are_rate_limited_and_counted(monkeypatch):
    written = []
    log = DecisionLog("r1", clock=lambda: now[0])
    monkeypatch.setattr(log, "_emit", written.append)
    now = [5.0]
    for number in range(decisionlog.MAX_LINES_PER_S + 40):
        log.write("placed", id=str(number))
    log.write("delivered", id="x")
    now[0] = 6.0
    log.write("placed", id="next")
    kinds = [entry["kind"] for entry in written]
    assert kinds.count("placed") == decisionlog.MAX_LINES_PER_S + 1
    assert kinds.count("delivered") == 1
    (summary,) = [entry for entry in written if entry["kind"] == "lines_left_out"]
    assert summary["counts"] == {"placed": 40}


def test_stalled_reader_does_not_block_writes():
    read_end, write_end = os.pipe()
    sink = NonBlockingSink(write_end)
    for _ in range(20_000):
        sink.write("x" * 99 + "\n")
    assert sink.dropped > 0
    os.set_blocking(read_end, False)
    assert len(os.read(read_end, 1 << 20)) > 0
    before = sink.dropped
    sink.flush()
    sink.write("y\n")
    assert sink.dropped == before
    os.close(read_end)
    sink.write("z\n")
    os.close(write_end)


def test_store_restored_from_a_copy_is_explained():
    log = [
        line(
            9.0,
            "store_restored",
            before=1,
            era=2,
            tables=7,
            zones_out=["b"],
            endpoints=4,
            routers=3,
        ),
        line(9.5, "denied", id="a", status=401, why="bad_key", tables=7),
    ]
    sentences = explain_request(parse_lines(log), "a")
    assert sentences[0] == (
        "-500 ms r1: (context) the store was restored from a copy (era 2 after 1); "
        "kept until it is written again: tables version 7, 4 endpoints, 3 routers, "
        "zones out of service: b"
    )
