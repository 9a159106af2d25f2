"""The log of a driven fleet, with its faults."""

from typing import TYPE_CHECKING

from cranberrysail.decisions.actions import AppendStream, ReadStream
from cranberrysail.decisions.events import (
    AppendDone,
    AppendFailed,
    Event,
    StreamFailed,
    StreamRead,
)
from cranberrysail.decisions.node import Node
from cranberrysail.links.platformlog import MemoryLog

if TYPE_CHECKING:
    from cranberrysail.driven.driver import Driver

__all__ = ["DriverLog"]


class DriverLog:
    """Answers nodes in virtual time.

    Attributes:
      records: What the log holds.
    """

    def __init__(self, fleet: "Driver", records: MemoryLog) -> None:
        """Create a log.

        Args:
          fleet: The fleet that uses it.
          records: What it holds.
        """
        self._fleet = fleet
        self.records = records

    def _log_away(self, name: str) -> bool:
        return (
            self._fleet.faults.log_down
            or self._fleet.specs[name].zone in self._fleet.faults.log_cuts
        )

    def read(self, name: str, node: Node, action: ReadStream) -> None:
        """Answer a node's read, at once or when there is a record."""
        if self._log_away(name):
            failed = StreamFailed(action.stream)
            self._fleet.at(0.5, lambda: self._fleet.give_to(name, node, failed))
            return
        self._try_read(name, node, action, self._fleet.now + action.wait_s)

    def _try_read(
        self, name: str, node: Node, action: ReadStream, until_s: float
    ) -> None:
        page = self.records.read_at(action.stream, action.after, self._fleet.now)
        if not page.records and self._fleet.now < until_s and not self._log_away(name):
            self._fleet.at(0.05, lambda: self._try_read(name, node, action, until_s))
            return
        event = StreamRead(
            action.stream,
            action.after,
            page.first,
            page.end,
            page.records,
            page.lapsed_s,
        )
        delay_s = self._fleet.faults.log_delay_s
        self._fleet.at(delay_s, lambda: self._fleet.give_to(name, node, event))

    def append(self, name: str, node: Node, action: AppendStream) -> None:
        """Take a node's record, and answer as the faults allow."""
        delay_s = self._fleet.faults.log_delay_s
        if self._log_away(name):
            event: Event = AppendFailed(action.uid, action.stream, True)
            self._fleet.at(1.0, lambda: self._fleet.give_to(name, node, event))
            return
        if self._fleet.faults.lose_answers:
            event = AppendFailed(action.uid, action.stream, True)
            late_s = delay_s + self._fleet.rng.random()

            def take() -> None:
                self.records.append_at(action.stream, action.data, self._fleet.now)

            self._fleet.at(late_s, take)
            self._fleet.at(1.0, lambda: self._fleet.give_to(name, node, event))
            return
        offset = self.records.append_at(action.stream, action.data, self._fleet.now)
        done = AppendDone(action.uid, action.stream, offset)
        self._fleet.at(delay_s, lambda: self._fleet.give_to(name, node, done))
