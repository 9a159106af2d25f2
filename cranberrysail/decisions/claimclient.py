"""Client side of idempotency claims: requests to the owner of a key."""

from collections.abc import Callable

from cranberrysail.decisions.blackboard import Blackboard
from cranberrysail.decisions.callstate import CallState
from cranberrysail.decisions.claims import ClaimVerdict, claims_owner
from cranberrysail.decisions.events import AttemptEnded, CallArrived
from cranberrysail.decisions.messages import (
    ClaimOutcome,
    ClaimReply,
    ClaimRequest,
    Message,
)

__all__ = ["ClaimClient"]


class ClaimClient:
    """Requests claims for the calls of this router and reports how they ended."""

    def __init__(self, board: Blackboard, send: Callable[[str, Message], bool]) -> None:
        """Create a client.

        Args:
          board: State of the router, which determines the owners of keys.
          send: Function that sends a message to a router.
        """
        self._board = board
        self._send = send

    def request(self, arrived: CallArrived) -> str:
        """Request the claim on a call's key and return the owner it was sent to."""
        owner = claims_owner(self._board, arrived.key)
        message = ClaimRequest(
            arrived.call_id,
            arrived.key,
            arrived.digest,
            arrived.key_issued_s,
            float(arrived.route.key_max_age_s),
        )
        self._send(owner, message)
        return owner

    def record_response(self, call: CallState, event: AttemptEnded) -> None:
        """Send the response to a call that ran to the owner, to be recorded."""
        if not call.claim_id:
            return
        outcome = ClaimOutcome(
            call.arrived.key,
            call.claim_id,
            ClaimVerdict.DONE,
            event.status,
            event.headers,
            event.body,
        )
        self._send_outcome(outcome)
        call.claim_id = ""

    def abandon(self, call: CallState) -> None:
        """Abandon the claim of a call that certainly did not run."""
        if not call.claim_id or call.maybe_ran:
            return
        self._send_outcome(
            ClaimOutcome(call.arrived.key, call.claim_id, ClaimVerdict.ABANDONED)
        )
        call.claim_id = ""

    def abandon_late_claim(self, reply: ClaimReply) -> None:
        """Abandon a claim that was made for a call that no longer waits for it."""
        if reply.verdict != ClaimVerdict.RUN:
            return
        self._send_outcome(
            ClaimOutcome(reply.key, reply.claim_id, ClaimVerdict.ABANDONED)
        )

    def _send_outcome(self, outcome: ClaimOutcome) -> None:
        self._send(claims_owner(self._board, outcome.key), outcome)
