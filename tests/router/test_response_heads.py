"""Which responses of endpoints are responses, and where their bodies end.

The tests use real sockets and show what callers get.
"""

import asyncio

import pytest

from tests.router.realfleet import PART, Ending, call, head, length

STATUS_LINES_REJECTED = [
    b"HTTP/1.1 000 X",
    b"HTTP/1.1 0200 X",
    b"HTTP/1.1 +20 X",
    b"HTTP/1.1 20 X",
    b"HTTP/1.1 099 X",
    b"HTTP/1.1 600 X",
    b"HTTP/1.1 999 X",
    b"HTTP/1.1 1000 X",
    b"HTTP/1.1 20x X",
    b"HTTP/1.1  200 X",
    b"HTTP/0.9 200 X",
    b"HTTP/2.0 200 X",
    b"HTTP/1.2 200 X",
    b"200 X",
]


@pytest.mark.parametrize("line", STATUS_LINES_REJECTED)
@pytest.mark.parametrize("rest", ["ends", "stays", "another"])
def test_response_with_an_invalid_status_line_is_a_failed_endpoint(line, rest):
    """Guards against statuses that callers do not know, and calls without an end.

    It is also not joined with a valid response that follows it.
    """
    data = head(length(PART), status_line=line) + PART
    if rest == "another":
        data += head(length(PART)) + PART
    ending = Ending(("wait", "close") if rest == "ends" else ())
    caller, _ = call(ending.after(data, read="read_request"))
    assert caller.status == 502
    assert PART not in caller.data


@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 ",
        b"HTTP/1.0 200 OK",
        b"HTTP/1.1 200 " + b"x" * 100_000,
        b"HTTP/1.1 299 X",
    ],
    ids=["no-reason", "empty-reason", "http-1.0", "long-reason", "299"],
)
def test_response_with_a_valid_status_line_is_delivered(line):
    """Guards against valid responses that are rejected."""
    data = head(length(PART), status_line=line) + PART

    async def script(endpoint):
        await endpoint.read_request()
        for start in range(0, len(data), 10_000):
            endpoint.send(data[start : start + 10_000])
            await asyncio.sleep(0.001)

    caller, _ = call(script)
    assert caller.status in (200, 299)
    assert caller.data.endswith(PART)


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 14\r\nContent-Length: 14\r\n",
        b"Content-Length: 14\r\nContent-Length: 5\r\n",
        b"Content-Length: 14, 14\r\n",
        b"Content-Length: 14\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked\r\nContent-Length: 14\r\n",
        b"Content-Length: +14\r\n",
        b"Content-Length: -14\r\n",
        b"Content-Length: 1 4\r\n",
        b"Content-Length: 0x0e\r\n",
        b"Content-Length:\r\n",
        b"Content-Length : 14\r\n",
        b"Content-Length: 18446744073709551630\r\n",
        b"Transfer-Encoding: identity\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    ],
)
@pytest.mark.parametrize("another", [b"", head(length(b"xy")) + b"xy"])
def test_response_with_an_invalid_framing_is_a_failed_endpoint(framing, another):
    """Guards against bodies whose end is ambiguous, and bodies that are joined."""
    body = PART
    if b"chunked" in framing:
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(PART), PART)
    script = Ending(("wait", "close")).after(
        head(framing) + body + another, read="read_request"
    )
    caller, _ = call(script)
    assert caller.status == 502
    assert PART not in caller.data


@pytest.mark.parametrize("value", [b"14 ", b"  14", b"\t14", b"014"])
def test_length_with_allowed_spaces_or_zeros_is_delivered(value):
    """Guards against the rejection of what RFC 9110, section 8.6, allows."""
    data = head(b"Content-Length:" + value + b"\r\n") + PART
    caller, _ = call(Ending(()).after(data, read="read_request"))
    assert caller.status == 200
    assert caller.data.endswith(PART)


def test_body_of_an_interim_response_is_not_joined_with_the_response():
    """Guards against bytes of an interim response at the start of a body."""
    interim = head(length(PART), status_line=b"HTTP/1.1 199 X") + PART
    data = interim + head(length(b"xy")) + b"xy"
    caller, _ = call(Ending(()).after(data, read="read_request"))
    assert PART not in caller.data


def test_interim_responses_are_skipped():
    """Guards against interim responses that end a call."""
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 2
    data = interim + head(length(PART)) + PART
    caller, _ = call(Ending(()).after(data, read="read_request"))
    assert caller.status == 200
    assert caller.data.endswith(PART)


@pytest.mark.parametrize("framing", [b"", length(PART)])
@pytest.mark.parametrize("status", [b"204", b"304"])
def test_response_without_a_body_is_delivered_at_once(status, framing):
    """Guards against calls that wait for a body that such a response never has."""
    line = b"HTTP/1.1 " + status + b" X"
    script = Ending(()).after(head(framing, line), read="read_request")
    caller, _ = call(script)
    assert caller.status == int(status)
