"""Configuration of a simulation: calls, engines, routers, bursts and slow periods."""

from pydantic import BaseModel, ConfigDict, Field, model_validator

__all__ = [
    "Burst",
    "CallProfile",
    "EngineConfig",
    "EngineJoin",
    "HotPeriod",
    "PaceChanges",
    "PlainConfig",
    "SimulationConfig",
    "SlowPeriod",
]


class _StrictModel(BaseModel):
    """Immutable model that rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class CallProfile(_StrictModel):
    """Arrival rate, sizes and latency targets of one kind of call.

    Attributes:
      rate: Mean arrival rate in calls per second, outside bursts.
      shared: Mean length in tokens of the prompt prefix shared by the calls on one
        subject, such as a document.
      own: Mean number of prompt tokens after the shared prefix.
      events: Mean number of server-sent events in a response.
      subjects: Number of subjects, each with its own shared prefix.
      aim_ms: Target for the time to the first token.
      gap_ms: Target for the longest time between successive tokens.
      left_s: Time from arrival to the caller's deadline.
      priority: Priority, 0 is the most urgent.
      worth: Value of a response whose first token meets the target, relative to other
        profiles.
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


class EngineConfig(_StrictModel):
    """Number and performance of the engines, which are all alike.

    Attributes:
      count: Number of engines.
      slots: Calls that one engine processes concurrently.
      memory_tokens: Capacity of an engine's KV cache in tokens.
      step_ms: Duration of a step without decoding calls and without prefill.
      step_ms_a_call: Additional duration of a step for each decoding call.
      read_tokens_a_ms: Prompt tokens processed per millisecond of prefill.
      prompt_ms: Additional time to process a prompt of any length.
      chunk_tokens: Maximum number of prompt tokens processed in one step.
      event_tokens: Output tokens in one event of a response.
      fetch_share: Cost of fetching a cached token from another engine, as a fraction
        of the cost of processing it.
      cold_calls_per_s: Calls per second that an engine can serve while cold; 0 if the
        rate of calls to cold engines is not limited.
    """

    count: int = Field(ge=1)
    slots: int = Field(ge=1)
    memory_tokens: int = Field(ge=1024)
    step_ms: float = Field(gt=0)
    step_ms_a_call: float = Field(ge=0)
    read_tokens_a_ms: float = Field(gt=0)
    prompt_ms: float = Field(default=0.0, ge=0)
    chunk_tokens: int = Field(default=1024, ge=1)
    event_tokens: int = Field(ge=1)
    fetch_share: float = Field(default=0.025, ge=0, le=1)
    cold_calls_per_s: float = Field(default=0.0, ge=0)

    def prefill_ms(self, tokens: float) -> float:
        """Return the time to process a number of prompt tokens, in milliseconds."""
        return tokens / self.read_tokens_a_ms


class Burst(_StrictModel):
    """A period with higher arrival rates.

    Attributes:
      from_s: Start of the period.
      to_s: End of the period, exclusive.
      times: Factor on the rates.
      kind: Name of the call profile that it applies to, ``plain`` for calls to plain
        endpoints; all if not set.
    """

    from_s: float = Field(ge=0)
    to_s: float = Field(gt=0)
    times: float = Field(gt=0)
    kind: str | None = None


class HotPeriod(_StrictModel):
    """A period in which many calls of one profile are on the same subject.

    Attributes:
      from_s: Start of the period.
      to_s: End of the period, exclusive.
      kind: Name of the call profile.
      share: Fraction of its calls that are assigned to the first subject, besides those
        that select it at random.
    """

    from_s: float = Field(ge=0)
    to_s: float = Field(gt=0)
    kind: str
    share: float = Field(gt=0, le=1)


class SlowPeriod(_StrictModel):
    """A period in which the first engine is slow.

    Attributes:
      from_s: Start of the period.
      to_s: End of the period, exclusive.
      times: Factor on the duration of each step.
    """

    from_s: float = Field(ge=0)
    to_s: float = Field(gt=0)
    times: float = Field(gt=1)


