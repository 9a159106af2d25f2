"""Reading of the store's records from other routers, so that few read the store.

Reduces the number of requests to a store that charges for each, and serves routers
that get no response from the store while others do.
"""

import heapq
import sys
import zlib
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated
from urllib.parse import parse_qs

import msgspec

from cranberrysail.router.clock import now
from cranberrysail.router.decoding import (
    InvalidMessageError,
    MessageDecoder,
    UnsignedInteger,
    check_address,
)
from cranberrysail.router.httplistener import HttpListener, HttpRequest, HttpServerConn
from cranberrysail.router.httpstore import HttpStoreClient
from cranberrysail.router.loadgossip import LOADS_PATH, LoadGossip
from cranberrysail.router.model import MAX_VERSION_DIGITS
from cranberrysail.router.quarantinegossip import QUARANTINE_PATH
from cranberrysail.router.recordcache import RecordCache
from cranberrysail.router.rendezvous import score
from cranberrysail.router.store import (
    BaseStore,
    OffsetOutOfRangeError,
    Page,
    Position,
    Record,
    Records,
    StalePeerError,
    StoreEra,
    StoreError,
    Topic,
)

__all__ = [
    "BaseQuarantineSource",
    "BaseRolloutSource",
    "BaseTablesSource",
    "QUARANTINE_HEADER",
    "ROLLOUTS_PATH",
    "RegisteredRouter",
    "RouterDirectory",
    "PeerStore",
    "create_peer_server",
    "decode_tables_response",
    "encode_router_record",
    "parse_version",
]

RECORDS_PATH = "/records"
# Path at which a router serves its tables in force.
TABLES_PATH = "/tables"
# Path at which a router exchanges the evidence and phases of roll-outs.
ROLLOUTS_PATH = "/rollouts"
# Response header of an exchange of loads: the version of the tables in force.
VERSION_HEADER = b"tables-version"
# Response header of an exchange of loads: the digest of the quarantine records.
QUARANTINE_HEADER = b"quarantine-digest"
# Short, since the peers asked first are in the same zone.
CONNECT_TIMEOUT_S = 0.3
# Maximum wait of a read from a peer for new records. A peer that has some responds at
# once, and one that has none after the wait. If a peer fails, there must be time left
# to read the store, as a draining endpoint must be known within two seconds.
MAX_WAIT_S = 1.0
# Time for the response beyond the wait.
RESPONSE_TIMEOUT_S = 0.5
# Maximum time since the responding peer last read the topic from the store. The
# response of a peer that read it longer ago is not used, as newer records may be
# missing. It exceeds the longest wait of a peer that reads the store.
MAX_RECORD_AGE_S = {
    Topic.OPERATORS: 1.4,
    Topic.ENDPOINTS: 1.4,
    Topic.ROUTERS: 10.0,
}
# Routers that a restored store does not list register again within this time.
REGISTRATION_GRACE_S = 5.0
# Peers of the own zone that are asked before the store. The store may turn several
# routers away at once.
PREFERRED_PEERS = 4
# Routers of the own zone that loads are exchanged with.
LOAD_PARTNERS = 2
# Peers that are asked after the store failed.
FALLBACK_PEERS = 4
# Routers that share one reader of the store where all links are slow: large tables of
# 50 KB take 0.3 s to reach the others on a link of 10 Mbit/s.
SLOW_LINK_GROUP = 8
# Maximum number of endpoints whose ranks are kept.
MAX_CACHED_RANKS = 4096
# Compression does not pay for smaller pages.
COMPRESSION_MIN_BYTES = 1024
# First byte of zlib data; a msgpack-encoded list of records starts with another.
ZLIB_HEADER = b"\x78"
# Maximum size of an unpacked page.
MAX_UNPACKED_BYTES = 16 * 1024 * 1024
# Larger ages in responses and queries are invalid, and so are infinite ones.
MAX_STATED_AGE_S = 1e9
BINARY_HEADERS = [(b"content-type", b"application/octet-stream")]


