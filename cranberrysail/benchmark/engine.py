"""A model engine: batches, a prompt cache, and memory that can run out."""

from collections import OrderedDict
from dataclasses import dataclass, field

from cranberrysail.benchmark.arrivals import Arrival
from cranberrysail.benchmark.sheet import CallSheet, EngineSheet

__all__ = ["Engine", "Work"]


@dataclass(eq=False)
class Work:
    """A call at an engine.

    Attributes:
      urgency: 0 is admitted first.
      to_read: Prompt tokens that are still to be read.
      made: Tokens of the answer so far.
      last_s: When the last token came.
      gap_s: Longest pause between tokens.
      router: Number of the router that sent it.
    """

    arrival: Arrival
    kind: CallSheet
    router: int
    urgency: int
    to_read: float
    made: int = 0
    first_s: float = 0.0
    last_s: float = 0.0
    gap_s: float = 0.0

    @property
    def held_tokens(self) -> int:
        """Return the memory that is its own."""
        return self.arrival.own + self.made


@dataclass
class Engine:
    """Reads prompts in chunks between the tokens of the calls that run.

    Attributes:
      kept: Shared parts in its memory, least recently used first.
      waiting: Calls that have no slot.
      reading: Calls whose prompt is being read, in order.
      running: Calls that make tokens.
      busy: True while it steps.
      preempted: Calls that were put back, since memory ran out.
    """

    name: str
    sheet: EngineSheet
    kept: OrderedDict[str, int] = field(default_factory=OrderedDict)
    waiting: list[Work] = field(default_factory=list)
    reading: list[Work] = field(default_factory=list)
    running: list[Work] = field(default_factory=list)
    busy: bool = False
    preempted: int = 0

    @property
    def load(self) -> int:
        """Return the calls that it has."""
        return len(self.waiting) + len(self.reading) + len(self.running)

    @property
    def unread_tokens(self) -> float:
        """Return the prompt tokens that wait to be read."""
        return sum(work.to_read for work in self.waiting + self.reading)

    @property
    def idle(self) -> bool:
        """Return whether it has no call."""
        return not (self.waiting or self.reading or self.running)

    def take(self, work: Work) -> None:
        """Take a call; more urgent ones go first."""
        at = len(self.waiting)
        while at and self.waiting[at - 1].urgency > work.urgency:
            at -= 1
        self.waiting.insert(at, work)

    def keep(self, prompt: str, tokens: int) -> None:
        """Hold a shared part."""
        self.kept[prompt] = tokens
        self.kept.move_to_end(prompt)
        self._make_room()

    def _make_room(self) -> None:
        """Drop the least recently used parts, then put back the least urgent call."""
        most = self.sheet.memory_tokens
        live = self.reading + self.running
        held = sum(work.held_tokens for work in live) + sum(self.kept.values())
        needed = {work.arrival.prompt for work in live}
        for prompt in [p for p in self.kept if p not in needed]:
            if held <= most:
                return
            held -= self.kept.pop(prompt)
        if held > most and len(self.running) > 1:
            self._preempt()

    def _preempt(self) -> None:
        newest = max(self.running, key=lambda w: (w.urgency, w.arrival.at_s))
        self.running.remove(newest)
        newest.to_read = float(newest.held_tokens)
        self.preempted += 1
        self.take(newest)

    def _admit(self) -> None:
        """Give slots to waiting calls, in order, while they fit the memory."""
        while self.waiting:
            live = self.reading + self.running
            held = sum(work.held_tokens for work in live)
            fits = held + self.waiting[0].held_tokens < self.sheet.memory_tokens
            if len(live) >= self.sheet.slots or (live and not fits):
                return
            self.reading.append(self.waiting.pop(0))

    def step(self, now: float, slowness: float = 1.0) -> float:
        """Read a chunk and make a token for each call that runs.

        Args:
          now: Current time in seconds.
          slowness: By how much the step takes longer than usual.

        Returns:
          The seconds that it takes.
        """
        sheet = self.sheet
        self._admit()
        read = 0.0
        while self.reading and read < sheet.chunk_tokens:
            head = self.reading[0]
            part = min(head.to_read, sheet.chunk_tokens - read)
            head.to_read -= part
            read += part
            if head.to_read <= 0:
                self.running.append(self.reading.pop(0))
        took_ms = sheet.step_ms + sheet.step_ms_a_call * len(self.running)
        took_s = (took_ms + sheet.read_ms(read)) / 1000 * slowness
        self._make_tokens(now + took_s)
        return took_s

    def _make_tokens(self, at_s: float) -> None:
        for work in self.running:
            work.made += 1
            if work.last_s:
                work.gap_s = max(work.gap_s, at_s - work.last_s)
            work.first_s = work.first_s or at_s
            work.last_s = at_s
        self._make_room()

    def finished(self) -> list[Work]:
        """Return the calls that have all their tokens, which leave."""
        done = [work for work in self.running if work.made >= work.arrival.tokens]
        self.running = [work for work in self.running if work not in done]
        return done
