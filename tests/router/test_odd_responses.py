"""Responses that faulty endpoints send besides those to the requests they received."""

import asyncio
from itertools import product

import pytest

from tests.router.interrupted import CHUNKED, body_of, chunk
from tests.router.simulatedfleet import (
    SEAL,
    SimulatedFleet,
    make_config,
    make_request,
)
from tests.router.test_interrupted_responses import FIRST_EVENT, respond, send_to
from tests.router.virtualloop import run_virtual

NOT_EXECUTED = "Cranberrysail-Not-Executed: 1\r\n"
EVENT_STREAM = "Content-Type: text/event-stream\r\n"
WORK_S = 0.05
ANSWER = b"id: 1\ndata: fine\n\n"
OTHER = b"id: 7\ndata: other\n\n"
PATHS = ["/book/1", "/look/1", "/chat/1", "/resumable/1"]
# Of the request that is sent next, of the one before, of one that never was, or none.
IDS = ["this", "earlier", "unknown", None]
KINDS = {
    "refusal": (503, NOT_EXECUTED),
    "refusal-with-pause": (503, NOT_EXECUTED + "Retry-After: 3\r\n"),
    "too-many": (429, NOT_EXECUTED),
    "misdirected": (421, ""),
    "success": (200, SEAL),
    "failure": (500, SEAL),
    "unavailable": (503, SEAL),
}
# When an odd response comes, relative to the request that a kept connection carries.
TIMES = ["with the one before", "while idle", "at once", "while it runs", "behind it"]


class OddWorker:
    """Runs all requests; to the second of each connection it sends an odd response."""

    def __init__(self, kind, odd_id, time):
        self.status, self.extra = KINDS[kind]
        self.odd_id = odd_id
        self.time = time
        self.seen = {}
        self.ran = []

    def send_odd(self, conn, time, ids):
        if time == self.time:
            conn.reply(self.status, self.extra, OTHER, ids.get(self.odd_id))

    async def __call__(self, conn, received):
        this = received.headers["cranberrysail-attempt-id"]
        number = self.seen[conn] = self.seen.get(conn, 0) + 1
        self.ran.append(this)
        ids = {"this": this, "earlier": "a0", "unknown": "z"}
        if number == 2:
            self.send_odd(conn, "at once", ids)
            await asyncio.sleep(WORK_S / 2)
            self.send_odd(conn, "while it runs", ids)
        await asyncio.sleep(WORK_S / 2)
        conn.reply(200, SEAL + EVENT_STREAM, ANSWER, this)
        if number == 2:
            self.send_odd(conn, "behind it", ids)
        # The next request has the id a1.
        ids = {"this": "a1", "earlier": this, "unknown": "z"}
        if number == 1:
            self.send_odd(conn, "with the one before", ids)
            await asyncio.sleep(0.02)
            self.send_odd(conn, "while idle", ids)


def send_two(worker, path):
    """Send two requests, one after the other; return their callers."""

    async def main(loop):
        world = SimulatedFleet(loop)
        world.write_config(make_config())
        for number in range(2):
            service = "plain" if path in PATHS[:2] else "engines"
            world.add_worker(f"w{number}", service, worker, slots=64)
        await world.start_router()
        # The second request meets a kept connection of the first one's endpoint.
        world.router.selector.choose = choose_first(world.router)
        callers = []
        for number in range(2):
            request = make_request(path, f"a{number}", b"two seats")
            callers.append(await world.send_and_wait(request))
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)
        return callers

    return run_virtual(main)


def choose_first(router):
    """Return a choice of endpoints that takes the first one that was not tried."""
    choose = router.selector.choose

    def choose_first_untried(tables, service, parts, tried, *args):
        others = {e.id for e in router.endpoints if e.record.service == service}
        first = min(others - tried, default=None)
        return choose(tables, service, parts, (others - {first}) | tried, *args)

    return choose_first_untried


CASES = [
    case
    for case in product(PATHS, KINDS, IDS, TIMES)
    # A response with the id of a request that is being answered is the response.
    if not (case[2] == "this" and case[3] in ("at once", "while it runs"))
]


@pytest.mark.parametrize("path", PATHS)
def test_odd_response_on_a_kept_connection_is_not_taken_for_the_one_that_is_due(path):
    """Guards against a promise or an answer that belongs to another request."""
    failed = {}
    for case in CASES:
        if case[0] != path:
            continue
        worker = OddWorker(*case[1:])
        callers = send_two(worker, path)
        seen = [(c.status, body_of(c)) for c in callers], worker.ran
        if seen != ([(200, ANSWER)] * 2, ["a0", "a1"]):
            failed[case] = seen
    assert failed == {}


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("status", [408, 429, 503])
def test_status_of_a_request_that_ran_is_no_promise_that_it_did_not(path, status):
    """Guards against callers that send a request again which has run."""
    odd = respond(b"{}", "Content-Length: 2\r\n", status)
    caller, sent = send_to([odd, odd], make_request(path))
    if path in ("/book/1", "/chat/1"):
        assert (caller.status, sent) == (502, 1)
    else:
        # Callers may send it again in any case.
        assert caller.status == status


