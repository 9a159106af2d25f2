"""Client of the platform's metadata store, a set of logs over HTTP."""

import base64
import struct
from urllib.parse import quote

import msgspec

from cranberrysail.router.decoding import (
    InvalidMessageError,
    MessageDecoder,
    UnsignedInteger,
)
from cranberrysail.router.httpstore import HttpStoreClient
from cranberrysail.router.keyedrecords import (
    count_records,
    decode_records,
    encode_record,
)
from cranberrysail.router.store import (
    BaseStore,
    EraChangedError,
    OffsetOutOfRangeError,
    Page,
    StoreError,
    Topic,
)

__all__ = ["PlatformStore", "decode_era"]

# Names of the topics on the platform. Routers may write to the last one only.
TOPIC_NAMES = {
    Topic.OPERATORS: "keyed.op",
    Topic.ENDPOINTS: "keyed.servers",
    Topic.ROUTERS: "keyed.status",
}
# Maximum time until a response begins. It usually takes a few milliseconds, but the
# store may become tens of times slower.
RESPONSE_TIMEOUT_S = 1.5
# Connecting usually takes a few milliseconds, as the store is in the same region.
CONNECT_TIMEOUT_S = 0.6
# Maximum size of the records in one response; the store returns no more.
MAX_READ_KB = 1024
# Maximum number of keys of a topic; there are some thousand endpoints and routers. A
# store whose pages always have one more would be read without end.
MAX_SNAPSHOT_RECORDS = 100_000
# A page begins with the end offset and the first offset, eight bytes each.
OFFSETS_BYTES = 16
# Header of all responses. It rises by one each time the store is restored from a copy.
ERA_HEADER = b"store-era"
# Maximum number of digits of an era.
MAX_ERA_DIGITS = 18


class _Item(msgspec.Struct):
    key: str
    offset: int
    value: str | None = None


class _Gone(msgspec.Struct):
    """The response to a read of records that have been dropped.

    Attributes:
      first: The first offset that is retained.
    """

    first: UnsignedInteger | None = None


class _NewestPage(msgspec.Struct):
    """A page of ``log-newest``.

    Attributes:
      end: Offset at which the next read begins. Only that of the first page ensures
        that no record written while the other pages are read is missed.
    """

    items: list[_Item]
    end: UnsignedInteger
    has_more: bool = False


def decode_era(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the era that a response states, 0 if it states none."""
    value = next((value for name, value in headers if name == ERA_HEADER), b"")
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        return 0
    return int(value)


class PlatformStore(BaseStore):
    """Client of the store, with a persistent connection for each topic.

    Writes use a connection of their own.
    """

    def __init__(self, address: str) -> None:
        """Create a client.

        Args:
          address: ``ip:port`` of the store.
        """
        super().__init__()
        self._http = HttpStoreClient(
            address,
            CONNECT_TIMEOUT_S,
            lambda headers: self.era.observe(decode_era(headers)),
        )
        self._page_decoder = MessageDecoder.json(_NewestPage)
        self._gone_decoder = MessageDecoder.json(_Gone)

    async def read_snapshot(self, topic: Topic) -> Page:
        """Return the newest record of each key that has not been removed."""
        return await self._read_newest(topic, topic.value)

    async def read_for_append(self, topic: Topic, key: str) -> Page:
        """Return a snapshot by a connection of its own for each key."""
        return await self._read_newest(topic, f"append {key}")

    async def _read_newest(self, topic: Topic, channel: str) -> Page:
        records: list[tuple[str, bytes | None]] = []
        end: int | None = None
        era: int | None = None
        after = ""
        while True:
            query = f"/v1/log-newest?topic={TOPIC_NAMES[topic]}&part=0"
            if after:
                query += f"&after={quote(after, safe='')}"
            response = await self._http.request(
                channel, "GET", query, b"", RESPONSE_TIMEOUT_S
            )
            page = self._decode_page(response.body)
            page_era = decode_era(response.headers)
            if era is not None and page_era != era:
                raise EraChangedError("the store was restored during a snapshot")
            era = page_era
            end = page.end if end is None else end
            if len(records) + len(page.items) > MAX_SNAPSHOT_RECORDS:
                raise StoreError(
                    f"the store's newest records do not end after {len(records)}; "
                    "read them again"
                )
            for item in page.items:
                records.append((item.key, _decode_value(item)))
                after = item.key
            if not page.has_more or not page.items:
                return Page(tuple(records), end, is_snapshot=True, era=era)

    def _decode_page(self, body: bytes) -> _NewestPage:
        try:
            return self._page_decoder.decode(body)
        except InvalidMessageError as exc:
            raise StoreError(
                f"the store returned an invalid page of newest records ({exc})"
            ) from exc

    def _decode_first(self, body: bytes) -> int | None:
        try:
            return self._gone_decoder.decode(body).first
        except InvalidMessageError:
            return None

    async def read(self, topic: Topic, start: int, wait_s: float) -> Page:
        """Return the records from an offset on."""
        query = (
            f"/v1/log-read?topic={TOPIC_NAMES[topic]}&part=0&from={start}"
            f"&max_kb={MAX_READ_KB}&wait_ms={int(wait_s * 1000)}"
        )
        try:
            response = await self._http.request(
                topic.value, "GET", query, b"", RESPONSE_TIMEOUT_S + wait_s
            )
        except OffsetOutOfRangeError as exc:
            first = self._decode_first(exc.body)
            raise OffsetOutOfRangeError(str(exc), first) from exc
        body = response.body
        if len(body) < OFFSETS_BYTES:
            raise StoreError("the store's response is truncated; read again")
        end, first = struct.unpack_from(">QQ", body)
        if not first <= start <= end:
            raise OffsetOutOfRangeError(
                f"offset {start} is not between {first} and {end}; read a snapshot",
                first,
            )
        records = decode_records(body[OFFSETS_BYTES:])
        count = count_records(body[OFFSETS_BYTES:])
        # A page may leave records for the next read, but not all of them.
        if end > start and not count:
            raise StoreError("the store's page is truncated: no records; read again")
        return Page(records, start + count, era=decode_era(response.headers))

    async def put(self, topic: Topic, key: str, value: bytes) -> None:
        """Write a record."""
        query = f"/v1/log-append?topic={TOPIC_NAMES[topic]}&part=0"
        await self._http.request(
            "put", "POST", query, encode_record(key, value), RESPONSE_TIMEOUT_S
        )

    async def append_at(self, topic: Topic, key: str, value: bytes, at: int) -> None:
        """Write a record if the log ends at an offset."""
        query = f"/v1/log-append?topic={TOPIC_NAMES[topic]}&part=0&at={at}"
        record = encode_record(key, value)
        await self._http.request(
            f"append {key}", "POST", query, record, RESPONSE_TIMEOUT_S
        )

    def close(self) -> None:
        """Close all connections."""
        self._http.close()


def _decode_value(item: _Item) -> bytes | None:
    if not item.value:
        return None
    try:
        return base64.b64decode(item.value, validate=True)
    except ValueError as exc:
        raise StoreError(f"the value of {item.key!r} is not valid base64") from exc
