"""What a router decides to do: the outputs of its decisions."""

from dataclasses import dataclass

from cranberrysail.decisions.messages import Message
from cranberrysail.errors import CallError

__all__ = [
    "Action",
    "AnswerRecorded",
    "AppendStream",
    "Dispatch",
    "FailCall",
    "ProbeEndpoint",
    "ReadStream",
    "SendPeer",
    "Stopped",
]


@dataclass(frozen=True)
class SendPeer:
    """Send a message to another router."""

    target: str
    address: str
    message: Message


@dataclass(frozen=True)
class Dispatch:
    """Send a call to an endpoint that has admitted it.

    Attributes:
      send_by_s: Time on the router's clock after which it must not be sent.
    """

    call: int
    endpoint: str
    address: str
    send_by_s: float


@dataclass(frozen=True)
class FailCall:
    """Give a caller its final error."""

    call: int
    error: CallError


@dataclass(frozen=True)
class AnswerRecorded:
    """Give a caller the recorded answer of an earlier call."""

    call: int
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True)
class ProbeEndpoint:
    """Ask an endpoint for its load."""

    endpoint: str
    address: str


@dataclass(frozen=True)
class ReadStream:
    """Read a stream of the log.

    Attributes:
      after: Offset after which to read.
      wait_s: Longest time the log may wait for a record.
    """

    stream: str
    after: int
    wait_s: float = 0.0


@dataclass(frozen=True)
class AppendStream:
    """Append a record to a stream of the log."""

    stream: str
    uid: str
    data: bytes


@dataclass(frozen=True)
class Stopped:
    """The planned stop is complete; the process may end."""


Action = (
    SendPeer
    | Dispatch
    | FailCall
    | AnswerRecorded
    | ProbeEndpoint
    | ReadStream
    | AppendStream
    | Stopped
)
