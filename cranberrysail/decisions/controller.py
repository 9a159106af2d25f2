"""Base class and registry of the controllers."""

from abc import ABC
from collections.abc import Callable
from typing import Any

from cranberrysail.decisions.actions import Action, SendPeer
from cranberrysail.decisions.blackboard import Blackboard, MemberState
from cranberrysail.decisions.events import Event
from cranberrysail.decisions.messages import Message
from cranberrysail.handlers import handlers_of, on
from cranberrysail.registry import Registry

__all__ = ["CONTROLLERS", "BaseController", "on"]


class BaseController(ABC):  # noqa: B024
    """Decides one aspect of a router's behaviour from events and shared state.

    Actions and raised events are queued; the node collects them after each event.
    """

    def __init__(self, board: Blackboard) -> None:
        """Create a controller.

        Args:
          board: State that all controllers of the router share.
        """
        self.board = board
        self.actions: list[Action] = []
        self.raised: list[Event] = []

    def handlers(self) -> dict[type, Callable]:
        """Return this controller's handlers by event or message type."""
        return handlers_of(self)

    def emit(self, action: Action) -> None:
        """Queue an action for the process to carry out."""
        self.actions.append(action)

    def raise_event(self, event: Event) -> None:
        """Queue an event for all controllers of this router."""
        self.raised.append(event)

    def send(self, target: str, message: Message) -> bool:
        """Send a message to a router, this one included.

        Returns:
          False if the router is unknown or dead; nothing is sent then.
        """
        member = self.board.members.get(target)
        if member is None or member.state is MemberState.DEAD:
            return False
        self.emit(SendPeer(target, member.address, message))
        return True

    def dump(self) -> dict[str, Any]:
        """Return this controller's part of the operators' state dump."""
        return {}


CONTROLLERS: Registry[type[BaseController]] = Registry("controller")
