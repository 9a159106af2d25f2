"""Readiness, metrics and state over a small HTTP listener."""

import asyncio
from collections.abc import Callable

from cranberrysail.router.callerconn import CallerConn, CallerFront, CallerRequest

__all__ = ["Page", "page_front"]

Page = Callable[[], tuple[int, bytes]]
TEXT = [(b"content-type", b"text/plain; charset=utf-8")]


def _refuse(status: int, reason: str) -> tuple[list[tuple[bytes, bytes]], bytes]:
    return TEXT, reason.encode() + b"\n"


def page_front(
    pages: dict[str, Page], failed: Callable[[BaseException], None]
) -> CallerFront:
    """Return a front that serves pages by path.

    Args:
      pages: Functions that return status and body, by path.
      failed: Called with an error of a page.
    """

    async def serve(request: CallerRequest, conn: CallerConn) -> None:
        page = pages.get(request.path)
        if page is None:
            conn.send_whole(404, TEXT, b"no such page\n")
            return
        status, body = page()
        conn.send_whole(status, TEXT, body)
        await asyncio.sleep(0)

    return CallerFront(serve, _refuse, failed)
