"""What a driven fleet is made of: routers, faults and the fates of calls."""

from dataclasses import dataclass, field

from cranberrysail.decisions.events import CallArrived
from cranberrysail.driven.models import Prompt
from cranberrysail.errors import CallError

__all__ = ["CallOutcome", "DriverFaults", "RouterSpec"]


@dataclass(frozen=True)
class RouterSpec:
    """A router of the fleet."""

    name: str
    zone: str
    region: str = "region"


@dataclass
class DriverFaults:
    """Faults in force.

    Attributes:
      loss: Share of messages between routers that are lost.
      cuts: Pairs of zones, or of routers, that cannot reach each other.
      log_cuts: Zones that cannot reach the log.
      log_down: True while the log answers nothing and takes nothing.
      lose_answers: True while the log takes records but its answers are lost.
      log_delay_s: Time for each answer of the log.
    """

    loss: float = 0.0
    cuts: set[frozenset[str]] = field(default_factory=set)
    log_cuts: set[str] = field(default_factory=set)
    log_down: bool = False
    lose_answers: bool = False
    log_delay_s: float = 0.005


@dataclass
class CallOutcome:
    """What became of a call.

    Attributes:
      runs: Times that it began to run at an endpoint.
      error: Its final error, if any.
      recorded: True if it got the recorded answer of an earlier call.
    """

    arrived: CallArrived
    router: str
    prompt: Prompt
    arrived_s: float
    runs: int = 0
    first_s: float = 0.0
    done_s: float = 0.0
    error: CallError | None = None
    recorded: bool = False
    lost: bool = False
    endpoint: str = ""