@pytest.mark.parametrize("path", ["/book/1", "/chat/1"])
@pytest.mark.parametrize("kind", ["refusal", "misdirected"])
@pytest.mark.parametrize("identified", [True, False])
def test_refusal_that_an_answer_follows_is_no_promise(path, kind, identified):
    """Guards against a second run of a request, or a caller that sends it again."""
    status, extra = KINDS[kind]
    ran = []

    async def contradict(conn, received):
        attempt = received.headers["cranberrysail-attempt-id"]
        ran.append(attempt)
        odd = f"HTTP/1.1 {status} X\r\n{extra}Content-Length: 0\r\n"
        if identified:
            odd += f"Cranberrysail-Attempt-Id: {attempt}\r\n"
        due = (
            f"HTTP/1.1 200 X\r\nCranberrysail-Attempt-Id: {attempt}\r\n{SEAL}"
            f"{EVENT_STREAM}Content-Length: {len(ANSWER)}\r\n\r\n"
        )
        conn.transport.write(f"{odd}\r\n{due}".encode() + ANSWER)

    caller, sent = send_to([contradict, contradict], make_request(path))
    assert (caller.status, sent, ran) == (502, 1, ["a1"])


STREAM_ENDS = {
    "inside an event": chunk(FIRST_EVENT + b"id: 2\ndata: pa"),
    "between events": chunk(FIRST_EVENT),
    "inside a chunk": chunk(FIRST_EVENT) + chunk(FIRST_EVENT)[:-4],
}
ERROR_TEXT = b"overloaded, try again\n\n"
ERROR_HEADERS = {
    "text": "Content-Type: text/plain\r\n",
    "json": "Content-Type: application/json\r\n",
    "encoded": "Content-Type: text/event-stream\r\nContent-Encoding: x\r\n",
}
ERROR_FRAMINGS = {"length": f"Content-Length: {len(ERROR_TEXT)}\r\n", "close": ""}


@pytest.mark.parametrize("end", STREAM_ENDS.values(), ids=STREAM_ENDS)
@pytest.mark.parametrize("headers", ERROR_HEADERS.values(), ids=ERROR_HEADERS)
@pytest.mark.parametrize("framing", ERROR_FRAMINGS.values(), ids=ERROR_FRAMINGS)
@pytest.mark.parametrize("status", [200, 206, 404, 429, 503])
def test_error_of_the_next_endpoint_stands_in_no_stream(end, headers, framing, status):
    """Guards against the text of an error among events, or an end that looks whole."""
    error = respond(ERROR_TEXT, headers + framing, status)
    cut = respond(end, CHUNKED + EVENT_STREAM)
    caller, _ = send_to([cut, error], make_request("/resumable/1"))
    assert b"overloaded" not in caller.data
    assert caller.data.count(b"HTTP/1.1") == 1
    assert not caller.is_complete


@pytest.mark.parametrize("extra", [NOT_EXECUTED, SEAL, ""])
@pytest.mark.parametrize("framed", [True, False])
def test_response_head_behind_a_stream_without_a_length_is_no_event(extra, framed):
    """Guards against the head of another response among events."""
    length = "Content-Length: 2\r\n" if framed else ""
    head = f"HTTP/1.1 503 Unavailable\r\n{extra}{length}\r\n".encode()
    cut = respond(FIRST_EVENT + head + b"{}", EVENT_STREAM)
    caller, _ = send_to([cut], make_request("/chat/1"))
    assert body_of(caller) == FIRST_EVENT
    assert not caller.is_complete


HEADS = {
    "length": f"Content-Length: {len(ANSWER)}\r\n",
    "chunked": CHUNKED,
    "close": "",
    "no body": "Content-Length: 0\r\n",
}


def cuts(head):
    """Return sizes at which a head is cut: around each line end, and in its lines."""
    ends = [n + 1 for n, char in enumerate(head) if char == "\n"]
    sizes = {end + offset for end in ends for offset in (-2, -1, 0, 5)}
    return sorted(size for size in sizes if size < len(head))


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("framing", HEADS.values(), ids=HEADS)
@pytest.mark.parametrize("before", ["", "HTTP/1.1 103 X\r\n\r\n"])
def test_response_head_that_is_cut_anywhere_gives_no_success(path, framing, before):
    """Guards against an empty or short body as a whole 200."""
    head = (
        f"HTTP/1.1 200 OK\r\nCranberrysail-Attempt-Id: a1\r\n{SEAL}{EVENT_STREAM}"
        f"{framing}\r\n"
    )

    def cut_at(size, ends_by_reset):
        async def answer(conn, received):
            conn.transport.write((before + head)[:size].encode())
            await asyncio.sleep(0.01)
            (conn.transport.reset if ends_by_reset else conn.transport.close)()

        return answer

    for number, size in enumerate(cuts(before + head)):
        cut = cut_at(size, ends_by_reset=number % 2)
        caller, _ = send_to([cut, cut], make_request(path))
        assert caller.status == 502, size


@pytest.mark.parametrize("framing", HEADS.values(), ids=HEADS)
def test_head_of_a_resumed_stream_that_is_cut_anywhere_does_not_end_it(framing):
    """Guards against a stream that ends as if it were whole."""
    head = f"HTTP/1.1 200 OK\r\nCranberrysail-Attempt-Id: a1\r\n{SEAL}{framing}\r\n"

    def cut_at(size):
        async def answer(conn, received):
            conn.transport.write(head[:size].encode())
            await asyncio.sleep(0.01)
            conn.transport.close()

        return answer

    begun = respond(chunk(FIRST_EVENT), CHUNKED)
    for size in cuts(head):
        caller, _ = send_to([begun, cut_at(size)], make_request("/resumable/1"))
        assert body_of(caller) == FIRST_EVENT
        assert not caller.is_complete, size
