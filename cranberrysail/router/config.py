"""Settings of a serving router, in its own terms."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from cranberrysail.router.admission import AdmissionBound
from cranberrysail.router.coldlimit import ColdBound
from cranberrysail.router.placement import PlacementBound
from cranberrysail.router.repeats import RepeatBound

__all__ = ["BaseSettings", "RouterConfig"]


class BaseSettings(ABC):
    """Where a router's settings come from."""

    @abstractmethod
    def load(self) -> "RouterConfig":
        """Return the settings.

        Raises:
          ConfigError: If they are not valid.
        """

    @abstractmethod
    def changed(self) -> bool:
        """Return whether they have changed since they were last loaded."""


@dataclass(frozen=True, slots=True)
class RouterConfig:
    """What one router process is given.

    Attributes:
      callers: ``ip:port`` of the listener for callers.
      ready: ``ip:port`` of the readiness check.
      ready_path: Path of the readiness check.
      admin: ``ip:port`` of metrics and state.
      store: ``ip:port`` of the platform's store.
      peers: ``ip:port`` of the listener for other routers.
      relays: True if its link has room to serve them.
      grace_s: Time from the request to stop until the process is killed.
      cold: Bound on calls to a cold endpoint.
      repeats: Bound on second sends.
      placement: Bounds on placement.
      admission: Bounds on waiting and on return times.
    """

    name: str
    zone: str
    callers: str
    ready: str
    admin: str
    store: str
    peers: str
    relays: bool = True
    ready_path: str = "/ready"
    grace_s: float = 8.0
    cold: ColdBound = field(default_factory=lambda: ColdBound(1.0, 0.0))
    repeats: RepeatBound = field(default_factory=lambda: RepeatBound(0.2, 0.0, 10.0))
    placement: PlacementBound = field(default_factory=PlacementBound)
    admission: AdmissionBound = field(default_factory=AdmissionBound)
