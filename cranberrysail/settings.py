"""Settings of a router process, read from a file of JSON with comments."""

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

__all__ = [
    "AdmissionSettings",
    "CallerSettings",
    "LimitSettings",
    "MembershipSettings",
    "OperatorSettings",
    "PeerKeys",
    "PeerSettings",
    "PlatformSettings",
    "Settings",
]

Port = Annotated[int, Field(ge=0, le=65535)]
Seconds = Annotated[float, Field(gt=0)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
LOOPBACK_ADDRESSES = ("127.0.0.1", "::1")


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class CallerSettings(_StrictModel):
    """The listener for callers.

    Attributes:
      address: Address to listen on.
      port: Port to listen on; 0 for any free port.
      tls_cert: File with the certificate chain. TLS is used if both files are given.
      tls_key: File with the private key.
    """

    address: str = "127.0.0.1"
    port: Port = 8080
    tls_cert: Path | None = None
    tls_key: Path | None = None

    @model_validator(mode="after")
    def _check_tls_files(self) -> "CallerSettings":
        if (self.tls_cert is None) != (self.tls_key is None):
            raise ValueError("tls_cert and tls_key go together; set both or neither")
        return self


class OperatorSettings(_StrictModel):
    """The listener for operators.

    Attributes:
      address: Address to listen on.
      port: Port to listen on; 0 for any free port.
      token_sha256: SHA-256 of the operators' bearer token, in hex; required unless
        the listener is bound to a loopback address.
    """

    address: str = "127.0.0.1"
    port: Port = 8081
    token_sha256: str | None = Field(default=None, pattern=r"^[0-9a-f]{64}$")

    @model_validator(mode="after")
    def _check_token(self) -> "OperatorSettings":
        if self.address not in LOOPBACK_ADDRESSES and self.token_sha256 is None:
            raise ValueError(
                "token_sha256 is needed unless the listener is bound to a loopback "
                "address"
            )
        return self


class PeerKeys(_StrictModel):
    """CURVE keys in Z85 that authenticate and encrypt the traffic between routers.

    Attributes:
      public: Public key of the fleet.
      secret: Secret key of the fleet.
      accept: Other public keys that are accepted, for key rotation.
    """

    public: str = Field(min_length=40, max_length=40)
    secret: str = Field(min_length=40, max_length=40, repr=False)
    accept: tuple[str, ...] = ()


class PeerSettings(_StrictModel):
    """The listener for other routers.

    Attributes:
      address: Address to listen on.
      port: Port to listen on; 0 for any free port.
      seeds: Addresses ``host:port`` of routers to contact at start.
      keys: Keys of the fleet.
    """

    address: str = "127.0.0.1"
    port: Port = 8082
    seeds: tuple[str, ...] = ()
    keys: PeerKeys


class PlatformSettings(_StrictModel):
    """How to reach the services of the platform.

    Attributes:
      log_url: Base URL of the log service.
      hosts_url: URL of the list of hosts.
      timeout_s: Timeout of a call to these services, in seconds.
    """

    log_url: str
    hosts_url: str
    timeout_s: Seconds = 2.0


class MembershipSettings(_StrictModel):
    """Failure detection between routers.

    Attributes:
      probe_s: Interval between probes, in seconds.
      ack_s: Time to wait for the acknowledgement of a probe, in seconds.
      suspect_s: Time after which a suspected router is considered dead unless it
        refutes the suspicion, in seconds.
    """

    probe_s: Seconds = 0.5
    ack_s: Seconds = 0.4
    suspect_s: Seconds = 2.0


class AdmissionSettings(_StrictModel):
    """Limits on the load of endpoints.

    Attributes:
      load_factor: Maximum load of an endpoint, as a multiple of its pool's mean load.
      cold_open: Maximum number of open calls at a cold endpoint that declares no limit.
      settle_s: Time after it took ownership of an endpoint during which a router admits
        fewer calls there, as earlier owners' permits may be unknown, in seconds.
      ask_s: Time to wait for an owner's reply to an admission request, in seconds.
    """

    load_factor: Annotated[float, Field(ge=1.0, le=10.0)] = 1.25
    cold_open: Annotated[int, Field(ge=1)] = 1
    settle_s: Seconds = 2.0
    ask_s: Seconds = 0.3


class LimitSettings(_StrictModel):
    """Size limits and timeouts of calls and of callers' connections.

    Attributes:
      body_bytes: Maximum size of a request body.
      header_bytes: Maximum total size of a request's target and headers.
      queue_calls: Maximum number of calls queued for one pool at this router.
      queue_s: Maximum time to wait for admission, in seconds.
      retry_share: Retries allowed per call.
      connect_s: Timeout for connecting to an endpoint, in seconds.
      first_byte_s: Timeout for the first byte of a response, in seconds.
      idle_s: Maximum time between two parts of a response, in seconds.
      request_s: Timeout for receiving the head of a request, in seconds.
      keep_s: Time after which an idle connection of a caller is closed, in seconds.
    """

    body_bytes: Annotated[int, Field(ge=1024)] = 4 * 1024 * 1024
    header_bytes: Annotated[int, Field(ge=1024)] = 32 * 1024
    queue_calls: Annotated[int, Field(ge=1)] = 256
    queue_s: Seconds = 10.0
    retry_share: Annotated[float, Field(ge=0, le=1)] = 0.1
    connect_s: Seconds = 1.0
    first_byte_s: Seconds = 60.0
    idle_s: Seconds = 60.0
    request_s: Seconds = 3.0
    keep_s: Seconds = 15.0


class Settings(_StrictModel):
    """All settings of a router process.

    Attributes:
      name: Name of the router, unique in the fleet.
      zone: Availability zone in which it runs.
      region: Region of the zone.
    """

    name: Name
    zone: Name
    region: Name
    callers: CallerSettings = CallerSettings()
    operators: OperatorSettings = OperatorSettings()
    peers: PeerSettings
    platform: PlatformSettings
    membership: MembershipSettings = MembershipSettings()
    admission: AdmissionSettings = AdmissionSettings()
    limits: LimitSettings = LimitSettings()
