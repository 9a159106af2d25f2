"""What a call says to the owner of its idempotency key."""

from collections.abc import Callable

from cranberrysail.decisions.blackboard import Blackboard
from cranberrysail.decisions.callstate import CallState
from cranberrysail.decisions.claims import ClaimVerdict, claims_owner
from cranberrysail.decisions.events import CallArrived, CallEnded
from cranberrysail.decisions.messages import ClaimAsk, ClaimReply, ClaimSettle, Message

__all__ = ["KeyClaims"]


class KeyClaims:
    """Claims keys for calls, and settles the claims."""

    def __init__(self, board: Blackboard, send: Callable[[str, Message], bool]) -> None:
        """Create the claims of one router.

        Args:
          board: State of the router, for the owners of keys.
          send: Sends a message to a router.
        """
        self._board = board
        self._send = send

    def claim(self, arrived: CallArrived) -> str:
        """Ask for a call's key and return who was asked."""
        owner = claims_owner(self._board, arrived.key)
        message = ClaimAsk(
            arrived.call,
            arrived.key,
            arrived.digest,
            arrived.key_issued_s,
            float(arrived.route.key_max_age_s),
        )
        self._send(owner, message)
        return owner

    def done(self, call: CallState, event: CallEnded) -> None:
        """Record the answer of a call that ran."""
        if not call.claim:
            return
        settle = ClaimSettle(
            call.arrived.key,
            call.claim,
            ClaimVerdict.DONE,
            event.status,
            event.headers,
            event.body,
        )
        self._settle(settle)
        call.claim = ""

    def abandon(self, call: CallState) -> None:
        """Give back the claim of a call that certainly did not run."""
        if not call.claim or call.maybe_ran:
            return
        self._settle(ClaimSettle(call.arrived.key, call.claim, ClaimVerdict.ABANDONED))
        call.claim = ""

    def abandon_late(self, reply: ClaimReply) -> None:
        """Give back a claim that came when its call was gone."""
        if reply.verdict != ClaimVerdict.RUN:
            return
        self._settle(ClaimSettle(reply.key, reply.claim, ClaimVerdict.ABANDONED))

    def _settle(self, settle: ClaimSettle) -> None:
        self._send(claims_owner(self._board, settle.key), settle)
