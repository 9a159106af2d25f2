"""Load measured in work: the expected time to the first event of a call at an engine.

An engine prefills the prompts of its calls one after another, so the first event of a
call waits for the prompt tokens ahead of it, and not for the number of calls. A report
gives the number of calls without a first event. Their tokens are known for calls of
this router and assumed to be the mean for calls of others. The speed of prefill is
measured by the delays of first events.
"""

import math
from dataclasses import dataclass, field

__all__ = [
    "CallWork",
    "FirstEventForecast",
    "PaceEstimate",
    "PrefillModel",
    "parse_pace",
]

# Speed assumed before the first samples, in prompt tokens per second. The engines of
# the deployments known so far prefill 61.8 to 140 tokens per ms.
ASSUMED_TOKENS_PER_S = 60_000.0
# Time to the first event of a prompt without any token, before the first sample.
ASSUMED_BASE_S = 0.03
# Cost of fetching a cached token from another engine, relative to prefilling it.
FETCH_SHARE = 1 / 6
# Number of samples that the assumed speed counts for.
PRIOR_SAMPLES = 10.0
# Tokens of a sample that the assumed speed counts for: the size of a medium prompt.
PRIOR_TOKENS = 3000.0
# Weight that the samples so far keep when one is added: about 200 samples count, which
# a router with 6 calls per second gets in half a minute.
SAMPLE_RETENTION = 0.995
# Weight of a new sample in the mean work of a call.
WORK_SAMPLE_WEIGHT = 0.05
# Samples longer than this multiple of the forecast are cut to it: they come from
# engines that stalled or lost their cache.
MAX_SAMPLE_RATIO = 5.0
# Time for which a pace lasts: the platform draws the pace of a host each 600 ms, so a
# report of an age below that is still valid with a probability that falls linearly.
PACE_PERIOD_S = 0.6
# Weight of a new report in the mean pace of all endpoints.
PACE_SAMPLE_WEIGHT = 0.02
# Limits on a reported pace, against invalid reports.
MIN_PACE = 0.1
MAX_PACE = 20.0


@dataclass(frozen=True, slots=True)
class CallWork:
    """Prompt of a call, and when its first event is due.

    Attributes:
      prompt_tokens: Tokens of the whole prompt; 0 if the caller did not say.
      shared_tokens: Tokens of its longest prefix that other calls may share.
      due_s: Time left until the first event, or the response, is due.
    """

    prompt_tokens: int = 0
    shared_tokens: int = 0
    due_s: float = math.inf

    def prefill_tokens(self, at_home: bool) -> float:
        """Return the tokens that the call's endpoint is expected to prefill.

        Args:
          at_home: True at the home endpoint, which is expected to have the cache of the
            shared prefix; others fetch it from there.
        """
        own = max(0, self.prompt_tokens - self.shared_tokens)
        return own + (0.0 if at_home else self.shared_tokens * FETCH_SHARE)


@dataclass(frozen=True, slots=True)
class FirstEventForecast:
    """Expected time to the first event of a call at an endpoint.

    Attributes:
      wait_s: Expected time.
      backlog_tokens: Prompt tokens ahead of the call.
      call_tokens: Prompt tokens of the call itself that must be prefilled.
      pace: Time that work takes at the endpoint, as a multiple of the usual time.
    """

    wait_s: float
    backlog_tokens: float
    call_tokens: float
    pace: float = 1.0


@dataclass
class PaceEstimate:
    """Mean pace of the endpoints that report one.

    Attributes:
      mean: Mean reported pace, as a multiple of the usual time.
      known: True once an endpoint has reported a pace.
    """

    mean: float = 1.0
    known: bool = False

    def add_sample(self, pace: float) -> None:
        """Add a reported pace."""
        self.known = True
        self.mean += PACE_SAMPLE_WEIGHT * (pace - self.mean)

    def expected(self, reported: float, age_s: float) -> float:
        """Return the expected pace of an endpoint.

        Args:
          reported: Pace in its last report.
          age_s: Age of that report.
        """
        valid = max(0.0, 1.0 - max(0.0, age_s) / PACE_PERIOD_S)
        return self.mean + valid * (reported - self.mean)


@dataclass
class PrefillModel:
    """Time to the first event by prompt tokens, fitted to the calls of one service.

    The fit is a linear regression in which older samples fade. It starts with samples
    of the assumed speed.

    Attributes:
      mean_call_tokens: Mean number of tokens prefilled for a call.
    """

    mean_call_tokens: float = 0.0
    _weight: float = field(init=False)
    _x: float = field(init=False)
    _y: float = field(init=False)
    _xx: float = field(init=False)
    _xy: float = field(init=False)

    def __post_init__(self) -> None:
        # Half of the samples have no tokens and half have twice the medium prompt.
        tokens = 2 * PRIOR_TOKENS
        seconds = ASSUMED_BASE_S + tokens / ASSUMED_TOKENS_PER_S
        half = PRIOR_SAMPLES / 2
        self._weight = PRIOR_SAMPLES
        self._x = half * tokens
        self._y = half * (seconds + ASSUMED_BASE_S)
        self._xx = half * tokens * tokens
        self._xy = half * tokens * seconds

    @property
    def seconds_per_token(self) -> float:
        """Return the time to prefill a token."""
        variance = self._xx * self._weight - self._x * self._x
        if variance <= 0:
            return 1 / ASSUMED_TOKENS_PER_S
        covariance = self._xy * self._weight - self._x * self._y
        return max(0.0, covariance / variance)

    @property
    def base_s(self) -> float:
        """Return the time to the first event without any token to prefill."""
        return max(0.0, (self._y - self.seconds_per_token * self._x) / self._weight)

    def seconds(self, tokens: float) -> float:
        """Return the expected time to the first event behind a number of tokens."""
        return self.base_s + self.seconds_per_token * tokens

    def record_call(self, tokens: float) -> None:
        """Record the tokens of a call that is sent."""
        if not self.mean_call_tokens:
            self.mean_call_tokens = tokens
        self.mean_call_tokens += WORK_SAMPLE_WEIGHT * (tokens - self.mean_call_tokens)

    def record_first_event(self, tokens: float, seconds: float) -> None:
        """Record the delay of a first event.

        Args:
          tokens: Tokens ahead of the call and of the call, as they were expected.
          seconds: Delay at the usual pace.
        """
        seconds = min(seconds, MAX_SAMPLE_RATIO * self.seconds(tokens))
        for name, value in (
            ("_weight", 1.0),
            ("_x", tokens),
            ("_y", seconds),
            ("_xx", tokens * tokens),
            ("_xy", tokens * seconds),
        ):
            setattr(self, name, getattr(self, name) * SAMPLE_RETENTION + value)


def parse_pace(pace_percent: int | None) -> float:
    """Return a reported pace as a multiple of the usual time; 0 if there is none."""
    if not pace_percent:
        return 0.0
    return min(MAX_PACE, max(MIN_PACE, pace_percent / 100))
