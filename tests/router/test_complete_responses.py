"""Responses on real sockets: what callers get when an endpoint ends a connection.

Without a length or chunks, only the end of the connection delimits a body. Callers must
not get a part of it as if it were whole.
"""

import asyncio

import pytest

from tests.router.realfleet import (
    PART,
    STEP_S,
    Ending,
    call,
    head,
    length,
    run_real,
)
from tests.router.simulatedfleet import make_request

EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
# Taken into the send buffer of the router's kernel, of up to 4 MiB, as a whole.
IN_KERNEL_BYTES = 3_000_000
# Larger than that buffer, so a part stays in the event loop's.
IN_PROCESS_BYTES = 7_000_000
UPLOADS = pytest.mark.parametrize("upload", [IN_KERNEL_BYTES, IN_PROCESS_BYTES])
WRITER_FIRST = pytest.mark.parametrize("writer_first", [False, True])


# Endings of a connection whose upload was not taken whole.
ENDINGS = {
    "reset": Ending(("reset",)),
    "reset-later": Ending(("wait", "reset")),
    "close-with-unread-bytes": Ending(("close",)),
    "close-with-unread-bytes-later": Ending(("wait", "close")),
    "end-then-reset": Ending(("end_input", "reset")),
    "end-then-reset-later": Ending(("end_input", "wait", "reset")),
    "wait-then-end-then-reset": Ending(("wait", "end_input", "reset")),
    "wait-then-end-then-reset-later": Ending(("wait", "end_input", "wait", "reset")),
    "end-and-no-reset": Ending(("end_input",)),
    "end-and-read-on-later": Ending(("end_input", "wait", "read_on", "close")),
}
ALL_ENDINGS = pytest.mark.parametrize("ending", ENDINGS.values(), ids=ENDINGS)


@ALL_ENDINGS
@UPLOADS
@WRITER_FIRST
def test_part_of_a_response_to_an_unread_upload_is_not_delivered(
    ending, upload, writer_first
):
    """Guards against a part as a 200; the call may have run, so it is answered 502."""
    caller, fleet = call(
        ending.after(head() + PART), upload=upload, writer_first=writer_first
    )
    assert PART not in caller.data
    assert caller.status == 502
    assert len(fleet.conns) == 1


@ALL_ENDINGS
@WRITER_FIRST
def test_part_of_a_stream_to_an_unread_upload_never_looks_complete(
    ending, writer_first
):
    """Guards against whole events, of which the last ones are missing, as a stream."""
    caller, _ = call(
        ending.after(head() + EVENTS),
        "/chat/1",
        upload=IN_PROCESS_BYTES,
        writer_first=writer_first,
    )
    assert caller.status == 502 or not caller.is_complete


@ALL_ENDINGS
@WRITER_FIRST
def test_resumed_stream_to_an_unread_upload_never_looks_complete(ending, writer_first):
    """Guards against a resumed stream without events that ends as if it were whole."""
    first = Ending(("wait", "reset")).after(
        head(b"Transfer-Encoding: chunked\r\n") + b"%x\r\n%b\r\n" % (34, EVENTS),
        read="read_request",
    )
    caller, fleet = call(
        first,
        "/resumable/1",
        upload=IN_PROCESS_BYTES,
        writer_first=writer_first,
        further=[ending.after(head())],
    )
    assert len(fleet.conns) == 2
    assert caller.data.count(b"data: one") == 1
    assert not caller.is_complete


@pytest.mark.parametrize("steps", [("end_input", "reset"), ("reset",)])
@pytest.mark.parametrize("upload", [10, 100_000])
def test_reset_at_once_after_the_end_of_input_is_no_end_in_order(steps, upload):
    """Guards against a part as a 200; the router sees end and reset at once."""
    script = Ending(steps).after(head() + PART, read="read_request")
    caller, _ = call(script, upload=upload)
    assert PART not in caller.data
    assert caller.status == 502


@pytest.mark.parametrize("steps", [("close",), ("wait", "close"), ("end_input",)])
@pytest.mark.parametrize("upload", [0, 100_000, IN_KERNEL_BYTES])
@pytest.mark.parametrize("path", ["/book/1", "/chat/1"])
def test_response_that_ends_in_order_after_a_whole_upload_is_delivered(
    steps, upload, path
):
    """Guards against valid responses without a length that are taken for parts."""
    script = Ending(steps).after(head() + EVENTS, read="read_request")
    caller, _ = call(script, path, upload=upload)
    assert caller.status == 200
    assert caller.is_complete
    assert EVENTS in caller.data


@ALL_ENDINGS
@UPLOADS
@WRITER_FIRST
@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_early_response_that_is_complete_is_delivered(
    ending, upload, writer_first, framing
):
    """Guards against the loss of a ready response by a reset that follows it."""
    chunked = b"%x\r\n%b\r\n0\r\n\r\n" % (len(PART), PART)
    data = {
        "length": head(length(PART)) + PART,
        "chunked": head(b"Transfer-Encoding: chunked\r\n") + chunked,
    }[framing]
    caller, _ = call(ending.after(data), upload=upload, writer_first=writer_first)
    assert caller.status == 200
    assert PART in caller.data


@ALL_ENDINGS
@UPLOADS
@WRITER_FIRST
def test_early_response_shorter_than_its_length_is_not_delivered(
    ending, upload, writer_first
):
    """Guards against a part of a body with a length."""
    data = head(b"Content-Length: 1000\r\n") + PART
    caller, _ = call(ending.after(data), upload=upload, writer_first=writer_first)
    assert caller.status == 502


@UPLOADS
def test_endpoint_that_reads_on_after_its_response_gets_only_the_rest(upload):
    """Guards against the next request where the rest of a body is due.

    The next call must not wait behind a body that may never be read, either.
    """

    async def respond_early(endpoint):
        endpoint.send(head(length(PART)) + PART)
        await asyncio.sleep(5 * STEP_S)
        await endpoint.read_on()

    async def respond(endpoint):
        await endpoint.read_request()
        framing = length(PART) + b"Connection: close\r\n"
        endpoint.send(head(framing, attempt=b"a2") + PART)

    async def scenario(fleet):
        first = await fleet.call(make_request("/book/1", body=b"u" * upload))
        others = [
            await fleet.call(make_request("/book/1", "a2", b"w" * 1000))
            for _ in range(4)
        ]
        await asyncio.sleep(10 * STEP_S)
        return [first, *others], fleet

    callers, fleet = run_real([respond_early] + [respond] * 4, scenario)
    assert [caller.status for caller in callers] == [200] * 5
    body = fleet.conns[0].received.partition(b"\r\n\r\n")[2]
    assert set(body) <= set(b"u")
