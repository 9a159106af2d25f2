"""Replication of the tables from the log and between routers.

A few routers of each zone read the log and push new records to others. A router that
a probe or its answer shows to be behind fetches the missing records from the sender.
"""

from collections import deque
from typing import Any

from cranberrysail.decisions.actions import AppendRecord, ReadStream
from cranberrysail.decisions.blackboard import Blackboard, MemberState
from cranberrysail.decisions.controller import CONTROLLERS, BaseController, on
from cranberrysail.decisions.events import StreamFailed, StreamRead, TablesChanged, Tick
from cranberrysail.decisions.invariants import Invariant
from cranberrysail.decisions.messages import Ack, FetchTableRecords, Ping, TableRecords
from cranberrysail.decisions.tablestate import (
    LogRecord,
    Snapshot,
    TableState,
    apply_record,
    decode_record,
    encode_record,
    take_snapshot,
)
from cranberrysail.hashing import rank

__all__ = ["TABLES_STREAM", "TableSyncController"]

TABLES_STREAM = "tables"
# Routers of each zone that read the log; the others get records from peers.
READERS_PER_ZONE = 2
# Long-poll timeout of a read.
READ_WAIT_S = 5.0
# A failed read is repeated after a random delay of one to two times this.
READ_RETRY_S = 0.5
# Minimum time between requests for missing records to peers.
FETCH_INTERVAL_S = 0.5
# A router that knows no other member first reads the log this long after its start.
SOLE_MEMBER_WAIT_S = 1.5
# New records are pushed to this many routers of the zone and one of another zone.
PUSH_FAN_OUT = 3
# Records kept for peers; one that is further behind gets a snapshot.
HISTORY_RECORDS = 256
# A snapshot is appended after this many records, or after this time if any is new.
SNAPSHOT_EVERY_RECORDS = 1000
SNAPSHOT_EVERY_S = 6 * 3600.0
SNAPSHOT_CHECK_INTERVAL_S = 60.0


