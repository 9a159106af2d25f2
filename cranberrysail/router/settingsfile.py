"""Settings in a file that may change while the router runs."""

import os
import time
from abc import abstractmethod
from pathlib import Path
from typing import ClassVar, Self

from cranberrysail.errors import ConfigError
from cranberrysail.router.config import BaseSettingsSource, RouterConfig

__all__ = ["SettingsFile"]

# Settings that are invalid at the start are read again for this time, as the file may
# just be being written.
INVALID_SETTINGS_WAIT_S = 1.0
SETTINGS_RETRY_INTERVAL_S = 0.05


class SettingsFile(BaseSettingsSource):
    """Settings that are loaded from a file.

    Attributes:
      variable: Environment variable that holds the path of the file.
    """

    variable: ClassVar[str]

    def __init__(self, path: str) -> None:
        """Create a loader.

        Args:
          path: Path of the file.
        """
        self._path = Path(path)
        self._loaded_mtime_and_size: tuple[int, int] | None = None

    @classmethod
    def from_environment(cls) -> Self:
        """Return a loader for the file given in the environment.

        Raises:
          ConfigError: If the environment variable is not set.
        """
        path = os.environ.get(cls.variable)
        if path is None:
            problem = f"{cls.variable} is not set; run this command on the platform"
            raise ConfigError("environment", [problem])
        return cls(path)

    @staticmethod
    @abstractmethod
    def parse(text: str, source: str) -> RouterConfig:
        """Return the settings, given the content and the name of the file.

        Raises:
          ConfigError: If the content is not valid.
        """

    def _read_mtime_and_size(self) -> tuple[int, int] | None:
        try:
            stat = self._path.stat()
        except OSError:
            return None
        return (stat.st_mtime_ns, stat.st_size)

    def changed(self) -> bool:
        """Return whether the file has changed since it was last loaded."""
        mtime_and_size = self._read_mtime_and_size()
        return (
            mtime_and_size is not None and mtime_and_size != self._loaded_mtime_and_size
        )

    def load(self) -> RouterConfig:
        """Return the current settings.

        Raises:
          ConfigError: If the file cannot be read or is not valid.
        """
        self._loaded_mtime_and_size = self._read_mtime_and_size()
        source = str(self._path)
        try:
            text = self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            if isinstance(exc, OSError):
                # The same content may be readable at the next attempt.
                self._loaded_mtime_and_size = None
            problem = f"cannot be read ({exc}); check the path"
            raise ConfigError(source, [problem]) from exc
        return self.parse(text, source)

    def load_at_start(self) -> RouterConfig:
        """Return the settings, after a short wait if they are not valid yet.

        Raises:
          ConfigError: If the file cannot be read or is not valid.
        """
        deadline_s = time.monotonic() + INVALID_SETTINGS_WAIT_S
        while True:
            try:
                return self.load()
            except ConfigError:
                if time.monotonic() >= deadline_s:
                    raise
            time.sleep(SETTINGS_RETRY_INTERVAL_S)
