"""What is played: kinds of calls, engines and routers."""

from pydantic import BaseModel, ConfigDict, Field, model_validator

__all__ = ["Burst", "CallSheet", "EngineSheet", "HotTime", "Sheet", "SlowTime"]


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class CallSheet(_Strict):
    """A kind of call.

    Attributes:
      rate: Calls a second.
      shared: Mean of the prompt tokens that calls on one subject share.
      own: Mean of the prompt tokens of a call's own.
      events: Mean number of events of an answer.
      subjects: Number of subjects.
      aim_ms: Time to the first token that is aimed at.
      gap_ms: Longest pause between tokens that is aimed at.
      left_s: Time that a caller waits.
      priority: How urgent it is, 0 first.
      worth: What an answer in time is worth.
    """

    name: str
    rate: float = Field(gt=0)
    shared: int = Field(ge=0)
    own: int = Field(ge=1)
    events: float = Field(gt=0)
    subjects: int = Field(ge=1)
    aim_ms: float = Field(gt=0)
    gap_ms: float = Field(gt=0)
    left_s: float = Field(gt=0)
    priority: int = Field(default=5, ge=0, le=9)
    worth: float = Field(default=1.0, gt=0)


class EngineSheet(_Strict):
    """The engines.

    Attributes:
      slots: Calls that one engine works on at once.
      memory_tokens: Tokens that its memory holds.
      step_ms: Time of a step with no call.
      step_ms_a_call: Further time for each call that runs.
      read_tokens_a_ms: Prompt tokens read in a millisecond.
      chunk_tokens: Most prompt tokens read in one step.
      event_tokens: Tokens of an event.
      fetch_share: Cost of fetching a token from another engine, as a part of the
        cost of reading it.
    """

    count: int = Field(ge=1)
    slots: int = Field(ge=1)
    memory_tokens: int = Field(ge=1024)
    step_ms: float = Field(gt=0)
    step_ms_a_call: float = Field(ge=0)
    read_tokens_a_ms: float = Field(gt=0)
    chunk_tokens: int = Field(default=1024, ge=1)
    event_tokens: int = Field(ge=1)
    fetch_share: float = Field(default=0.025, ge=0, le=1)

    def read_ms(self, tokens: float) -> float:
        """Return the time to read prompt tokens, in milliseconds."""
        return tokens / self.read_tokens_a_ms


class Burst(_Strict):
    """A time in which more calls come.

    Attributes:
      times: By how much all rates grow.
    """

    from_s: float = Field(ge=0)
    to_s: float = Field(gt=0)
    times: float = Field(gt=0)


class HotTime(_Strict):
    """A time in which one subject gets much of the calls of a kind.

    Attributes:
      kind: Name of the kind.
      share: Part of its calls that are on its first subject.
    """

    from_s: float = Field(ge=0)
    to_s: float = Field(gt=0)
    kind: str
    share: float = Field(gt=0, le=1)


class SlowTime(_Strict):
    """A time in which the first engine is slow.

    Attributes:
      times: By how much each step takes longer.
    """

    from_s: float = Field(ge=0)
    to_s: float = Field(gt=0)
    times: float = Field(gt=1)


class Sheet(_Strict):
    """All that a play needs beside its arrivals.

    Attributes:
      routers: Number of routers.
      play_s: Time in which calls arrive.
    """

    routers: int = Field(ge=1)
    play_s: float = Field(gt=0)
    engines: EngineSheet
    calls: tuple[CallSheet, ...] = Field(min_length=1)
    bursts: tuple[Burst, ...] = ()
    hot: tuple[HotTime, ...] = ()
    slow: tuple[SlowTime, ...] = ()

    @model_validator(mode="after")
    def _names_differ(self) -> "Sheet":
        names = [call.name for call in self.calls]
        if len(set(names)) != len(names):
            raise ValueError("give each kind of call a name of its own")
        return self

    def kind(self, name: str) -> CallSheet | None:
        """Return a kind of call by its name, or None."""
        return next((call for call in self.calls if call.name == name), None)

    def hot_share(self, kind: str, at_s: float) -> float:
        """Return the part of a kind's calls that are on one subject at a time."""
        shares = (
            hot.share
            for hot in self.hot
            if hot.kind == kind and hot.from_s <= at_s < hot.to_s
        )
        return max(shares, default=0.0)

    def slowness(self, at_s: float) -> float:
        """Return by how much the first engine is slower at a time."""
        found = (s.times for s in self.slow if s.from_s <= at_s < s.to_s)
        return max(found, default=1.0)

    def times(self, at_s: float) -> float:
        """Return by how much rates are grown at a time."""
        grown = 1.0
        for burst in self.bursts:
            if burst.from_s <= at_s < burst.to_s:
                grown *= burst.times
        return grown
