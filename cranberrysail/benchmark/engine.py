"""Simulated model engine: continuous batching, prefix cache and bounded memory."""

from collections import OrderedDict
from dataclasses import dataclass, field

from cranberrysail.benchmark.arrivals import Arrival
from cranberrysail.benchmark.config import CallProfile, EngineConfig

__all__ = ["Engine", "EngineCall"]


@dataclass(eq=False)
class EngineCall:
    """A call at an engine.

    Attributes:
      profile: Call profile that the kind of the arrival names.
      router_index: Index of the router that sent the call.
      priority: Priority, 0 is the most urgent.
      prefill_tokens: Prompt tokens still to be processed. Prefix tokens fetched from
        another engine count in part, see ``EngineConfig.fetch_share``.
      generated_tokens: Output tokens so far.
      first_token_s: Time of the first output token; 0 before it.
      last_token_s: Time of the latest output token; 0 before the first.
      max_gap_s: Longest time between successive output tokens.
      sent_s: Time at which it was sent to the engine.
    """

    arrival: Arrival
    profile: CallProfile
    router_index: int
    priority: int
    prefill_tokens: float
    generated_tokens: int = 0
    first_token_s: float = 0.0
    last_token_s: float = 0.0
    max_gap_s: float = 0.0
    sent_s: float = 0.0

    @property
    def own_tokens(self) -> int:
        """Return the memory that the call uses beyond its shared prefix, in tokens."""
        return self.arrival.own + self.generated_tokens


@dataclass
class Engine:
    """An engine that interleaves chunked prefill with decoding.

    Attributes:
      cached_prefixes: Number of tokens of each cached shared prefix by its id, least
        recently used first.
      waiting: Calls without a slot, in order of admission.
      prefilling: Calls whose prompt is being processed, in order.
      decoding: Calls that generate output tokens.
      busy: True while an event for the engine's next step is scheduled.
      preemptions: Number of calls returned to the queue because memory ran out.
    """

    name: str
    config: EngineConfig
    cached_prefixes: OrderedDict[str, int] = field(default_factory=OrderedDict)
    waiting: list[EngineCall] = field(default_factory=list)
    prefilling: list[EngineCall] = field(default_factory=list)
    decoding: list[EngineCall] = field(default_factory=list)
    busy: bool = False
    preemptions: int = 0

    @property
    def load(self) -> int:
        """Return the number of calls at the engine."""
        return len(self.waiting) + len(self.prefilling) + len(self.decoding)

    @property
    def pending_prefill_tokens(self) -> float:
        """Return the prompt tokens still to be processed, over all calls."""
        return sum(call.prefill_tokens for call in self.waiting + self.prefilling)

    @property
    def idle(self) -> bool:
        """Return whether the engine has no calls."""
        return not (self.waiting or self.prefilling or self.decoding)

    def enqueue(self, call: EngineCall) -> None:
        """Queue a call behind those of the same or a more urgent priority."""
        index = len(self.waiting)
        while index and self.waiting[index - 1].priority > call.priority:
            index -= 1
        self.waiting.insert(index, call)

    def cache_prefix(self, prefix_id: str, tokens: int) -> None:
        """Add a shared prefix to the cache, or mark it as the most recently used."""
        self.cached_prefixes[prefix_id] = tokens
        self.cached_prefixes.move_to_end(prefix_id)
        self._free_memory()

    def _free_memory(self) -> None:
        """Evict unused prefixes, least recently used first, until memory suffices.

        Prefixes of calls that hold a slot are not evicted. If that does not free
        enough, one decoding call is preempted.
        """
        limit = self.config.memory_tokens
        active = self.prefilling + self.decoding
        used = sum(call.own_tokens for call in active) + sum(
            self.cached_prefixes.values()
        )
        needed = {call.arrival.prefix_id for call in active}
        for prefix_id in [p for p in self.cached_prefixes if p not in needed]:
            if used <= limit:
                return
            used -= self.cached_prefixes.pop(prefix_id)
        if used > limit and len(self.decoding) > 1:
            self._preempt()

    def _preempt(self) -> None:
        """Return the newest of the least urgent decoding calls to the queue.

        Its own tokens, including those generated, have to be processed again.
        """
        victim = max(self.decoding, key=lambda c: (c.priority, c.arrival.at_s))
        self.decoding.remove(victim)
        victim.prefill_tokens = float(victim.own_tokens)
        self.preemptions += 1
        self.enqueue(victim)

    def _admit(self) -> None:
        """Give slots to waiting calls in order, as long as they fit in memory.

        Only own tokens are counted, not shared prefixes. An engine without active
        calls admits the first waiting one whatever its size.
        """
        while self.waiting:
            active = self.prefilling + self.decoding
            used = sum(call.own_tokens for call in active)
            fits = used + self.waiting[0].own_tokens < self.config.memory_tokens
            if len(active) >= self.config.slots or (active and not fits):
                return
            self.prefilling.append(self.waiting.pop(0))

    def step(self, now: float, time_factor: float = 1.0) -> float:
        """Process a chunk of prompts and generate a token for each decoding call.

        Args:
          now: Virtual time in seconds at the start of the step.
          time_factor: Factor on the duration of the step; above 1 for a slow engine.

        Returns:
          The duration of the step in seconds.
        """
        config = self.config
        self._admit()
        prefilled = 0.0
        while self.prefilling and prefilled < config.chunk_tokens:
            head = self.prefilling[0]
            chunk = min(head.prefill_tokens, config.chunk_tokens - prefilled)
            head.prefill_tokens -= chunk
            prefilled += chunk
            if head.prefill_tokens <= 0:
                self.decoding.append(self.prefilling.pop(0))
        step_ms = config.step_ms + config.step_ms_a_call * len(self.decoding)
        step_s = (step_ms + config.prefill_ms(prefilled)) / 1000 * time_factor
        self._generate_tokens(now + step_s)
        return step_s

    def _generate_tokens(self, at_s: float) -> None:
        """Add an output token, generated at a given time, to each decoding call."""
        for call in self.decoding:
            call.generated_tokens += 1
            if call.last_token_s:
                call.max_gap_s = max(call.max_gap_s, at_s - call.last_token_s)
            call.first_token_s = call.first_token_s or at_s
            call.last_token_s = at_s
        self._free_memory()

    def pop_finished(self) -> list[EngineCall]:
        """Remove the calls that have all their output tokens, and return them."""
        finished = [
            call
            for call in self.decoding
            if call.generated_tokens >= call.arrival.tokens
        ]
        self.decoding = [call for call in self.decoding if call not in finished]
        return finished
