"""Route matching, authentication and parsing of callers' requests."""

import hashlib
import hmac
import uuid
from dataclasses import dataclass

import msgspec
from expression import Error, Ok, Result

from cranberrysail.decisions.tablestate import TableState
from cranberrysail.errors import NotRunError
from cranberrysail.hashing import chat_key
from cranberrysail.tables import Idempotency, Route

__all__ = [
    "IdempotencyKey",
    "MatchedRoute",
    "authenticate",
    "find_route",
    "identify_chat",
    "parse_idempotency_key",
]

MAX_CHAT_ID_CHARS = 256
MAX_KEY_CHARS = 64
UUID_VERSION = 7
# The upper 48 of the 128 bits of a UUIDv7 are a Unix timestamp in milliseconds.
UUID_TIMESTAMP_SHIFT = 80
# Number of leading messages that identify a chat for which no id is given.
IDENTIFYING_MESSAGES = 2


@dataclass(frozen=True)
class MatchedRoute:
    """A route that matches a request, with its name."""

    name: str
    route: Route


@dataclass(frozen=True)
class IdempotencyKey:
    """An Idempotency-Key.

    Attributes:
      value: The key.
      issued_s: Time at which the caller generated it, in Unix seconds.
    """

    value: str
    issued_s: float


class _ChatMessage(msgspec.Struct):
    role: str = ""
    content: msgspec.Raw = msgspec.Raw(b"null")


class ChatRequest(msgspec.Struct):
    """The fields of a chat request that the router reads."""

    model: str = ""
    prompt_cache_key: str | None = None
    messages: list[_ChatMessage] = []


_chat_decoder = msgspec.json.Decoder(ChatRequest)


def find_route(
    state: TableState, method: str, path: str, model: str = ""
) -> Result[MatchedRoute, NotRunError]:
    """Return the matching route with the longest path prefix.

    If several routes have this prefix, one that lists the model is preferred to one
    without a list of models; then the first name in alphabetical order.

    Args:
      state: The tables.
      method: HTTP method.
      path: Path without query.
      model: Model that the body names, or empty.
    """
    matching = [
        MatchedRoute(name, route)
        for name, route in state.routes.items()
        if _matches_prefix(path, route.prefix)
    ]
    if not matching:
        return Error(
            NotRunError("no_route", f"no route matches {path!r}; check the path", 404)
        )
    longest = max(len(item.route.prefix) for item in matching)
    matching = [item for item in matching if len(item.route.prefix) == longest]
    allowed = [item for item in matching if method in item.route.methods]
    if not allowed:
        methods = ", ".join(sorted({m for i in matching for m in i.route.methods}))
        return Error(
            NotRunError("wrong_method", f"use one of the methods {methods}", 405)
        )
    with_model = [item for item in allowed if model and model in item.route.models]
    any_model = [item for item in allowed if not item.route.models]
    chosen = sorted(with_model or any_model, key=lambda item: item.name)
    if not chosen:
        return Error(
            NotRunError("no_model", f"no route serves the model {model!r}", 404)
        )
    return Ok(chosen[0])


def _matches_prefix(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or path[len(prefix) : len(prefix) + 1] in ("", "/")


def authenticate(state: TableState, header: str | None) -> Result[str, NotRunError]:
    """Return the name of the customer whose key the Authorization header has.

    The header has the form ``Bearer CUSTOMER:SECRET``. For an unknown customer, the
    digest is compared with a dummy one, so that timing reveals less about which
    customers exist.

    Args:
      state: The tables.
      header: Value of the Authorization header, if any.
    """
    rejection = NotRunError(
        "bad_key", "send a valid key as 'Authorization: Bearer CUSTOMER:SECRET'", 401
    )
    scheme, _, key = (header or "").partition(" ")
    name = key.partition(":")[0]
    digest = hashlib.sha256(key.encode("utf-8", "replace")).hexdigest()
    customer = state.customers.get(name)
    digests = customer.keys_sha256 if customer is not None else ("0" * 64,)
    matches = [hmac.compare_digest(digest, known) for known in digests]
    if scheme.lower() != "bearer" or customer is None or not any(matches):
        return Error(rejection)
    return Ok(name)


def parse_chat_request(body: bytes) -> Result[ChatRequest, NotRunError]:
    """Decode the fields of a chat request that the router reads."""
    try:
        return Ok(_chat_decoder.decode(body))
    except (msgspec.DecodeError, RecursionError) as exc:
        message = f"the body is not a valid chat request ({exc}); correct it"
        return Error(NotRunError("bad_body", message, 400))


def identify_chat(
    customer: str, chat_id: str, body: ChatRequest
) -> Result[int, NotRunError]:
    """Return the key of the chat that a request belongs to.

    Without an id, a hash of the first messages identifies the chat, because
    callers send them again with each turn.

    Args:
      customer: Name of the customer.
      chat_id: The caller's id of the chat, or empty.
      body: The chat request.
    """
    identity = chat_id or body.prompt_cache_key or ""
    if len(identity) > MAX_CHAT_ID_CHARS:
        message = f"use a chat id of at most {MAX_CHAT_ID_CHARS} characters"
        return Error(NotRunError("bad_chat_id", message, 400))
    if not identity:
        first = body.messages[:IDENTIFYING_MESSAGES]
        hasher = hashlib.sha256()
        for message in first:
            hasher.update(message.role.encode() + b"\0" + bytes(message.content))
        identity = "messages/" + hasher.hexdigest()
    return Ok(chat_key(customer, identity))


def parse_idempotency_key(
    route: Route, header: str | None
) -> Result[IdempotencyKey | None, NotRunError]:
    """Return the Idempotency-Key of a request, or None if the route uses none.

    The key must be a UUIDv7. Its timestamp distinguishes a new key from one whose
    record may already have expired.

    Args:
      route: The route.
      header: Value of the Idempotency-Key header, if any.
    """
    if route.idempotency is not Idempotency.KEYED:
        return Ok(None)
    rejection = NotRunError(
        "bad_idempotency_key",
        "send a UUID of version 7 as the Idempotency-Key header",
        400,
    )
    try:
        parsed = uuid.UUID((header or "")[:MAX_KEY_CHARS])
    except ValueError:
        return Error(rejection)
    if parsed.version != UUID_VERSION:
        return Error(rejection)
    return Ok(IdempotencyKey(str(parsed), (parsed.int >> UUID_TIMESTAMP_SHIFT) / 1000))
