"""Responses that endpoints break off: whatever reaches a caller never looks whole."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.router.interrupted import CHUNKED, body_of, broken_responses, chunk
from tests.router.simulatedfleet import (
    SEAL,
    SimulatedFleet,
    make_config,
    make_request,
    stream_answer,
)
from tests.router.virtualloop import run_virtual

# Bodies are sent in pieces of this size, as they arrive over a network.
PIECE_BYTES = 64 * 1024
FIRST_EVENT = b"id: 1\ndata: part 1\n\n"
PART_OF_AN_EVENT = b"id: 2\ndata: pa"


def respond(body, framing="", status=200):
    """Return a behaviour of a worker that sends a body and closes its connection.

    Args:
      body: Bytes that follow the head, with chunk framing if there is any.
      framing: Header line by which the body is delimited, empty for none.
      status: Status of the response.
    """

    async def answer(conn, received):
        attempt = received.headers["cranberrysail-attempt-id"]
        head = f"HTTP/1.1 {status} X\r\nCranberrysail-Attempt-Id: {attempt}\r\n{SEAL}"
        data = f"{head}{framing}\r\n".encode() + body
        for start in range(0, len(data), PIECE_BYTES):
            conn.transport.write(data[start : start + PIECE_BYTES])
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.1)
        conn.transport.close()

    return answer


def send_to(answers, data):
    """Send one request to a router whose workers answer in turn as given.

    Returns the caller, and the number of requests that workers received.
    """
    turns = iter(answers)

    async def answer_in_turn(conn, received):
        await next(turns)(conn, received)

    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        for number in range(2):
            world.add_worker(f"e{number}", "engines", answer_in_turn, slots=64)
            world.add_worker(f"p{number}", "plain", answer_in_turn)
        await world.start_router()
        caller = await world.send_and_wait(data)
        return caller, sum(len(w.requests) for w in world.workers.values())

    return run_virtual(main)


@pytest.mark.parametrize(
    "cut",
    [
        respond(FIRST_EVENT + PART_OF_AN_EVENT),
        respond(chunk(FIRST_EVENT + PART_OF_AN_EVENT) + b"0\r\n\r\n", CHUNKED),
        respond(
            FIRST_EVENT + PART_OF_AN_EVENT,
            f"Content-Length: {len(FIRST_EVENT + PART_OF_AN_EVENT)}\r\n",
        ),
    ],
    ids=["delimited-by-close", "chunked", "with-length"],
)
def test_stream_that_ends_inside_an_event_never_looks_complete(cut):
    caller, _ = send_to([cut], make_request("/chat/1"))
    assert FIRST_EVENT in caller.data
    assert caller.closed
    assert not caller.is_complete


def test_stream_that_ends_inside_an_event_is_resumed_if_the_route_allows_it():
    cut = respond(FIRST_EVENT + PART_OF_AN_EVENT)
    caller, sent = send_to([cut, stream_answer], make_request("/resumable/1"))
    assert sent == 2
    assert caller.is_complete
    assert [caller.data.count(b"data: part %d\n" % n) for n in (1, 2, 3)] == [1, 1, 1]


def test_event_stream_on_a_plain_route_that_ends_inside_an_event_never_looks_complete():
    headers = "Content-Type: text/event-stream\r\n"
    cut = respond(FIRST_EVENT + PART_OF_AN_EVENT, headers)
    caller, _ = send_to([cut], make_request("/look/1"))
    assert FIRST_EVENT in caller.data
    assert not caller.is_complete


def test_stream_that_closes_before_its_first_event_is_not_delivered():
    caller, _ = send_to([respond(b"")], make_request("/chat/1"))
    assert caller.status == 502


def test_resumed_stream_with_nothing_left_to_send_is_complete():
    answers = [respond(chunk(FIRST_EVENT), CHUNKED), respond(b"")]
    caller, sent = send_to(answers, make_request("/resumable/1"))
    assert sent == 2
    assert caller.is_complete
    assert caller.data.count(FIRST_EVENT) == 1


def test_whole_stream_delimited_by_close_is_delivered():
    caller, _ = send_to([respond(FIRST_EVENT * 2)], make_request("/chat/1"))
    assert caller.is_complete
    assert caller.data.count(FIRST_EVENT) == 2


def test_whole_response_delimited_by_close_is_delivered():
    caller, _ = send_to([respond(b"fine")], make_request("/book/1"))
    assert caller.status == 200
    assert caller.data.endswith(b"\r\n\r\nfine")


@pytest.mark.parametrize("path", ["/book/1", "/chat/1"])
def test_large_response_delimited_by_close_is_delivered_whole(path):
    events = b"".join(b"id: %d\ndata: %b\n\n" % (n, b"x" * 5000) for n in range(200))
    caller, _ = send_to([respond(events)], make_request(path))
    assert caller.is_complete
    assert caller.data.count(b"\ndata: ") == 200


def test_stream_is_not_resumed_after_an_event_without_an_id():
    events = FIRST_EVENT + b"data: no id\n\n"
    cut = respond(chunk(events), CHUNKED)
    caller, sent = send_to([cut, stream_answer], make_request("/resumable/1"))
    assert sent == 1
    assert events in caller.data
    assert not caller.is_complete


def test_large_response_that_is_broken_off_is_not_joined_with_another():
    size = 600_000
    cut = respond(b"x" * (size // 2), f"Content-Length: {size}\r\n")
    whole = respond(b"y" * size, f"Content-Length: {size}\r\n")
    caller, sent = send_to([cut, whole], make_request("/look/1"))
    assert sent == 1
    assert b"y" not in caller.data.partition(b"\r\n\r\n")[2]
    assert not caller.is_complete


def test_stream_is_not_joined_with_an_error_response_of_another_endpoint():
    cut = respond(chunk(FIRST_EVENT), CHUNKED)
    error = respond(b"{}", "Content-Length: 2\r\n", status=404)
    caller, _ = send_to([cut, error], make_request("/resumable/1"))
    assert caller.data.count(b"HTTP/1.1") == 1
    assert not caller.is_complete


@pytest.mark.parametrize("path", ["/book/1", "/look/1"])
def test_large_error_response_is_delivered_whole(path):
    size = 600_000
    error = respond(b"x" * size, f"Content-Length: {size}\r\n", status=500)
    caller, _ = send_to([error, error], make_request(path))
    assert caller.status == 500
    assert caller.is_complete
    assert caller.data.count(b"x") >= size


def test_large_error_response_that_is_broken_off_never_looks_complete():
    cut = respond(b"x" * 300_000, "Content-Length: 600000\r\n", status=500)
    caller, _ = send_to([cut], make_request("/book/1"))
    assert not caller.is_complete


def test_response_with_more_headers_than_are_kept_is_not_cut_at_its_end():
    headers = "".join(f"X-{n}: 1\r\n" for n in range(200))
    cut = respond(b"half", headers + "Content-Length: 9\r\n")
    caller, _ = send_to([cut], make_request("/book/1"))
    assert caller.status == 502
    assert b"half" not in caller.data


def test_response_with_an_unknown_transfer_coding_is_not_forwarded():
    body = chunk(b"coded")
    cut = respond(body + b"0\r\n\r\n", "Transfer-Encoding: gzip, chunked\r\n")
    caller, _ = send_to([cut], make_request("/book/1"))
    assert caller.status == 502
    assert b"coded" not in caller.data


def test_interrupted_stream_never_looks_complete_to_an_http_1_0_caller():
    cut = respond(chunk(FIRST_EVENT + PART_OF_AN_EVENT), CHUNKED)
    data = make_request("/chat/1").replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    caller, _ = send_to([cut], data)
    assert FIRST_EVENT in caller.data
    assert caller.was_reset


@settings(derandomize=True, database=None, deadline=None, max_examples=150)
@given(
    path=st.sampled_from(["/chat/1", "/resumable/1", "/book/1", "/look/1"]),
    attempts=st.tuples(broken_responses(), broken_responses()),
    line_end=st.sampled_from([b"\n", b"\r\n"]),
    http_1_0=st.booleans(),
)
def test_responses_cut_anywhere_are_whole_or_visibly_broken_off(
    path, attempts, line_end, http_1_0
):
    bodies = []

    def break_off(broken):
        async def answer(conn, received):
            first = int(received.headers.get("last-event-id", 0)) + 1
            events = [b"id: %d\ndata: part %d\n\n" % (n, n) for n in range(first, 4)]
            body = b"".join(events).replace(b"\n", line_end)
            attempt = received.headers["cranberrysail-attempt-id"]
            head = f"HTTP/1.1 200 X\r\nCranberrysail-Attempt-Id: {attempt}\r\n{SEAL}"
            bodies.append(body)
            await broken.send(conn, head, body)

        return answer

    data = make_request(path)
    if http_1_0:
        data = data.replace(b"HTTP/1.1", b"HTTP/1.0", 1)
    caller, sent = send_to([break_off(broken) for broken in attempts], data)
    last, whole = attempts[sent - 1], bodies[-1]
    if caller.status != 200 or not caller.is_complete:
        assert last.cuts(whole) or last.reset
        return
    assert not last.cuts(whole) or last.looks_whole
    received = body_of(caller)
    if path.startswith(("/book", "/look")):
        assert received == whole or (last.cuts(whole) and whole.startswith(received))
        return
    lines = received.splitlines()
    ids = [line for line in lines if line.startswith(b"id: ")]
    assert ids == [b"id: %d" % n for n in range(1, len(ids) + 1)]
    assert ids
    assert lines[-1] == b""
    assert len(ids) == 3 or last.cuts(whole)
