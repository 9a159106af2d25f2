"""Errors returned to callers whose request got no response from an endpoint."""

from cranberrysail.decisions.admission import DenyReason
from cranberrysail.decisions.claims import ClaimVerdict
from cranberrysail.decisions.events import CallResult
from cranberrysail.errors import CallError, NotRunError, OutcomeUnknownError

__all__ = [
    "as_outcome_unknown",
    "broken_attempt",
    "claim_error",
    "endpoint_unreachable",
    "no_endpoint",
    "overloaded",
]

# Retry-After of errors that a later attempt may avoid. An unavailable log takes longer
# to recover, hence the longer delay.
RETRY_AFTER_S = 1.0
LOG_RETRY_AFTER_S = 5.0


def no_endpoint(pool: str) -> NotRunError:
    """Return the error for a pool without an endpoint in service."""
    return NotRunError(
        "no_endpoint",
        f"pool {pool} has no endpoint in service; retry later",
        503,
        RETRY_AFTER_S,
    )


def overloaded(pool: str, last_denial: str, reason: str) -> NotRunError:
    """Return the error for a call that found no capacity.

    Its status is 429 if the customer was over its fair share, else 503.

    Args:
      pool: Name of the call's pool.
      last_denial: Why the last admission request failed, as a DenyReason value or
        text; empty if none failed.
      reason: Why the call is not queued any longer, as text.
    """
    status = 429 if last_denial == DenyReason.OVER_SHARE else 503
    denial = last_denial or "busy"
    return NotRunError(
        "overloaded",
        f"{reason} in pool {pool} ({denial}); retry later",
        status,
        RETRY_AFTER_S,
    )


def endpoint_unreachable(result: CallResult) -> NotRunError:
    """Return the error for a call whose attempts all ended before it ran."""
    return NotRunError(
        "endpoint_unreachable",
        f"no endpoint that was tried ran the request ({result.value}); retry",
        503,
        RETRY_AFTER_S,
    )


def broken_attempt(result: CallResult) -> OutcomeUnknownError:
    """Return the error for a call that may have run and got no complete response.

    Args:
      result: Result of the last attempt; an earlier one may be that which ran.
    """
    return OutcomeUnknownError(
        "broken",
        f"an endpoint may have run the request, but returned no complete response "
        f"(last attempt: {result.value}); check whether it ran before repeating it",
        502,
    )


def as_outcome_unknown(error: NotRunError) -> OutcomeUnknownError:
    """Convert an error to an unknown outcome, as an earlier attempt may have run."""
    return OutcomeUnknownError(
        error.code,
        f"an earlier attempt may have run the request, and repeating it failed: "
        f"{error.message}",
        error.status,
        error.retry_after_s,
    )


def claim_error(verdict: str) -> CallError:
    """Return the error for a verdict under which the call must not run."""
    match verdict:
        case ClaimVerdict.MISMATCH:
            return NotRunError(
                "key_reused",
                "this Idempotency-Key was used with a different request; use a new key",
                422,
            )
        case ClaimVerdict.EXPIRED:
            return NotRunError(
                "key_expired",
                "this Idempotency-Key is too old or dated in the future; check whether "
                "an earlier request ran, then use a new key",
                400,
            )
        case ClaimVerdict.UNAVAILABLE:
            return NotRunError(
                "log_unavailable",
                "the Idempotency-Key could not be claimed, so this attempt did not "
                "run; repeat the request with the same key",
                503,
                LOG_RETRY_AFTER_S,
            )
        case ClaimVerdict.RUNNING:
            return OutcomeUnknownError(
                "still_running",
                "an earlier request with this Idempotency-Key is still running; retry "
                "with the same key",
                409,
                RETRY_AFTER_S,
            )
        case ClaimVerdict.NOT_KEPT:
            return OutcomeUnknownError(
                "already_done",
                "an earlier request with this Idempotency-Key ran, but its response "
                "was too large to be recorded or its record cannot be read; look up "
                "the result",
                409,
            )
        case _:
            return OutcomeUnknownError(
                "outcome_unknown",
                "an earlier request with this Idempotency-Key may have run; check "
                "whether it did, then use a new key",
                409,
            )
