"""What happens to a router: the inputs of its decisions."""

from dataclasses import dataclass
from enum import StrEnum

from cranberrysail.decisions.messages import Message
from cranberrysail.decisions.tablestate import LogRecord
from cranberrysail.tables import Route

__all__ = [
    "AppendDone",
    "AppendFailed",
    "CallArrived",
    "CallCancelled",
    "CallEnded",
    "CallResult",
    "Event",
    "HostState",
    "HostsRead",
    "ListedHost",
    "LoadReport",
    "MembersChanged",
    "PeerArrived",
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
      OK: The whole answer came.
      NOT_SENT: No byte of the request went out.
      REFUSED: The endpoint said that it did not run the call.
      BROKEN: The connection broke after bytes went out, before an answer.
      CUT: The answer broke off and could not be resumed.
      CANCELLED: The caller went away.
    """

    OK = "ok"
    NOT_SENT = "not_sent"
    REFUSED = "refused"
    BROKEN = "broken"
    CUT = "cut"
    CANCELLED = "cancelled"


class HostState(StrEnum):
    """State of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class ListedHost:
    """An endpoint as the platform's list shows it.

    Attributes:
      instance: Changes whenever the endpoint starts anew.
      max_open: Open calls it bears when warm, 0 if not declared.
      cold_open: Open calls it bears when cold, 0 if not declared.
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
    """What an endpoint reports of itself, with a lag.

    Attributes:
      open: Open calls from all routers.
      ready: False while it cannot serve.
    """

    instance: str
    open: int
    ready: bool = True


@dataclass(frozen=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True)
class PeerArrived:
    """A message from another router, or from this one."""

    source: str
    message: Message


@dataclass(frozen=True)
class HostsRead:
    """The platform's list, whole."""

    hosts: tuple[ListedHost, ...]


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
    """A caller's request, after checks of route and customer.

    Attributes:
      call: Id, unique at this router.
      request_id: Id that the caller and the logs see.
      chat: Key of the chat, or 0.
      key: Idempotency-Key scoped to route and customer, or empty.
      digest: Digest of method, path and body.
      key_issued_s: When the key was made, in seconds since the epoch.
    """

    call: int
    request_id: str
    route_name: str
    route: Route
    customer: str
    chat: int = 0
    key: str = ""
    digest: str = ""
    key_issued_s: float = 0.0


@dataclass(frozen=True)
class CallEnded:
    """An attempt at an endpoint ended.

    Attributes:
      first_ms: Time to the first byte in milliseconds, 0 if none came.
      status: HTTP status of the answer, 0 if none came.
      headers: Headers to record with a keyed call.
      body: Body to record with a keyed call.
    """

    call: int
    result: CallResult
    first_ms: int = 0
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


@dataclass(frozen=True)
class CallCancelled:
    """The caller went away."""

    call: int


@dataclass(frozen=True)
class StreamRead:
    """Records were read from a stream.

    Attributes:
      after: Offset after which the read began.
      first: Oldest offset that the log still keeps.
      end: Newest offset of the stream.
      lapsed_s: Time of the newest record that the log dropped, 0 if none.
    """

    stream: str
    after: int
    first: int
    end: int
    records: tuple[LogRecord, ...]
    lapsed_s: float = 0.0


@dataclass(frozen=True)
class StreamFailed:
    """A stream could not be read."""

    stream: str


@dataclass(frozen=True)
class AppendDone:
    """The log took a record."""

    uid: str
    stream: str
    offset: int


@dataclass(frozen=True)
class AppendFailed:
    """The log gave no answer; the record may have been taken.

    Attributes:
      maybe_appended: False if the record certainly was not taken.
    """

    uid: str
    stream: str
    maybe_appended: bool


@dataclass(frozen=True)
class StopRequested:
    """An operator or the platform asks for a planned stop."""


@dataclass(frozen=True)
class MembersChanged:
    """The set of routers changed; raised within a router."""


@dataclass(frozen=True)
class TablesChanged:
    """The tables changed; raised within a router."""


Event = (
    Tick
    | PeerArrived
    | HostsRead
    | ProbeAnswered
    | ProbeFailed
    | CallArrived
    | CallEnded
    | CallCancelled
    | StreamRead
    | StreamFailed
    | AppendDone
    | AppendFailed
    | StopRequested
    | MembersChanged
    | TablesChanged
)
