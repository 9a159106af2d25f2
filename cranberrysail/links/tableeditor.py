"""Operators' edits of the tables, appended to the platform's log."""

import uuid
from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result

from cranberrysail.decisions.tablestate import (
    Edit,
    LogRecord,
    RowKind,
    Snapshot,
    TableState,
    apply_record,
    changes_between,
    decode_record,
    encode_record,
    encode_row,
    row_key,
)
from cranberrysail.decisions.tablesync import TABLES_STREAM
from cranberrysail.errors import CranberryError, LogUnavailableError
from cranberrysail.links.platformlog import BaseLog
from cranberrysail.tables import OutOfService, Tables

__all__ = ["TableEditor", "PublishedEdit", "read_tables"]


@dataclass(frozen=True)
class PublishedEdit:
    """An edit that was accepted.

    Attributes:
      version: Version of the tables that includes the edit.
      rows: Keys of the rows that the edit changed; empty if there was nothing to
        change, in which case nothing was appended.
    """

    version: int
    rows: tuple[str, ...]


@dataclass
class _Replay:
    state: TableState
    outcomes: dict[str, CranberryError | None]
    lapsed: bool = False


def _initial_state(records: list[LogRecord], first_offset: int) -> TableState:
    """Return the tables from which a replay of the records starts.

    They are empty if the log still has its first record; else they are those of the
    newest snapshot among the records.
    """
    if first_offset <= 1:
        return TableState()
    for record in reversed(records):
        decoded = decode_record(record.data)
        if decoded.is_ok() and isinstance(decoded.ok, Snapshot):
            at_snapshot = LogRecord(decoded.ok.version, 0.0, record.data)
            state, error = apply_record(TableState(), at_snapshot)
            if error is None:
                return state
    return TableState()


async def _replay(log: BaseLog) -> _Replay:
    records: list[LogRecord] = []
    page = await log.read(TABLES_STREAM, 0)
    first_offset = page.first
    while page.records:
        records.extend(page.records)
        if records[-1].offset >= page.end:
            break
        page = await log.read(TABLES_STREAM, records[-1].offset)
    replay = _Replay(_initial_state(records, first_offset), {})
    for record in records:
        replay.state, error = apply_record(replay.state, record)
        decoded = decode_record(record.data)
        if decoded.is_ok():
            replay.outcomes[decoded.ok.uid] = error
    return replay


async def read_tables(log: BaseLog) -> TableState:
    """Return the current tables, replayed from the log.

    Raises:
      LogUnavailableError: If the log does not respond.
    """
    return (await _replay(log)).state


class TableEditor:
    """Publishes edits of the tables through the platform's log."""

    def __init__(self, log: BaseLog) -> None:
        """Create an editor of the tables.

        Args:
          log: The platform's log.
        """
        self._log = log

    async def publish(
        self, tables: Tables, base: int | None = None
    ) -> Result[PublishedEdit, CranberryError]:
        """Publish the difference between the current tables and a document.

        Args:
          tables: The new tables.
          base: Version that the document is based on; the current one if None.

        Raises:
          LogUnavailableError: If the log does not respond.
        """
        state = await read_tables(self._log)
        changes = changes_between(state, tables)
        return await self._edit(changes, state.version if base is None else base)

    async def set_out_of_service(
        self, kind: RowKind, name: str, out: bool, reason: str = ""
    ) -> Result[PublishedEdit, CranberryError]:
        """Take a zone or a host out of service, or put it back.

        Args:
          kind: ``RowKind.ZONE`` or ``RowKind.HOST``.
          name: Name of the zone or host.
          out: True to take it out of service.
          reason: Reason, shown to other operators.

        Raises:
          LogUnavailableError: If the log does not respond.
        """
        state = await read_tables(self._log)
        row = OutOfService(reason=reason) if out else None
        change = {row_key(kind, name): encode_row(row)}
        return await self._edit(change, state.version)

    async def _edit(
        self, changes: dict[str, msgspec.Raw], base: int
    ) -> Result[PublishedEdit, CranberryError]:
        if not changes:
            return Ok(PublishedEdit(base, ()))
        uid = uuid.uuid4().hex
        data = encode_record(Edit(uid, base, changes))
        try:
            await self._log.append(TABLES_STREAM, data)
        except LogUnavailableError as exc:
            if not exc.maybe_appended:
                raise
        replay = await _replay(self._log)
        if uid not in replay.outcomes:
            raise LogUnavailableError("the edit was not found in the log", True)
        error = replay.outcomes[uid]
        if error is not None:
            return Error(error)
        return Ok(PublishedEdit(replay.state.version, tuple(changes)))
