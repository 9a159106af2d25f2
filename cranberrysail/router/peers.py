"""Records passed between routers, so that few of them ask the store.

Answers a store that is priced by the call, and one that turns single routers
away while it serves others.
"""

import sys
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs

import msgspec

from cranberrysail.router.callerconn import CallerConn, CallerFront, CallerRequest
from cranberrysail.router.clock import now
from cranberrysail.router.httpstore import HttpStoreClient
from cranberrysail.router.loadnews import LoadNews, LoadNewsItem
from cranberrysail.router.recordrelay import RecordRelay
from cranberrysail.router.rendezvous import score
from cranberrysail.router.store import (
    BaseStore,
    Page,
    StaleError,
    StoreError,
    StoreGapError,
    Topic,
)

__all__ = ["Peer", "PeerBook", "PeerStore", "encode_peer", "peer_front"]

PATH = "/records"
# Peers asked first are in the same zone.
CONNECT_S = 0.3
# A peer that has news answers at once, and one without after the wait; both must
# leave time to read the store within the two seconds for a leaving endpoint.
WAIT_S = 1.0
ANSWER_S = 0.5
# A peer whose own reading is older may miss what the store has.
FRESH_S = 1.7
# Smaller pages gain nothing by it.
COMPRESSED_FROM_BYTES = 1024
# First byte of compressed data; encoded records begin with another.
ZLIB_MARK = b"\x78"
Records = tuple[tuple[str, bytes | None], ...]
BINARY = [(b"content-type", b"application/octet-stream")]


class _Entry(msgspec.Struct):
    """How a router enters itself into the store.

    Attributes:
      relays: True if its link has room to serve others.
    """

    zone: str
    address: str
    relays: bool = True


class _PeerPage(msgspec.Struct):
    """What a router passes on.

    Attributes:
      records: Encoded records, compressed if that is worth it.
      age_s: Age of the router's own reading of the store.
      loads: What it knows of endpoints' loads.
      whole: True if the records are all that the topic holds.
    """

    records: bytes
    end: int
    age_s: float
    loads: tuple[LoadNewsItem, ...] = ()
    whole: bool = False


@dataclass(frozen=True, slots=True)
class Peer:
    """A router as it entered itself."""

    name: str
    zone: str
    address: str
    relays: bool


def encode_peer(zone: str, address: str, relays: bool) -> bytes:
    """Return a router's entry for the store."""
    return msgspec.json.encode(_Entry(zone, address, relays))


class PeerBook:
    """The routers that entered themselves into the store."""

    def __init__(self, name: str, zone: str) -> None:
        """Create an empty book.

        Args:
          name: Name of this router.
          zone: Its availability zone.
        """
        self._name = name
        self._zone = zone
        self._peers: dict[str, Peer] = {}

    def __len__(self) -> int:
        return len(self._peers)

    def has(self, name: str, address: str) -> bool:
        """Return whether a router stands there with an address."""
        peer = self._peers.get(name)
        return peer is not None and peer.address == address

    def apply(self, page: Page) -> list[str]:
        """Take records and return the keys of those that cannot be read."""
        rejected = []
        if page.whole:
            self._peers.clear()
        for key, value in page.records:
            if value is None:
                self._peers.pop(key, None)
                continue
            try:
                entry = msgspec.json.decode(value, type=_Entry)
            except msgspec.DecodeError:
                rejected.append(key)
                continue
            self._peers[key] = Peer(key, entry.zone, entry.address, entry.relays)
        return rejected

    def rank(self, endpoint: str) -> int:
        """Return how many routers rank before this one for an endpoint.

        All routers agree on the ranks; one that is not entered ranks last.
        """
        if self._name not in self._peers:
            return sys.maxsize
        own = score(endpoint, self._name)
        return sum(score(endpoint, name) > own for name in self._peers)

    def before_store(self) -> list[Peer]:
        """Return the peers of this zone to ask before the store.

        All routers of a zone agree on the order; the first asks the store, and
        each further one asks those before it.
        """
        order = sorted(
            (p for p in self._peers.values() if p.zone == self._zone and p.relays),
            key=lambda p: score("", p.name),
        )
        names = [p.name for p in order]
        if self._name in names:
            return order[: names.index(self._name)][:2]
        return order[:2]

    def after_store(self) -> list[Peer]:
        """Return peers to ask when the store does not answer."""
        others = [p for p in self._peers.values() if p.name != self._name and p.relays]
        others.sort(
            key=lambda p: (
                p.zone != self._zone,
                score(self._name, p.name),
            )
        )
        return others[:4]


