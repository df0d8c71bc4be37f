"""Settings of an agent beside a backend server."""

import attrs

from laburnumlatch.core import records


@records.define(frozen=True)
class Bounds:
    """Limits that the deployment guarantees; durations are in ms.

    A leaving backend server gets no request later than `drain_ms` after it
    announced that it leaves. A process that is asked to stop ends within
    `grace_ms`. No grant of keys lasts longer than `max_hold_ms`.

    In any window of `retry_window_ms`, the retries of a service may be at
    most `retry_ratio` of its requests plus `retry_extra`.

    A backend server of an evacuated failure domain gets no request later than
    `evacuation_ms` after the operator's request, or `max_stretch_ms` later
    while the store is unstable. In any second, a cold server gets at most its
    rate times `cold_overage` plus `cold_slack` requests.

    The other bounds are read from the boot file, but the agent does not use
    them.
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
    evacuation_ms: int = 5000
    max_stretch_ms: int = 5000
    cold_overage: float = 1.5
    cold_slack: int = 8


@records.define(frozen=True)
class Settings:
    """Local settings of an agent; the rest of its configuration is stored.

    Addresses are `ip:port`. `peer_address` receives both frames (TCP) and
    lease datagrams (UDP) from other agents. `memory_bytes` is the memory
    limit of the whole process, `max_descriptors` that of its open descriptors.
    `regions` has the region of each failure domain. `wait_policy` is a name for
    `waiting.named`. The share `start_floor` of the work goes to the rank that
    has waited longest.
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
    max_descriptors: int = 4096
    regions: dict[str, str] = attrs.Factory(dict)
    wait_policy: str = 'value'
    start_floor: float = 0.05
