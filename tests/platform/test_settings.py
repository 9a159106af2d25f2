"""Tests of the platform's settings file."""

import pytest

from cranberrysail.errors import ConfigError
from cranberrysail.platform.settings import NodeFileSettings, parse
from cranberrysail.router.rolloutmodel import RolloutBound

TEXT = """
node_name = "front-1"
zone = "bosco-nord"
ip_address = "10.1.0.40"
internal_port_range = [7340, 7355]
heartbeat_interval_ms = 1200
unknown_field = "ignored"
[listen_addresses]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[limits]
link_mbps = 1000.0
[bounds]
grace_s = 8
cold_overage = 1.5
cold_slack = 5
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
[platform]
address = "10.200.1.7:8223"
"""


def test_node_file_is_parsed():
    cfg = parse(TEXT, "test")
    assert cfg.name == "front-1"
    assert cfg.callers == "10.1.0.40:8227"
    assert cfg.peers == "10.1.0.40:7340"
    assert cfg.store == "10.200.1.7:8223"
    assert cfg.cold.max_calls_per_s(16.0) == 29.0
    assert (cfg.repeats.ratio, cfg.repeats.slack) == (0.2, 56)
    assert cfg.relays


def test_router_on_slow_link_does_not_relay():
    assert not parse(TEXT.replace("1000.0", "5.0"), "test").relays


@pytest.mark.parametrize(
    ("old", "new", "part"),
    [
        ('node_name = "front-1"', "", "node_name"),
        ("grace_s = 8", 'grace_s = "long"', "grace_s"),
        ("[platform]", "[platform", "not valid TOML"),
        ('"ignored"', "[" * 1500 + "]" * 1500, "not valid TOML"),
    ],
)
def test_errors_name_the_field_and_the_remedy(old, new, part):
    with pytest.raises(ConfigError, match=part) as caught:
        parse(TEXT.replace(old, new), "node file")
    assert "correct" in str(caught.value)


def test_missing_file_is_an_error(tmp_path):
    with pytest.raises(ConfigError, match="cannot be read"):
        NodeFileSettings(str(tmp_path / "none")).load()


def test_unset_variable_is_an_error(monkeypatch):
    monkeypatch.delenv("CRANBERRYSAIL_NODE_FILE", raising=False)
    with pytest.raises(ConfigError, match="CRANBERRYSAIL_NODE_FILE"):
        NodeFileSettings.from_environment()


def test_changed_file_is_detected(tmp_path):
    path = tmp_path / "node"
    path.write_text(TEXT)
    settings = NodeFileSettings(str(path))
    settings.load()
    assert not settings.changed()
    path.write_text(TEXT + "\n# longer\n")
    assert settings.changed()
    settings.load()
    assert not settings.changed()


@pytest.mark.parametrize(
    ("contracts", "weighs_work"),
    [
        ("", False),
        ("contracts = []\n", False),
        ('contracts = ["rollout"]\n', False),
        ('contracts = ["rollout", "pressure"]\n', True),
    ],
)
def test_calls_are_placed_by_work_under_the_pressure_contract(contracts, weighs_work):
    assert parse(contracts + TEXT, "test").placement.weighs_work == weighs_work


@pytest.mark.parametrize("contracts", ["", 'contracts = ["pressure"]\n'])
def test_orders_have_no_effect_without_the_contract(contracts):
    assert parse(contracts + TEXT, "test").rollout is None


def test_bounds_of_rollouts_are_parsed():
    text = 'contracts = ["pressure", "rollout"]\n' + TEXT.replace(
        "[bounds]", "[bounds]\nexposure_share = 0.2\nrollback_ms = 4000"
    )
    assert parse(text, "test").rollout == RolloutBound(0.2, 50.0, 4.0)


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        ("", (0.0, 0)),
        ("memory_mb = 427\nfile_descriptors = 8192", (427.0, 8192)),
        ("memory_mb = 200.5\nfile_descriptors = 4100.0", (200.5, 4100)),
    ],
)
def test_limits_of_the_process_are_optional(lines, expected):
    cfg = parse(TEXT.replace("link_mbps = 1000.0", lines), "test")
    assert (cfg.memory_mb, cfg.file_descriptors) == expected


def test_capacity_is_allocated_only_where_the_contract_says_so():
    assert not parse(TEXT, "test").admission.allocates
    text = 'contracts = ["rollout", "pressure"]\n' + TEXT
    assert parse(text, "test").admission.allocates
