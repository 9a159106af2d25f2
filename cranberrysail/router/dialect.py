"""How callers and endpoints are spoken to: the port that a platform fills."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cranberrysail.router.load import LoadReport

__all__ = ["AnswerHead", "BaseDialect", "CallHead", "Headers", "SendTerms"]

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class CallHead:
    """What a caller's headers say.

    Attributes:
      attempt_id: Id of the caller's attempt, or nothing.
      key: The caller's key, or nothing.
      deadline_s: Time that the caller waits, or None if it does not say.
      parts: Ids of the prompt's parts.
    """

    attempt_id: str
    key: str
    deadline_s: float | None
    parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What an endpoint's headers say.

    Attributes:
      attempt_id: Id of the attempt that it answers, or nothing.
      sealed: True if the endpoint vouches for the answer.
      not_run: True if it says that it did not run the call.
      displaced: True if another endpoint has the address.
      report: Its load, if it tells it.
      keep_s: How long it keeps the connection idle, 0 if it does not say.
      closing: True if it closes the connection after the answer.
    """

    attempt_id: str
    sealed: bool
    not_run: bool
    displaced: bool
    report: LoadReport | None
    keep_s: float
    closing: bool


@dataclass(frozen=True, slots=True)
class SendTerms:
    """What a router tells an endpoint with a call.

    Attributes:
      instance: Id of the endpoint that is meant.
      left_s: Time that is left for the call.
      customer: Name of the customer, or nothing.
      priority: Urgency, 0 first.
      resume_after: Id of the last event that the caller has, or nothing.
      cache_from: Address of an endpoint to fetch prompt cache from, or nothing.
    """

    instance: str
    left_s: float
    customer: str
    priority: int
    resume_after: bytes = b""
    cache_from: str = ""


class BaseDialect(ABC):
    """Translates headers from and to a platform's names."""

    @abstractmethod
    def call_head(self, headers: Headers) -> CallHead:
        """Return what a caller's headers say."""

    @abstractmethod
    def endpoint_headers(self, headers: Headers, terms: SendTerms) -> Headers:
        """Return the headers that go to an endpoint.

        Args:
          headers: The caller's headers, names in lower case.
          terms: What the router adds.
        """

    @abstractmethod
    def answer_head(self, status: int, headers: Headers) -> AnswerHead:
        """Return what an endpoint's headers say."""

    @abstractmethod
    def refusal_headers(self, attempt_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of an answer of the router's own."""