class PeerStore(BaseStore):
    """The store's records as another router has read them."""

    def __init__(self, address: str, news: LoadNews) -> None:
        """Create a client.

        Args:
          address: ``ip:port`` at which the router serves its peers.
          news: What is told to it, and hears from it, of endpoints' loads.
        """
        self._http = HttpStoreClient(address, CONNECT_S)
        self._news = news
        self._pages = msgspec.msgpack.Decoder(_PeerPage)

    async def newest(self, topic: Topic) -> Page:
        """Return the newest record of each key."""
        page = await self.read(topic, 0, 0.0)
        if not page.whole:
            raise StoreError("the peer keeps no whole list; ask the store")
        return page

    async def read(self, topic: Topic, start: int, wait_s: float) -> Page:
        """Return the records from an offset on."""
        wait_s = min(wait_s, WAIT_S)
        target = f"{PATH}?topic={topic.value}&from={start}&wait_ms={wait_s * 1000:.0f}"
        told = b""
        if topic is Topic.ENDPOINTS:
            told = msgspec.msgpack.encode(self._news.told(now()))
        limit_s = wait_s + ANSWER_S
        body = await self._http.call(topic.value, "POST", target, told, limit_s)
        try:
            page = self._pages.decode(body)
            records = _unpack(page.records)
        except (msgspec.DecodeError, zlib.error) as exc:
            raise StoreError(f"the peer's answer cannot be read ({exc})") from exc
        self._news.hear(page.loads, now())
        if page.age_s >= FRESH_S:
            raise StaleError(f"the peer's own reading is {page.age_s:.1f} s old")
        return Page(records, page.end, page.whole)

    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Refuse: only the store takes records."""
        raise StoreError("peers take no records; write to the store")

    def close(self) -> None:
        """Close all connections."""
        self._http.close()


class _Packer:
    """Encodes records; the peers of a zone ask for the same ones."""

    def __init__(self) -> None:
        self._last: tuple[Records, bytes] = ((), _encode(()))

    def __call__(self, records: Records) -> bytes:
        if records != self._last[0]:
            self._last = (records, _encode(records))
        return self._last[1]


def _encode(records: Records) -> bytes:
    data = msgspec.msgpack.encode(records)
    return zlib.compress(data, 1) if len(data) >= COMPRESSED_FROM_BYTES else data


def _unpack(data: bytes) -> Records:
    if data[:1] == ZLIB_MARK:
        data = zlib.decompress(data)
    return msgspec.msgpack.decode(data, type=Records)


def peer_front(
    relay: RecordRelay,
    age_s: Callable[[], float],
    news: LoadNews,
    failed: Callable[[BaseException], None],
) -> CallerFront:
    """Return a front that serves recent records to peers.

    Args:
      relay: The records.
      age_s: Returns the age of this router's own reading of the store.
      news: What is told and heard of endpoints' loads.
      failed: Called with an error that was not expected.
    """
    packed = _Packer()
    heard = msgspec.msgpack.Decoder(tuple[LoadNewsItem, ...])

    async def serve(request: CallerRequest, conn: CallerConn) -> None:
        try:
            topic, start, wait_s = _asked(request)
            if request.body:
                news.hear(heard.decode(request.body), now())
        except (KeyError, ValueError, msgspec.DecodeError):
            conn.send_whole(400, BINARY, b"topic, from and wait_ms are needed\n")
            return
        try:
            fresh_s = max(0.0, FRESH_S - age_s())
            page = await relay.read(topic, start, min(wait_s, fresh_s))
        except StoreGapError:
            conn.send_whole(410, BINARY, b"")
            return
        loads = news.told(now()) if topic is Topic.ENDPOINTS else ()
        answer = _PeerPage(packed(page.records), page.end, age_s(), loads, page.whole)
        conn.send_whole(200, BINARY, msgspec.msgpack.encode(answer))

    def refuse(status: int, reason: str):
        return BINARY, reason.encode() + b"\n"

    return CallerFront(serve, refuse, failed)


def _asked(request: CallerRequest) -> tuple[Topic, int, float]:
    query = parse_qs(request.target.partition(b"?")[2].decode("latin-1"))
    wait_s = min(float(query["wait_ms"][0]) / 1000, WAIT_S)
    return Topic(query["topic"][0]), int(query["from"][0]), wait_s
