"""Dispatch tables of methods that handle events, messages or actions by type."""

from collections.abc import Callable
from typing import TypeVar

__all__ = ["handlers_of", "on"]

F = TypeVar("F", bound=Callable)


def on(*kinds: type) -> Callable[[F], F]:
    """Mark a method as the handler of event, message or action types.

    In a controller, handlers of events are called with ``(event, now)`` and handlers
    of messages with ``(source, message, now)``.
    """

    def decorate(method: F) -> F:
        method.handles = kinds
        return method

    return decorate


def handlers_of(instance: object) -> dict[type, Callable]:
    """Return the handler methods of an object, by the type that they handle.

    Methods are visited in alphabetical order; if several handle one type, the last
    is used.
    """
    handlers: dict[type, Callable] = {}
    for name in dir(type(instance)):
        method = getattr(type(instance), name)
        for kind in getattr(method, "handles", ()):
            handlers[kind] = getattr(instance, name)
    return handlers
