"""Entry point of a router process on the platform."""

import gc
import sys


def main() -> int:
    """Run a router without loading the ssl module.

    No connection on the platform uses TLS, and asyncio works without the module,
    which would take about 1 MB of each router's memory.

    Garbage is not collected during the imports, which take most of the time of a start:
    they leave little, and each collection goes through all that was imported.
    """
    sys.modules.setdefault("ssl", None)
    gc.disable()
    from cranberrysail.platform.serve import serve

    gc.freeze()
    gc.enable()
    return serve()


if __name__ == "__main__":
    sys.exit(main())
