"""Decision logic of one router: takes events and returns actions."""

import random
from collections import deque
from collections.abc import Callable
from typing import Any

from cranberrysail.decisions import (
    admission,
    calls,
    claims,
    drain,
    holdings,
    hostlist,
    membership,
    ownership,
    probing,
    sums,
    tablesync,
)
from cranberrysail.decisions.actions import Action, SendPeer
from cranberrysail.decisions.blackboard import Blackboard
from cranberrysail.decisions.controller import CONTROLLERS, BaseController
from cranberrysail.decisions.events import Event, PeerMessageReceived
from cranberrysail.settings import Settings

__all__ = ["DUMP_VERSION", "Node"]

DUMP_VERSION = 1
# Imported so that their controllers register; listed in the intended order of
# handling. The order in effect is that of registration, that is, of first import.
_MODULES = (
    hostlist,
    membership,
    tablesync,
    sums,
    ownership,
    probing,
    admission,
    claims,
    calls,
    holdings,
    drain,
)


class Node:
    """Decision logic of one router, without clock, I/O or implicit randomness.

    The caller passes each event with the current time to ``handle`` and carries out
    the returned actions.
    """

    def __init__(self, board: Blackboard, controllers: list[BaseController]) -> None:
        """Create a node.

        Args:
          board: State that the controllers share.
          controllers: The controllers, in the order in which they handle an event.
        """
        self.board = board
        self._controllers = controllers
        self._handlers: dict[type, list[Callable]] = {}
        for controller in controllers:
            for kind, method in controller.handlers().items():
                self._handlers.setdefault(kind, []).append(method)

    @classmethod
    def from_config(
        cls, cfg: Settings, address: str, incarnation: int, rng: random.Random
    ) -> "Node":
        """Create a node with all registered controllers.

        Args:
          cfg: Settings of the process.
          address: Address ``host:port`` at which peers reach it.
          incarnation: Higher than that of any earlier run of the same name.
          rng: Source of all randomness.
        """
        board = Blackboard(cfg, address, incarnation, rng)
        return cls(board, [kind(board) for kind in CONTROLLERS])

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event and return the resulting actions.

        Events that controllers raise and messages to this router itself are handled
        before it returns.

        Args:
          event: What happened.
          now: Current time in seconds; must not decrease between calls.
        """
        events = deque([event])
        actions: list[Action] = []
        while events:
            self._dispatch(events.popleft(), now)
            for controller in self._controllers:
                self._collect(controller, events, actions)
        return actions

    def _dispatch(self, event: Event, now: float) -> None:
        if isinstance(event, PeerMessageReceived):
            for handler in self._handlers.get(type(event.message), ()):
                handler(event.source, event.message, now)
            return
        for handler in self._handlers.get(type(event), ()):
            handler(event, now)

    def _collect(
        self, controller: BaseController, events: deque, actions: list[Action]
    ) -> None:
        if controller.raised:
            events.extend(controller.raised)
            controller.raised.clear()
        if not controller.actions:
            return
        for action in controller.actions:
            local = isinstance(action, SendPeer) and action.target == self.board.name
            if local:
                events.append(PeerMessageReceived(self.board.name, action.message))
            else:
                actions.append(action)
        controller.actions.clear()

    def dump(self) -> dict[str, Any]:
        """Return the state for operators, without idempotency keys or bodies."""
        board = self.board
        invariants = board.invariants
        return {
            "dump_version": DUMP_VERSION,
            "name": board.name,
            "zone": board.zone,
            "region": board.settings.region,
            "incarnation": board.incarnation,
            "draining": board.draining,
            "open_calls": board.open_calls,
            "invariants": {
                "checked": dict(invariants.checked),
                "violated": dict(invariants.violated),
                "recent": [violation.detail for violation in invariants.recent],
            },
            "counters": dict(sorted(board.counters.items())),
            **{
                name: controller.dump()
                for name, controller in zip(
                    CONTROLLERS.names(), self._controllers, strict=True
                )
            },
        }
