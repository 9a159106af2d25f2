"""What operators and endpoints declare, in the router's own types."""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "CallKind",
    "CallerLimits",
    "Customer",
    "EndpointRecord",
    "Route",
    "RouteTables",
    "Service",
]

# Priority where operators name none.
DEFAULT_PRIORITY = 5


class CallKind(StrEnum):
    """What may be repeated on a route.

    Attributes:
      IDEMPOTENT: A call may run any number of times.
      ONCE: A call runs at most once.
      STREAM: A stream of events; runs at most once unless it can be resumed.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Route:
    """Sends the calls of a host below a path prefix to services.

    Attributes:
      prefix: Path prefix, which begins and ends with a slash.
      shares: Services with their weights.
      max_attempts: Endpoints at which one call may run.
      timeout_s: Longest time that a caller is kept waiting.
      target_s: Time to the answer, or to a stream's first event, that is aimed at.
      public: True if callers need no key.
      resumable: True if a stream can go on at another endpoint.
      priority: 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[tuple[str, int], ...]
    max_attempts: int = 1
    timeout_s: float = 10.0
    target_s: float = 1.0
    public: bool = False
    resumable: bool = False
    priority: int = DEFAULT_PRIORITY

    @property
    def repeatable(self) -> bool:
        """Return whether a call may run more than once."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Service:
    """A named pool of endpoints.

    Attributes:
      max_connections: Connections that one endpoint takes from all routers.
      cold_rate: Calls a second that a cold endpoint bears, 0 if any number.
      cold_s: How long an endpoint stays cold after its start.
      engine_slots: Calls that a model engine batches, 0 for plain services.
    """

    name: str
    max_connections: int = 64
    cold_rate: float = 0.0
    cold_s: float = 0.0
    engine_slots: int = 0


@dataclass(frozen=True, slots=True)
class Customer:
    """Who holds a caller's key.

    Attributes:
      priority: Goes before the route's, if set; 0 is the most urgent.
    """

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what callers send.

    Attributes:
      header_bytes: Largest request head.
      body_bytes: Largest request body.
      header_s: Longest time for a request head.
      idle_s: Time after which an idle connection is closed.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 3.0
    idle_s: float = 15.0


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """An endpoint as it declares itself.

    Attributes:
      instance: Id of the endpoint.
      born: Start of this incarnation, in milliseconds since the epoch.
      count: Number of the declaration within the incarnation.
      slots: Calls that it works on at once.
      draining: True once it has announced that it leaves.
      cold_s: How much longer it stays cold, in seconds.
    """

    instance: str
    born: int
    count: int
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    cold_s: float = 0.0


@dataclass(frozen=True)
class RouteTables:
    """One whole version of what operators publish.

    Attributes:
      customers: Customers by key.
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
        """Return the route with the longest prefix of a path.

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
