"""A router fleet for very many chats that return after pauses.

Names are imported when they are first used, so that a router process holds
only what it serves with.
"""

import importlib
from typing import Any

__version__ = "0.2.0"
__all__ = ["CranberryError", "Node", "Settings", "Tables", "__version__"]

_HOMES = {
    "CranberryError": "cranberrysail.errors",
    "Node": "cranberrysail.decisions.node",
    "Settings": "cranberrysail.settings",
    "Tables": "cranberrysail.tables",
}


def __getattr__(name: str) -> Any:
    if name not in _HOMES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_HOMES[name]), name)
