"""Decoder of the records that operators and endpoints write to the store."""

from typing import Annotated, Any, Literal

import msgspec

from cranberrysail.router.decoding import (
    Integer,
    InvalidMessageError,
    MessageDecoder,
    Milliseconds,
    PositiveSeconds,
    UnsignedInteger,
    check_address,
)
from cranberrysail.router.model import (
    MAX_VERSION_DIGITS,
    CallerLimits,
    CallKind,
    Customer,
    EndpointRecord,
    Route,
    RouteTables,
    Service,
    TableEntries,
)
from cranberrysail.router.rolloutmodel import MAX_VERSION_CHARS, RolloutOrder
from cranberrysail.router.rolloutstatuscodec import BaseStatusCodec
from cranberrysail.router.routingstate import BaseRecordDecoder

__all__ = ["PlatformDecoder"]

CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
# Keys of orders, and of their statuses.
ROLLOUT_PREFIX = "rollout/"
# Routers state versions to each other with so many digits.
Version = Annotated[int, msgspec.Meta(ge=0, lt=10**MAX_VERSION_DIGITS)]
CALL_KINDS = {
    "idempotent": CallKind.IDEMPOTENT,
    "non_idempotent": CallKind.ONCE,
    "streaming": CallKind.STREAM,
}


class _WeightedService(msgspec.Struct):
    service: str
    weight: Integer


class _Route(msgspec.Struct):
    """A route in the operators' configuration.

    Attributes:
      traffic_split: Services with their weights; takes precedence over ``service``.
      max_attempts: Maximum number of endpoints that may execute one attempt of a
        caller.
      target_latency_ms: Target latency to the response, or to the first event of a
        stream.
      public: True if callers need no API key.
    """

    name: str
    host: str
    path_prefix: str
    kind: Literal["idempotent", "non_idempotent", "streaming"]
    timeout_ms: Milliseconds
    service: str | None = None
    traffic_split: list[_WeightedService] = []
    target_latency_ms: Milliseconds = 1000.0
    priority: Integer = 5
    max_attempts: Integer = 1
    public: bool = False
    stream_resumption: bool = False
    gap_aim_ms: float = 0.0

    def to_route(self) -> Route:
        weights = tuple((s.service, s.weight) for s in self.traffic_split)
        if not weights:
            weights = ((self.service or "", 1),)
        return Route(
            name=self.name,
            host=self.host,
            prefix=self.path_prefix,
            kind=CALL_KINDS[self.kind],
            service_weights=weights,
            max_attempts=max(1, self.max_attempts),
            timeout_s=self.timeout_ms / 1000,
            target_latency_s=self.target_latency_ms / 1000,
            public=self.public,
            resumable=self.stream_resumption,
            priority=self.priority,
        )


class _Engine(msgspec.Struct):
    slots: Integer = 0


class _Service(msgspec.Struct):
    """A service in the operators' configuration.

    Attributes:
      connection_limit: Connections that one endpoint accepts from all routers.
      cold_per_s: Calls per second that a cold endpoint can serve.
    """

    name: str
    connection_limit: Integer = 64
    cold_per_s: float = 0.0
    cold_start_s: float = 0.0
    engine: _Engine | None = None

    def to_service(self) -> Service:
        slots = self.engine.slots if self.engine else 0
        return Service(
            self.name,
            self.connection_limit,
            self.cold_per_s,
            self.cold_start_s,
            slots,
        )


class _Limits(msgspec.Struct):
    max_header_bytes: Integer = 16384
    max_body_bytes: Integer = 4194304
    header_timeout_ms: Milliseconds = 3000.0
    idle_timeout_ms: Milliseconds = 15000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: Integer | None = None


class _Config(msgspec.Struct):
    version: Version
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _ConfigVersion(msgspec.Struct):
    """The version of a configuration, without the rest."""

    version: Version


class _EndpointDeclaration(msgspec.Struct):
    """The declaration that an endpoint publishes about itself.

    Attributes:
      sequence: Sequence number of the declaration since the endpoint's start.
      born: Start of the endpoint, in milliseconds since the epoch.
      cold_remaining_ms: How much longer the endpoint remains slow after its start.
      version: Version of its software; anything but a text is no version.
    """

    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    sequence: Integer
    slots: Integer
    born: UnsignedInteger = 0
    cold_remaining_ms: Milliseconds = 0.0
    version: Any = ""


