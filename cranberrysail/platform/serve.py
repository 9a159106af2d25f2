"""Runs a router that is connected to the platform."""

import asyncio
import sys

from cranberrysail.errors import ConfigError
from cranberrysail.platform.headers import PlatformHeaderCodec
from cranberrysail.platform.records import PlatformDecoder
from cranberrysail.platform.settings import NodeFileSettings
from cranberrysail.platform.store import PlatformStore
from cranberrysail.router import decisionlog
from cranberrysail.router.process import Router

__all__ = ["serve"]


def serve() -> int:
    """Run a router until the platform stops the process; return the exit status."""
    try:
        settings = NodeFileSettings.from_environment()
        cfg = settings.load_at_start()
    except ConfigError as exc:
        print(exc, file=sys.stderr)
        return exc.exit_code
    decisionlog.configure(decisionlog.stdout_sink())
    router = Router(
        cfg,
        PlatformStore(cfg.store),
        PlatformDecoder(),
        PlatformHeaderCodec(),
        settings,
    )
    asyncio.run(router.run())
    return 0
