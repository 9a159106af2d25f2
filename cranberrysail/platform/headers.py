"""Translation of the platform's HTTP headers to and from the router's types."""

from cranberrysail.router.headercodec import (
    BaseHeaderCodec,
    CallHead,
    EndpointRequestInfo,
    Headers,
    ResponseHead,
)
from cranberrysail.router.headervalues import (
    parse_idle_timeout_s,
    parse_number,
    parse_pause_s,
)
from cranberrysail.router.hopbyhop import end_to_end_headers
from cranberrysail.router.load import LoadReport

__all__ = ["PlatformHeaderCodec"]

# Id of the caller's request; all attempts of the router at endpoints share it.
ATTEMPT_ID = b"cranberrysail-attempt-id"
# The caller's API key, without an authentication scheme.
CREDENTIAL = b"cranberrysail-credential"
DEADLINE_MS = b"cranberrysail-deadline-ms"
# Number of prompt tokens and maximum number of output tokens.
TOKEN_USAGE = b"cranberrysail-token-usage"
PROMPT_PREFIX = b"cranberrysail-prompt-prefix"
MODEL = b"cranberrysail-model"
LAST_EVENT_ID = b"last-event-id"
EXPECTED_INSTANCE = b"cranberrysail-expected-instance"
TENANT = b"cranberrysail-tenant"
# Scheduling priority; 0 is the most urgent.
URGENCY = b"cranberrysail-request-urgency"
# Address of an endpoint from which to fetch the prompt cache before execution.
KV_FETCH = b"kv-fetch"
# Set only by endpoints, which shows that the response comes from one.
RESPONSE_SEAL = b"cranberrysail-response-seal"
NOT_EXECUTED = b"cranberrysail-not-executed"
# Numbers of running calls, waiting calls and slots; some endpoints add their pace, and
# later releases of the platform may add more.
SERVER_LOAD = b"cranberrysail-server-load"
RETRY_AFTER = b"retry-after"
# Set to 1 in all responses of an endpoint that leaves.
SERVER_LEAVING = b"server-leaving"
# Figures that every load report has, and those that are read.
MIN_LOAD_FIGURES = 3
MAX_LOAD_FIGURES = 4
# Status with which an endpoint that has no room turns a request away.
STATUS_UNAVAILABLE = 503
# Status sent by an endpoint that is not the expected instance.
STATUS_MISDIRECTED = 421
# Statuses that promise callers that the request was not executed and never will be.
PROMISES_NOT_RUN = frozenset((408, STATUS_MISDIRECTED, 429, STATUS_UNAVAILABLE))
# Urgency ranges from 0 to this value.
LEAST_URGENT = 9

# Removed from callers' requests, as only the router may set them.
RESERVED_HEADERS = frozenset(
    (
        DEADLINE_MS,
        CREDENTIAL,
        EXPECTED_INSTANCE,
        TENANT,
        URGENCY,
        b"cranberrysail-expected-version",
        b"cranberrysail-hold",
        b"cranberrysail-pin-ms",
        b"cranberrysail-kv-backup",
        b"kv-from",
        KV_FETCH,
    )
)
# Forwarded even if a caller's Connection header lists them.
ALWAYS_FORWARDED = frozenset(
    (ATTEMPT_ID, TOKEN_USAGE, PROMPT_PREFIX, MODEL, LAST_EVENT_ID, b"host")
)


class PlatformHeaderCodec(BaseHeaderCodec):
    """Translates between the platform's HTTP headers and the router's types."""

    def call_head(self, headers: Headers) -> CallHead:
        """Parse the headers of a caller's request."""
        by_name = dict(headers)
        deadline_ms = parse_number(by_name.get(DEADLINE_MS, b""))
        parts = _parse_prompt_parts(by_name.get(PROMPT_PREFIX, b""))
        return CallHead(
            request_id=by_name.get(ATTEMPT_ID, b"").strip().decode("latin-1"),
            api_key=by_name.get(CREDENTIAL, b"").strip().decode("latin-1"),
            timeout_s=None if deadline_ms is None else deadline_ms / 1000,
            prompt_parts=tuple(part for part, _ in parts),
            part_tokens=tuple(tokens for _, tokens in parts),
            prompt_tokens=parse_number(by_name.get(TOKEN_USAGE, b"").split(b",")[0])
            or 0,
        )

    def endpoint_headers(self, headers: Headers, info: EndpointRequestInfo) -> Headers:
        """Return the headers of the request to an endpoint."""
        resumed = bool(info.resume_after)
        forwarded = [
            (name, value)
            for name, value in end_to_end_headers(headers, ALWAYS_FORWARDED)
            if name not in RESERVED_HEADERS and not (resumed and name == LAST_EVENT_ID)
        ]
        forwarded.append((DEADLINE_MS, b"%d" % max(1, int(info.remaining_s * 1000))))
        forwarded.append((EXPECTED_INSTANCE, info.endpoint_id.encode()))
        forwarded.append((URGENCY, b"%d" % min(max(info.priority, 0), LEAST_URGENT)))
        if info.customer:
            forwarded.append((TENANT, info.customer.encode()))
        if info.cache_from:
            forwarded.append((KV_FETCH, info.cache_from.encode()))
        if resumed:
            forwarded.append((LAST_EVENT_ID, info.resume_after))
        return forwarded

    def response_head(self, status: int, headers: Headers) -> ResponseHead:
        """Parse the status and headers of an endpoint's response."""
        by_name = dict(headers)
        closing = b"close" in by_name.get(b"connection", b"").lower()
        return ResponseHead(
            request_id=by_name.get(ATTEMPT_ID, b"").strip().decode("latin-1"),
            from_endpoint=RESPONSE_SEAL in by_name
            and b"content-encoding" not in by_name,
            not_run=NOT_EXECUTED in by_name,
            displaced=status == STATUS_MISDIRECTED,
            report=_parse_load_report(by_name.get(SERVER_LOAD, b"")),
            idle_timeout_s=parse_idle_timeout_s(by_name.get(b"keep-alive", b"")),
            closing=closing,
            leaving=by_name.get(SERVER_LEAVING, b"").strip() == b"1",
            pause_s=parse_pause_s(v for n, v in headers if n == RETRY_AFTER)
            if status == STATUS_UNAVAILABLE
            else 0.0,
            promises_not_run=status in PROMISES_NOT_RUN,
        )

    def error_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of an error response that the router itself creates."""
        headers = []
        if request_id:
            headers.append((ATTEMPT_ID, request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, b"%.3f" % retry_after_s))
        return headers


def _parse_prompt_parts(value: bytes) -> list[tuple[str, int]]:
    """Return the ids and tokens in a list of ``id:tokens`` entries, 0 if invalid."""
    entries = [e.partition(b":") for e in value.split(b",")] if value else []
    return [
        (part.decode("latin-1").strip(), parse_number(tokens) or 0)
        for part, _, tokens in entries
    ]


def _parse_load_report(value: bytes) -> LoadReport | None:
    """Parse a load report; return None if it is missing or invalid."""
    numbers = [parse_number(item) for item in value.split(b",", MAX_LOAD_FIGURES)]
    if len(numbers) < MIN_LOAD_FIGURES or None in numbers[:MIN_LOAD_FIGURES]:
        return None
    running, waiting, slots = numbers[:MIN_LOAD_FIGURES]
    if not slots:
        return None
    pace_percent = numbers[MIN_LOAD_FIGURES] if len(numbers) > MIN_LOAD_FIGURES else 0
    return LoadReport(running, waiting, slots, pace_percent or None)
