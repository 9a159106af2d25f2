"""Checks on a caller's request: route, customer, key and chat."""

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
    "Checked",
    "IdempotencyKey",
    "authenticate",
    "chat_of",
    "find_route",
    "idempotency_key",
]

MAX_CHAT_ID = 256
MAX_KEY = 64
KEY_VERSION = 7
KEY_TIME_SHIFT = 80
FIRST_MESSAGES = 2


@dataclass(frozen=True)
class Checked:
    """A route that matches a request."""

    name: str
    route: Route


@dataclass(frozen=True)
class IdempotencyKey:
    """A caller's key with the time at which it was made."""

    value: str
    issued_s: float


class _ChatMessage(msgspec.Struct):
    role: str = ""
    content: msgspec.Raw = msgspec.Raw(b"null")


class ChatBody(msgspec.Struct):
    """What the router reads of a chat request."""

    model: str = ""
    prompt_cache_key: str | None = None
    messages: list[_ChatMessage] = []


_chat_decoder = msgspec.json.Decoder(ChatBody)


def find_route(
    state: TableState, method: str, path: str, model: str = ""
) -> Result[Checked, NotRunError]:
    """Return the route with the longest prefix that takes the request.

    Args:
      state: The tables.
      method: HTTP method.
      path: Path without query.
      model: Model that the body names, if any.
    """
    matching = [
        Checked(name, route)
        for name, route in state.routes.items()
        if _is_below(path, route.prefix)
    ]
    if not matching:
        return Error(
            NotRunError("no_route", f"no route takes {path!r}; check the path", 404)
        )
    longest = max(len(item.route.prefix) for item in matching)
    matching = [item for item in matching if len(item.route.prefix) == longest]
    allowed = [item for item in matching if method in item.route.methods]
    if not allowed:
        methods = ", ".join(sorted({m for i in matching for m in i.route.methods}))
        return Error(
            NotRunError("wrong_method", f"use one of the methods {methods}", 405)
        )
    named = [item for item in allowed if model and model in item.route.models]
    open_to_all = [item for item in allowed if not item.route.models]
    chosen = sorted(named or open_to_all, key=lambda item: item.name)
    if not chosen:
        return Error(NotRunError("no_model", f"no route has the model {model!r}", 404))
    return Ok(chosen[0])


def _is_below(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or path[len(prefix) : len(prefix) + 1] in ("", "/")


def authenticate(state: TableState, header: str | None) -> Result[str, NotRunError]:
    """Return the customer of a bearer key ``CUSTOMER:SECRET``.

    Args:
      state: The tables.
      header: Value of the Authorization header.
    """
    refused = NotRunError(
        "bad_key", "send a valid key as 'Authorization: Bearer CUSTOMER:SECRET'", 401
    )
    scheme, _, key = (header or "").partition(" ")
    name = key.partition(":")[0]
    digest = hashlib.sha256(key.encode("utf-8", "replace")).hexdigest()
    customer = state.customers.get(name)
    known = customer.keys_sha256 if customer is not None else ("0" * 64,)
    matches = [hmac.compare_digest(digest, item) for item in known]
    if scheme.lower() != "bearer" or customer is None or not any(matches):
        return Error(refused)
    return Ok(name)


def parse_chat(body: bytes) -> Result[ChatBody, NotRunError]:
    """Read what the router needs of a chat request."""
    try:
        return Ok(_chat_decoder.decode(body))
    except (msgspec.DecodeError, RecursionError) as exc:
        message = f"the body is not a valid chat request ({exc}); correct it"
        return Error(NotRunError("bad_body", message, 400))


def chat_of(customer: str, chat_id: str, body: ChatBody) -> Result[int, NotRunError]:
    """Return the key of the chat that a request belongs to.

    Without an id, the first messages identify the chat, since they come again
    with each turn.

    Args:
      customer: Name of the customer.
      chat_id: The caller's own id of the chat, or empty.
      body: The chat request.
    """
    identity = chat_id or body.prompt_cache_key or ""
    if len(identity) > MAX_CHAT_ID:
        message = f"use a chat id of at most {MAX_CHAT_ID} characters"
        return Error(NotRunError("bad_chat_id", message, 400))
    if not identity:
        first = body.messages[:FIRST_MESSAGES]
        hashed = hashlib.sha256()
        for message in first:
            hashed.update(message.role.encode() + b"\0" + bytes(message.content))
        identity = "messages/" + hashed.hexdigest()
    return Ok(chat_key(customer, identity))


def idempotency_key(
    route: Route, header: str | None
) -> Result[IdempotencyKey | None, NotRunError]:
    """Return the Idempotency-Key of a request to a keyed route.

    The key is a UUID of version 7, which carries the time it was made, so that
    a key older than the records can be told from a new one.

    Args:
      route: The route.
      header: Value of the Idempotency-Key header.
    """
    if route.idempotency is not Idempotency.KEYED:
        return Ok(None)
    refused = NotRunError(
        "bad_idempotency_key",
        "send a UUID of version 7 as the Idempotency-Key header",
        400,
    )
    try:
        parsed = uuid.UUID((header or "")[:MAX_KEY])
    except ValueError:
        return Error(refused)
    if parsed.version != KEY_VERSION:
        return Error(refused)
    return Ok(IdempotencyKey(str(parsed), (parsed.int >> KEY_TIME_SHIFT) / 1000))
