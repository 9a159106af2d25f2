"""The final errors of calls that no endpoint answers."""

from cranberrysail.decisions.admission import DenyReason
from cranberrysail.decisions.claims import ClaimVerdict
from cranberrysail.decisions.events import CallResult
from cranberrysail.errors import CallError, NotRunError, OutcomeUnknownError

__all__ = [
    "broken",
    "claim_error",
    "may_have_run",
    "no_endpoint",
    "not_reached",
    "overloaded",
]

# When a refused caller should come back; the log takes longer to return.
RETRY_AFTER_S = 1.0
LOG_RETRY_AFTER_S = 5.0


def no_endpoint(pool: str) -> NotRunError:
    """Return the refusal where a pool has nothing in service."""
    return NotRunError(
        "no_endpoint",
        f"pool {pool} has no endpoint in service; try again when operators have "
        "brought one back",
        503,
        RETRY_AFTER_S,
    )


def overloaded(pool: str, denied: str, why: str) -> NotRunError:
    """Return the refusal of a call for which there was no room.

    Args:
      pool: Name of its pool.
      denied: The last owner's reason, if any.
      why: What ran out.
    """
    status = 429 if denied == DenyReason.OVER_SHARE else 503
    cause = denied or "busy"
    return NotRunError(
        "overloaded",
        f"{why} in pool {pool} ({cause}); try again later",
        status,
        RETRY_AFTER_S,
    )


def not_reached(result: CallResult) -> NotRunError:
    """Return the refusal where every attempt ended before the call ran."""
    return NotRunError(
        "endpoint_unreachable",
        f"no endpoint took the request ({result.value}); try again",
        503,
        RETRY_AFTER_S,
    )


def broken(result: CallResult) -> OutcomeUnknownError:
    """Return the error where an endpoint took the call and broke off."""
    return OutcomeUnknownError(
        "broken",
        f"the endpoint took the request but gave no whole answer ({result.value}); "
        "look up whether it ran before you repeat it",
        502,
    )


def may_have_run(error: NotRunError) -> OutcomeUnknownError:
    """Return a refusal as what it is once an attempt may have run."""
    return OutcomeUnknownError(
        error.code,
        f"an endpoint broke off while it ran the request, and then: {error.message}",
        error.status,
        error.retry_after_s,
    )


def claim_error(verdict: str) -> CallError:
    """Return the error that follows from what the log says of a key."""
    match verdict:
        case ClaimVerdict.MISMATCH:
            return NotRunError(
                "key_reused",
                "this Idempotency-Key came with another request; use a new key",
                422,
            )
        case ClaimVerdict.EXPIRED:
            return NotRunError(
                "key_expired",
                "this Idempotency-Key is too old or from the future; look up "
                "whether an earlier request ran, then use a new key",
                400,
            )
        case ClaimVerdict.UNAVAILABLE:
            return NotRunError(
                "log_unavailable",
                "the key could not be claimed, and this attempt did not run; "
                "repeat it with the same key",
                503,
                LOG_RETRY_AFTER_S,
            )
        case ClaimVerdict.RUNNING:
            return OutcomeUnknownError(
                "still_running",
                "an earlier request with this key is still running; repeat this "
                "one with the same key",
                409,
                RETRY_AFTER_S,
            )
        case ClaimVerdict.NOT_KEPT:
            return OutcomeUnknownError(
                "already_done",
                "an earlier request with this key ran, and its answer is too "
                "large to be kept; look the result up",
                409,
            )
        case _:
            return OutcomeUnknownError(
                "outcome_unknown",
                "an earlier request with this key may have run; look up whether "
                "it did, then use a new key",
                409,
            )
