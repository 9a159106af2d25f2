"""HTTP servers that run in this process, on its event loop."""

import asyncio
import contextlib
from collections.abc import Callable
from pathlib import Path

import uvicorn

__all__ = ["HttpServer"]

STARTUP_POLL_S = 0.005
SHUTDOWN_GRACE_S = 2


class _Server(uvicorn.Server):
    """A server that installs no signal handlers; the process handles signals."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Leave signal handlers as they are."""
        yield


class HttpServer:
    """Serves one application on one port."""

    def __init__(
        self,
        app: Callable,
        address: str = "127.0.0.1",
        port: int = 0,
        cert: Path | None = None,
        key: Path | None = None,
    ) -> None:
        """Create a server without starting it.

        Args:
          app: ASGI application to serve.
          address: IP address to bind.
          port: Port to bind, or 0 for any free port.
          cert: Certificate chain file for TLS.
          key: Private key file for TLS.
        """
        config = uvicorn.Config(
            app,
            host=address,
            port=port,
            http="httptools",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            timeout_graceful_shutdown=SHUTDOWN_GRACE_S,
            ssl_certfile=cert,
            ssl_keyfile=key,
        )
        config.load()
        self._address = address
        self._server = _Server(config)
        self._task: asyncio.Task | None = None

    async def start(self) -> int:
        """Listen and return the port.

        Raises:
          OSError: If the port cannot be bound.
        """
        self._task = asyncio.ensure_future(self._server.serve())
        while not self._server.started:
            if self._task.done():
                raise OSError(
                    f"cannot listen on {self._address}; check that the port is free"
                )
            await asyncio.sleep(STARTUP_POLL_S)
        return self._server.servers[0].sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        self._server.should_exit = True
        if self._task is not None:
            await asyncio.gather(self._task, return_exceptions=True)
