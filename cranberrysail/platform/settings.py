"""The settings file that the platform passes to each process."""

import tomllib
from typing import Any

import msgspec

from cranberrysail.errors import ConfigError
from cranberrysail.router.admission import AdmissionBound
from cranberrysail.router.coldlimit import ColdBound
from cranberrysail.router.config import RouterConfig
from cranberrysail.router.placement import PlacementBound
from cranberrysail.router.retrybudget import RetryBound
from cranberrysail.router.rolloutmodel import RolloutBound
from cranberrysail.router.settingsfile import SettingsFile

__all__ = ["ADMIN_PORT", "SETTINGS_VARIABLE", "NodeFileSettings", "parse"]

SETTINGS_VARIABLE = "CRANBERRYSAIL_NODE_FILE"
# Contract by which orders to move a service to another version are executed.
ROLLOUT_CONTRACT = "rollout"
READY_PATH = "/v1/readiness"
# Port of the listener for metrics and state; deploy/system.toml sets the same port.
ADMIN_PORT = 9464
# Minimum bandwidth of the link, in Mbit/s, for a router to relay the store's records to
# all others of its zone. With a slower link it relays to few, if no faster one can.
MIN_RELAY_MBPS = 20.0
# Contract under which calls are placed by their work, and scarce capacity is allocated
# by urgency, deadline and fair shares.
PRESSURE_CONTRACT = "pressure"


class _ListenAddresses(msgspec.Struct):
    front: str
    ready: str


class _Bounds(msgspec.Struct):
    """Bounds that the platform requires the fleet to observe.

    Attributes:
      grace_s: Time from SIGTERM to SIGKILL.
      retry_budget_ratio: Retries allowed per first send.
      budget_slack: Further retries allowed per window, over the whole fleet.
      cold_overage: Calls allowed to a cold endpoint, as a multiple of the rate that
        it can serve.
      cold_slack: Further calls per second allowed to a cold endpoint.
      exposure_share: Fraction of a service's requests that an unproven version may get.
      exposure_slack: Further requests that it may get.
      rollback_ms: Time after the 50th bad response in which it must get none any more.
    """

    grace_s: float = 8.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_slack: float = 0.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    exposure_share: float = 0.1
    exposure_slack: float = 50.0
    rollback_ms: float = 5000.0


class _FaultTolerance(msgspec.Struct):
    """What may fail at once; ``zones`` is a number of availability zones."""

    zones: int = 0


class _Store(msgspec.Struct):
    address: str


class _Limits(msgspec.Struct):
    link_mbps: float = 1000.0
    memory_mb: float = 0.0
    file_descriptors: int = 0


class _NodeFile(msgspec.Struct):
    """The fields of the file that a router uses; other fields are ignored.

    Attributes:
      platform: The platform's metadata store.
      contracts: Names of the contracts that apply to the deployment.
    """

    node_name: str
    zone: str
    ip_address: str
    listen_addresses: _ListenAddresses
    platform: _Store
    internal_port_range: tuple[int, int]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    fault_tolerance: _FaultTolerance = msgspec.field(default_factory=_FaultTolerance)
    heartbeat_interval_ms: float = 1200.0
    contracts: list[Any] | dict[str, Any] = []


def parse(text: str, source: str) -> RouterConfig:
    """Parse the content of a settings file.

    Args:
      text: Content of the file.
      source: Name of the file, for error messages.

    Raises:
      ConfigError: If the file is not valid TOML, or a field is missing or has the
        wrong type.
    """
    try:
        node = msgspec.convert(tomllib.loads(text), _NodeFile, strict=False)
    except (tomllib.TOMLDecodeError, RecursionError) as exc:
        raise ConfigError(source, [f"not valid TOML ({exc}); correct it"]) from exc
    except msgspec.ValidationError as exc:
        raise ConfigError(source, [f"{exc}; correct this field"]) from exc
    bounds = node.bounds
    rollout = None
    if ROLLOUT_CONTRACT in node.contracts:
        rollout = RolloutBound(
            bounds.exposure_share, bounds.exposure_slack, bounds.rollback_ms / 1000
        )
    return RouterConfig(
        name=node.node_name,
        zone=node.zone,
        callers=node.listen_addresses.front,
        ready=node.listen_addresses.ready,
        admin=f"{node.ip_address}:{ADMIN_PORT}",
        store=node.platform.address,
        peers=f"{node.ip_address}:{node.internal_port_range[0]}",
        relays=node.limits.link_mbps >= MIN_RELAY_MBPS,
        memory_mb=node.limits.memory_mb,
        file_descriptors=node.limits.file_descriptors,
        ready_path=READY_PATH,
        grace_s=bounds.grace_s,
        tolerated_zones=node.fault_tolerance.zones,
        cold=ColdBound(bounds.cold_overage, bounds.cold_slack),
        repeats=RetryBound(
            bounds.retry_budget_ratio, bounds.budget_slack, bounds.budget_window_s
        ),
        rollout=rollout,
        admission=AdmissionBound(allocates=PRESSURE_CONTRACT in node.contracts),
        placement=PlacementBound(weighs_work=PRESSURE_CONTRACT in node.contracts),
    )


class NodeFileSettings(SettingsFile):
    """Settings that are loaded from the platform's settings file."""

    variable = SETTINGS_VARIABLE
    parse = staticmethod(parse)
