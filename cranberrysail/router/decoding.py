"""Decoding of bytes from other processes: whatever they hold, one error is raised."""

import socket
from collections.abc import Callable
from typing import Annotated, Any, Generic, TypeVar

import msgspec

__all__ = [
    "Integer",
    "InvalidMessageError",
    "MessageDecoder",
    "Milliseconds",
    "PositiveSeconds",
    "UnsignedInteger",
    "check_address",
]

MAX_PORT = 65535
# Integers beyond 64 bits are valid JSON, but cannot be passed on in MessagePack.
Integer = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
UnsignedInteger = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
# The limit, some 30,000 years, keeps times that are computed from it finite.
Milliseconds = Annotated[float, msgspec.Meta(ge=-1e15, le=1e15)]
# Durations that are waited for, up to some months.
PositiveSeconds = Annotated[float, msgspec.Meta(gt=0, le=1e7)]

T = TypeVar("T")


class InvalidMessageError(ValueError):
    """A record or message is invalid and is ignored."""


class MessageDecoder(Generic[T]):
    """Decodes records and messages of one type.

    The libraries raise different errors for malformed data, wrong types, invalid UTF-8,
    numbers out of range and deep nesting.
    """

    def __init__(self, decode: Callable[[bytes], T]) -> None:
        """Create a decoder.

        Args:
          decode: Returns the decoded message or raises any exception.
        """
        self._decode = decode

    @classmethod
    def json(cls, message_type: Any) -> "MessageDecoder":
        """Return a decoder of JSON."""
        decoder = msgspec.json.Decoder(message_type)
        # Given bytes, msgspec accepts invalid UTF-8 in fields that it does not know.
        return cls(lambda data: decoder.decode(str(data, "utf-8")))

    @classmethod
    def msgpack(cls, message_type: Any) -> "MessageDecoder":
        """Return a decoder of MessagePack."""
        return cls(msgspec.msgpack.Decoder(message_type).decode)

    def decode(self, data: bytes) -> T:
        """Return the decoded message.

        Raises:
          InvalidMessageError: If the message is invalid, for whatever reason.
        """
        try:
            return self._decode(data)
        except Exception as exc:
            raise InvalidMessageError(f"{exc} ({type(exc).__name__})") from exc


def check_address(address: str) -> None:
    """Check that an address is an IPv4 address and a port to connect to.

    Raises:
      InvalidMessageError: If it is not; a name would be looked up.
    """
    host, _, port = address.rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError) as exc:
        raise InvalidMessageError("the address is not IP:PORT") from exc
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise InvalidMessageError(f"the port of the address is not 1 to {MAX_PORT}")
