"""Messages between routers and their codec."""

import msgspec
from expression import Error, Ok, Result

from cranberrysail.decisions.tablestate import LogRecord
from cranberrysail.errors import PeerRejectedError

__all__ = [
    "Ack",
    "AdmissionRequest",
    "ChatRelocated",
    "ClaimOutcome",
    "ClaimReply",
    "ClaimRequest",
    "Deny",
    "FetchTableRecords",
    "FleetSums",
    "Grant",
    "Handover",
    "HeldPermit",
    "PermitReport",
    "MemberList",
    "MemberUpdate",
    "Message",
    "Ping",
    "PingRequest",
    "PoolSum",
    "TableRecords",
    "Release",
    "SubtreeSums",
    "ZoneSums",
    "decode",
    "encode",
]


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages; the order of the fields is the wire format."""


class MemberUpdate(_Message):
    """State of a router, spread by gossip.

    Attributes:
      incarnation: Orders updates on a router; the higher one wins. If it is equal, the
        state with the higher precedence wins.
      state: Value of a MemberState.
    """

    name: str
    zone: str
    region: str
    address: str
    incarnation: int
    state: str


class Ping(_Message, tag=1):
    """Probes whether a router is alive; carries gossip.

    Attributes:
      seq: Sequence number, echoed by the Ack.
      sender: State of the sender.
      version: The sender's version of the tables.
      updates: Piggybacked updates on other routers.
    """

    seq: int
    sender: MemberUpdate
    version: int
    updates: tuple[MemberUpdate, ...] = ()


class Ack(_Message, tag=2):
    """Answers a Ping; its fields are those of a Ping."""

    seq: int
    sender: MemberUpdate
    version: int
    updates: tuple[MemberUpdate, ...] = ()


class PingRequest(_Message, tag=3):
    """Asks another router to probe a target that did not answer a Ping."""

    seq: int
    target: str


class MemberList(_Message, tag=19):
    """Full member list, sent to a router that has just started."""

    updates: tuple[MemberUpdate, ...]


class FetchTableRecords(_Message, tag=4):
    """Asks for the records of the tables stream after a version."""

    after_version: int


class TableRecords(_Message, tag=5):
    """Carries records of the tables stream, or a snapshot if the sender lacks them.

    Attributes:
      snapshot: An encoded Snapshot that the records follow, or empty.
    """

    records: tuple[LogRecord, ...]
    snapshot: bytes = b""


class AdmissionRequest(_Message, tag=6):
    """Asks an endpoint's owner to admit a call.

    Attributes:
      call_id: Id of the call, unique at the requesting router.
      chat_key: Hash key of the chat, 0 if the call belongs to none.
      priority: Priority of the route; 0 is shed last.
      cached_only: Admit only if the endpoint holds the chat's KV cache, which it has if
        it served the chat recently.
      ignore_relocation: Admit even if the chat is known to be cached at another
        endpoint, instead of a denial with reason ELSEWHERE.
    """

    call_id: int
    endpoint: str
    customer: str
    chat_key: int = 0
    priority: int = 4
    cached_only: bool = False
    ignore_relocation: bool = False


class Grant(_Message, tag=7):
    """Admits a call by granting it a permit.

    Attributes:
      cached: True if the endpoint served this chat recently.
    """

    call_id: int
    endpoint: str
    cached: bool = False


class Deny(_Message, tag=8):
    """Refuses to admit a call.

    Attributes:
      reason: Value of a DenyReason.
      cached_at: Endpoint that holds the chat's cache, with reason ELSEWHERE; else
        empty.
    """

    call_id: int
    endpoint: str
    reason: str
    cached_at: str = ""


class Release(_Message, tag=9):
    """Returns a permit, with the outcome of the call.

    Attributes:
      result: Value of a CallResult, or ``unused`` if no attempt was made.
      first_ms: Time to the first byte in milliseconds, 0 if none arrived.
      holder: Router that held the permit, if a former owner forwards this; empty if
        the sender held it.
    """

    call_id: int
    endpoint: str
    result: str
    first_ms: int = 0
    holder: str = ""


class HeldPermit(_Message):
    """A permit, as listed by its holder or by an endpoint's owner."""

    call_id: int
    customer: str
    chat_key: int


class PermitReport(_Message, tag=10):
    """Lists for an endpoint's owner all permits for it that the sender holds."""

    endpoint: str
    permits: tuple[HeldPermit, ...]


