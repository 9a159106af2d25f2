"""Log output through loguru, with the name of the component in each line."""

import logging
import sys
from typing import TextIO

from loguru import logger

__all__ = ["configure", "get_logger"]

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[part]}: {message}"


class _LoguruHandler(logging.Handler):
    """Forwards records of the standard logging module to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Forward a record, under the component ``http``."""
        target = logger.bind(part="http").opt(exception=record.exc_info)
        target.log(record.levelname, "{}", record.getMessage())


def configure(level: str = "INFO", sink: TextIO = sys.stderr) -> None:
    """Write log lines to a stream.

    Args:
      level: Minimum level.
      sink: Stream to write to.
    """
    logger.remove()
    logger.configure(extra={"part": "main"})
    logging.basicConfig(handlers=[_LoguruHandler()], level=logging.WARNING, force=True)
    logger.add(sink, level=level, format=FORMAT, colorize=False)


def get_logger(name: str):
    """Return the logger of a component.

    Args:
      name: Name of the component, shown in each line before the message.
    """
    return logger.bind(part=name)
