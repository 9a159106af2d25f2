"""Tasks that run as long as the process does, whatever exception they raise."""

import asyncio
import traceback
from collections import Counter
from collections.abc import Awaitable, Callable

from cranberrysail.router.clock import now
from cranberrysail.router.decisionlog import DecisionLog
from cranberrysail.router.metrics import RouterMetrics

__all__ = ["BackgroundTasks", "location"]

# Pause before a task that failed is started again; it doubles with each failure, so
# that a fault that recurs takes no processor time.
INITIAL_PAUSE_S = 0.1
MAX_PAUSE_S = 5.0
# The pause is the initial one again after a task has run for this time.
STABLE_AFTER_S = 10.0


def location(exc: BaseException) -> str:
    """Return the function and line where an exception was raised."""
    frames = traceback.extract_tb(exc.__traceback__)
    return f"{frames[-1].name}:{frames[-1].lineno}" if frames else "unknown"


class BackgroundTasks:
    """Runs tasks and starts each again that ends with an exception.

    An exception that nobody foresaw has one cause at all routers, such as a record that
    all of them read: if it ended the process, it would end all of them.
    """

    def __init__(self, log: DecisionLog, metrics: RouterMetrics) -> None:
        """Create an instance without tasks.

        Args:
          log: Log of failures.
          metrics: Counts failures by the name of the task.
        """
        self._log = log
        self._metrics = metrics
        self._tasks: set[asyncio.Task] = set()
        self.failures: Counter[str] = Counter()

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Start a task.

        Args:
          name: Name of the task in logs, metrics and the state dump.
          run: Called at the start and after each failure.
        """
        task = asyncio.ensure_future(self._run(name, run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        pause_s = INITIAL_PAUSE_S
        while True:
            started_s = now()
            try:
                await run()
                return
            except asyncio.CancelledError as exc:
                if asyncio.current_task().cancelling():
                    raise
                self._report(name, exc)
            except Exception as exc:
                self._report(name, exc)
            if now() - started_s >= STABLE_AFTER_S:
                pause_s = INITIAL_PAUSE_S
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)

    def _report(self, name: str, exc: BaseException) -> None:
        self.failures[name] += 1
        self._metrics.count("task_failures", name)
        self._log.write(
            "task_failed",
            task=name,
            why=repr(exc),
            where=location(exc),
            failures=self.failures[name],
        )

    def close(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()