class _RouterRecord(msgspec.Struct):
    """The record that a router writes to the store to register.

    Attributes:
      relays: True if its link has the bandwidth to serve other routers.
    """

    zone: str
    address: str
    relays: bool = True


class _PeerResponse(msgspec.Struct):
    """A router's response to a peer that reads records.

    Attributes:
      records: Encoded records, compressed if they are large enough.
      end: Offset at which the next read begins, as ``Page.next_offset``.
      age_s: Time since the responding router last read the topic from the store.
      whole: True for a snapshot, as ``Page.is_snapshot``.
      era: Era of the store in which the records were read, as ``Page.era``.
    """

    records: bytes
    end: UnsignedInteger
    age_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_STATED_AGE_S)]
    whole: bool = False
    era: UnsignedInteger = 0


@dataclass(frozen=True, slots=True)
class RegisteredRouter:
    """A router that is registered in the store, possibly this one."""

    name: str
    zone: str
    address: str
    relays: bool


def encode_router_record(zone: str, address: str, relays: bool) -> bytes:
    """Return the record that a router writes to the store to register."""
    return msgspec.json.encode(_RouterRecord(zone, address, relays))


class RouterDirectory:
    """The routers that are registered in the store, including this one.

    Orders of routers are computed once for each change of the list, as they are needed
    for each call and each exchange.
    """

    def __init__(self, name: str, zone: str) -> None:
        """Create an empty directory.

        Args:
          name: Name of this router.
          zone: Its availability zone.
        """
        self._name = name
        self._zone = zone
        self._routers: dict[str, RegisteredRouter] = {}
        self._unconfirmed: set[str] = set()
        self._confirmation_deadline_s = float("-inf")
        self._ranks: dict[str, int] = {}
        self._zone_orders: dict[str, list[RegisteredRouter]] | None = None
        self._fallback_peers: list[RegisteredRouter] | None = None

    def __len__(self) -> int:
        return len(self._routers)

    def get(self, name: str) -> RegisteredRouter | None:
        """Return a registered router by name."""
        return self._routers.get(name)

    def can_order_zone(self) -> bool:
        """Return whether this router is listed, or others of its zone are."""
        return self._name in self._routers or bool(self._zone_order(self._zone))

    def is_registered(self, name: str, address: str) -> bool:
        """Return whether the store lists a router with an address."""
        peer = self._routers.get(name)
        listed = peer is not None and name not in self._unconfirmed
        return listed and peer.address == address

    def apply(self, page: Page, now: float, restored: bool = False) -> set[int]:
        """Apply records and return the indexes of those that cannot be decoded.

        Routers that a restored store does not list are kept until they had time to
        register again, as the shares of the others depend on their number.

        Args:
          page: The records.
          now: Current time in seconds.
          restored: True for the first snapshot of a restored store.
        """
        rejected = set()
        self._forget_orders()
        if restored:
            self._confirmation_deadline_s = now + REGISTRATION_GRACE_S
        if page.is_snapshot and now < self._confirmation_deadline_s:
            self._unconfirmed.update(self._routers)
        elif page.is_snapshot:
            self._routers.clear()
        for index, (key, value) in enumerate(page.records):
            self._unconfirmed.discard(key)
            if value is None:
                self._routers.pop(key, None)
                continue
            try:
                record = _ROUTER_RECORD_DECODER.decode(value)
                check_address(record.address)
            except InvalidMessageError:
                rejected.add(index)
                continue
            self._routers[key] = RegisteredRouter(
                key, record.zone, record.address, record.relays
            )
        return rejected

    def remove_expired(self, now: float) -> None:
        """Remove routers that did not register again in time."""
        if not self._unconfirmed or now < self._confirmation_deadline_s:
            return
        self._forget_orders()
        for name in self._unconfirmed:
            self._routers.pop(name, None)
        self._unconfirmed.clear()

    def _forget_orders(self) -> None:
        self._ranks.clear()
        self._zone_orders = None
        self._fallback_peers = None

    def rank(self, endpoint: str) -> int:
        """Return how many routers rank before this one for an endpoint.

        The ranks are those of rendezvous hashing, so that all routers agree on
        them. A router that is not registered ranks last.
        """
        rank = self._ranks.get(endpoint)
        if rank is None:
            if len(self._ranks) >= MAX_CACHED_RANKS:
                self._ranks.clear()
            rank = self._ranks[endpoint] = self._compute_rank(endpoint)
        return rank

    def _compute_rank(self, endpoint: str) -> int:
        if self._name not in self._routers:
            return sys.maxsize
        own = score(endpoint, self._name)
        return sum(score(endpoint, name) > own for name in self._routers)

    def _zone_order(self, zone: str) -> list[RegisteredRouter]:
        """Return the routers of a zone in the order in which they relay.

        All routers agree on it. Those whose links have the bandwidth go first.
        """
        if self._zone_orders is None:
            self._zone_orders = {}
            for router in self._routers.values():
                self._zone_orders.setdefault(router.zone, []).append(router)
            for routers in self._zone_orders.values():
                # The score has the same key at all routers.
                routers.sort(key=lambda r: (not r.relays, score("", r.name)))
        return self._zone_orders.get(zone, [])

    def _own_index(self, routers: list[RegisteredRouter]) -> int:
        """Return the index of this router, or the end if it is not registered yet."""
        names = [router.name for router in routers]
        return names.index(self._name) if self._name in names else len(names)

    def preferred_peers(self) -> list[RegisteredRouter]:
        """Return the peers of this zone to read from before the store.

        All routers of a zone agree on the order. The first one that relays reads the
        store, and the others read from those before them. Where no link has the
        bandwidth to serve a whole zone, each group of a few routers has its first one
        read the store.
        """
        order = self._zone_order(self._zone)
        index = self._own_index(order)
        fast = sum(router.relays for router in order)
        if fast:
            return order[: min(index, fast)][:PREFERRED_PEERS]
        start = index - index % SLOW_LINK_GROUP
        return order[start:index][:PREFERRED_PEERS]

    @property
    def zone_size(self) -> int:
        """Return the number of registered routers in this router's zone."""
        return len(self._zone_order(self._zone))

    def load_partners(self, turn: int) -> list[RegisteredRouter]:
        """Return the routers to exchange loads with, in order of preference.

        They are the first routers of the zone, and a router of another zone: the first
        router of a zone connects it with the others.

        Args:
          turn: Number of the exchange; the other zones take turns.
        """
        order = self._zone_order(self._zone)
        before = order[: self._own_index(order)][:LOAD_PARTNERS]
        zones = sorted(zone for zone in self._zone_orders if zone != self._zone)
        if not zones:
            return before
        return [*before, self._zone_order(zones[turn % len(zones)])[0]]

    @property
    def is_first_of_zone(self) -> bool:
        """Return whether this router connects its zone with the others."""
        return self._own_index(self._zone_order(self._zone)) == 0

    def quarantine_partners(self) -> list[RegisteredRouter]:
        """Return the routers to which this one sends changed quarantine records.

        They are the first routers of the zone; the first one connects it with the first
        ones of the other zones.
        """
        order = self._zone_order(self._zone)
        before = order[: self._own_index(order)][:LOAD_PARTNERS]
        if before:
            return before
        return [
            routers[0]
            for zone, routers in sorted((self._zone_orders or {}).items())
            if zone != self._zone
        ]

    def fallback_peers(self) -> list[RegisteredRouter]:
        """Return up to four peers to read from if the store fails.

        Those whose links have the bandwidth go first, then those of the own zone.
        """
        if self._fallback_peers is None:
            others = [p for p in self._routers.values() if p.name != self._name]
            self._fallback_peers = heapq.nsmallest(
                FALLBACK_PEERS,
                others,
                key=lambda p: (
                    not p.relays,
                    p.zone != self._zone,
                    score(self._name, p.name),
                ),
            )
        return self._fallback_peers