class Handover(_Message, tag=11):
    """Transfers the state of an endpoint to its next owner.

    Attributes:
      permits_by_holder: Permits by name of the router that holds them.
      chats: Keys of the chats that the endpoint served recently, oldest first.
      relocated: Endpoint that now holds a chat's cache by chat key, for chats whose
        first-ranked endpoint is this one.
      settled: True if the list of permits is complete.
      instance: Instance id that the state applies to, empty if none was reported.
      state: Value of the endpoint's SlowStartState.
      ramp_limit: Open calls that it may hold while it is cold or warming.
    """

    endpoint: str
    permits_by_holder: dict[str, tuple[HeldPermit, ...]]
    chats: tuple[int, ...]
    relocated: dict[int, str]
    settled: bool
    instance: str
    state: str
    ramp_limit: int


class ChatRelocated(_Message, tag=12):
    """Reports that a chat is now cached at another endpoint.

    Attributes:
      endpoint: First-ranked endpoint of the chat; the message goes to its owner.
      chat_key: Hash key of the chat.
      new_endpoint: Endpoint that served the chat instead.
    """

    endpoint: str
    chat_key: int
    new_endpoint: str


class PoolSum(_Message):
    """Load summed over some endpoints of a pool.

    Attributes:
      open: Open calls.
      call_limit: Sum of the current call limits of the endpoints in service.
      top_customers: Open calls by customer, for at most MAX_TOP_CUSTOMERS customers
        with the most.
    """

    open: int
    call_limit: float
    top_customers: dict[str, int]


class SubtreeSums(_Message, tag=13):
    """Load of a subtree of a zone, sent to the parent in the aggregation tree."""

    pools: dict[str, PoolSum]


class ZoneSums(_Message, tag=14):
    """Load of a zone, sent from its root to the roots of other zones.

    Attributes:
      forwarded: True if a router that is not the root forwarded it; it is not
        forwarded again.
    """

    zone: str
    pools: dict[str, PoolSum]
    forwarded: bool = False


class FleetSums(_Message, tag=15):
    """Load of the fleet, sent from the root of a zone down the tree.

    Attributes:
      seq: Counts the totals sent by this root; receivers do not use it.
    """

    seq: int
    pools: dict[str, PoolSum]


class ClaimRequest(_Message, tag=16):
    """Asks a partition's owner to claim an idempotency key in the log.

    Attributes:
      call_id: Id of the call, unique at the requesting router.
      digest: Digest of the request that came with the key.
      issued_s: Timestamp of the key, a UUIDv7, in seconds since the epoch.
      max_age_s: Age after which the key is rejected.
    """

    call_id: int
    key: str
    digest: str
    issued_s: float
    max_age_s: float


class ClaimReply(_Message, tag=17):
    """Answers a ClaimRequest.

    Attributes:
      verdict: Value of a ClaimVerdict.
      claim_id: Id of the claim, with verdict ``run`` or ``done``.
      status: Recorded status, with verdict ``done``.
      headers: Recorded headers, with verdict ``done``.
      body: Recorded body, with verdict ``done``.
    """

    call_id: int
    key: str
    verdict: str
    claim_id: str = ""
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class ClaimOutcome(_Message, tag=18):
    """Reports to a partition's owner how a claimed call ended.

    Attributes:
      verdict: Value of a ClaimVerdict, ``done`` or ``abandoned``.
      status: Status to record, with verdict ``done``.
      headers: Headers to record, with verdict ``done``.
      body: Body to record, with verdict ``done``.
    """

    key: str
    claim_id: str
    verdict: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


Message = (
    Ping
    | Ack
    | PingRequest
    | MemberList
    | FetchTableRecords
    | TableRecords
    | AdmissionRequest
    | Grant
    | Deny
    | Release
    | PermitReport
    | Handover
    | ChatRelocated
    | SubtreeSums
    | ZoneSums
    | FleetSums
    | ClaimRequest
    | ClaimReply
    | ClaimOutcome
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message as MessagePack."""
    return _encoder.encode(message)


def decode(data: bytes) -> Result[Message, PeerRejectedError]:
    """Decode a message from MessagePack."""
    try:
        return Ok(_decoder.decode(data))
    except (msgspec.DecodeError, RecursionError) as exc:
        return Error(PeerRejectedError(f"the message cannot be decoded: {exc}"))
