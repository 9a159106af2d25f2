"""Clients of the platform's append-only log and its list of hosts."""

from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass, field

import msgspec

from cranberrysail.decisions.events import ListedEndpoint
from cranberrysail.decisions.tablestate import LogRecord
from cranberrysail.errors import LogUnavailableError, UpstreamError
from cranberrysail.links.webclient import WebClient

__all__ = [
    "MAX_RECORDS_PER_READ",
    "BaseLog",
    "HostListClient",
    "HttpLog",
    "LogPage",
    "MemoryLog",
    "PlatformClient",
]

MAX_RECORDS_PER_READ = 1000
OK = 200
NOT_MODIFIED = 304


class LogPage(msgspec.Struct, frozen=True):
    """Result of a read from a stream.

    Attributes:
      first: Oldest offset that is retained; one after ``end`` if there is none.
      end: Newest offset.
      lapsed_s: Time of the newest record that has expired, 0 if none.
      records: Records after the requested offset.
    """

    first: int
    end: int
    lapsed_s: float
    records: tuple[LogRecord, ...]


class AppendResponse(msgspec.Struct, frozen=True):
    """Response of the log to an append."""

    offset: int


class BaseLog(ABC):
    """An append-only log of named streams with offsets from 1."""

    @abstractmethod
    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset.

        Raises:
          LogUnavailableError: If the log does not respond.
        """

    @abstractmethod
    async def read(self, stream: str, after: int, wait_s: float = 0.0) -> LogPage:
        """Return records after an offset.

        Args:
          stream: Name of the stream.
          after: Offset after which to read.
          wait_s: Maximum time to wait for a record, in seconds.

        Raises:
          LogUnavailableError: If the log does not respond.
        """


@dataclass
class _Stream:
    records: deque[LogRecord] = field(default_factory=deque)
    end: int = 0
    lapsed_s: float = 0.0


class MemoryLog(BaseLog):
    """A log in memory with limited retention; reads do not wait for records."""

    def __init__(self, retention_s: float = float("inf")) -> None:
        """Create an empty log.

        Args:
          retention_s: Time for which records are retained, in seconds.
        """
        self._retention_s = retention_s
        self._streams: dict[str, _Stream] = {}

    def append_at(self, stream: str, data: bytes, now: float) -> int:
        """Append a record at a given time and return its offset."""
        stored = self._streams.setdefault(stream, _Stream())
        stored.end += 1
        stored.records.append(LogRecord(stored.end, now, data))
        return stored.end

    def read_at(
        self, stream: str, after: int, now: float, limit: int = MAX_RECORDS_PER_READ
    ) -> LogPage:
        """Return records after an offset as of a given time."""
        stored = self._streams.setdefault(stream, _Stream())
        while stored.records and now - stored.records[0].time_s > self._retention_s:
            stored.lapsed_s = stored.records.popleft().time_s
        first = stored.records[0].offset if stored.records else stored.end + 1
        skip = max(0, after - first + 1)
        records = tuple(stored.records)[skip : skip + limit]
        return LogPage(first, stored.end, stored.lapsed_s, records)

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record at time 0 and return its offset."""
        return self.append_at(stream, data, 0.0)

    async def read(self, stream: str, after: int, wait_s: float = 0.0) -> LogPage:
        """Return records after an offset."""
        return self.read_at(stream, after, 0.0)


class PlatformClient:
    """HTTP client of the platform's services."""

    def __init__(self, timeout_s: float, wait_s: float = 0.0) -> None:
        """Create a client.

        Args:
          timeout_s: Timeout of a call, in seconds.
          wait_s: Maximum time that the service waits on request, in seconds; added
            to the timeout.
        """
        self._web = WebClient(timeout_s + wait_s)

    async def get(
        self, url: str, headers: dict[str, str] | None = None
    ) -> tuple[int, str, bytes]:
        """Return the status, entity tag and body of the response to a GET request.

        Raises:
          LogUnavailableError: If there is no response.
        """
        try:
            response = await self._web.call("GET", url, headers)
        except UpstreamError as exc:
            raise LogUnavailableError(exc.reason) from exc
        return response.status, response.header("etag"), response.body

    async def post(self, url: str, data: bytes) -> bytes:
        """Send a POST request and return the body of the response.

        Raises:
          LogUnavailableError: If the request fails; its ``maybe_appended`` tells
            whether it may have taken effect.
        """
        headers = {"content-type": "application/octet-stream"}
        try:
            response = await self._web.call("POST", url, headers, data)
        except UpstreamError as exc:
            raise LogUnavailableError(exc.reason, exc.sent) from exc
        if response.status != OK:
            raise LogUnavailableError(f"status {response.status}", True)
        return response.body

    async def close(self) -> None:
        """Close the client's connections."""
        await self._web.close()


class HttpLog(BaseLog):
    """The platform's log, accessed over HTTP."""

    MAX_WAIT_S = 10.0

    def __init__(self, url: str, timeout_s: float) -> None:
        """Create a client.

        Args:
          url: Base URL of the log.
          timeout_s: Timeout of a call, in seconds.
        """
        self._url = url.rstrip("/")
        self._client = PlatformClient(timeout_s, self.MAX_WAIT_S)
        self._appender = PlatformClient(timeout_s)

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        url = f"{self._url}/streams/{stream}/records"
        body = await self._appender.post(url, data)
        try:
            return msgspec.json.decode(body, type=AppendResponse).offset
        except msgspec.DecodeError as exc:
            raise LogUnavailableError("malformed response", True) from exc

    async def read(self, stream: str, after: int, wait_s: float = 0.0) -> LogPage:
        """Return records after an offset."""
        wait_s = min(wait_s, self.MAX_WAIT_S)
        url = (
            f"{self._url}/streams/{stream}/records"
            f"?after={after}&limit={MAX_RECORDS_PER_READ}&wait_s={wait_s:g}"
        )
        status, _, body = await self._client.get(url)
        if status != OK:
            raise LogUnavailableError(f"status {status}")
        try:
            return msgspec.json.decode(body, type=LogPage)
        except msgspec.DecodeError as exc:
            raise LogUnavailableError("malformed response") from exc

    async def close(self) -> None:
        """Close the client's connections."""
        await self._client.close()
        await self._appender.close()


class HostListClient:
    """HTTP client of the platform's list of hosts."""

    def __init__(self, url: str, timeout_s: float) -> None:
        """Create a client.

        Args:
          url: URL of the list.
          timeout_s: Timeout of a call, in seconds.
        """
        self._url = url
        self._client = PlatformClient(timeout_s)
        self._etag = ""

    async def read(self) -> tuple[ListedEndpoint, ...] | None:
        """Return the list, or None if it has not changed since the last read.

        Raises:
          LogUnavailableError: If there is no valid response.
        """
        headers = {"if-none-match": self._etag} if self._etag else {}
        status, etag, body = await self._client.get(self._url, headers)
        if status == NOT_MODIFIED:
            return None
        if status != OK:
            raise LogUnavailableError(f"status {status}")
        try:
            hosts = msgspec.json.decode(body, type=tuple[ListedEndpoint, ...])
        except msgspec.DecodeError as exc:
            raise LogUnavailableError("malformed list of hosts") from exc
        self._etag = etag
        return hosts

    async def close(self) -> None:
        """Close the client's connections."""
        await self._client.close()
