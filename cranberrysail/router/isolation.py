"""Steps that are all carried out, whatever exception one of them raises."""

import asyncio
from collections.abc import Callable

__all__ = ["run_isolated"]


def run_isolated(*steps: Callable[[], object]) -> None:
    """Run steps one after the other, also those that follow a failed one.

    An exception of a callback, such as a signal handler, skips the rest of it, and the
    callback is not called again. Steps that must not be skipped are passed to this
    function. Exceptions go to the exception handler of the running event loop.

    Args:
      *steps: Functions without arguments; their results are ignored.
    """
    for step in steps:
        try:
            step()
        except Exception as exc:
            context = {"message": "a step of a callback failed", "exception": exc}
            asyncio.get_running_loop().call_exception_handler(context)
