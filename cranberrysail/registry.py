"""Registry of objects by name, filled by a decorator."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from cranberrysail.errors import UnknownNameError

T = TypeVar("T")

__all__ = ["Registry"]


class Registry(Generic[T]):
    """Maps names to the objects that the decorator ``register`` added."""

    def __init__(self, kind: str) -> None:
        """Create an empty registry.

        Args:
          kind: What an entry is, for error messages.
        """
        self._kind = kind
        self._items: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that adds an object under ``name``."""

        def decorate(item: T) -> T:
            self._items[name] = item
            return item

        return decorate

    def get(self, name: str) -> T:
        """Return the object registered under ``name``.

        Raises:
          UnknownNameError: If there is none.
        """
        if name not in self._items:
            raise UnknownNameError(self._kind, name, sorted(self._items))
        return self._items[name]

    def names(self) -> list[str]:
        """Return the names in order of registration."""
        return list(self._items)

    def __iter__(self) -> Iterator[T]:
        return iter(self._items.values())
