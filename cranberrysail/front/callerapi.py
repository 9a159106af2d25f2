"""The HTTP interface for callers."""

import asyncio
import hashlib
import ssl
import uuid
from dataclasses import dataclass
from pathlib import Path

from expression import Error, Ok, Result

from cranberrysail.decisions.blackboard import Blackboard
from cranberrysail.decisions.events import CallArrived
from cranberrysail.endpoints.upstream import UpstreamRequest
from cranberrysail.errors import CallError, NotRunError, OutcomeUnknownError
from cranberrysail.front import requestchecks
from cranberrysail.front.gateway import Gateway
from cranberrysail.front.response import (
    Headers,
    Response,
    error_response,
    write_response,
)
from cranberrysail.router.hopbyhop import end_to_end_headers
from cranberrysail.router.httplistener import (
    CallerDisconnectedError,
    HttpRequest,
    HttpServerConn,
)
from cranberrysail.settings import LimitSettings
from cranberrysail.tables import RouteKind

__all__ = ["CallerApi", "tls_context"]

# Call ids start at ``incarnation << 20``, which leaves about a million ids before
# those of the next incarnation number.
CALL_ID_SHIFT = 20
DROPPED_HEADERS = frozenset((b"host", b"authorization", b"x-request-id"))


@dataclass(frozen=True)
class _ValidRequest:
    arrived: CallArrived
    request: UpstreamRequest


class CallerApi:
    """Validates callers' requests and runs them as calls."""

    def __init__(
        self, board: Blackboard, limits: LimitSettings, gateway: Gateway
    ) -> None:
        """Create the interface.

        Args:
          board: State of the router; its tables, incarnation and counters are used.
          limits: Limits that error messages mention.
          gateway: Runs the calls.
        """
        self._board = board
        self._limits = limits
        self._gateway = gateway
        self._last_call_id = board.incarnation << CALL_ID_SHIFT

    async def serve(self, request: HttpRequest, conn: HttpServerConn) -> None:
        """Handle a caller's request; cancel its call if the caller disconnects."""
        request_id = uuid.uuid4().hex
        validated = self._validate(request, request_id)
        if validated.is_error():
            await write_response(self._rejection(validated.error, request_id), conn)
            return
        call = validated.ok.arrived
        try:
            response = await self._gateway.run(call, validated.ok.request)
            response.headers.append((b"x-request-id", request_id.encode()))
            await write_response(response, conn)
        except CallerDisconnectedError:
            self._gateway.cancel(call.call_id)
        except asyncio.CancelledError:
            self._gateway.cancel(call.call_id)
            raise

    def reject(self, status: int, reason: str) -> tuple[Headers, bytes]:
        """Return headers and body of an error response that the listener sends.

        Args:
          status: HTTP status code.
          reason: Error code.
        """
        response = self._rejection(
            self._request_error(status, reason), uuid.uuid4().hex
        )
        return response.headers, response.body

    def _request_error(self, status: int, reason: str) -> CallError:
        limits = self._limits
        if reason == "internal_error":
            message = (
                "internal router error; check whether the call took effect before "
                "repeating it"
            )
            return OutcomeUnknownError(reason, message, status)
        remedies = {
            "headers_too_large": f"send at most {limits.header_bytes} bytes of headers",
            "body_too_large": f"send at most {limits.body_bytes} bytes",
            "request_timeout": f"send the request within {limits.request_s} s",
        }
        message = remedies.get(reason, "send a valid HTTP/1.1 request")
        return NotRunError(reason, message, status)

    def _rejection(self, error: CallError, request_id: str) -> Response:
        self._board.counters[f"front.{error.code}"] += 1
        response = error_response(error)
        response.headers.append((b"x-request-id", request_id.encode()))
        return response

    def _validate(
        self, request: HttpRequest, request_id: str
    ) -> Result[_ValidRequest, NotRunError]:
        state = self._board.tables
        customer = requestchecks.authenticate(state, _header(request, b"authorization"))
        if customer.is_error():
            return Error(customer.error)
        found = self._find_route(request)
        if found.is_error():
            return Error(found.error)
        name, route, chat_request = found.ok
        key = requestchecks.parse_idempotency_key(
            route, _header(request, b"idempotency-key")
        )
        if key.is_error():
            return Error(key.error)
        chat: Result[int, NotRunError] = Ok(0)
        if chat_request is not None:
            chat_id = _header(request, b"x-chat-id") or ""
            chat = requestchecks.identify_chat(customer.ok, chat_id, chat_request)
        if chat.is_error():
            return Error(chat.error)
        self._last_call_id += 1
        arrived = CallArrived(
            self._last_call_id,
            request_id,
            name,
            route,
            customer.ok,
            chat.ok,
            f"{customer.ok}/{name}/{key.ok.value}" if key.ok else "",
            _digest(request) if key.ok else "",
            key.ok.issued_s if key.ok else 0.0,
        )
        target = request.target.decode("latin-1")
        headers = _upstream_headers(request, arrived)
        upstream = UpstreamRequest(request.method, target, headers, request.body)
        return Ok(_ValidRequest(arrived, upstream))

    def _find_route(self, request: HttpRequest):
        state, body = self._board.tables, request.body
        has_chat_routes = any(r.kind is RouteKind.CHAT for r in state.routes.values())
        parsed = (
            requestchecks.parse_chat_request(body) if body and has_chat_routes else None
        )
        model = parsed.ok.model if parsed is not None and parsed.is_ok() else ""
        found = requestchecks.find_route(state, request.method, request.path, model)
        if found.is_error():
            return found
        route = found.ok.route
        if route.kind is not RouteKind.CHAT:
            return Ok((found.ok.name, route, None))
        parsed = parsed or requestchecks.parse_chat_request(body)
        if parsed.is_error():
            return parsed
        return Ok((found.ok.name, route, parsed.ok))


def tls_context(cert: Path | None, key: Path | None) -> ssl.SSLContext | None:
    """Return the TLS context of a listener, or None for plain TCP.

    Args:
      cert: Certificate chain file, or None.
      key: Private key file, or None.

    Raises:
      OSError: If a file cannot be read or is not valid.
    """
    if cert is None or key is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(cert, key)
    context.set_alpn_protocols(["http/1.1"])
    return context


def _upstream_headers(
    request: HttpRequest, arrived: CallArrived
) -> tuple[tuple[bytes, bytes], ...]:
    headers = end_to_end_headers(request.headers)
    headers = [item for item in headers if item[0] not in DROPPED_HEADERS]
    headers.append((b"x-request-id", arrived.request_id.encode()))
    headers.append((b"x-customer", arrived.customer.encode()))
    headers.append((b"x-priority", str(arrived.route.priority).encode()))
    return tuple(headers)


def _header(request: HttpRequest, name: bytes) -> str | None:
    values = [value for key, value in request.headers if key == name]
    return values[0].decode("latin-1") if values else None


def _digest(request: HttpRequest) -> str:
    hasher = hashlib.sha256(f"{request.method} ".encode() + request.target + b"\n")
    hasher.update(request.body)
    return hasher.hexdigest()
