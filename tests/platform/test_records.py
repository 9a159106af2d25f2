"""Tests of the decoder for records of operators and endpoints."""

import json

import pytest

from cranberrysail.platform.records import PlatformDecoder
from cranberrysail.router.decoding import InvalidMessageError
from cranberrysail.router.model import CallKind
from cranberrysail.router.rolloutmodel import (
    Phase,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from tests.router.simulatedfleet import make_config

DECODER = PlatformDecoder()
DECLARATION = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "sequence": 4,
    "born": 1786209701000,
    "unknown_field": [1],
}


def encode(document):
    return json.dumps(document).encode()


def test_config_is_decoded_to_route_tables():
    tables = DECODER.decode_tables(encode(make_config(7)))
    assert tables.version == 7
    route = tables.find("h.example:80", "/resumable/x/y?z")
    assert route.kind is CallKind.STREAM
    assert route.retryable
    assert not tables.find("h.example", "/book/1").retryable
    assert tables.customers["k1"].name == "guide"
    assert tables.services["engines"].engine_slots == 64
    assert tables.limits.max_body_bytes == 10000


def test_the_longest_prefix_wins():
    document = make_config(1)
    longer = {**document["routes"][3], "name": "deep", "path_prefix": "/look/deep/"}
    document["routes"].append(longer)
    tables = DECODER.decode_tables(encode(document))
    assert tables.find("H.EXAMPLE", "/look/deep/1").name == "deep"
    assert tables.find("h.example", "/look/deeper/1").name == "look"
    assert tables.find("h.example", "/look") is None
    assert tables.find("other", "/look/1") is None


def test_traffic_split_is_decoded_to_service_weights():
    document = make_config(1)
    document["routes"][0].pop("service")
    document["routes"][0]["traffic_split"] = [
        {"service": "engines", "weight": 90},
        {"service": "plain", "weight": 10},
    ]
    tables = DECODER.decode_tables(encode(document))
    assert tables.find("h.example", "/chat/1").service_weights == (
        ("engines", 90),
        ("plain", 10),
    )


def test_endpoint_declaration_is_decoded():
    record = DECODER.decode_endpoint("i-1", encode(DECLARATION))
    assert (record.endpoint_id, record.started_ms, record.sequence) == (
        "i-1",
        1786209701000,
        4,
    )
    assert record.remaining_cold_s == 1.5
    assert not record.draining
    assert DECODER.decode_endpoint(
        "i-1", encode(DECLARATION | {"state": "draining"})
    ).draining


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"slots": "six"},
        {"address": "nowhere"},
        {"sequence": None},
        {"born": 1.5},
    ],
)
def test_invalid_declarations_are_rejected(change):
    with pytest.raises(InvalidMessageError):
        DECODER.decode_endpoint("i-1", encode(DECLARATION | change))


@pytest.mark.parametrize("data", [b"", b"\xff\xfe", b"[]", b'{"version":1}'])
def test_undecodable_records_are_rejected(data):
    with pytest.raises(InvalidMessageError):
        DECODER.decode_tables(data)
    with pytest.raises(InvalidMessageError):
        DECODER.decode_endpoint("i-1", data)


def test_keys_are_classified():
    assert DECODER.is_tables_key("config")
    assert DECODER.zone_of_key("evacuate/bosco-nord") == "bosco-nord"
    assert DECODER.zone_of_key("config") is None


@pytest.mark.parametrize(
    ("stated", "version"),
    [("v1", "v1"), ("", ""), (None, ""), (7, ""), ("a\nb", ""), ("v" * 65, "")],
)
def test_version_that_is_not_usable_does_not_reject_a_declaration(stated, version):
    """Versions had no meaning before, and endpoints may state anything."""
    record = DECODER.decode_endpoint("e1", encode(DECLARATION | {"version": stated}))
    assert record.version == version


def test_order_is_decoded():
    order = {"service": "s", "to": "v2", "duration_s": 12, "unknown": [1]}
    assert DECODER.service_of_order_key("rollout/s") == "s"
    assert DECODER.service_of_order_key("config") is None
    assert DECODER.decode_order("s", encode(order)) == RolloutOrder("s", "v2", 12.0)


@pytest.mark.parametrize(
    "change",
    [
        {"service": "other"},
        {"to": ""},
        {"to": 2},
        {"to": "a\nb"},
        {"duration_s": 0},
        {"duration_s": -1},
        {"duration_s": 1e300},
        {"duration_s": "long"},
    ],
)
def test_invalid_orders_are_rejected(change):
    order = {"service": "s", "to": "v2", "duration_s": 12} | change
    with pytest.raises(InvalidMessageError):
        DECODER.decode_order("s", encode(order))


@pytest.mark.parametrize("state", list(RolloutState))
def test_status_round_trips_with_the_fields_that_operators_read(state):
    phase = Phase.SHIFT if state is RolloutState.RUNNING else Phase(state.value)
    old = frozenset({"v1"})
    status = RolloutStatus("s", "v2", state, phase, 12.0, 1_700_000_000_000, old, "x")
    value = DECODER.encode_status(status)
    assert json.loads(value).items() >= {"state": state.value, "to": "v2"}.items()
    decoded = DECODER.decode_status(DECODER.status_key("s"), value)
    assert (decoded.state, decoded.to, decoded.service) == (state, "v2", "s")
    assert (decoded.duration_s, decoded.started_ms) == (12.0, 1_700_000_000_000)
    assert decoded.old_versions == old


def test_status_of_another_writer_needs_only_state_and_version():
    value = encode({"state": "completed", "to": "v2"})
    status = DECODER.decode_status("rollout/s", value)
    assert status.is_final
    assert status.concerns(RolloutOrder("s", "v2", 5.0))
