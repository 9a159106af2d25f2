"""A router fleet for large numbers of chats that return after pauses.

The public names are imported on first use, so that a router process loads only the
modules that it needs.
"""

import importlib
from typing import Any

__version__ = "0.2.0"
__all__ = ["CranberryError", "Node", "Settings", "Tables", "__version__"]

_MODULES_BY_NAME = {
    "CranberryError": "cranberrysail.errors",
    "Node": "cranberrysail.decisions.node",
    "Settings": "cranberrysail.settings",
    "Tables": "cranberrysail.tables",
}


def __getattr__(name: str) -> Any:
    if name not in _MODULES_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(_MODULES_BY_NAME[name]), name)
