"""What a forwarding process is told when it starts."""

from msgspec import Struct


class Bounds(Struct, frozen=True):
    """Promises towards the platform, in seconds unless said."""

    grace_seconds: float = 8
    address_ttl_seconds: float = 2
    retry_ratio: float = 0.2
    retry_window_seconds: float = 10
    #: Repeats allowed in a window beside the ratio, for the whole fleet.
    retry_extra: float = 20
    cold_overage: float = 1
    cold_slack: float = 0


class ForwardingSettings(Struct, frozen=True):
    """Addresses are `ip:port`; `seeds` are control addresses of some nodes."""

    node: str
    zone: str
    region: str
    callers: str
    readiness: str
    control: str
    directory: str
    peers: str
    metrics: str
    seeds: tuple[str, ...]
    store: str
    #: Processor time that the process may use, in cores.
    cores: float
    bounds: Bounds
