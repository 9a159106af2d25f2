"""Configuration and endpoint declarations, in the router's own types."""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "CallKind",
    "CallerLimits",
    "Customer",
    "EndpointRecord",
    "MAX_VERSION_DIGITS",
    "Route",
    "RouteTables",
    "Service",
    "TableEntries",
]

# Maximum number of digits of a version of the configuration.
MAX_VERSION_DIGITS = 18
# Priority of routes for which operators set none.
DEFAULT_PRIORITY = 5


class CallKind(StrEnum):
    """Execution semantics of the calls on a route.

    Attributes:
      IDEMPOTENT: A call may be executed any number of times.
      ONCE: A call is executed at most once.
      STREAM: The response is an event stream; the call is executed at most once
        unless the stream can be resumed.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Route:
    """Maps calls to a host and path prefix to services.

    Attributes:
      prefix: Path prefix, which begins and ends with a slash.
      service_weights: Services with their weights.
      max_attempts: Maximum number of endpoints that may execute one call.
      timeout_s: Maximum time from a call's arrival to the end of its response.
      target_latency_s: Target latency to the response, or to the first event of a
        stream.
      public: True if callers need no API key.
      resumable: True if a stream can be resumed at another endpoint.
      priority: Scheduling priority; 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    service_weights: tuple[tuple[str, int], ...]
    max_attempts: int = 1
    timeout_s: float = 10.0
    target_latency_s: float = 1.0
    public: bool = False
    resumable: bool = False
    priority: int = DEFAULT_PRIORITY

    @property
    def retryable(self) -> bool:
        """Return whether a call may be executed more than once."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Service:
    """A named pool of endpoints.

    Attributes:
      max_connections: Connections that one endpoint accepts from all routers.
      cold_calls_per_s: Calls per second that a cold endpoint can serve; 0 for no limit.
      cold_s: How long an endpoint stays cold after its start.
      engine_slots: Maximum batch size of the model engine; 0 for plain services.
    """

    name: str
    max_connections: int = 64
    cold_calls_per_s: float = 0.0
    cold_s: float = 0.0
    engine_slots: int = 0


@dataclass(frozen=True, slots=True)
class Customer:
    """Owner of one or more API keys.

    Attributes:
      priority: Overrides the route's priority if set; 0 is the most urgent.
    """

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' requests and connections.

    Attributes:
      max_header_bytes: Maximum size of a request head.
      max_body_bytes: Maximum size of a request body.
      header_timeout_s: Timeout for receiving a request head.
      idle_timeout_s: Time after which an idle connection is closed.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """Declaration that an endpoint publishes about itself.

    Attributes:
      endpoint_id: Id of the endpoint.
      started_ms: Start of this incarnation, in milliseconds since the epoch.
      sequence: Sequence number of the declaration within the incarnation.
      slots: Calls that the endpoint processes concurrently.
      draining: True once the endpoint has announced that it will stop.
      remaining_cold_s: Seconds that the endpoint remains cold, counted from the
        declaration.
      version: Version of the software that it runs, empty if it states none.
    """

    endpoint_id: str
    started_ms: int
    sequence: int
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    remaining_cold_s: float = 0.0
    version: str = ""


@dataclass(frozen=True)
class RouteTables:
    """One complete version of the configuration that operators publish.

    Attributes:
      customers: Customers by API key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    customers: dict[str, Customer] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    _by_host: dict[str, dict[str, Route]] = field(default_factory=dict, repr=False)

    def __post_init__(self) -> None:
        for route in self.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path.

        Args:
          host: Host header of the request, with or without a port.
          path: Path of the request, without its query.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


@dataclass(frozen=True, slots=True)
class TableEntries:
    """Services and customers of one configuration as they stand there, for checks.

    In the tables, the last of several entries with the same key replaces the others.

    Attributes:
      customers: Customers with their API keys.
    """

    services: tuple[Service, ...]
    customers: tuple[tuple[Customer, list[str]], ...]
