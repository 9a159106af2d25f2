"""Framing of keyed records: lengths of record and key, the key and the value."""

import struct

from cranberrysail.router.store import StoreError

__all__ = ["count_records", "decode_records", "encode_record"]


def encode_record(key: str, value: bytes) -> bytes:
    """Encode a keyed record, prefixed with its length."""
    key_bytes = key.encode()
    content = bytes([len(key_bytes)]) + key_bytes + value
    return struct.pack(">I", len(content)) + content


def decode_records(data: bytes) -> tuple[tuple[str, bytes | None], ...]:
    """Decode pairs of key and value; the value is None if the key was removed.

    Records without a valid key are skipped.

    Raises:
      StoreError: If the data is truncated.
    """
    records = []
    pos = 0
    while pos < len(data):
        if pos + 4 > len(data):
            raise StoreError("the store's records are truncated; read them again")
        (size,) = struct.unpack_from(">I", data, pos)
        content = data[pos + 4 : pos + 4 + size]
        if len(content) < size:
            raise StoreError("the store's records are truncated; read them again")
        pos += 4 + size
        if not content or len(content) < 1 + content[0]:
            continue
        key = content[1 : 1 + content[0]].decode("utf-8", "replace")
        value = bytes(content[1 + content[0] :])
        records.append((key, value or None))
    return tuple(records)


def count_records(data: bytes) -> int:
    """Count the records, including skipped ones, which also take an offset."""
    count = pos = 0
    while pos < len(data):
        (size,) = struct.unpack_from(">I", data, pos)
        pos += 4 + size
        count += 1
    return count
