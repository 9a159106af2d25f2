"""Routers, injected faults and call outcomes of a simulated fleet."""

from dataclasses import dataclass, field

from cranberrysail.decisions.events import CallArrived
from cranberrysail.errors import CallError
from cranberrysail.simulation.engine import Prompt

__all__ = ["CallOutcome", "InjectedFaults", "RouterSpec"]


@dataclass(frozen=True)
class RouterSpec:
    """Name and location of a simulated router."""

    name: str
    zone: str
    region: str = "region"


@dataclass
class InjectedFaults:
    """Faults in force.

    Attributes:
      message_loss: Fraction of peer messages that are lost.
      partitions: Network partitions: pairs of zones, or of routers, that cannot
        reach each other.
      zones_without_log: Zones that cannot reach the log.
      log_down: True while the log serves neither reads nor appends.
      lose_append_replies: True while the log stores appended records but its
        replies to appends are lost.
      log_delay_s: Delay of each reply of the log.
    """

    message_loss: float = 0.0
    partitions: set[frozenset[str]] = field(default_factory=set)
    zones_without_log: set[str] = field(default_factory=set)
    log_down: bool = False
    lose_append_replies: bool = False
    log_delay_s: float = 0.005


@dataclass
class CallOutcome:
    """State and result of a call.

    Attributes:
      arrived: The event with which it arrived at the router.
      router: Name of the router.
      prompt: Its prompt.
      arrived_at_s: Time of arrival.
      executions: Number of times that its execution started at an endpoint.
      first_token_s: Time from arrival to the first token, 0 if there was none.
      done_at_s: Time of its end, 0 if it has not ended or was interrupted.
      error: Its final error, if any.
      replayed: True if it got the stored response of an earlier call.
      interrupted: True if it was broken off, with its router or after the first
        token.
      endpoint: Endpoint of its latest attempt, empty before the first and after
        one that broke.
    """

    arrived: CallArrived
    router: str
    prompt: Prompt
    arrived_at_s: float
    executions: int = 0
    first_token_s: float = 0.0
    done_at_s: float = 0.0
    error: CallError | None = None
    replayed: bool = False
    interrupted: bool = False
    endpoint: str = ""
