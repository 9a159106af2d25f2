"""Starts a router on the platform.

SIGHUP, which tells of changed settings, ends a process that has not said otherwise.
It is ignored before anything else is imported: the settings are read later.
"""

import sys

# The signal module takes milliseconds to import; this part of it is built in.
from _signal import SIG_IGN, SIGHUP, signal


def main() -> int:
    """Run a router from the repository that this file is in."""
    signal(SIGHUP, SIG_IGN)
    sys.path[0] = __file__.removesuffix("deploy/router.py") or "."
    from cranberrysail.platform.__main__ import main as run_router

    return run_router()


if __name__ == "__main__":
    sys.exit(main())
