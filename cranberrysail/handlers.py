"""Methods that handle events, messages or actions, found by their decorator."""

from collections.abc import Callable
from typing import TypeVar

__all__ = ["handlers_of", "on"]

F = TypeVar("F", bound=Callable)


def on(*kinds: type) -> Callable[[F], F]:
    """Mark a method as the handler of event, message or action types.

    In a controller, a handler of an event takes ``(event, now)`` and a handler of a
    message ``(source, message, now)``.
    """

    def decorate(method: F) -> F:
        method.handles = kinds
        return method

    return decorate


def handlers_of(holder: object) -> dict[type, Callable]:
    """Return an object's handlers by the type that they handle."""
    found: dict[type, Callable] = {}
    for name in dir(type(holder)):
        method = getattr(type(holder), name)
        for kind in getattr(method, "handles", ()):
            found[kind] = getattr(holder, name)
    return found
