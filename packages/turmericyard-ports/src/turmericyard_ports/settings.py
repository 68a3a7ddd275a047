"""Settings of a forwarding process, read at its start."""

from msgspec import Struct


class Bounds(Struct, frozen=True):
    """Limits that the platform sets.

    `retry_ratio` limits repeats to this share of the requests in a window of
    `retry_window_seconds`. A cold endpoint gets at most `cold_overage` times
    the `cold_per_second` of its service, plus `cold_slack`, requests a second.
    The record of an endpoint lapses when it was not renewed for `lapse_seconds`.
    A version that is rolled out gets at most `exposure_share` of the requests of
    its service and `exposure_slack` more before the decision, and none later
    than `rollback_seconds` after it was found bad.
    """

    grace_seconds: float = 8
    address_ttl_seconds: float = 2
    retry_ratio: float = 0.2
    retry_window_seconds: float = 10
    #: Repeats of the whole fleet allowed in a window in addition to the ratio.
    retry_extra: float = 20
    cold_overage: float = 1
    cold_slack: float = 0
    lapse_seconds: float = 3.6
    exposure_share: float = 0.1
    exposure_slack: float = 50
    rollback_seconds: float = 5


class ForwardingSettings(Struct, frozen=True):
    """Settings of one process.

    Addresses are `ip:port`. `callers`, `readiness`, `control`, `directory`,
    `peers` and `metrics` are the addresses on which the process listens.
    `store` is the address of the store and `seeds` are control addresses of
    some nodes.
    """

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
    #: Memory and descriptors that the process may use; 0 without a limit.
    memory_bytes: int = 0
    descriptors: int = 0
