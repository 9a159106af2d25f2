"""Exceptions of the package; their messages say how to correct the problem."""

from dataclasses import dataclass, field
from typing import ClassVar

__all__ = [
    "CallError",
    "ConfigError",
    "ConflictError",
    "CranberryError",
    "EditRejectedError",
    "LogUnavailableError",
    "NotRunError",
    "OutcomeUnknownError",
    "PeerRejectedError",
    "UnknownNameError",
    "UpstreamError",
]


class CranberryError(Exception):
    """Base class of the exceptions of this package.

    Attributes:
      exit_code: Exit status of the command line when it ends with this error.
    """

    exit_code: ClassVar[int] = 1


class UnknownNameError(CranberryError):
    """A registry has no entry with the given name."""

    def __init__(self, kind: str, name: str, known: list[str]) -> None:
        super().__init__(
            f"there is no {kind} named {name!r}; use one of: {', '.join(known)}"
        )


class ConfigError(CranberryError):
    """Settings, tables or another input file are invalid.

    Attributes:
      source: Name of the file or other source.
      problems: One line for each problem: its location and how to correct it.
    """

    exit_code = 2

    def __init__(self, source: str, problems: list[str]) -> None:
        self.source = source
        self.problems = problems
        super().__init__("\n".join(f"{source}: {line}" for line in problems))


class ConflictError(CranberryError):
    """An edit is based on a version older than the latest change of a row.

    Attributes:
      row: Key of the row.
      base: Version that the edit is based on.
      current: Version at which the row was last changed.
    """

    exit_code = 3

    def __init__(self, row: str, base: int, current: int) -> None:
        self.row = row
        self.base = base
        self.current = current
        super().__init__(
            f"{row} was changed at version {current}, after base version {base} "
            "of the edit; fetch the tables again, reapply the edit and publish it"
        )


class EditRejectedError(CranberryError):
    """An edit cannot be decoded, or would make the tables invalid."""

    exit_code = 4

    def __init__(self, problems: list[str]) -> None:
        self.problems = problems
        super().__init__("invalid edit: " + "; ".join(problems))


class LogUnavailableError(CranberryError):
    """The platform's log service did not answer.

    Attributes:
      maybe_appended: True if an append may have taken effect.
    """

    exit_code = 5

    def __init__(self, reason: str, maybe_appended: bool = False) -> None:
        self.maybe_appended = maybe_appended
        super().__init__(f"log service did not answer ({reason}); try again later")


class PeerRejectedError(CranberryError):
    """A message from a peer could not be decoded."""


class UpstreamError(CranberryError):
    """A request to an endpoint, the store or another server failed.

    Attributes:
      reason: What failed.
      sent: True if part of the request may have reached the server.
      started: True if part of the response has arrived.
      refused: True if the server reported that it did not run the call.
      disconnected: True if the server closed or reset the connection.
    """

    def __init__(
        self,
        reason: str,
        *,
        sent: bool,
        started: bool = False,
        refused: bool = False,
        disconnected: bool = False,
    ) -> None:
        self.reason = reason
        self.sent = sent
        self.started = started
        self.refused = refused
        self.disconnected = disconnected
        super().__init__(reason)


@dataclass
class CallError(CranberryError):
    """The final error of a call, as returned to the caller.

    Attributes:
      code: Stable error code for programs.
      message: What happened and how to react, for people.
      status: HTTP status code.
      retry_after_s: Value of the Retry-After header, in seconds; None for no header.
    """

    code: str
    message: str
    status: int
    retry_after_s: float | None = None
    outcome: ClassVar[str] = "unknown"
    __hash__ = Exception.__hash__

    def __post_init__(self) -> None:
        super().__init__(f"{self.code}: {self.message}")


@dataclass
class NotRunError(CallError):
    """A rejected request; it has not run and will not run."""

    outcome: ClassVar[str] = "not_run"
    __hash__ = Exception.__hash__


@dataclass
class OutcomeUnknownError(CallError):
    """A failure after which the request may have run."""

    outcome: ClassVar[str] = "outcome_unknown"
    evidence: str = field(default="")
    __hash__ = Exception.__hash__
