"""Tests of the platform's settings file."""

import pytest

from cranberrysail.errors import ConfigError
from cranberrysail.platform.settings import NodeFileSettings, parse

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


def test_capacity_is_allocated_only_where_the_contract_says_so():
    assert not parse(TEXT, "test").admission.allocates
    text = 'contracts = ["rollout", "pressure"]\n' + TEXT
    assert parse(text, "test").admission.allocates
