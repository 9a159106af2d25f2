"""State of the operators' tables, replicated by applying records in offset order.

The tables hold pools, routes, customers, and zones and hosts out of service.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum

import msgspec
from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError

from cranberrysail.errors import (
    ConflictError,
    CranberryError,
    EditRejectedError,
)
from cranberrysail.tables import Customer, OutOfService, Pool, Route, Tables

__all__ = [
    "Edit",
    "LogRecord",
    "RowKind",
    "Snapshot",
    "TableState",
    "apply_record",
    "changes_between",
    "decode_record",
    "encode_record",
    "encode_row",
    "row_key",
    "take_snapshot",
]


class RowKind(StrEnum):
    """Kinds of rows; the key of a row is ``kind/name``.

    Attributes:
      ZONE: Marks an availability zone as out of service.
      HOST: Marks a host as out of service.
    """

    POOL = "pool"
    ROUTE = "route"
    CUSTOMER = "customer"
    ZONE = "zone"
    HOST = "host"


ROW_MODELS: dict[RowKind, type[BaseModel]] = {
    RowKind.POOL: Pool,
    RowKind.ROUTE: Route,
    RowKind.CUSTOMER: Customer,
    RowKind.ZONE: OutOfService,
    RowKind.HOST: OutOfService,
}


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """One record of a stream of the log.

    Attributes:
      offset: Position in the stream.
      time_s: When the log appended it, in seconds since the epoch.
      data: The payload.
    """

    offset: int
    time_s: float
    data: bytes


class Edit(msgspec.Struct, frozen=True, tag="edit", forbid_unknown_fields=True):
    """An operator's change of rows.

    Attributes:
      uid: Unique id. After an append that was not confirmed, the operator's client
        looks for it in the log.
      base: Version of the tables that the edit is based on.
      changes: New content in JSON by row key; null removes the row.
    """

    uid: str
    base: int
    changes: dict[str, msgspec.Raw]


class Row(msgspec.Struct, frozen=True):
    """A row in a snapshot.

    Attributes:
      version: Version of the last change.
      value: Content in JSON, null if the row was removed.
    """

    version: int
    value: msgspec.Raw


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """The complete content of the tables at a version.

    Attributes:
      uid: Id of the record, unique if it is appended to the log.
      version: Version of the tables.
      horizon: Edits with an older base are rejected.
      rows: Rows by row key, recently removed ones included.
    """

    uid: str
    version: int
    horizon: int
    rows: dict[str, Row]


@dataclass(frozen=True)
class TableState:
    """The tables at one version.

    Attributes:
      version: Offset of the last record that was applied or rejected.
      horizon: Edits with an older base are rejected, since conflicts with rows that
        were removed before it can no longer be detected.
      versions: Version of the last change by row key, removed rows included.
    """

    version: int = 0
    horizon: int = 0
    versions: dict[str, int] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    customers: dict[str, Customer] = field(default_factory=dict)
    zones_out: dict[str, OutOfService] = field(default_factory=dict)
    hosts_out: dict[str, OutOfService] = field(default_factory=dict)

    def rows(self, kind: RowKind) -> dict:
        """Return the rows of one kind by name."""
        return {
            RowKind.POOL: self.pools,
            RowKind.ROUTE: self.routes,
            RowKind.CUSTOMER: self.customers,
            RowKind.ZONE: self.zones_out,
            RowKind.HOST: self.hosts_out,
        }[kind]


_STATE_FIELDS = {
    RowKind.POOL: "pools",
    RowKind.ROUTE: "routes",
    RowKind.CUSTOMER: "customers",
    RowKind.ZONE: "zones_out",
    RowKind.HOST: "hosts_out",
}
JSON_NULL = b"null"
_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Edit | Snapshot)


def encode_row(row: BaseModel | None) -> msgspec.Raw:
    """Encode a row as JSON, null for no row."""
    return msgspec.Raw(row.model_dump_json().encode() if row else JSON_NULL)


def row_key(kind: RowKind, name: str) -> str:
    """Return the key of a row."""
    return f"{kind.value}/{name}"


def encode_record(record: Edit | Snapshot) -> bytes:
    """Encode a record of the tables stream."""
    return _encoder.encode(record)


def decode_record(data: bytes) -> Result[Edit | Snapshot, EditRejectedError]:
    """Decode a record of the tables stream."""
    try:
        return Ok(_decoder.decode(data))
    except (msgspec.DecodeError, RecursionError) as exc:
        return Error(EditRejectedError([f"the record cannot be decoded: {exc}"]))


def _parse_key(key: str) -> tuple[RowKind, str] | None:
    kind, _, name = key.partition("/")
    if not name or kind not in set(RowKind):
        return None
    return RowKind(kind), name


def _parse_row(model: type[BaseModel], raw: bytes) -> BaseModel | None:
    if raw == JSON_NULL:
        return None
    return model.model_validate_json(raw)


def _parse_rows(
    changes: dict[str, msgspec.Raw],
) -> Result[dict[tuple[RowKind, str], BaseModel | None], EditRejectedError]:
    rows: dict[tuple[RowKind, str], BaseModel | None] = {}
    problems = []
    for key, raw in changes.items():
        parsed = _parse_key(key)
        if parsed is None:
            problems.append(
                f"{key!r} is not a row key; write kind/name, where kind is pool, "
                "route, customer, zone or host"
            )
            continue
        try:
            model = ROW_MODELS[parsed[0]]
            rows[parsed] = _parse_row(model, bytes(raw))
        except ValidationError as exc:
            problems.append(f"{key}: {exc.errors()[0]['msg']}")
    return Error(EditRejectedError(problems)) if problems else Ok(rows)


def _with_rows(
    state: TableState, rows: dict[tuple[RowKind, str], BaseModel | None]
) -> TableState:
    copies: dict[RowKind, dict] = {}
    for (kind, name), row in rows.items():
        if kind not in copies:
            copies[kind] = dict(state.rows(kind))
        if row is None:
            copies[kind].pop(name, None)
        else:
            copies[kind][name] = row
    return replace(
        state, **{_STATE_FIELDS[kind]: copy for kind, copy in copies.items()}
    )


def _find_missing_pools(state: TableState) -> list[str]:
    return [
        f"route/{name}: there is no pool {route.pool!r}; add it or change the route"
        for name, route in state.routes.items()
        if route.pool not in state.pools
    ]


def _apply_edit(
    state: TableState, edit: Edit, offset: int
) -> Result[TableState, CranberryError]:
    if edit.base < state.horizon:
        return Error(ConflictError("the tables", edit.base, state.horizon))
    for key in edit.changes:
        current = state.versions.get(key, 0)
        if current > edit.base:
            return Error(ConflictError(key, edit.base, current))
    parsed = _parse_rows(edit.changes)
    if parsed.is_error():
        return Error(parsed.error)
    updated = _with_rows(state, parsed.ok)
    problems = _find_missing_pools(updated)
    if problems:
        return Error(EditRejectedError(problems))
    versions = dict(state.versions)
    versions.update(dict.fromkeys(edit.changes, offset))
    return Ok(replace(updated, versions=versions, version=offset))


def _state_from_snapshot(snapshot: Snapshot) -> Result[TableState, CranberryError]:
    parsed = _parse_rows({key: row.value for key, row in snapshot.rows.items()})
    if parsed.is_error():
        return Error(parsed.error)
    versions = {key: row.version for key, row in snapshot.rows.items()}
    state = TableState(snapshot.version, snapshot.horizon, versions)
    return Ok(_with_rows(state, parsed.ok))


def _prune(state: TableState, snapshot: Snapshot, offset: int) -> TableState:
    """Raise the horizon to a snapshot and forget rows removed before it."""
    live = {row_key(kind, name): True for kind in RowKind for name in state.rows(kind)}
    horizon = max(state.horizon, snapshot.version)
    versions = {
        key: version
        for key, version in state.versions.items()
        if key in live or version > horizon
    }
    return replace(state, version=offset, horizon=horizon, versions=versions)


def apply_record(
    state: TableState, record: LogRecord
) -> tuple[TableState, CranberryError | None]:
    """Apply one record; all routers do so in offset order and reach the same state.

    Args:
      state: The tables before the record.
      record: The record; one that was already applied changes nothing.

    Returns:
      The tables after the record, and the error if the record was rejected. A
      rejected record changes only the version.
    """
    if record.offset <= state.version:
        return state, None
    rejected = replace(state, version=record.offset)
    decoded = decode_record(record.data)
    if decoded.is_error():
        return rejected, decoded.error
    body = decoded.ok
    if isinstance(body, Edit):
        result = _apply_edit(state, body, record.offset)
        return (rejected, result.error) if result.is_error() else (result.ok, None)
    if state.version >= body.version:
        return _prune(state, body, record.offset), None
    installed = _state_from_snapshot(body)
    if installed.is_error():
        return rejected, installed.error
    return installed.ok, None


def take_snapshot(state: TableState, uid: str) -> Snapshot:
    """Return a snapshot of the tables.

    Args:
      state: The tables.
      uid: Id of the record; has to be unique if it is appended to the log.
    """
    rows = {}
    for key, version in state.versions.items():
        kind, name = _parse_key(key)
        row = state.rows(kind).get(name)
        content = encode_row(row)
        rows[key] = Row(version, content)
    return Snapshot(uid, state.version, state.horizon, rows)


def _row_changes(
    kind: RowKind, before: dict, after: dict
) -> Iterable[tuple[str, msgspec.Raw]]:
    for name in before.keys() | after.keys():
        if before.get(name) == after.get(name):
            continue
        row = after.get(name)
        yield row_key(kind, name), encode_row(row)


def changes_between(state: TableState, tables: Tables) -> dict[str, msgspec.Raw]:
    """Return the changes by row key that turn a state into the given tables.

    Zones and hosts out of service stay as they are, as ``tables`` does not list them.
    """
    changes: dict[str, msgspec.Raw] = {}
    for kind, after in (
        (RowKind.POOL, tables.pools),
        (RowKind.ROUTE, tables.routes),
        (RowKind.CUSTOMER, tables.customers),
    ):
        changes.update(_row_changes(kind, state.rows(kind), after))
    return dict(sorted(changes.items()))
