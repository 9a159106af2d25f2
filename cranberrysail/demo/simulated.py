"""Simulated platform, model engines and booking services with real HTTP ports."""

import asyncio
import hashlib
import uuid
from collections import Counter, OrderedDict
from collections.abc import AsyncGenerator, AsyncIterator
from dataclasses import dataclass, field, replace

import msgspec
from blacksheep import Application, Router
from blacksheep.contents import Content, StreamedContent
from blacksheep.messages import Request, Response

from cranberrysail.decisions.events import HostState, ListedEndpoint, LoadReport
from cranberrysail.demo.httpserver import HttpServer
from cranberrysail.endpoints.probe import LOAD_PATH
from cranberrysail.links.platformlog import AppendResponse, MemoryLog

__all__ = ["SimulatedEngine", "SimulatedPlatform", "SimulatedService", "expected_text"]

NOT_RUN_HEADERS = [(b"x-outcome", b"not_run")]
READ_POLL_S = 0.02
DIGEST_CHARS = 16


class _ChatRequest(msgspec.Struct):
    messages: list[dict] = []
    max_tokens: int = 8


def json_response(data: object, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    content = Content(b"application/json", msgspec.json.encode(data))
    return Response(status, None, content)


def _digest(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()[:DIGEST_CHARS]


def expected_text(body: bytes, tokens: int) -> str:
    """Return the text that a simulated engine generates for a request body."""
    digest = _digest(body)
    return " ".join(f"{digest}.{number}" for number in range(1, tokens + 1))


async def _client_disconnected(request: Request) -> None:
    receive = request.content.receive
    while (await receive())["type"] != "http.disconnect":
        pass


class _SimulatedHost:
    """A simulated host with one HTTP port."""

    def __init__(self) -> None:
        self.app = Application(router=Router())
        self.app.router.fallback = self.serve
        self.port = 0
        self._server: HttpServer | None = None
        self._stopping = False

    async def serve(self, request: Request) -> Response:
        """Handle a request."""
        raise NotImplementedError

    async def start(self, port: int = 0) -> None:
        """Start listening.

        Args:
          port: Port to bind, or 0 for any free port.
        """
        self._server = HttpServer(self.app, port=port)
        self.port = await self._server.start()

    async def stop(self) -> None:
        """Stop listening."""
        self._stopping = True
        if self._server is not None:
            await self._server.stop()

    @property
    def address(self) -> str:
        """Return ``host:port``."""
        return f"127.0.0.1:{self.port}"


class SimulatedEngine(_SimulatedHost):
    """A simulated model engine with a prefix cache and a cold start.

    Attributes:
      open: Open calls.
      peak: Largest number of open calls.
      overloads: Calls that arrived while it was cold and had ``cold_open`` open calls.
      prompt_tokens: Prompt tokens of all calls.
      cached_tokens: Prompt tokens found in the cache.
      served: Calls by request id, without those that resume a stream.
      abort_after_tokens: Number of tokens after which the stream of each request is
        aborted once; 0 for never.
      can_resume: Whether it resumes streams.
    """

    def __init__(
        self, token_s: float = 0.005, cold_open: int = 2, cache_chats: int = 256
    ) -> None:
        """Create an engine.

        Args:
          token_s: Time for each token, in seconds.
          cold_open: Open calls that it can take when cold.
          cache_chats: Capacity of its LRU cache, in prefixes.
        """
        super().__init__()
        self.token_s = token_s
        self.cold_open = cold_open
        self.instance = uuid.uuid4().hex
        self.open = 0
        self.peak = 0
        self.cold_calls_left = 0
        self.overloads = 0
        self.prompt_tokens = 0
        self.cached_tokens = 0
        self.served: Counter = Counter()
        self.abort_after_tokens = 0
        self.can_resume = True
        self._aborted: set[str] = set()
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._cache_chats = cache_chats

    def restart(self, cold_calls: int = 16) -> None:
        """Restart with an empty cache, as a new instance.

        Args:
          cold_calls: Calls to complete until it is warm.
        """
        self.instance = uuid.uuid4().hex
        self.cold_calls_left = cold_calls
        self._cache.clear()

    async def serve(self, request: Request) -> Response:
        """Handle a load probe or a chat request."""
        if request.url.path.decode() == LOAD_PATH:
            return json_response(LoadReport(self.instance, self.open))
        body = await request.read() or b""
        parsed = msgspec.json.decode(body, type=_ChatRequest)
        after = request.get_first_header(b"last-event-id")
        if after is not None and not self.can_resume:
            return Response(409)
        request_id = (request.get_first_header(b"x-request-id") or b"").decode()
        self._count_call(parsed, request_id, after is not None)
        first = int(after) + 1 if after is not None else 1
        disconnected = asyncio.ensure_future(_client_disconnected(request))
        stream = self._stream(request_id, _digest(body), first, parsed.max_tokens)

        async def body_chunks() -> AsyncIterator[bytes]:
            async for part in stream:
                if disconnected.done():
                    await stream.aclose()
                    return
                yield part

        return Response(200, None, StreamedContent(b"text/event-stream", body_chunks))

    def _count_call(self, body: _ChatRequest, request_id: str, resumed: bool) -> None:
        if self.cold_calls_left and self.open >= self.cold_open:
            self.overloads += 1
        self.open += 1
        self.peak = max(self.peak, self.open)
        if resumed:
            return
        self.served[request_id] += 1
        self._use_cache(body)

    def _use_cache(self, body: _ChatRequest) -> None:
        tokens = cached = 0
        prefix = hashlib.sha256()
        for message in body.messages:
            text = str(message.get("content", ""))
            prefix.update(text.encode() + b"\0")
            tokens += len(text.split())
            if prefix.hexdigest() in self._cache:
                cached = tokens
            self._cache[prefix.hexdigest()] = tokens
            self._cache.move_to_end(prefix.hexdigest())
        while len(self._cache) > self._cache_chats:
            self._cache.popitem(last=False)
        self.prompt_tokens += tokens
        self.cached_tokens += cached

    async def _stream(
        self, request_id: str, digest: str, first: int, last: int
    ) -> AsyncGenerator[bytes, None]:
        try:
            for number in range(first, last + 1):
                await asyncio.sleep(self.token_s)
                event = msgspec.json.encode(
                    {"choices": [{"delta": {"content": f"{digest}.{number}"}}]}
                )
                yield b"id: %d\ndata: %s\n\n" % (number, event)
                if (
                    number == self.abort_after_tokens
                    and request_id not in self._aborted
                ):
                    self._aborted.add(request_id)
                    raise ConnectionError("simulated engine aborts the stream")
            yield b"data: [DONE]\n\n"
        finally:
            self.open -= 1
            self.cold_calls_left = max(0, self.cold_calls_left - 1)


class SimulatedService(_SimulatedHost):
    """A simulated service that takes bookings, which must not run twice.

    Attributes:
      open: Open calls.
      delay_s: Time for each response, in seconds.
      bookings: Number of times each body was booked.
    """

    def __init__(self) -> None:
        super().__init__()
        self.instance = uuid.uuid4().hex
        self.open = 0
        self.delay_s = 0.0
        self.bookings: Counter = Counter()

    async def serve(self, request: Request) -> Response:
        """Handle a load probe, a booking or a look-up."""
        if request.url.path.decode() == LOAD_PATH:
            return json_response(LoadReport(self.instance, self.open))
        self.open += 1
        try:
            body = (await request.read() or b"").decode()
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if request.method == "GET":
                return json_response({"bookings": sorted(self.bookings)})
            self.bookings[body] += 1
            return json_response({"booked": body, "number": len(self.bookings)}, 201)
        finally:
            self.open -= 1


@dataclass
class PlatformFaults:
    """Simulated faults of the platform's log.

    Attributes:
      down: New requests to the log fail and no record is appended; the list of hosts
        still responds.
      lose_responses: Records are appended, but the responses are errors.
      delay_s: Time for each response, in seconds.
    """

    down: bool = False
    lose_responses: bool = False
    delay_s: float = 0.0


@dataclass
class PlatformCounts:
    """Requests that the platform's log has handled.

    Attributes:
      by_stream: Appended records by stream.
    """

    appends: int = 0
    reads: int = 0
    by_stream: Counter = field(default_factory=Counter)


class SimulatedPlatform(_SimulatedHost):
    """A simulated platform: its log and its list of hosts."""

    def __init__(self, log: MemoryLog | None = None) -> None:
        """Create a platform.

        Args:
          log: Log that stores the records; a new one by default.
        """
        super().__init__()
        self.log = log or MemoryLog()
        self.hosts: dict[str, ListedEndpoint] = {}
        self.faults = PlatformFaults()
        self.counts = PlatformCounts()

    @property
    def log_url(self) -> str:
        """Return the base URL of the log."""
        return f"http://{self.address}/log"

    @property
    def hosts_url(self) -> str:
        """Return the URL of the host list."""
        return f"http://{self.address}/hosts"

    def list_host(self, host: ListedEndpoint) -> None:
        """Add a host to the list or replace it."""
        self.hosts[host.name] = host

    def set_leaving(self, name: str) -> None:
        """Mark a host as leaving in the list."""
        leaving = replace(self.hosts[name], state=HostState.LEAVING)
        self.hosts[name] = leaving

    async def serve(self, request: Request) -> Response:
        """Handle a request for the log or the host list."""
        path = request.url.path.decode()
        if path == "/hosts":
            return self._list(request)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            return Response(503)
        parts = path.split("/")
        if len(parts) != 5 or parts[1:3] != ["log", "streams"]:
            return Response(404)
        if request.method == "POST":
            return await self._append(request, parts[3])
        return await self._read(request, parts[3])

    def _list(self, request: Request) -> Response:
        body = msgspec.json.encode([self.hosts[name] for name in sorted(self.hosts)])
        etag = hashlib.sha256(body).hexdigest().encode()
        if request.get_first_header(b"if-none-match") == etag:
            return Response(304)
        content = Content(b"application/json", body)
        return Response(200, [(b"etag", etag)], content)

    async def _append(self, request: Request, stream: str) -> Response:
        data = await request.read() or b""
        now = asyncio.get_running_loop().time()
        offset = self.log.append_at(stream, data, now)
        self.counts.appends += 1
        self.counts.by_stream[stream] += 1
        if self.faults.lose_responses:
            return Response(502)
        return json_response(AppendResponse(offset))

    async def _read(self, request: Request, stream: str) -> Response:
        after = int(request.query.get("after", ["0"])[0])
        limit = int(request.query.get("limit", ["1000"])[0])
        wait_s = float(request.query.get("wait_s", ["0"])[0])
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_s
        self.counts.reads += 1
        while True:
            page = self.log.read_at(stream, after, loop.time(), limit)
            expired = loop.time() >= until_s or self._stopping
            if page.records or expired or self.faults.down:
                return json_response(page)
            await asyncio.sleep(READ_POLL_S)
