"""Actions that the decision logic returns for the process to carry out."""

from dataclasses import dataclass

from cranberrysail.decisions.messages import Message
from cranberrysail.errors import CallError

__all__ = [
    "Action",
    "AppendRecord",
    "Dispatch",
    "FailCall",
    "ProbeEndpoint",
    "ReadStream",
    "ReplayResponse",
    "SendPeer",
    "ExitProcess",
]


@dataclass(frozen=True)
class SendPeer:
    """Send a message to a router.

    Attributes:
      target: Name of the router, empty if only its address is known.
      address: Address ``host:port`` at which peers reach it.
    """

    target: str
    address: str
    message: Message


@dataclass(frozen=True)
class Dispatch:
    """Send a call to an endpoint whose owner has admitted it.

    Attributes:
      send_by_s: Time on the router's clock after which it must not be sent.
    """

    call_id: int
    endpoint: str
    address: str
    send_by_s: float


@dataclass(frozen=True)
class FailCall:
    """Answer a call with its final error."""

    call_id: int
    error: CallError


@dataclass(frozen=True)
class ReplayResponse:
    """Answer a call with the recorded response to an earlier one with its key."""

    call_id: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class ProbeEndpoint:
    """Request a load report from an endpoint."""

    endpoint: str
    address: str


@dataclass(frozen=True)
class ReadStream:
    """Read a stream of the log.

    Attributes:
      after_offset: Read only records whose offset is greater.
      wait_s: Long-poll timeout: how long the log may wait for a new record.
    """

    stream: str
    after_offset: int
    wait_s: float = 0.0


@dataclass(frozen=True)
class AppendRecord:
    """Append a record to a stream of the log.

    Attributes:
      uid: Unique id of the record, which the event about the append repeats.
    """

    stream: str
    uid: str
    data: bytes


@dataclass(frozen=True)
class ExitProcess:
    """Exit, as the drain of a planned stop is complete."""


Action = (
    SendPeer
    | Dispatch
    | FailCall
    | ReplayResponse
    | ProbeEndpoint
    | ReadStream
    | AppendRecord
    | ExitProcess
)
