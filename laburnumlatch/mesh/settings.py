"""Settings of an agent beside a backend server."""

import attrs


@attrs.define(frozen=True)
class Bounds:
    """Times and shares that the deployment promises; durations in ms.

    `retry_extra` requests of a service may be repeats in any window of
    `retry_window_ms`, besides `retry_ratio` of its requests.
    """

    contact_ms: int = 3000
    drain_ms: int = 2000
    grace_ms: int = 6000
    config_apply_ms: int = 2000
    max_hold_ms: int = 10_000
    address_reuse_ms: int = 2000
    recovery_ms: int = 15_000
    retry_ratio: float = 0.2
    retry_window_ms: int = 10_000
    retry_extra: int = 60


@attrs.define(frozen=True)
class Settings:
    """What an agent must be told; all else comes from the store.

    Addresses are `ip:port`. `peer_address` takes both frames (TCP) and lease
    datagrams (UDP) of other agents. `memory_bytes` is what the process may
    use in all.
    """

    host_id: str
    domain: str
    region: str
    service: str
    backend_address: str
    caller_address: str
    ready_address: str
    control_address: str
    peer_address: str
    store_address: str
    memory_bytes: int
    metrics_address: str = ''
    cores: float = 1
    link_mbps: float = 1000
    bounds: Bounds = attrs.Factory(Bounds)
    log_level: str = 'info'