@CONTROLLERS.register("tables")
class TableSyncController(BaseController):
    """Applies records of the tables stream and distributes them to peers."""

    def __init__(self, board: Blackboard) -> None:
        super().__init__(board)
        self._history: deque[LogRecord] = deque(maxlen=HISTORY_RECORDS)
        self._read_pending = False
        self._next_read_s = 0.0
        self._next_fetch_s = 0.0
        self._started_s: float | None = None
        self._snapshot_version = 0
        self._snapshot_s = 0.0
        self._next_snapshot_s = 0.0
        self._log_up = False
        self._rejected_records = 0

    @on(Tick)
    def tick(self, event: Tick, now: float) -> None:
        """Read the log if this router is a reader; append a snapshot if one is due."""
        if self._started_s is None:
            self._started_s = now
        if not self._read_pending and now >= self._next_read_s and self._may_read(now):
            self._read_pending = True
            version = self.board.tables.version
            self.emit(ReadStream(TABLES_STREAM, version, READ_WAIT_S))
        if now >= self._next_snapshot_s:
            self._next_snapshot_s = now + SNAPSHOT_CHECK_INTERVAL_S
            self._append_snapshot(now)

    def _may_read(self, now: float) -> bool:
        live = [
            member.name
            for member in self.board.members.values()
            if member.zone == self.board.zone and member.state is MemberState.ALIVE
        ]
        readers = rank("tables-reader", live)[:READERS_PER_ZONE]
        if self.board.name not in readers:
            return False
        sole_member = len(self.board.members) == 1
        return (
            not sole_member
            or now - self._started_s >= SOLE_MEMBER_WAIT_S
            or self._log_up
        )

    @on(StreamRead)
    def stream_read(self, event: StreamRead, now: float) -> None:
        """Apply the records that the log returned."""
        if event.stream != TABLES_STREAM:
            return
        self._read_pending = False
        self._log_up = True
        records = event.records
        # The log has dropped records that this router lacks.
        if (
            event.after_offset < event.first - 1
            and self.board.tables.version < event.first
        ):
            records = self._install_newest_snapshot(records, now)
        self._apply_records(records, now)

    @on(StreamFailed)
    def stream_failed(self, event: StreamFailed, now: float) -> None:
        """Schedule another read after a randomised delay."""
        if event.stream != TABLES_STREAM:
            return
        self._read_pending = False
        self._log_up = False
        self._next_read_s = now + READ_RETRY_S * (1 + self.board.rng.random())

    def _install_newest_snapshot(
        self, records: tuple[LogRecord, ...], now: float
    ) -> tuple[LogRecord, ...]:
        for record in reversed(records):
            decoded = decode_record(record.data)
            if decoded.is_ok() and isinstance(decoded.ok, Snapshot):
                self._install_snapshot(decoded.ok, now)
                return records
        self.board.counters["tables.gap"] += 1
        return ()

    def _install_snapshot(self, snapshot: Snapshot, now: float) -> bool:
        version = self.board.tables.version
        if snapshot.version <= version:
            return False
        snapshot_record = LogRecord(snapshot.version, 0.0, encode_record(snapshot))
        # Applied as the record at its version, so that the later records follow on.
        state, error = apply_record(self.board.tables, snapshot_record)
        if error is not None or state.version != snapshot.version:
            self.board.counters["tables.bad_snapshot"] += 1
            return False
        self._history.clear()
        self._snapshot_version = snapshot.version
        self._snapshot_s = now
        self._set_tables(state, now)
        return True

    @on(Ping, Ack)
    def version_received(self, source: str, message: Ping | Ack, now: float) -> None:
        """Fetch the missing records from a router with a newer version."""
        if message.version <= self.board.tables.version or now < self._next_fetch_s:
            return
        self._next_fetch_s = now + FETCH_INTERVAL_S
        self.send(source, FetchTableRecords(self.board.tables.version))

    @on(FetchTableRecords)
    def fetch_table_records(
        self, source: str, message: FetchTableRecords, now: float
    ) -> None:
        """Send the records that another router lacks, or a snapshot."""
        if message.after_version >= self.board.tables.version:
            return
        missing = [r for r in self._history if r.offset > message.after_version]
        if missing and self._history[0].offset <= message.after_version + 1:
            self.send(source, TableRecords(tuple(missing)))
            return
        snapshot = take_snapshot(self.board.tables, f"peer-{self.board.name}")
        self.send(source, TableRecords((), encode_record(snapshot)))

    @on(TableRecords)
    def table_records(self, source: str, message: TableRecords, now: float) -> None:
        """Apply records received from another router."""
        if message.snapshot:
            decoded = decode_record(message.snapshot)
            if decoded.is_ok() and isinstance(decoded.ok, Snapshot):
                self._install_snapshot(decoded.ok, now)
        self._apply_records(message.records, now)

    def _apply_records(self, records: tuple[LogRecord, ...], now: float) -> None:
        state = self.board.tables
        applied = []
        for record in records:
            if record.offset != state.version + 1:
                continue
            state, error = apply_record(state, record)
            applied.append(record)
            if error is not None:
                self._rejected_records += 1
                self.board.counters["tables.rejected_records"] += 1
            self._record_snapshot(record, now)
        if not applied:
            return
        self._history.extend(applied)
        self._set_tables(state, now)
        self._push_to_peers(tuple(applied))

    def _record_snapshot(self, record: LogRecord, now: float) -> None:
        decoded = decode_record(record.data)
        if decoded.is_ok() and isinstance(decoded.ok, Snapshot):
            self._snapshot_version = decoded.ok.version
            self._snapshot_s = now

    def _set_tables(self, state: TableState, now: float) -> None:
        before = self.board.tables.version
        self.board.invariants.check(
            Invariant.TABLES_FORWARD,
            state.version >= before,
            now,
            f"version {state.version} after {before}",
        )
        self.board.tables = state
        self.raise_event(TablesChanged())

    def _push_to_peers(self, records: tuple[LogRecord, ...]) -> None:
        same_zone = [p.name for p in self.board.peers(self.board.zone)]
        other_zones = [p.name for p in self.board.peers() if p.zone != self.board.zone]
        targets = self.board.rng.sample(same_zone, min(PUSH_FAN_OUT, len(same_zone)))
        targets += self.board.rng.sample(other_zones, min(1, len(other_zones)))
        for target in targets:
            self.send(target, TableRecords(records))

    def _append_snapshot(self, now: float) -> None:
        state = self.board.tables
        if state.version <= self._snapshot_version + 1 or not self._log_up:
            return
        writers = [
            m.name for m in self.board.members.values() if m.state is MemberState.ALIVE
        ]
        if rank("snapshot-writer", writers)[:1] != [self.board.name]:
            return
        if self._snapshot_s == 0.0:
            self._snapshot_s = now
        enough_records = (
            state.version - self._snapshot_version >= SNAPSHOT_EVERY_RECORDS
        )
        if not enough_records and now - self._snapshot_s < SNAPSHOT_EVERY_S:
            return
        self._snapshot_s = now
        uid = f"snapshot-{self.board.name}-{self.board.incarnation}-{state.version}"
        data = encode_record(take_snapshot(state, uid))
        self.emit(AppendRecord(TABLES_STREAM, uid, data))

    def dump(self) -> dict[str, Any]:
        """Return the version in force, its contents, and the state of the log."""
        state = self.board.tables
        return {
            "version": state.version,
            "log_up": self._log_up,
            "rejected_records": self._rejected_records,
            "pools": sorted(state.pools),
            "routes": sorted(state.routes),
            "customers": len(state.customers),
            "zones_out": sorted(state.zones_out),
            "hosts_out": sorted(state.hosts_out),
        }
