"""Settings in a file that may change while the router runs."""

import time
from collections.abc import Callable
from pathlib import Path

from cranberrysail.errors import ConfigError
from cranberrysail.router.config import BaseSettingsSource, RouterConfig

__all__ = ["SettingsFile"]

# Settings that are invalid at the start are read again for this time, as the file may
# just be being written.
INVALID_SETTINGS_WAIT_S = 1.0
SETTINGS_RETRY_INTERVAL_S = 0.05


class SettingsFile(BaseSettingsSource):
    """Settings that are loaded from a file."""

    def __init__(self, path: str, parse: Callable[[str, str], RouterConfig]) -> None:
        """Create a loader.

        Args:
          path: Path of the file.
          parse: Returns the settings, given the content and the name of the file.
        """
        self._path = Path(path)
        self._parse = parse
        self._loaded_mtime_and_size: tuple[int, int] | None = None

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
            problem = f"cannot be read ({exc}); check the path"
            raise ConfigError(source, [problem]) from exc
        return self._parse(text, source)

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
