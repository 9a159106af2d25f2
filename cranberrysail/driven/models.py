"""Models of the systems that a fleet serves, in virtual time."""

from collections import OrderedDict
from dataclasses import dataclass, field

from cranberrysail.decisions.events import ListedHost, LoadReport

__all__ = ["COLD_CALLS", "EngineModel", "EngineSpeed", "Prompt"]

# Calls after which an engine that turned cold is warm.
COLD_CALLS = 32


@dataclass(frozen=True)
class Prompt:
    """A call as an engine sees it.

    Attributes:
      chat: Key of the chat, or 0.
      tokens: Prompt tokens, all earlier turns included.
      new_tokens: Prompt tokens that no earlier turn had.
      output: Tokens to generate.
    """

    chat: int
    tokens: int
    new_tokens: int
    output: int


@dataclass(frozen=True)
class EngineSpeed:
    """How fast an engine works.

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
    """An endpoint with a prefix cache in limited memory and a cold start.

    Attributes:
      cold_left: Calls until it is warm; 0 if it is.
      open: Open calls by call.
      overloads: Calls that came while it held all that it bears cold.
      cached_tokens: Prompt tokens found in the cache.
      prompt_tokens: All prompt tokens.
    """

    host: ListedHost
    speed: EngineSpeed = EngineSpeed()
    cache_tokens: int = 400_000
    instance_number: int = 0
    cold_left: int = 0
    alive: bool = True
    open: set = field(default_factory=set)
    overloads: int = 0
    cached_tokens: int = 0
    prompt_tokens: int = 0
    calls: int = 0
    _cache: OrderedDict[int, int] = field(default_factory=OrderedDict)
    _cache_used: int = 0

    @property
    def instance(self) -> str:
        """Return the id of the present instance."""
        return f"{self.host.instance}.{self.instance_number}"

    def restart(self, cold_calls: int) -> None:
        """Turn cold with an empty cache, and lose all open calls.

        Args:
          cold_calls: Calls after which it is warm.
        """
        self.instance_number += 1
        self.cold_left = cold_calls
        self.open.clear()
        self._cache.clear()
        self._cache_used = 0

    def report(self) -> LoadReport:
        """Return the load report of now."""
        return LoadReport(self.instance, len(self.open))

    def cached(self, chat: int) -> int:
        """Return the cached tokens of a chat."""
        return self._cache.get(chat, 0)

    def begin(self, call: object, prompt: Prompt) -> float:
        """Take a call and return the time to its first token, in seconds."""
        self.calls += 1
        if self.cold_left and len(self.open) >= max(1, self.host.cold_open):
            self.overloads += 1
        self.open.add(call)
        hit = min(self.cached(prompt.chat), prompt.tokens - prompt.new_tokens)
        self.prompt_tokens += prompt.tokens
        self.cached_tokens += hit
        self._store(prompt)
        return self.speed.base_s + self.speed.prefill_s * (prompt.tokens - hit)

    def end(self, call: object) -> None:
        """Finish a call."""
        self.open.discard(call)
        self.cold_left = max(0, self.cold_left - 1)

    def _store(self, prompt: Prompt) -> None:
        if not prompt.chat:
            return
        self._cache_used -= self._cache.pop(prompt.chat, 0)
        self._cache[prompt.chat] = prompt.tokens
        self._cache_used += prompt.tokens
        while self._cache_used > self.cache_tokens:
            _, tokens = self._cache.popitem(last=False)
            self._cache_used -= tokens
