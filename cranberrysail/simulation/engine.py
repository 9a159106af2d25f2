"""Simulated model engines, with a prefix cache, cold starts and load reports."""

from collections import OrderedDict
from dataclasses import dataclass, field

from cranberrysail.decisions.events import ListedEndpoint, LoadReport

__all__ = ["WARM_UP_CALLS", "EngineModel", "EngineSpeed", "Prompt"]

# Calls after which a restarted engine is warm.
WARM_UP_CALLS = 32


@dataclass(frozen=True)
class Prompt:
    """Token counts of a call.

    Attributes:
      chat: Key of the chat, or 0 if the call belongs to none.
      tokens: Prompt tokens, including those of earlier turns.
      new_tokens: Prompt tokens that the latest turn added.
      output_tokens: Number of tokens to generate.
    """

    chat: int
    tokens: int
    new_tokens: int
    output_tokens: int


@dataclass(frozen=True)
class EngineSpeed:
    """Latency parameters of an engine.

    Attributes:
      base_s: Time to the first token with an empty prompt.
      prefill_s: Time for each prompt token that is not cached.
      token_s: Time for each generated token.
    """

    base_s: float = 0.05
    prefill_s: float = 0.0001
    token_s: float = 0.02


@dataclass
class EngineModel:
    """A simulated endpoint with an LRU prefix cache and a cold start.

    Attributes:
      host: The endpoint's entry in the platform's list.
      speed: Its latency parameters.
      cache_tokens: Capacity of the prefix cache, in tokens.
      instance_number: Number of restarts.
      cold_calls_left: Calls until it is warm; 0 if it is.
      alive: False while it accepts no calls and answers no probes.
      open_calls: Keys of open calls.
      cold_overloads: Calls that arrived while the engine was cold and already at its
        limit of open calls for a cold engine.
      cached_tokens: Prompt tokens that were found in the cache.
      prompt_tokens: Prompt tokens of all calls.
      calls: Number of calls.
    """

    host: ListedEndpoint
    speed: EngineSpeed = EngineSpeed()
    cache_tokens: int = 400_000
    instance_number: int = 0
    cold_calls_left: int = 0
    alive: bool = True
    open_calls: set = field(default_factory=set)
    cold_overloads: int = 0
    cached_tokens: int = 0
    prompt_tokens: int = 0
    calls: int = 0
    _cache: OrderedDict[int, int] = field(default_factory=OrderedDict)
    _cache_used_tokens: int = 0

    @property
    def instance(self) -> str:
        """Return the ID of the current instance."""
        return f"{self.host.instance}.{self.instance_number}"

    def restart(self, cold_calls: int) -> None:
        """Restart cold, with an empty cache and without open calls.

        Args:
          cold_calls: Number of calls after which it is warm.
        """
        self.instance_number += 1
        self.cold_calls_left = cold_calls
        self.open_calls.clear()
        self._cache.clear()
        self._cache_used_tokens = 0

    def report(self) -> LoadReport:
        """Return a load report with the current number of open calls."""
        return LoadReport(self.instance, len(self.open_calls))

    def cached_tokens_of(self, chat: int) -> int:
        """Return the number of cached tokens of a chat."""
        return self._cache.get(chat, 0)

    def begin(self, call: object, prompt: Prompt) -> float:
        """Start a call and return the time to its first token, in seconds."""
        self.calls += 1
        if self.cold_calls_left and len(self.open_calls) >= max(1, self.host.cold_open):
            self.cold_overloads += 1
        self.open_calls.add(call)
        hit = min(self.cached_tokens_of(prompt.chat), prompt.tokens - prompt.new_tokens)
        self.prompt_tokens += prompt.tokens
        self.cached_tokens += hit
        self._store(prompt)
        return self.speed.base_s + self.speed.prefill_s * (prompt.tokens - hit)

    def end(self, call: object) -> None:
        """End a call, completed or interrupted."""
        self.open_calls.discard(call)
        self.cold_calls_left = max(0, self.cold_calls_left - 1)

    def _store(self, prompt: Prompt) -> None:
        if not prompt.chat:
            return
        self._cache_used_tokens -= self._cache.pop(prompt.chat, 0)
        self._cache[prompt.chat] = prompt.tokens
        self._cache_used_tokens += prompt.tokens
        while self._cache_used_tokens > self.cache_tokens:
            _, tokens = self._cache.popitem(last=False)
            self._cache_used_tokens -= tokens
