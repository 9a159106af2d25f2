"""Tables edited by the operators: pools, the routes to them, and customers."""

from enum import StrEnum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

__all__ = [
    "Customer",
    "Idempotency",
    "OutOfService",
    "Pool",
    "Route",
    "RouteKind",
    "Tables",
]

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Sha256Hex = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
# The least urgent priority; 0 is the most urgent.
MAX_PRIORITY = 9


class RouteKind(StrEnum):
    """Kind of the calls of a route.

    Attributes:
      CHAT: Chat requests, placed by the chat that they belong to.
      PLAIN: Other requests.
    """

    CHAT = "chat"
    PLAIN = "plain"


class Idempotency(StrEnum):
    """How many times a call of a route may run.

    Attributes:
      SAFE: Any number of times; it may be retried.
      ONCE: At most once; not retried if an earlier attempt may have run.
      KEYED: At most once per Idempotency-Key; the header is required.
    """

    SAFE = "safe"
    ONCE = "once"
    KEYED = "keyed"


class _TableModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Pool(_TableModel):
    """A named set of endpoints.

    Attributes:
      load_factor: Maximum load of an endpoint, as a multiple of the pool's mean load;
        replaces the router's setting if given.
      max_open: Maximum number of open calls at an endpoint that declares no limit.
    """

    load_factor: Annotated[float, Field(ge=1.0, le=10.0)] | None = None
    max_open: Annotated[int, Field(ge=1, le=100_000)] = 64


class Route(_TableModel):
    """Maps calls below a path prefix to a pool.

    Attributes:
      prefix: Path prefix; the longest matching prefix is used.
      pool: Name of the pool.
      methods: Allowed HTTP methods.
      models: Names of models; if not empty, the route takes only calls for these.
      priority: 0 is the most urgent; under overload, 9 is rejected first.
      key_max_age_s: Age after which an Idempotency-Key is rejected, in seconds.
    """

    prefix: Annotated[str, Field(pattern=r"^/[\x21-\x7e]*$", max_length=200)]
    pool: Name
    kind: RouteKind = RouteKind.PLAIN
    methods: tuple[str, ...] = ("GET", "POST")
    models: tuple[str, ...] = ()
    idempotency: Idempotency = Idempotency.ONCE
    priority: Annotated[int, Field(ge=0, le=MAX_PRIORITY)] = 4
    key_max_age_s: Annotated[int, Field(ge=60)] = 24 * 3600


class Customer(_TableModel):
    """An account to which callers authenticate.

    Attributes:
      keys_sha256: SHA-256 of each valid key, in hex.
      weight: Weight of the customer in the fair sharing of capacity.
    """

    keys_sha256: tuple[Sha256Hex, ...]
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0


class OutOfService(_TableModel):
    """Marks an availability zone or a host as out of service.

    Attributes:
      reason: Explanation for other operators.
    """

    reason: Annotated[str, Field(max_length=200)] = ""


class Tables(_TableModel):
    """The tables as one document, which operators edit and publish."""

    pools: dict[Name, Pool]
    routes: dict[Name, Route]
    customers: dict[Name, Customer] = Field(default_factory=dict)

    @model_validator(mode="after")
    def _check_pools_exist(self) -> "Tables":
        for name, route in self.routes.items():
            if route.pool not in self.pools:
                raise ValueError(
                    f"routes.{name}.pool: there is no pool {route.pool!r}; "
                    f"use one of: {', '.join(sorted(self.pools))}"
                )
        return self
