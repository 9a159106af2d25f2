"""Settings of one process, read from JSON with comments."""

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
LOOPBACK = ("127.0.0.1", "::1")


class _Strict(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class CallerSettings(_Strict):
    """The listener for callers.

    Attributes:
      tls_cert: Certificate chain file; TLS is on if both files are given.
      tls_key: Private key file.
    """

    address: str = "127.0.0.1"
    port: Port = 8080
    tls_cert: Path | None = None
    tls_key: Path | None = None

    @model_validator(mode="after")
    def _both_files(self) -> "CallerSettings":
        if (self.tls_cert is None) != (self.tls_key is None):
            raise ValueError("tls_cert and tls_key go together")
        return self


class OperatorSettings(_Strict):
    """The listener for operators.

    Attributes:
      token_sha256: SHA-256 in hex of the operator's token; needed unless the
        listener is bound to loopback.
    """

    address: str = "127.0.0.1"
    port: Port = 8081
    token_sha256: str | None = Field(default=None, pattern=r"^[0-9a-f]{64}$")

    @model_validator(mode="after")
    def _token_needed(self) -> "OperatorSettings":
        if self.address not in LOOPBACK and self.token_sha256 is None:
            raise ValueError("token_sha256 is needed unless bound to loopback")
        return self


class PeerKeys(_Strict):
    """CURVE keys in Z85 that authenticate and encrypt peer traffic.

    Attributes:
      public: Public key of the fleet.
      secret: Secret key of the fleet.
      accept: Further public keys that are accepted, for key rotation.
    """

    public: str = Field(min_length=40, max_length=40)
    secret: str = Field(min_length=40, max_length=40, repr=False)
    accept: tuple[str, ...] = ()


class PeerSettings(_Strict):
    """The listener for other routers.

    Attributes:
      seeds: Addresses ``host:port`` of routers to contact at start.
    """

    address: str = "127.0.0.1"
    port: Port = 8082
    seeds: tuple[str, ...] = ()
    keys: PeerKeys


class PlatformSettings(_Strict):
    """Addresses of the platform's services.

    Attributes:
      log_url: Base URL of the log service.
      hosts_url: URL of the list of hosts.
      timeout_s: Time after which a platform call is given up, in seconds.
    """

    log_url: str
    hosts_url: str
    timeout_s: Seconds = 2.0


class MembershipSettings(_Strict):
    """Failure detection between routers.

    Attributes:
      probe_s: Interval between probes, in seconds.
      ack_s: Time to wait for an answer to a probe, in seconds.
      suspect_s: Time a silent router stays suspected before it counts as dead.
    """

    probe_s: Seconds = 0.5
    ack_s: Seconds = 0.4
    suspect_s: Seconds = 2.0


class AdmissionSettings(_Strict):
    """Bounds on the load of endpoints.

    Attributes:
      load_factor: Set multiple of the mean load.
      cold_open: Open calls that a cold endpoint bears if it declares nothing.
      settle_s: Time for which a new owner admits less, in seconds.
      ask_s: Time to wait for an owner's answer, in seconds.
    """

    load_factor: Annotated[float, Field(ge=1.0, le=10.0)] = 1.25
    cold_open: Annotated[int, Field(ge=1)] = 1
    settle_s: Seconds = 2.0
    ask_s: Seconds = 0.3


class LimitSettings(_Strict):
    """Size limits and timeouts of calls.

    Attributes:
      body_bytes: Largest request body.
      header_bytes: Largest sum of request header names and values.
      queue_calls: Most calls that wait for one pool at this router.
      queue_s: Longest wait for admission, in seconds.
      retry_share: Share of live traffic that may be retries.
      connect_s: Time to connect to an endpoint, in seconds.
      first_byte_s: Time until the first byte of a response, in seconds.
      idle_s: Longest silence within a response, in seconds.
      request_s: Longest time for the head of a request, in seconds.
      keep_s: Time after which an idle caller's connection is closed, in seconds.
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


class Settings(_Strict):
    """All settings of one router process."""

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
