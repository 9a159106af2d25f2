"""HTTP listeners that serve readiness, metrics and state, and take commands."""

import asyncio
from collections.abc import Callable

from cranberrysail.router.httplistener import HttpListener, HttpRequest, HttpServerConn

__all__ = ["CommandHandler", "PageHandler", "create_page_server"]

PageHandler = Callable[[], tuple[int, bytes]]
# Is given the body of the request.
CommandHandler = Callable[[bytes], tuple[int, bytes]]
TEXT_HEADERS = [(b"content-type", b"text/plain; charset=utf-8")]


def _error_response(
    status: int, error_code: str
) -> tuple[list[tuple[bytes, bytes]], bytes]:
    return TEXT_HEADERS, error_code.encode() + b"\n"


def create_page_server(
    handlers: dict[str, PageHandler],
    on_error: Callable[[BaseException], None],
    commands: dict[str, CommandHandler] | None = None,
) -> HttpListener:
    """Return an HTTP server with one handler for each path.

    Args:
      handlers: Functions that return the status and body of a response, by path.
      on_error: Called with an exception raised by a handler.
      commands: Functions that carry out a POST request and return the status and body
        of its response, by path.
    """

    def respond(request: HttpRequest) -> tuple[int, bytes]:
        command = (commands or {}).get(request.path)
        if command is not None:
            if request.method != "POST":
                return 405, b"use POST\n"
            return command(request.body)
        handler = handlers.get(request.path)
        return (404, b"no such page\n") if handler is None else handler()

    async def serve(request: HttpRequest, conn: HttpServerConn) -> None:
        status, body = respond(request)
        conn.send_response(status, TEXT_HEADERS, body)
        await asyncio.sleep(0)

    return HttpListener(serve, _error_response, on_error)
