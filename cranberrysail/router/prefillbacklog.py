"""Load measured in work: the expected time to the first event of a call at an engine.

An engine prefills the prompts of its calls one after another, so the first event of a
call waits for the prompt tokens ahead of it, and not for the number of calls. A report
gives the number of calls without a first event. Their tokens are known for calls of
this router and assumed to be the mean for calls of others. The speed of prefill is
measured by the delays of first events.
"""

import math
from dataclasses import dataclass

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
# The base is this quantile of the delays of first events without the time of the call's
# own tokens: few calls have none ahead under load.
BASE_QUANTILE = 0.1
# Step of the quantile's estimate, relative to the mean delay.
BASE_STEP = 0.1
# Number of calls ahead for which the assumed time of a call counts.
ASSUMED_AHEAD = 0.25
# Weight of a new sample in the mean number of calls ahead.
AHEAD_SAMPLE_WEIGHT = 0.05
# Lower limit of the variance of tokens, if all calls are alike.
MIN_VARIANCE = 1.0
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
      backlog_calls: Calls ahead of the call.
      call_tokens: Prompt tokens of the call itself that must be prefilled.
      pace: Time that work takes at the endpoint, as a multiple of the usual time.
    """

    wait_s: float
    backlog_tokens: float
    backlog_calls: float
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
    """Time to the first event of calls to one service.

    It is a base, a time for each call ahead, and a time for each token of the call. The
    number of calls ahead is known too vaguely to fit the time of each to single calls:
    the fit would put it down to the base. The base is therefore a low quantile, and the
    time for each call ahead is the mean of the rest, over the mean number of calls that
    engines report to have ahead.

    Attributes:
      mean_call_tokens: Mean number of tokens prefilled for a call.
      mean_ahead: Mean number of calls without a first event in reports.
      base_s: Time to the first event without any call ahead and any token.
    """

    mean_call_tokens: float = 0.0
    mean_ahead: float = 0.0
    base_s: float = ASSUMED_BASE_S
    _weight: float = PRIOR_SAMPLES
    _x: float = PRIOR_SAMPLES * PRIOR_TOKENS
    _y: float = PRIOR_SAMPLES * (ASSUMED_BASE_S + PRIOR_TOKENS / ASSUMED_TOKENS_PER_S)
    # Half of the assumed samples have no tokens and half have twice the medium prompt.
    _xx: float = PRIOR_SAMPLES / 2 * (2 * PRIOR_TOKENS) ** 2
    _xy: float = (
        PRIOR_SAMPLES
        * PRIOR_TOKENS
        * (ASSUMED_BASE_S + 2 * PRIOR_TOKENS / ASSUMED_TOKENS_PER_S)
    )

    @property
    def token_s(self) -> float:
        """Return the time to prefill a token."""
        variance = self._xx * self._weight - self._x * self._x
        covariance = self._xy * self._weight - self._x * self._y
        return max(0.0, covariance / max(variance, MIN_VARIANCE))

    @property
    def call_s(self) -> float:
        """Return the time for which a call keeps those behind it waiting."""
        token_s = self.token_s
        delay_s = (self._y - token_s * self._x) / self._weight - self.base_s
        assumed_s = self.base_s + token_s * self.mean_call_tokens
        ahead = self.mean_ahead + ASSUMED_AHEAD
        return (max(0.0, delay_s) + ASSUMED_AHEAD * assumed_s) / ahead

    def seconds(self, calls: float, tokens: float) -> float:
        """Return the expected time to the first event.

        Args:
          calls: Calls ahead, of the mean number of tokens.
          tokens: Tokens of the call, and those by which the calls ahead have more.
        """
        return self.base_s + self.call_s * calls + self.token_s * max(0.0, tokens)

    def record_call(self, tokens: float) -> None:
        """Record the tokens of a call that is sent."""
        if not self.mean_call_tokens:
            self.mean_call_tokens = tokens
        self.mean_call_tokens += WORK_SAMPLE_WEIGHT * (tokens - self.mean_call_tokens)

    def record_first_event(self, tokens: float, seconds: float, ahead: int) -> None:
        """Record the delay of a first event.

        Args:
          tokens: Tokens of the call, as they were expected.
          seconds: Delay at the usual pace.
          ahead: Calls without a first event that the engine reports. As many are found
            on average by a call that arrives as are left by one that gets its first
            event.
        """
        mean_s = self._y / self._weight
        seconds = min(seconds, MAX_SAMPLE_RATIO * mean_s)
        rest_s = seconds - self.token_s * tokens
        if rest_s < self.base_s:
            step_s = -BASE_STEP * (1 - BASE_QUANTILE) * mean_s
        else:
            step_s = BASE_STEP * BASE_QUANTILE * mean_s
        self.base_s = max(0.0, self.base_s + step_s)
        self.mean_ahead += AHEAD_SAMPLE_WEIGHT * (ahead - self.mean_ahead)
        keep = SAMPLE_RETENTION
        self._weight = self._weight * keep + 1.0
        self._x = self._x * keep + tokens
        self._y = self._y * keep + seconds
        self._xx = self._xx * keep + tokens * tokens
        self._xy = self._xy * keep + tokens * seconds


def parse_pace(pace_percent: int | None) -> float:
    """Return a reported pace as a multiple of the usual time; 0 if there is none."""
    if not pace_percent:
        return 0.0
    return min(MAX_PACE, max(MIN_PACE, pace_percent / 100))
