"""Relaying a streamed answer to its caller, whole or with an error."""

import asyncio
from collections.abc import Awaitable, Callable

from cranberrysail.endpoints.upstream import UpstreamCall
from cranberrysail.errors import UpstreamError
from cranberrysail.router.sse import EVENT_END, last_event_id

__all__ = ["DONE_EVENT", "EventRelay", "PlainRelay"]

DONE_EVENT = b"data: [DONE]\n\n"
ERROR_EVENT = (
    b"event: error\n"
    b'data: {"error":{"code":"broken","outcome":"outcome_unknown","message":'
    b'"the endpoint broke off and could not resume; ask again"}}\n\n'
)
MAX_RESUMES = 2
MAX_EVENT_BYTES = 1024 * 1024

Resume = Callable[[bytes], Awaitable[UpstreamCall]]
Finish = Callable[[bool], None]


class PlainRelay:
    """Passes a response on as it comes; a break ends it with an exception.

    Attributes:
      first_byte: Called once, when the first part is there.
    """

    def __init__(self, call: UpstreamCall, idle_s: float, finish: Finish) -> None:
        """Create a relay.

        Args:
          call: The call whose response is passed on.
          idle_s: Longest silence, in seconds.
          finish: Called once at the end, with whether the answer was whole.
        """
        self._call = call
        self._idle_s = idle_s
        self._finish = finish
        self._finished = False
        self._ended = False
        self._timer: asyncio.TimerHandle | None = None
        self._parts = -1
        self.first_byte: Callable[[], None] | None = None
        self._watch()

    def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._idle_s, self._check_idle)

    def _check_idle(self) -> None:
        if self._finished:
            return
        if self._call.waiting and self._call.parts == self._parts:
            self._call.close()
            return
        self._parts = self._call.parts
        self._watch()

    @property
    def whole(self) -> bool:
        """Return whether the endpoint gave the whole answer."""
        return self._call.complete

    def finish(self, whole: bool) -> None:
        """Note the end of the answer; only the first call counts."""
        if self._finished:
            return
        self._finished = True
        if self._timer is not None:
            self._timer.cancel()
        self._call.close()
        self._finish(whole)

    def __aiter__(self) -> "PlainRelay":
        return self

    async def __anext__(self) -> bytes:
        if self._ended:
            raise StopAsyncIteration
        try:
            data = await self._call.read()
        except UpstreamError:
            if self._finished:
                raise StopAsyncIteration from None
            self.finish(False)
            raise
        if self.first_byte is not None:
            self._note_first()
        if not data:
            self.finish(True)
            self._ended = True
        return data

    def _note_first(self) -> None:
        note = self.first_byte
        self.first_byte = None
        note()


class EventRelay(PlainRelay):
    """Passes on whole events, and resumes a stream that breaks off.

    Events follow the Server-Sent Events format. An answer is whole if its last
    event says so; one that cannot be completed ends with an error event.
    """

    def __init__(
        self, call: UpstreamCall, idle_s: float, finish: Finish, resume: Resume
    ) -> None:
        """Create a relay.

        Args:
          call: The call whose response is passed on.
          idle_s: Longest silence, in seconds.
          finish: Called once at the end, with whether the answer was whole.
          resume: Opens a call that goes on after the event with a given id.
        """
        super().__init__(call, idle_s, finish)
        self._resume = resume
        self._resumes = 0
        self._tail = b""
        self._last = b""

    @property
    def whole(self) -> bool:
        """Return whether the last event passed on ends the answer."""
        return self._last.endswith(DONE_EVENT)

    async def __anext__(self) -> bytes:
        if self._ended:
            raise StopAsyncIteration
        while True:
            try:
                data = await self._call.read()
            except UpstreamError:
                data = b""
            if not data:
                if self.whole:
                    return self._end(True, b"")
                if await self._try_resume():
                    continue
                return self._end(False, ERROR_EVENT)
            events = self._whole_events(data)
            if events:
                if self.first_byte is not None:
                    self._note_first()
                self._last = events
                return events

    def _whole_events(self, data: bytes) -> bytes:
        if self._tail:
            data = self._tail + data
            self._tail = b""
        if data.endswith(EVENT_END):
            return data
        cut = data.rfind(EVENT_END) + len(EVENT_END)
        if cut < len(EVENT_END):
            cut = 0
        self._tail = data[cut:]
        if len(self._tail) > MAX_EVENT_BYTES:
            self._call.close()
        return data[:cut]

    def _end(self, whole: bool, last: bytes) -> bytes:
        self.finish(whole)
        self._ended = True
        return last

    async def _try_resume(self) -> bool:
        event_id = last_event_id(self._last)
        self._tail = b""
        while event_id and self._resumes < MAX_RESUMES and not self._finished:
            self._resumes += 1
            self._call.close()
            try:
                self._call = await self._resume(event_id)
            except UpstreamError:
                continue
            return True
        return False