class PeerStore(BaseStore):
    """The store's records as read from another router."""

    def __init__(self, address: str) -> None:
        """Create a client.

        Args:
          address: ``ip:port`` at which the router serves its peers.
        """
        super().__init__()
        self._http = HttpStoreClient(address, CONNECT_TIMEOUT_S)

    async def read_snapshot(self, topic: Topic) -> Page:
        """Return the newest record of each key."""
        page = await self.read(topic, Position(self.era.number, 0), 0.0)
        if not page.is_snapshot:
            raise StoreError("the peer has no snapshot; read the store")
        return page

    async def read(
        self,
        topic: Topic,
        start: Position,
        wait_s: float,
        timeout_s: float = MAX_WAIT_S + RESPONSE_TIMEOUT_S,
        max_age_s: float | None = None,
    ) -> Page:
        """Return the newest record of each key from a position on.

        Returns a snapshot if the peer has cached none that far back, or is in a later
        era.

        Args:
          topic: The topic.
          start: Position from which to read.
          wait_s: Maximum time to wait for a record.
          timeout_s: Upper limit of the time until the response begins.
          max_age_s: Maximum time since the peer read the topic from the store; None for
            that of the topic.
        """
        wait_s = min(wait_s, MAX_WAIT_S)
        target = (
            f"{RECORDS_PATH}?topic={topic.value}&era={start.era}&from={start.offset}"
            f"&wait_ms={wait_s * 1000:.0f}"
        )
        timeout_s = min(timeout_s, wait_s + RESPONSE_TIMEOUT_S)
        http = await self._http.request(topic.value, "POST", target, b"", timeout_s)
        try:
            response = _RESPONSE_DECODER.decode(http.body)
            records = _RECORDS_DECODER.decode(response.records)
        except InvalidMessageError as exc:
            raise StoreError(f"the peer's response cannot be decoded ({exc})") from exc
        self.era.observe(response.era)
        if max_age_s is None:
            max_age_s = MAX_RECORD_AGE_S[topic]
        if response.age_s >= max_age_s:
            raise StalePeerError(f"the peer read the store {response.age_s:.1f} s ago")
        return Page(
            records,
            response.end,
            response.whole,
            era=response.era,
            age_s=response.age_s,
        )

    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Raise an error, as only the store accepts records.

        Raises:
          StoreError: Always.
        """
        raise StoreError("peers do not accept records; write to the store")

    def close(self) -> None:
        """Close all connections."""
        self._http.close()


class _CachingEncoder:
    """Encodes records, and caches the last result.

    The peers of a zone usually read the same records.
    """

    def __init__(self) -> None:
        self._last: tuple[Records, bytes] = ((), _encode(()))

    def __call__(self, records: Records) -> bytes:
        if records != self._last[0]:
            self._last = (records, _encode(records))
        return self._last[1]


def _encode(records: Records) -> bytes:
    data = msgspec.msgpack.encode(records)
    return zlib.compress(data, 1) if len(data) >= COMPRESSION_MIN_BYTES else data


def _unpack(data: bytes) -> bytes:
    if data[:1] == ZLIB_HEADER:
        unpacker = zlib.decompressobj()
        data = unpacker.decompress(data, MAX_UNPACKED_BYTES)
        if not unpacker.eof:
            raise zlib.error(f"cut, or more than {MAX_UNPACKED_BYTES} bytes")
    return data


_ROUTER_RECORD_DECODER = MessageDecoder.json(_RouterRecord)
_RESPONSE_DECODER = MessageDecoder.msgpack(_PeerResponse)
_PACKED_RECORDS_DECODER = msgspec.msgpack.Decoder(Records)
_RECORDS_DECODER: MessageDecoder[Records] = MessageDecoder(
    lambda data: _PACKED_RECORDS_DECODER.decode(_unpack(data))
)


def decode_tables_response(body: bytes) -> Record:
    """Return the record of a peer's tables in force.

    Raises:
      StoreError: If the response cannot be decoded.
    """
    try:
        (record,) = _RECORDS_DECODER.decode(body)
    except ValueError as exc:
        raise StoreError(f"the peer's tables cannot be decoded ({exc})") from exc
    if record[1] is None:
        raise StoreError("the peer has no tables")
    return record


def parse_version(text: str) -> int:
    """Return a version of tables that a router stated, 0 if it is not valid."""
    try:
        return _parse_count(text)
    except InvalidMessageError:
        return 0


class BaseTablesSource(ABC):
    """The tables that a router has in force, and what it hears of those of others."""

    @property
    @abstractmethod
    def version(self) -> int:
        """Return the version of the tables in force, 0 if there are none."""

    @property
    @abstractmethod
    def record(self) -> Record | None:
        """Return the record of the tables in force, None if there are none."""

    @abstractmethod
    def heard(self, router: str, version: int) -> None:
        """Record the version of the tables that another router has in force.

        Args:
          router: Name of the other router.
          version: The version, 0 if it has no tables.
        """


class BaseQuarantineSource(ABC):
    """The quarantine records of a router, and what it hears of those of others."""

    @property
    @abstractmethod
    def digest(self) -> str:
        """Return a digest of the records, empty if there are none."""

    @abstractmethod
    def encode(self) -> bytes:
        """Return a message with the records."""

    @abstractmethod
    def merge_message(self, message: bytes) -> None:
        """Merge the records of another router.

        Raises:
          InvalidMessageError: If the message is invalid.
        """

    @abstractmethod
    def heard(self, router: str, digest: str) -> None:
        """Record the digest of another router's records.

        Args:
          router: Name of the other router.
          digest: The digest, empty if it has no records.
        """


class BaseRolloutSource(ABC):
    """The roll-outs of a router, and what it hears of them from others."""

    @abstractmethod
    def encode(self) -> bytes:
        """Return a message with the roll-outs."""

    @abstractmethod
    def merge_message(self, message: bytes, is_request: bool) -> None:
        """Merge the message of another router.

        Args:
          message: The message.
          is_request: Whether the other router sent it by itself.

        Raises:
          InvalidMessageError: If the message is invalid.
        """


def create_peer_server(
    cache: RecordCache,
    since_store_read_s: Callable[[Topic], float],
    era: StoreEra,
    load_gossip: LoadGossip,
    tables: BaseTablesSource,
    quarantine: BaseQuarantineSource,
    on_error: Callable[[BaseException], None],
    rollouts: BaseRolloutSource | None = None,
) -> HttpListener:
    """Return a server of recent records and loads for peers.

    Args:
      cache: The records.
      since_store_read_s: Returns the time since this router last read a topic from
        the store.
      era: Era of the store, which peers may know of first.
      load_gossip: Loads to share, and where to merge those of peers.
      tables: Tables in force, and where to tell of those of peers.
      quarantine: Quarantine records, and where to merge those of peers.
      on_error: Called with an unexpected exception.
      rollouts: Roll-outs to exchange; None if orders have no effect.
    """
    encode_records = _CachingEncoder()

    async def serve(request: HttpRequest, conn: HttpServerConn) -> None:
        if request.path == LOADS_PATH:
            _exchange_loads(load_gossip, tables, quarantine, request, conn)
            return
        if request.path == QUARANTINE_PATH:
            _exchange_quarantine(quarantine, request, conn)
            return
        if request.path == ROLLOUTS_PATH and rollouts is not None:
            _exchange_rollouts(rollouts, request, conn)
            return
        if request.path == TABLES_PATH:
            _send_tables(tables, conn)
            return
        try:
            topic, position, wait_s = _parse_query(request)
        except (KeyError, ValueError):
            conn.send_response(
                400, BINARY_HEADERS, b"topic, era, from and wait_ms are needed\n"
            )
            return
        era.observe(position.era)
        await cache.wait_until_loaded(topic, wait_s)
        try:
            fresh_for_s = max(0.0, MAX_RECORD_AGE_S[topic] - since_store_read_s(topic))
            page = await cache.read(topic, position, min(wait_s, fresh_for_s))
        except OffsetOutOfRangeError:
            conn.send_response(410, BINARY_HEADERS, b"")
            return
        response = _PeerResponse(
            encode_records(page.records),
            page.next_offset,
            since_store_read_s(topic),
            page.is_snapshot,
            page.era,
        )
        conn.send_response(200, BINARY_HEADERS, msgspec.msgpack.encode(response))

    def error_response(status: int, error_code: str):
        return BINARY_HEADERS, error_code.encode() + b"\n"

    return HttpListener(serve, error_response, on_error)


def _send_tables(tables: BaseTablesSource, conn: HttpServerConn) -> None:
    record = tables.record
    if record is None:
        conn.send_response(404, BINARY_HEADERS, b"there are no tables yet\n")
        return
    conn.send_response(200, BINARY_HEADERS, _encode((record,)))


def _exchange_loads(
    load_gossip: LoadGossip,
    tables: BaseTablesSource,
    quarantine: BaseQuarantineSource,
    request: HttpRequest,
    conn: HttpServerConn,
) -> None:
    query = _query(request)
    try:
        within_s = _parse_duration_s(query["within_ms"][0])
        # The reply is made first: the peer has no use for its own reports.
        partner = query.get("router", [""])[0]
        reply = load_gossip.encode(now(), within_s, partner)
        load_gossip.merge_message(request.body, now(), partner)
    except (KeyError, ValueError):
        conn.send_response(
            400, BINARY_HEADERS, b"within_ms and a list of loads are needed\n"
        )
        return
    if "router" in query and "tables" in query:
        tables.heard(query["router"][0], parse_version(query["tables"][0]))
    headers = [
        *BINARY_HEADERS,
        (VERSION_HEADER, str(tables.version).encode()),
    ]
    # The router that asks compares the digests.
    if quarantine.digest:
        headers.append((QUARANTINE_HEADER, quarantine.digest.encode()))
    conn.send_response(200, headers, reply)


def _exchange_quarantine(
    quarantine: BaseQuarantineSource, request: HttpRequest, conn: HttpServerConn
) -> None:
    try:
        quarantine.merge_message(request.body)
    except InvalidMessageError:
        conn.send_response(400, BINARY_HEADERS, b"a list of records is needed\n")
        return
    conn.send_response(200, BINARY_HEADERS, quarantine.encode())


def _exchange_rollouts(
    rollouts: BaseRolloutSource, request: HttpRequest, conn: HttpServerConn
) -> None:
    try:
        rollouts.merge_message(request.body, is_request=True)
    except InvalidMessageError:
        conn.send_response(400, BINARY_HEADERS, b"a list of roll-outs is needed\n")
        return
    conn.send_response(200, BINARY_HEADERS, rollouts.encode())


def _query(request: HttpRequest) -> dict[str, list[str]]:
    return parse_qs(request.target.partition(b"?")[2].decode("latin-1"))


def _parse_query(request: HttpRequest) -> tuple[Topic, Position, float]:
    query = _query(request)
    wait_s = min(_parse_duration_s(query["wait_ms"][0]), MAX_WAIT_S)
    position = Position(_parse_count(query["era"][0]), _parse_count(query["from"][0]))
    return Topic(query["topic"][0]), position, wait_s


def _parse_duration_s(milliseconds: str) -> float:
    seconds = float(milliseconds) / 1000
    if not 0 <= seconds <= MAX_STATED_AGE_S:
        raise InvalidMessageError(f"{milliseconds} is not a time in milliseconds")
    return seconds


def _parse_count(text: str) -> int:
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_VERSION_DIGITS:
        raise InvalidMessageError(
            f"a number must have 1 to {MAX_VERSION_DIGITS} digits, not {len(text)}"
        )
    return int(text)
