"""Tests of the translation of the platform's headers."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrysail.platform.headers import PlatformHeaderCodec
from cranberrysail.router.headercodec import EndpointRequestInfo
from cranberrysail.router.load import LoadReport

HEADERS_CODEC = PlatformHeaderCodec()
CALLER_HEADERS = [
    (b"host", b"h"),
    (b"cranberrysail-attempt-id", b"a1"),
    (b"cranberrysail-credential", b"k1"),
    (b"cranberrysail-deadline-ms", b"12000"),
    (b"cranberrysail-token-usage", b"1460,80"),
    (b"cranberrysail-prompt-prefix", b"5c:800,91:410,e4:250"),
]
REQUEST_INFO = EndpointRequestInfo("i-1", 1.5, "guide", 2)


def test_caller_headers_are_parsed():
    head = HEADERS_CODEC.call_head(CALLER_HEADERS)
    assert (head.request_id, head.api_key, head.timeout_s) == ("a1", "k1", 12.0)
    assert head.prompt_parts == ("5c", "91", "e4")


def test_optional_caller_headers_may_be_missing():
    head = HEADERS_CODEC.call_head([(b"host", b"h")])
    assert (head.request_id, head.api_key, head.timeout_s, head.prompt_parts) == (
        "",
        "",
        None,
        (),
    )


def test_invalid_numbers_are_ignored():
    for invalid in (b"-5", b"x", b"", b"9" * 5000):
        head = HEADERS_CODEC.call_head([(b"cranberrysail-deadline-ms", invalid)])
        assert head.timeout_s is None


def test_token_counts_are_forwarded():
    sent = HEADERS_CODEC.endpoint_headers(CALLER_HEADERS, REQUEST_INFO)
    assert (b"cranberrysail-token-usage", b"1460,80") in sent


def test_reserved_headers_of_callers_are_not_forwarded():
    forged = [(b"cranberrysail-tenant", b"other"), (b"kv-from", b"x"), (b"x-own", b"1")]
    sent = HEADERS_CODEC.endpoint_headers([*CALLER_HEADERS, *forged], REQUEST_INFO)
    names = [name for name, _ in sent]
    assert dict(sent)[b"cranberrysail-tenant"] == b"guide"
    assert dict(sent)[b"cranberrysail-deadline-ms"] == b"1500"
    assert names.count(b"cranberrysail-deadline-ms") == 1
    assert b"kv-from" not in names
    assert b"cranberrysail-credential" not in names
    assert (b"x-own", b"1") in sent


def test_connection_header_cannot_remove_protected_headers():
    extra = [(b"connection", b"x-hop, cranberrysail-attempt-id"), (b"x-hop", b"1")]
    names = [
        n
        for n, _ in HEADERS_CODEC.endpoint_headers(
            [*CALLER_HEADERS, *extra], REQUEST_INFO
        )
    ]
    assert b"x-hop" not in names
    assert b"connection" not in names
    assert b"cranberrysail-attempt-id" in names


def test_no_customer_is_sent_for_public_routes():
    sent = HEADERS_CODEC.endpoint_headers(
        CALLER_HEADERS, EndpointRequestInfo("i-1", 1.0, "", 5)
    )
    assert b"cranberrysail-tenant" not in dict(sent)


def test_resumed_stream_sends_one_last_event_id():
    caller_headers = [*CALLER_HEADERS, (b"last-event-id", b"2")]
    sent = HEADERS_CODEC.endpoint_headers(
        caller_headers, EndpointRequestInfo("i", 1.0, "", 5, b"7")
    )
    assert [v for n, v in sent if n == b"last-event-id"] == [b"7"]


def test_endpoint_headers_are_parsed():
    head = HEADERS_CODEC.response_head(
        200,
        [
            (b"cranberrysail-attempt-id", b"a1"),
            (b"cranberrysail-response-seal", b"s"),
            (b"cranberrysail-server-load", b"3, 1, 8"),
            (b"keep-alive", b"timeout=5, max=9"),
            (b"connection", b"close"),
        ],
    )
    assert head.from_endpoint
    assert head.closing
    assert head.idle_timeout_s == 5.0
    assert head.report == LoadReport(3, 1, 8)
    assert not head.not_run


def test_not_executed_and_misdirected_responses_are_recognized():
    assert HEADERS_CODEC.response_head(
        503, [(b"cranberrysail-not-executed", b"1")]
    ).not_run
    assert HEADERS_CODEC.response_head(421, []).displaced


def test_response_with_content_encoding_is_not_from_endpoint():
    headers = [(b"cranberrysail-response-seal", b"s"), (b"content-encoding", b"gzip")]
    assert not HEADERS_CODEC.response_head(200, headers).from_endpoint


@pytest.mark.parametrize(
    ("values", "pause_s"),
    [
        ([b"2"], 2.0),
        ([b" 0.25 "], 0.25),
        ([b"0.12345678901234567"], 0.12345678901234567),
        ([b"1", b"3"], 3.0),
        ([b"3", b"x"], 3.0),
        ([b"999999999"], 3600.0),
        ([], 0.0),
        ([b""], 0.0),
        ([b"-1"], 0.0),
        ([b"nan"], 0.0),
        ([b"inf"], 0.0),
        ([b"1e9"], 0.0),
        ([b"Fri, 04 Dec 2026 10:00:00 GMT"], 0.0),
    ],
)
def test_pause_of_an_endpoint_is_parsed(values, pause_s):
    headers = [(b"retry-after", value) for value in values]
    assert HEADERS_CODEC.response_head(503, headers).pause_s == pause_s
    assert HEADERS_CODEC.response_head(200, headers).pause_s == 0.0


@pytest.mark.parametrize(
    ("value", "leaving"), [(b"1", True), (b" 1 ", True), (b"0", False), (b"", False)]
)
def test_endpoint_that_leaves_is_recognised(value, leaving):
    headers = [(b"server-leaving", value)]
    assert HEADERS_CODEC.response_head(404, headers).leaving is leaving
    assert not HEADERS_CODEC.response_head(200, []).leaving


NAMES = [
    b"cranberrysail-attempt-id",
    b"cranberrysail-credential",
    b"cranberrysail-deadline-ms",
    b"cranberrysail-prompt-prefix",
    b"cranberrysail-response-seal",
    b"cranberrysail-server-load",
    b"connection",
    b"keep-alive",
    b"retry-after",
    b"server-leaving",
]
numbers = st.integers(-(10**40), 10**40).map(lambda number: b"%d" % number)
header_values = st.binary(max_size=30) | numbers | st.lists(numbers).map(b",".join)
header_lists = st.lists(st.tuples(st.sampled_from(NAMES), header_values))


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(header_lists, st.sampled_from([200, 421, 429, 503]))
def test_headers_of_whatever_bytes_are_read_or_passed_over(headers, status):
    codec = PlatformHeaderCodec()
    response = codec.response_head(status, headers)
    assert 0 <= response.pause_s < float("inf")
    assert 0 <= response.idle_timeout_s < float("inf")
    if response.report is not None:
        assert response.report.slots > 0
    call = codec.call_head(headers)
    codec.error_headers(call.request_id, 1.0)


@pytest.mark.parametrize(
    ("value", "report"),
    [
        (b"3,1,8,250", LoadReport(3, 1, 8, 250)),
        (b"3,1,8,100,7", LoadReport(3, 1, 8, 100)),
        (b"3,1,8,x", LoadReport(3, 1, 8)),
        (b"3,1", None),
        (b"3,1,0,100", None),
        (b"3,x,8,100", None),
    ],
)
def test_load_report_is_not_dropped_for_further_figures(value, report):
    """Routers that drop such reports know no load, and overload endpoints."""
    headers = [(b"cranberrysail-server-load", value)]
    assert HEADERS_CODEC.response_head(200, headers).report == report


def test_prompt_tokens_are_parsed():
    head = HEADERS_CODEC.call_head(CALLER_HEADERS)
    assert (head.prompt_tokens, head.part_tokens) == (1460, (800, 410, 250))


@pytest.mark.parametrize("value", [b"a,b", b"a:x,b:", b"a:-1,b:1.5"])
def test_invalid_prompt_tokens_count_as_none(value):
    headers = [(b"cranberrysail-prompt-prefix", value)]
    head = HEADERS_CODEC.call_head(headers)
    assert head.prompt_parts == ("a", "b")
    assert (head.prompt_tokens, head.part_tokens) == (0, (0, 0))
