"""Settings of a router process, independent of how the platform stores them."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from cranberrysail.router.admission import AdmissionBound
from cranberrysail.router.coldlimit import ColdBound
from cranberrysail.router.placement import PlacementBound
from cranberrysail.router.retrybudget import RetryBound
from cranberrysail.router.rolloutmodel import RolloutBound

__all__ = ["BaseSettingsSource", "RouterConfig"]


class BaseSettingsSource(ABC):
    """Source of a router's settings."""

    @abstractmethod
    def load(self) -> "RouterConfig":
        """Return the current settings.

        Raises:
          ConfigError: If the settings are not valid.
        """

    @abstractmethod
    def changed(self) -> bool:
        """Return whether the settings changed since they were last loaded."""


@dataclass(frozen=True, slots=True)
class RouterConfig:
    """Settings of one router process.

    Attributes:
      name: Name of this router, unique in the fleet.
      zone: Its availability zone.
      callers: ``ip:port`` of the listener for callers.
      ready: ``ip:port`` of the listener for readiness checks.
      ready_path: URL path of the readiness check.
      admin: ``ip:port`` of the listener for metrics and state.
      store: ``ip:port`` of the platform's store.
      peers: ``ip:port`` of this router's listener for other routers.
      relays: True if this router's link has the bandwidth to serve all other routers of
        its zone.
      memory_mb: Memory that the process may take, in MB; 0 if the settings say nothing.
      file_descriptors: Descriptors that it may open; 0 if the settings say nothing.
      grace_s: Time from the stop request until the process is killed.
      tolerated_zones: Availability zones that may be lost at once. If any, a router
        whose zone is cut off tells the load balancer to send callers elsewhere.
      cold: Bound on the calls to a cold endpoint, that is, one that is still warming up
        after a start.
      repeats: Bound on retries.
      placement: Bounds on the load of an endpoint relative to the mean.
      admission: Bounds on queueing time and on the retry delay given to callers.
      rollout: Bound on the requests to an unproven version; None if orders to move a
        service to another version have no effect.
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
    memory_mb: float = 0.0
    file_descriptors: int = 0
    grace_s: float = 8.0
    tolerated_zones: int = 0
    cold: ColdBound = field(default_factory=lambda: ColdBound(overage=1.0, slack=0.0))
    repeats: RetryBound = field(
        default_factory=lambda: RetryBound(ratio=0.2, slack=0.0, window_s=10.0)
    )
    placement: PlacementBound = field(default_factory=PlacementBound)
    admission: AdmissionBound = field(default_factory=AdmissionBound)
    rollout: RolloutBound | None = None
