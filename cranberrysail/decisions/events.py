"""Events that the decision logic of a router handles."""

from dataclasses import dataclass
from enum import StrEnum

from cranberrysail.decisions.messages import Message
from cranberrysail.decisions.tablestate import LogRecord
from cranberrysail.tables import Route

__all__ = [
    "AppendDone",
    "AppendFailed",
    "AttemptEnded",
    "CallArrived",
    "CallCancelled",
    "CallResult",
    "Event",
    "HostState",
    "HostsRead",
    "ListedEndpoint",
    "LoadReport",
    "MembersChanged",
    "PeerMessageReceived",
    "ProbeAnswered",
    "ProbeFailed",
    "StopRequested",
    "StreamFailed",
    "StreamRead",
    "TablesChanged",
    "Tick",
]


class CallResult(StrEnum):
    """How an attempt at an endpoint ended.

    Attributes:
      OK: The complete response was received.
      NOT_SENT: No byte of the request was sent.
      REFUSED: The endpoint reported that it did not run the call.
      BROKEN: The connection failed after bytes were sent, before a response.
      CUT: The response was truncated and could not be resumed.
      CANCELLED: The caller disconnected.
    """

    OK = "ok"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    BROKEN = "broken"
    CUT = "cut"
    CANCELLED = "cancelled"


class HostState(StrEnum):
    """State of an endpoint in the platform's list of hosts."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class ListedEndpoint:
    """An endpoint in the platform's list of hosts.

    Attributes:
      name: Name of the endpoint.
      host: Name of the host that it runs on.
      address: Address ``host:port`` at which it takes calls.
      instance: Instance id, which changes at every restart.
      max_open: Open calls that it takes when warm, 0 if not declared.
      cold_open: Open calls that it takes when cold, 0 if not declared.
    """

    name: str
    host: str
    pool: str
    zone: str
    region: str
    address: str
    instance: str
    state: HostState = HostState.LIVE
    max_open: int = 0
    cold_open: int = 0


@dataclass(frozen=True)
class LoadReport:
    """Load that an endpoint reports of itself; it lags behind the true load.

    Attributes:
      instance: Instance id, which changes at every restart.
      open: Open calls from all routers.
      ready: False while it cannot serve.
    """

    instance: str
    open: int
    ready: bool = True


@dataclass(frozen=True)
class Tick:
    """The periodic timer fired."""


@dataclass(frozen=True)
class PeerMessageReceived:
    """A message arrived from another router, or from this one."""

    source: str
    message: Message


@dataclass(frozen=True)
class HostsRead:
    """The platform's list of hosts was read; it has one entry per endpoint."""

    hosts: tuple[ListedEndpoint, ...]


@dataclass(frozen=True)
class ProbeAnswered:
    """An endpoint answered a probe."""

    endpoint: str
    report: LoadReport


@dataclass(frozen=True)
class ProbeFailed:
    """An endpoint did not answer a probe."""

    endpoint: str


@dataclass(frozen=True)
class CallArrived:
    """A request arrived whose route and customer have been validated.

    Attributes:
      call_id: Id of the call, unique at this router.
      request_id: Id that callers and logs show.
      chat_key: Hash key of the chat, 0 if the call belongs to none.
      key: Idempotency-Key scoped to route and customer, or empty.
      digest: Digest of method, path and body.
      key_issued_s: Timestamp of the key, a UUIDv7, in seconds since the epoch.
    """

    call_id: int
    request_id: str
    route_name: str
    route: Route
    customer: str
    chat_key: int = 0
    key: str = ""
    digest: str = ""
    key_issued_s: float = 0.0


@dataclass(frozen=True)
class AttemptEnded:
    """An attempt at an endpoint ended.

    Attributes:
      first_ms: Time to the first byte in milliseconds, 0 if none arrived.
      status: HTTP status to record with a keyed call, or 0.
      headers: Headers to record with a keyed call.
      body: Body to record with a keyed call.
    """

    call_id: int
    result: CallResult
    first_ms: int = 0
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True)
class CallCancelled:
    """The caller disconnected while no attempt at an endpoint was running."""

    call_id: int


@dataclass(frozen=True)
class StreamRead:
    """Records were read from a stream of the log.

    Attributes:
      after_offset: Offset that the read started after.
      first: Oldest offset that the log still retains.
      end: Newest offset of the stream.
      lapsed_s: Time of the newest record dropped by retention, in seconds since the
        epoch; 0 if none.
    """

    stream: str
    after_offset: int
    first: int
    end: int
    records: tuple[LogRecord, ...]
    lapsed_s: float = 0.0


@dataclass(frozen=True)
class StreamFailed:
    """A read of a stream failed."""

    stream: str


@dataclass(frozen=True)
class AppendDone:
    """The log appended a record."""

    uid: str
    stream: str
    offset: int


@dataclass(frozen=True)
class AppendFailed:
    """An append failed or was not confirmed.

    Attributes:
      maybe_appended: False if the record was certainly not appended.
    """

    uid: str
    stream: str
    maybe_appended: bool


@dataclass(frozen=True)
class StopRequested:
    """An operator or the platform requested a planned stop."""


@dataclass(frozen=True)
class MembersChanged:
    """The member list or a member's state changed; raised by a controller."""


@dataclass(frozen=True)
class TablesChanged:
    """A new version of the tables is in force; raised by a controller."""


Event = (
    Tick
    | PeerMessageReceived
    | HostsRead
    | ProbeAnswered
    | ProbeFailed
    | CallArrived
    | AttemptEnded
    | CallCancelled
    | StreamRead
    | StreamFailed
    | AppendDone
    | AppendFailed
    | StopRequested
    | MembersChanged
    | TablesChanged
)
