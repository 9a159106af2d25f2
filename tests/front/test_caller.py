"""Checks on a caller's request."""

import hashlib
import uuid

import pytest

from cranberrysail.decisions.tablestate import TableState
from cranberrysail.demo.fleet import uuid7
from cranberrysail.front import caller
from cranberrysail.tables import Customer, Route
from tests.support import BOOK, CHAT

KEY = "guide:s3cret"
STATE = TableState(
    routes={
        "chat": CHAT,
        "big": CHAT.model_copy(update={"models": ("big",)}),
        "book": BOOK,
        "deep": Route(prefix="/book/special", pool="services"),
    },
    customers={
        "guide": Customer(
            keys_sha256=("1" * 64, hashlib.sha256(KEY.encode()).hexdigest())
        )
    },
)


def test_a_valid_key_names_its_customer():
    assert caller.authenticate(STATE, f"Bearer {KEY}").ok == "guide"


@pytest.mark.parametrize(
    "header",
    [
        None,
        "",
        "Bearer",
        "Bearer guide",
        "Bearer guide:x",
        f"Basic {KEY}",
        "Bearer é:x",
    ],
)
def test_other_keys_are_refused(header):
    error = caller.authenticate(STATE, header).error
    assert (error.code, error.status, error.outcome) == ("bad_key", 401, "not_run")


def test_the_longest_prefix_wins():
    assert caller.find_route(STATE, "POST", "/book/special/1").ok.name == "deep"
    assert caller.find_route(STATE, "POST", "/book/other").ok.name == "book"


def test_a_model_chooses_its_route_and_others_take_the_open_one():
    assert caller.find_route(STATE, "POST", "/v1/x", "big").ok.name == "big"
    assert caller.find_route(STATE, "POST", "/v1/x", "small").ok.name == "chat"


@pytest.mark.parametrize(
    ("method", "path", "code", "status"),
    [
        ("POST", "/nowhere", "no_route", 404),
        ("POST", "/v1x", "no_route", 404),
        ("DELETE", "/book", "wrong_method", 405),
    ],
)
def test_what_no_route_takes_is_refused(method, path, code, status):
    error = caller.find_route(STATE, method, path).error
    assert (error.code, error.status) == (code, status)


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'{"messages": 3}', b"[" * 9999])
def test_a_malformed_chat_body_is_refused(body):
    assert caller.parse_chat(body).error.code == "bad_body"


def test_turns_of_one_chat_have_one_key_without_an_id():
    first = caller.parse_chat(
        b'{"messages":[{"role":"system","content":"s"},{"role":"user","content":"a"}]}'
    ).ok
    second = caller.parse_chat(
        b'{"messages":[{"role":"system","content":"s"},{"role":"user","content":"a"},'
        b'{"role":"assistant","content":"b"}]}'
    ).ok
    key = caller.chat_of("guide", "", first).ok
    assert key == caller.chat_of("guide", "", second).ok
    assert key != caller.chat_of("soci", "", first).ok


def test_a_hostile_chat_id_is_refused_or_hashed():
    body = caller.ChatBody()
    assert caller.chat_of("guide", "x" * 257, body).error.code == "bad_chat_id"
    assert caller.chat_of("guide", "\0/../\n", body).is_ok()


@pytest.mark.parametrize("key", [None, "", "abc", str(uuid.uuid4()), "0" * 500])
def test_a_keyed_route_needs_a_timed_key(key):
    assert caller.idempotency_key(BOOK, key).error.code == "bad_idempotency_key"


def test_a_timed_key_carries_its_time():
    key = caller.idempotency_key(BOOK, "01890a5d-ac96-774b-bcce-b302099a8057").ok
    assert key.issued_s == pytest.approx(1688096058.518)
    assert caller.idempotency_key(BOOK, uuid7()).is_ok()


def test_other_routes_need_no_key():
    assert caller.idempotency_key(CHAT, None).ok is None
