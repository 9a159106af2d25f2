"""Interface between the router and a platform's HTTP headers.

A platform is the hosting environment that runs routers, endpoints and the store, and
defines their headers and records.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cranberrysail.router.load import LoadReport

__all__ = [
    "BaseHeaderCodec",
    "CallHead",
    "EndpointRequestInfo",
    "Headers",
    "ResponseHead",
]

Headers = list[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class CallHead:
    """Data read from a caller's request headers.

    Attributes:
      request_id: Id of the caller's request, which all attempts of the router share;
        empty if missing.
      api_key: The caller's API key; empty if missing.
      timeout_s: Seconds that the caller waits for a response; None if not given.
      prompt_parts: Ids of the parts of the prompt, in order.
      part_tokens: Tokens of each part; 0 if not given.
      prompt_tokens: Tokens of the whole prompt; 0 if not given.
    """

    request_id: str
    api_key: str
    timeout_s: float | None
    prompt_parts: tuple[str, ...] = ()
    part_tokens: tuple[int, ...] = ()
    prompt_tokens: int = 0


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Data read from an endpoint's response headers.

    Attributes:
      request_id: Id of the request that it belongs to; empty if missing.
      from_endpoint: True if the response has a valid seal. A seal is a header by which
        an endpoint marks a response as its own; it is not valid on a response with
        Content-Encoding.
      not_run: True if the endpoint declares that it did not execute the call.
      displaced: True if the address now belongs to another endpoint.
      promises_not_run: True if callers take the status for a promise that the call was
        not executed and never will be, whatever the endpoint declares.
      report: Load report of the endpoint, if present.
      idle_timeout_s: Idle timeout of the connection in seconds; 0 if not given.
      closing: True if the endpoint closes the connection after this response.
      leaving: True if the endpoint says that it will stop.
      pause_s: Seconds for which the endpoint wants no requests from this router; 0 if
        it does not say.
    """

    request_id: str
    from_endpoint: bool
    not_run: bool
    displaced: bool
    report: LoadReport | None
    idle_timeout_s: float
    closing: bool
    leaving: bool = False
    pause_s: float = 0.0
    promises_not_run: bool = False


@dataclass(frozen=True, slots=True)
class EndpointRequestInfo:
    """Data that the router adds to a request for an endpoint.

    Attributes:
      endpoint_id: Id of the endpoint that the request is meant for.
      remaining_s: Seconds that the endpoint has left to respond.
      customer: Name of the customer; empty if unknown.
      priority: Scheduling priority; 0 is the most urgent.
      resume_after: Id of the last event sent to the caller; empty for a new stream.
      cache_from: Address of the endpoint to fetch the prompt cache from; empty if
        none.
    """

    endpoint_id: str
    remaining_s: float
    customer: str
    priority: int
    resume_after: bytes = b""
    cache_from: str = ""


class BaseHeaderCodec(ABC):
    """Translates between a platform's HTTP headers and the router's own types."""

    @abstractmethod
    def call_head(self, headers: Headers) -> CallHead:
        """Parse the headers of a caller's request."""

    @abstractmethod
    def endpoint_headers(self, headers: Headers, info: EndpointRequestInfo) -> Headers:
        """Return the headers of the request to an endpoint.

        Args:
          headers: The caller's headers, with names in lower case.
          info: Data that the router adds.
        """

    @abstractmethod
    def response_head(self, status: int, headers: Headers) -> ResponseHead:
        """Parse the status and headers of an endpoint's response."""

    @abstractmethod
    def error_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of an error response that the router itself creates."""
