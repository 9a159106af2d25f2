"""HTTP client for services by URL, with keep-alive and a timeout per call."""

import asyncio
import ssl
from dataclasses import dataclass
from urllib.parse import urlsplit

from cranberrysail.errors import UpstreamError
from cranberrysail.router.httpclient import HttpClientConn, connect

__all__ = ["WebClient", "WebResponse"]

MAX_BODY_BYTES = 16 * 1024 * 1024
DEFAULT_PORTS = {"http": 80, "https": 443}
# Idle time after which a connection is not used again; servers keep idle connections
# open for at least five seconds.
MAX_IDLE_S = 3.0


@dataclass(frozen=True)
class WebResponse:
    """A response with its body."""

    status: int
    headers: dict[str, str]
    body: bytes

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        return self.headers.get(name, "")


class WebClient:
    """Calls services and reuses idle connections."""

    def __init__(self, timeout_s: float) -> None:
        """Create a client.

        Args:
          timeout_s: Timeout of a whole call, in seconds.
        """
        self._timeout_s = timeout_s
        self._idle: dict[tuple[str, str], list[HttpClientConn]] = {}

    async def call(
        self,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> WebResponse:
        """Send a request and return the response.

        Args:
          method: HTTP method.
          url: Absolute URL.
          headers: Headers besides Host and Content-Length.
          body: Body of the request.

        Raises:
          UpstreamError: If no complete response was received in time; ``sent``
            tells whether the request may have taken effect.
        """
        parts = urlsplit(url)
        conn = None
        try:
            async with asyncio.timeout(self._timeout_s):
                conn = await self._connection(parts.scheme, parts.netloc)
                conn.send(_request(method, parts, headers or {}, body))
                await conn.wait_for_head()
                data = await conn.read_all(MAX_BODY_BYTES)
        except TimeoutError as exc:
            sent = conn is not None
            reason = f"no response within {self._timeout_s} s"
            raise UpstreamError(reason, sent=sent) from exc
        finally:
            if conn is not None and not conn.complete:
                conn.close()
        self._release(parts.scheme, parts.netloc, conn)
        response_headers = {
            n.decode("latin-1"): v.decode("latin-1") for n, v in conn.headers
        }
        return WebResponse(conn.status, response_headers, data)

    async def _connection(self, scheme: str, netloc: str) -> HttpClientConn:
        idle = self._idle.get((scheme, netloc), [])
        while idle:
            conn = idle.pop()
            if conn.can_send and conn.idle_for_s < MAX_IDLE_S:
                return conn
            conn.close()
        tls = ssl.create_default_context() if scheme == "https" else None
        host, _, port = netloc.partition(":")
        address = f"{host}:{port or DEFAULT_PORTS.get(scheme, 80)}"
        return await connect(address, self._timeout_s, tls)

    def _release(self, scheme: str, netloc: str, conn: HttpClientConn) -> None:
        if not conn.can_send:
            conn.close()
            return
        conn.mark_idle()
        self._idle.setdefault((scheme, netloc), []).append(conn)

    async def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                conn.close()
        self._idle.clear()


def _request(method: str, parts, headers: dict[str, str], body: bytes) -> bytes:
    target = parts.path or "/"
    if parts.query:
        target += f"?{parts.query}"
    lines = [f"{method} {target} HTTP/1.1", f"host: {parts.netloc}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in ("GET", "HEAD"):
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