class PaceChanges(_StrictModel):
    """Endpoints that share their hosts with others, which slow them for a time.

    Attributes:
      share: Fraction of the endpoints that are slow at a time.
      times: Factor on the time of their work.
      every_ms: Time after which other endpoints are slow.
    """

    share: float = Field(gt=0, lt=1)
    times: float = Field(gt=1)
    every_ms: float = Field(gt=0)


class PlainConfig(_StrictModel):
    """Plain endpoints and the calls to them.

    Attributes:
      count: Number of endpoints.
      slots: Calls that one processes concurrently.
      queue: Calls that wait at one; it rejects further ones.
      work_ms: Time that a call takes.
      rate: Mean arrival rate in calls per second, outside bursts.
      aim_ms: Target for the time to the response.
      left_s: Time from arrival to the caller's deadline.
    """

    count: int = Field(ge=1)
    slots: int = Field(ge=1)
    queue: int = Field(ge=0)
    work_ms: float = Field(gt=0)
    rate: float = Field(gt=0)
    aim_ms: float = Field(gt=0)
    left_s: float = Field(gt=0)


class EngineJoin(_StrictModel):
    """Engines that start during the simulation, with an empty cache.

    Attributes:
      at_s: Time of the start.
      count: Number of engines.
      cold_s: Time for which they stay cold.
    """

    at_s: float = Field(gt=0)
    count: int = Field(ge=1)
    cold_s: float = Field(ge=0)


class SimulationConfig(_StrictModel):
    """Configuration of a simulation; its arrivals are generated or recorded.

    Attributes:
      routers: Number of routers.
      play_s: Length of the period in which calls arrive.
      engines: Number and performance of the engines.
      calls: Call profiles, with distinct names.
      bursts: Periods with higher arrival rates; the factors of overlapping ones
        multiply.
      hot: Periods with a hot subject; of overlapping ones the largest share applies.
      slow: Periods in which the first engine is slow; of overlapping ones the largest
        factor applies.
      joins: Engines that start during the simulation, besides those of ``engines``.
      clump: Mean number of calls that arrive together. The rates stay the same.
      paces: Changes of the pace of endpoints, if they report one.
      plain: Plain endpoints besides the engines, if any.
    """

    routers: int = Field(ge=1)
    play_s: float = Field(gt=0)
    engines: EngineConfig
    calls: tuple[CallProfile, ...] = Field(min_length=1)
    bursts: tuple[Burst, ...] = ()
    hot: tuple[HotPeriod, ...] = ()
    slow: tuple[SlowPeriod, ...] = ()
    joins: tuple[EngineJoin, ...] = ()
    clump: float = Field(default=1.0, ge=1)
    paces: PaceChanges | None = None
    plain: PlainConfig | None = None

    @model_validator(mode="after")
    def _check_unique_names(self) -> "SimulationConfig":
        names = [profile.name for profile in self.calls]
        if len(set(names)) != len(names):
            raise ValueError(
                "the names of the call profiles are not unique; "
                "give each a different name"
            )
        return self

    def profile(self, name: str) -> CallProfile | None:
        """Return the call profile of a name, or None if there is none."""
        return next((profile for profile in self.calls if profile.name == name), None)

    def hot_fraction(self, profile_name: str, at_s: float) -> float:
        """Return the fraction of a profile's calls that go to its hot subject."""
        fractions = (
            hot.share
            for hot in self.hot
            if hot.kind == profile_name and hot.from_s <= at_s < hot.to_s
        )
        return max(fractions, default=0.0)

    def step_time_factor(self, at_s: float) -> float:
        """Return the factor on the step duration of the first engine at a time."""
        factors = (s.times for s in self.slow if s.from_s <= at_s < s.to_s)
        return max(factors, default=1.0)

    def rate_factor(self, at_s: float, kind: str) -> float:
        """Return the factor on the arrival rate of a kind of call at a time."""
        factor = 1.0
        for burst in self.bursts:
            applies = burst.kind is None or burst.kind == kind
            if applies and burst.from_s <= at_s < burst.to_s:
                factor *= burst.times
        return factor
