"""The platform's append-only log and its list of hosts."""

from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass, field

import msgspec

from cranberrysail.decisions.events import ListedHost
from cranberrysail.decisions.tablestate import LogRecord
from cranberrysail.errors import LogUnavailableError, UpstreamError
from cranberrysail.links.webclient import WebClient

__all__ = [
    "READ_LIMIT",
    "BaseLog",
    "HostList",
    "HttpLog",
    "LogPage",
    "MemoryLog",
    "PlatformClient",
]

READ_LIMIT = 1000
OK = 200
NOT_MODIFIED = 304


class LogPage(msgspec.Struct, frozen=True):
    """Records of a stream.

    Attributes:
      first: Oldest offset that is kept.
      end: Newest offset.
      lapsed_s: Time of the newest record that was dropped, 0 if none.
    """

    first: int
    end: int
    lapsed_s: float
    records: tuple[LogRecord, ...]


class Appended(msgspec.Struct, frozen=True):
    """The log's answer to an append."""

    offset: int


class BaseLog(ABC):
    """An append-only log of named streams with offsets from 1."""

    @abstractmethod
    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset.

        Raises:
          LogUnavailableError: If the log gave no answer.
        """

    @abstractmethod
    async def read(self, stream: str, after: int, wait_s: float = 0.0) -> LogPage:
        """Return records after an offset.

        Args:
          stream: Name of the stream.
          after: Offset after which to read.
          wait_s: Longest time to wait for a record.

        Raises:
          LogUnavailableError: If the log gave no answer.
        """


@dataclass
class _Stream:
    records: deque[LogRecord] = field(default_factory=deque)
    end: int = 0
    lapsed_s: float = 0.0


class MemoryLog(BaseLog):
    """A log in memory with limited retention, without waiting."""

    def __init__(self, retention_s: float = float("inf")) -> None:
        """Create an empty log.

        Args:
          retention_s: Time for which records are kept.
        """
        self._retention_s = retention_s
        self._streams: dict[str, _Stream] = {}

    def append_at(self, stream: str, data: bytes, now: float) -> int:
        """Append a record at a given time and return its offset."""
        kept = self._streams.setdefault(stream, _Stream())
        kept.end += 1
        kept.records.append(LogRecord(kept.end, now, data))
        return kept.end

    def read_at(
        self, stream: str, after: int, now: float, limit: int = READ_LIMIT
    ) -> LogPage:
        """Return records after an offset as of a given time."""
        kept = self._streams.setdefault(stream, _Stream())
        while kept.records and now - kept.records[0].time_s > self._retention_s:
            kept.lapsed_s = kept.records.popleft().time_s
        first = kept.records[0].offset if kept.records else kept.end + 1
        skip = max(0, after - first + 1)
        records = tuple(kept.records)[skip : skip + limit]
        return LogPage(first, kept.end, kept.lapsed_s, records)

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record at time 0 and return its offset."""
        return self.append_at(stream, data, 0.0)

    async def read(self, stream: str, after: int, wait_s: float = 0.0) -> LogPage:
        """Return records after an offset."""
        return self.read_at(stream, after, 0.0)


class PlatformClient:
    """HTTP calls to the platform's services."""

    def __init__(self, timeout_s: float, wait_s: float = 0.0) -> None:
        """Create a client.

        Args:
          timeout_s: Time after which a call is given up.
          wait_s: Longest time that the service itself may wait.
        """
        self._web = WebClient(timeout_s + wait_s)

    async def get(
        self, url: str, headers: dict[str, str] | None = None
    ) -> tuple[int, str, bytes]:
        """Return status, entity tag and body.

        Raises:
          LogUnavailableError: If there is no answer.
        """
        try:
            answer = await self._web.call("GET", url, headers)
        except UpstreamError as exc:
            raise LogUnavailableError(exc.reason) from exc
        return answer.status, answer.header("etag"), answer.body

    async def post(self, url: str, data: bytes) -> bytes:
        """Send a body and return the answer's.

        Raises:
          LogUnavailableError: If there is no answer; the call may have taken
            effect.
        """
        headers = {"content-type": "application/octet-stream"}
        try:
            answer = await self._web.call("POST", url, headers, data)
        except UpstreamError as exc:
            raise LogUnavailableError(exc.reason, exc.sent) from exc
        if answer.status != OK:
            raise LogUnavailableError(f"status {answer.status}", True)
        return answer.body

    async def close(self) -> None:
        """Close the client's connections."""
        await self._web.close()


class HttpLog(BaseLog):
    """The platform's log over HTTP."""

    WAIT_MAX_S = 10.0

    def __init__(self, url: str, timeout_s: float) -> None:
        """Create a client of the log.

        Args:
          url: Base URL of the log.
          timeout_s: Time after which a call is given up.
        """
        self._url = url.rstrip("/")
        self._client = PlatformClient(timeout_s, self.WAIT_MAX_S)
        self._appender = PlatformClient(timeout_s)

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        url = f"{self._url}/streams/{stream}/records"
        body = await self._appender.post(url, data)
        try:
            return msgspec.json.decode(body, type=Appended).offset
        except msgspec.DecodeError as exc:
            raise LogUnavailableError("unreadable answer", True) from exc

    async def read(self, stream: str, after: int, wait_s: float = 0.0) -> LogPage:
        """Return records after an offset."""
        wait_s = min(wait_s, self.WAIT_MAX_S)
        url = (
            f"{self._url}/streams/{stream}/records"
            f"?after={after}&limit={READ_LIMIT}&wait_s={wait_s:g}"
        )
        status, _, body = await self._client.get(url)
        if status != OK:
            raise LogUnavailableError(f"status {status}")
        try:
            return msgspec.json.decode(body, type=LogPage)
        except msgspec.DecodeError as exc:
            raise LogUnavailableError("unreadable answer") from exc

    async def close(self) -> None:
        """Close the client's connections."""
        await self._client.close()
        await self._appender.close()


class HostList:
    """The platform's list of hosts over HTTP."""

    def __init__(self, url: str, timeout_s: float) -> None:
        """Create a client of the list.

        Args:
          url: URL of the list.
          timeout_s: Time after which a call is given up.
        """
        self._url = url
        self._client = PlatformClient(timeout_s)
        self._etag = ""

    async def read(self) -> tuple[ListedHost, ...] | None:
        """Return the list, or None if it has not changed.

        Raises:
          LogUnavailableError: If there is no valid answer.
        """
        headers = {"if-none-match": self._etag} if self._etag else {}
        status, etag, body = await self._client.get(self._url, headers)
        if status == NOT_MODIFIED:
            return None
        if status != OK:
            raise LogUnavailableError(f"status {status}")
        try:
            hosts = msgspec.json.decode(body, type=tuple[ListedHost, ...])
        except msgspec.DecodeError as exc:
            raise LogUnavailableError("unreadable list") from exc
        self._etag = etag
        return hosts

    async def close(self) -> None:
        """Close the client's connections."""
        await self._client.close()