class _Order(msgspec.Struct):
    """An order to move the traffic of a service to a version."""

    to: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_VERSION_CHARS)]
    duration_s: PositiveSeconds
    service: str = ""


class PlatformDecoder(BaseRecordDecoder, BaseStatusCodec):
    """Decodes the records of the platform's store."""

    def __init__(self) -> None:
        self._config_decoder = MessageDecoder.json(_Config)
        self._version_decoder = MessageDecoder.json(_ConfigVersion)
        self._declaration_decoder = MessageDecoder.json(_EndpointDeclaration)
        self._order_decoder = MessageDecoder.json(_Order)

    def decode_entries(self, value: bytes) -> TableEntries:
        """Return services and customers of the configuration, with duplicates."""
        config = self._config_decoder.decode(value)
        return TableEntries(
            tuple(service.to_service() for service in config.services),
            tuple((Customer(t.name, t.priority), t.api_keys) for t in config.tenants),
        )

    def decode_tables(self, value: bytes) -> RouteTables:
        """Return the route tables of the operators' configuration."""
        config = self._config_decoder.decode(value)
        if not all(tenant.name.isprintable() for tenant in config.tenants):
            # It is sent to endpoints as a header.
            raise InvalidMessageError("the name of a customer is not printable")
        limits = config.limits
        return RouteTables(
            config.version,
            tuple(route.to_route() for route in config.routes),
            {service.name: service.to_service() for service in config.services},
            {
                key: Customer(tenant.name, tenant.priority)
                for tenant in config.tenants
                for key in tenant.api_keys
            },
            CallerLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_ms / 1000,
                limits.idle_timeout_ms / 1000,
            ),
        )

    def decode_tables_version(self, value: bytes) -> int:
        """Return the version of the operators' configuration."""
        return self._version_decoder.decode(value).version

    def decode_endpoint(self, key: str, value: bytes) -> EndpointRecord:
        """Return the decoded declaration of an endpoint."""
        declaration = self._declaration_decoder.decode(value)
        check_address(declaration.address)
        if not key.isascii() or not key.isprintable() or not key.strip():
            # It is sent to the endpoint as a header.
            raise InvalidMessageError("the id of the endpoint is not printable ASCII")
        return EndpointRecord(
            endpoint_id=key,
            started_ms=declaration.born,
            sequence=declaration.sequence,
            service=declaration.service,
            address=declaration.address,
            zone=declaration.zone,
            slots=declaration.slots,
            draining=declaration.state == "draining",
            remaining_cold_s=max(0.0, declaration.cold_remaining_ms / 1000),
            version=_version(declaration.version),
        )

    def is_tables_key(self, key: str) -> bool:
        """Return whether the record under a key is the configuration."""
        return key == CONFIG_KEY

    def zone_of_key(self, key: str) -> str | None:
        """Return the availability zone that a key takes out of service, or None."""
        if not key.startswith(EVACUATE_PREFIX):
            return None
        return key.removeprefix(EVACUATE_PREFIX)

    def service_of_order_key(self, key: str) -> str | None:
        """Return the service that the order under a key is for, or None."""
        return key.removeprefix(ROLLOUT_PREFIX) if self.is_status_key(key) else None

    def decode_order(self, service: str, value: bytes) -> RolloutOrder:
        """Return a decoded order."""
        order = self._order_decoder.decode(value)
        if order.service not in ("", service) or not _version(order.to):
            raise InvalidMessageError("the order names another service, or no version")
        return RolloutOrder(service, order.to, order.duration_s)

    def is_status_key(self, key: str) -> bool:
        """Return whether the routers' record under a key is the status of an order."""
        return key.startswith(ROLLOUT_PREFIX) and len(key) > len(ROLLOUT_PREFIX)

    def status_key(self, service: str) -> str:
        """Return the key of the status of a service."""
        return ROLLOUT_PREFIX + service

    def service_of_status_key(self, key: str) -> str:
        """Return the service that the status under a key is for."""
        return key.removeprefix(ROLLOUT_PREFIX)


def _version(value: object) -> str:
    """Return the version that an endpoint states, empty if it is not usable."""
    is_text = isinstance(value, str) and value.isprintable()
    return value if is_text and len(value) <= MAX_VERSION_CHARS else ""
