"""Interface of the decision which endpoints may be considered for a call."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from cranberrysail.router.endpoints import Endpoint

__all__ = ["Admissible", "AllEligible", "BaseEligibility"]

# Tells whether an endpoint may be sent a call at present.
Admissible = Callable[[Endpoint], bool]


class BaseEligibility(ABC):
    """Decides which endpoints may be considered for a call."""

    @abstractmethod
    def eligible(
        self,
        service: str,
        usable: list[Endpoint],
        admissible: Admissible,
        is_retry: bool,
        now: float,
    ) -> list[Endpoint]:
        """Return the endpoints among which the one for a call is chosen.

        Args:
          service: Name of the service.
          usable: Endpoints of the service that may be sent calls.
          admissible: Whether an endpoint may be sent a call at present.
          is_retry: Whether the call was sent to another endpoint before.
          now: Current time in seconds.
        """

    @abstractmethod
    def restricts(self, service: str) -> bool:
        """Return whether some of the usable endpoints of a service may be left out."""


class AllEligible(BaseEligibility):
    """Considers all usable endpoints."""

    def eligible(
        self,
        service: str,
        usable: list[Endpoint],
        admissible: Admissible,
        is_retry: bool,
        now: float,
    ) -> list[Endpoint]:
        """Return all usable endpoints."""
        return usable

    def restricts(self, service: str) -> bool:
        """Return False."""
        return False
