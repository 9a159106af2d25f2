"""Relays of streamed response bodies from endpoints to callers."""

import asyncio
from collections.abc import Awaitable, Callable

from cranberrysail.endpoints.upstream import UpstreamCall
from cranberrysail.errors import UpstreamError
from cranberrysail.router.sse import EventSplitter

__all__ = ["DONE_EVENT", "EventRelay", "PlainRelay"]

DONE_EVENT = b"data: [DONE]\n\n"
ERROR_EVENT = (
    b"event: error\n"
    b'data: {"error":{"code":"broken","outcome":"outcome_unknown","message":'
    b'"the response was interrupted and not resumed; repeat the request"}}\n\n'
)
MAX_RESUMES = 2

ResumeCallback = Callable[[bytes], Awaitable[UpstreamCall]]
FinishCallback = Callable[[bool], None]


class PlainRelay:
    """Relays a response body as it arrives; raises if it is interrupted.

    Attributes:
      on_first_byte: Called once, when the first data or the end was received.
    """

    def __init__(
        self, call: UpstreamCall, idle_s: float, finish: FinishCallback
    ) -> None:
        """Create a relay.

        Args:
          call: The call whose response is relayed.
          idle_s: Interval of a check that closes the call if no data was received
            since the last check, in seconds.
          finish: Called once at the end, with whether the response is complete.
        """
        self._call = call
        self._idle_s = idle_s
        self._finish = finish
        self._finished = False
        self._exhausted = False
        self._timer: asyncio.TimerHandle | None = None
        self._reads_at_check = -1
        self.on_first_byte: Callable[[], None] | None = None
        self._schedule_idle_check()

    def _schedule_idle_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._idle_s, self._check_idle)

    def _check_idle(self) -> None:
        if self._finished:
            return
        if self._call.waiting and self._call.reads == self._reads_at_check:
            self._call.close()
            return
        self._reads_at_check = self._call.reads
        self._schedule_idle_check()

    @property
    def complete(self) -> bool:
        """Return whether the whole response was received."""
        return self._call.complete

    def finish(self, complete: bool) -> None:
        """Close the call to the endpoint and report the end; no effect if repeated.

        Args:
          complete: Whether the response is complete.
        """
        if self._finished:
            return
        self._finished = True
        if self._timer is not None:
            self._timer.cancel()
        self._call.close()
        self._finish(complete)

    def __aiter__(self) -> "PlainRelay":
        return self

    async def __anext__(self) -> bytes:
        if self._exhausted:
            raise StopAsyncIteration
        try:
            data = await self._call.read()
        except UpstreamError:
            self.finish(False)
            raise
        if self.on_first_byte is not None:
            self._report_first_byte()
        if not data:
            self.finish(True)
            self._exhausted = True
        return data

    def _report_first_byte(self) -> None:
        callback = self.on_first_byte
        self.on_first_byte = None
        callback()


class EventRelay(PlainRelay):
    """Relays a stream of Server-Sent Events and resumes it if it is interrupted.

    Only complete events are relayed. The stream is complete if it ends with
    ``DONE_EVENT``; one that cannot be resumed ends with ``ERROR_EVENT``.
    """

    def __init__(
        self,
        call: UpstreamCall,
        idle_s: float,
        finish: FinishCallback,
        resume: ResumeCallback,
    ) -> None:
        """Create a relay.

        Args:
          call: The call whose response is relayed.
          idle_s: Interval of a check that closes the call if no data was received
            since the last check, in seconds.
          finish: Called once at the end, with whether the response is complete.
          resume: Opens a call that continues after the event with a given id.
        """
        super().__init__(call, idle_s, finish)
        self._resume = resume
        self._resumes = 0
        self._splitter = EventSplitter()
        self._last_events = b""

    @property
    def complete(self) -> bool:
        """Return whether the last event relayed is ``DONE_EVENT``."""
        return self._last_events.splitlines()[-2:] == [DONE_EVENT.strip(), b""]

    async def __anext__(self) -> bytes:
        if self._exhausted:
            raise StopAsyncIteration
        while True:
            try:
                data = await self._call.read()
            except UpstreamError:
                data = b""
            if not data:
                if self.complete:
                    return self._end_with(True, b"")
                if await self._try_resume():
                    continue
                return self._end_with(False, ERROR_EVENT)
            events = self._splitter.feed(data)
            if events:
                if self.on_first_byte is not None:
                    self._report_first_byte()
                self._last_events = events
                return events

    def _end_with(self, complete: bool, last: bytes) -> bytes:
        self.finish(complete)
        self._exhausted = True
        return last

    async def _try_resume(self) -> bool:
        event_id = self._splitter.last_id
        self._splitter.discard_tail()
        while event_id and self._resumes < MAX_RESUMES and not self._finished:
            self._resumes += 1
            self._call.close()
            try:
                self._call = await self._resume(event_id)
            except UpstreamError:
                continue
            return True
        return False
