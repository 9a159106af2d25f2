"""The platform's log as simulated nodes reach it, with injected faults."""

from typing import TYPE_CHECKING

from cranberrysail.decisions.actions import AppendRecord, ReadStream
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
    from cranberrysail.simulation.fleet import FleetSimulation

__all__ = ["SimulatedLog"]


class SimulatedLog:
    """Serves reads and appends of nodes in virtual time.

    Attributes:
      storage: Records of the log.
    """

    def __init__(self, fleet: "FleetSimulation", storage: MemoryLog) -> None:
        """Create a log.

        Args:
          fleet: The fleet that uses the log.
          storage: Records of the log.
        """
        self._fleet = fleet
        self.storage = storage

    def _is_unreachable_from(self, name: str) -> bool:
        return (
            self._fleet.faults.log_down
            or self._fleet.specs[name].zone in self._fleet.faults.zones_without_log
        )

    def read(self, name: str, node: Node, action: ReadStream) -> None:
        """Serve a long poll: reply once there is a record or the wait time is over."""
        if self._is_unreachable_from(name):
            failed = StreamFailed(action.stream)
            self._fleet.schedule(
                0.5, lambda: self._fleet.deliver_to_node(name, node, failed)
            )
            return
        self._poll(name, node, action, self._fleet.now + action.wait_s)

    def _poll(self, name: str, node: Node, action: ReadStream, until_s: float) -> None:
        page = self.storage.read_at(action.stream, action.after_offset, self._fleet.now)
        if (
            not page.records
            and self._fleet.now < until_s
            and not self._is_unreachable_from(name)
        ):
            self._fleet.schedule(0.05, lambda: self._poll(name, node, action, until_s))
            return
        event = StreamRead(
            action.stream,
            action.after_offset,
            page.first,
            page.end,
            page.records,
            page.lapsed_s,
        )
        delay_s = self._fleet.faults.log_delay_s
        self._fleet.schedule(
            delay_s, lambda: self._fleet.deliver_to_node(name, node, event)
        )

    def append(self, name: str, node: Node, action: AppendRecord) -> None:
        """Append a record and reply, subject to the faults in force."""
        delay_s = self._fleet.faults.log_delay_s
        if self._is_unreachable_from(name):
            event: Event = AppendFailed(action.uid, action.stream, True)
            self._fleet.schedule(
                1.0, lambda: self._fleet.deliver_to_node(name, node, event)
            )
            return
        if self._fleet.faults.lose_append_replies:
            event = AppendFailed(action.uid, action.stream, True)
            append_delay_s = delay_s + self._fleet.rng.random()

            def store_record() -> None:
                self.storage.append_at(action.stream, action.data, self._fleet.now)

            self._fleet.schedule(append_delay_s, store_record)
            self._fleet.schedule(
                1.0, lambda: self._fleet.deliver_to_node(name, node, event)
            )
            return
        offset = self.storage.append_at(action.stream, action.data, self._fleet.now)
        done = AppendDone(action.uid, action.stream, offset)
        self._fleet.schedule(
            delay_s, lambda: self._fleet.deliver_to_node(name, node, done)
        )
