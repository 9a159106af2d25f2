"""Entry point of a router on the platform."""

import sys


def main() -> int:
    """Serve without the TLS library, which nothing on the platform speaks.

    asyncio does without it; it would take a megabyte of each router's memory.
    """
    sys.modules.setdefault("ssl", None)
    from cranberrysail.platform.serve import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
