"""A call under way."""

from dataclasses import dataclass, field

from cranberrysail.router.callerconn import CallerConn, CallerRequest
from cranberrysail.router.clock import now
from cranberrysail.router.dialect import CallHead, Headers
from cranberrysail.router.model import Customer, Route, RouteTables, Service
from cranberrysail.router.sse import EventSplitter

__all__ = ["Call"]


@dataclass(slots=True)
class Call:
    """A call under way.

    Attributes:
      until_s: When its time is over.
      ran: Attempts that ran or may have run.
      not_run: Attempts that an endpoint turned away.
      arrived: Attempts that reached an endpoint, whether it ran them or not.
      tried: Endpoints that it was sent to.
      events: Events passed on so far, for a stream.
      begun: True once a part of an answer has gone to the caller.
      first_s: From the call's arrival to the first byte of the answer, 0 before it.
      failure: An endpoint's failure that may still be given to the caller.
    """

    request: CallerRequest
    conn: CallerConn
    head: CallHead
    route: Route
    service: str
    tables: RouteTables
    customer: Customer | None
    until_s: float
    ran: int = 0
    not_run: int = 0
    arrived: int = 0
    tried: set[str] = field(default_factory=set)
    events: EventSplitter = field(default_factory=EventSplitter)
    begun: bool = False
    first_s: float = 0.0
    failure: tuple[int, Headers, bytes] | None = None

    @property
    def left_s(self) -> float:
        """Return the time that is left."""
        return self.until_s - now()

    @property
    def pool(self) -> Service:
        """Return what the tables say of its service."""
        return self.tables.services.get(self.service, Service(self.service))

    @property
    def priority(self) -> int:
        """Return how urgent it is, 0 first."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority
