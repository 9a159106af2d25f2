"""Statuses of orders as records of the store, which operators and endpoints read."""

from abc import ABC, abstractmethod

import msgspec

from cranberrysail.router.decoding import (
    MessageDecoder,
    PositiveSeconds,
    UnsignedInteger,
)
from cranberrysail.router.rolloutmodel import Phase, RolloutState, RolloutStatus

__all__ = ["BaseStatusCodec"]


class _Status(msgspec.Struct, omit_defaults=True):
    """The status of an order.

    Attributes:
      phase: Part of the state ``running``.
      started_ms: First read of the order, in milliseconds since the epoch.
      old: Versions of the other endpoints.
      reason: Why it was rolled back.
    """

    state: RolloutState
    to: str
    service: str = ""
    phase: str = ""
    duration_s: PositiveSeconds | None = None
    started_ms: UnsignedInteger = 0
    old: list[str] | None = None
    reason: str = ""


_STATUS_DECODER = MessageDecoder.json(_Status)


class BaseStatusCodec(ABC):
    """Translates statuses to and from records; their keys are the platform's."""

    @abstractmethod
    def is_status_key(self, key: str) -> bool:
        """Return whether the routers' record under a key is the status of an order."""

    @abstractmethod
    def status_key(self, service: str) -> str:
        """Return the key of the status of a service."""

    @abstractmethod
    def service_of_status_key(self, key: str) -> str:
        """Return the service that the status under a key is for."""

    def decode_status(self, key: str, value: bytes) -> RolloutStatus:
        """Return a decoded status.

        Raises:
          InvalidMessageError: If the record is invalid.
        """
        status = _STATUS_DECODER.decode(value)
        phase = Phase.SHIFT if status.phase == Phase.SHIFT else Phase.EXPOSURE
        return RolloutStatus(
            self.service_of_status_key(key),
            status.to,
            status.state,
            phase,
            status.duration_s,
            status.started_ms,
            frozenset(status.old) if status.old is not None else None,
            status.reason,
        )

    def encode_status(self, status: RolloutStatus) -> bytes:
        """Return an encoded status."""
        old = status.old_versions
        return msgspec.json.encode(
            _Status(
                status.state,
                status.to,
                status.service,
                status.phase.value,
                status.duration_s,
                status.started_ms,
                sorted(old) if old is not None else None,
                status.reason,
            )
        )
