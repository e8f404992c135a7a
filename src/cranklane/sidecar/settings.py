"""Settings of a sidecar."""

from __future__ import annotations

from dataclasses import dataclass

from cranklane.settings import (
    ADDRESS,
    ADDRESSES,
    DIGEST,
    NAME,
    OPTIONAL_ADDRESS,
    TEXT,
    YES_OR_NO,
    seconds,
    setting,
    whole_number,
)


@dataclass
class SidecarSettings:
    """Settings of a sidecar, read from its file and flags.

    Only ``seeds`` and ``operator_digest`` may change at runtime.
    """

    name: str = setting(NAME, help="name of this process, unique in the fleet")
    zone: str = setting(NAME, help="zone of this machine")
    service: str = setting(TEXT, help="service of this machine, sent to workers as the caller")
    callers: str = setting(ADDRESS, help="address for the clients and the worker of this machine")
    readiness: str = setting(ADDRESS, help="address of the readiness check")
    registry: str = setting(ADDRESS, help="address for the worker's heartbeats")
    listen: str = setting(ADDRESS, help="address for other sidecars")
    seeds: list[str] = setting(ADDRESSES, help="addresses of the operator API of some controllers")
    peer_port: int = setting(
        whole_number(1, 65535), help="port on which controllers listen for sidecars"
    )
    worker: str = setting(OPTIONAL_ADDRESS, "", help="the worker's HTTP address")
    heartbeat_seconds: float = setting(
        seconds(0.01, 3600), 1.5, help="seconds between a worker's heartbeats"
    )
    metrics: str = setting(OPTIONAL_ADDRESS, "", help="address of /metrics; empty: disabled")
    advertise: str = setting(
        OPTIONAL_ADDRESS, "", help="address announced to other sidecars, if it differs from listen"
    )
    retry_ratio: float = setting(
        seconds(0, 10), 0.2, help="retries allowed per request, over the whole fleet"
    )
    retry_slack: float = setting(
        seconds(0, 1_000_000), 60.0, help="retries allowed beyond that ratio in each window"
    )
    retry_seconds: float = setting(
        seconds(0.1, 3600), 10.0, help="window of the two retry settings, in seconds"
    )
    revocation_seconds: float = setting(
        seconds(0, 3600),
        0.0,
        help="seconds after which an acknowledged revocation of a key is in effect everywhere, "
        "even without contact to control; 0: only at sidecars in contact with control",
    )
    operator_digest: str = setting(
        DIGEST,
        "",
        help="SHA-256 digest of the token for lifting and adding holds; empty: none is accepted",
    )
    tree_admission: bool = setting(
        YES_OR_NO,
        False,
        help="whether root requests that enter here get a rank, by which their whole call trees "
        "are admitted where a service lacks capacity",
    )
    memory_mb: int = setting(
        whole_number(0, 1_000_000),
        0,
        help="memory that this process may use, in MB; a quarter of it is for what is held for "
        "clients; 0: that of the machine",
    )
    max_descriptors: int = setting(
        whole_number(0, 10_000_000),
        0,
        help="files and connections that this process may have open; 0: the limit of the system",
    )
    stop_seconds: float = setting(
        seconds(0, 3600), 6.0, help="maximum duration of a planned stop, in seconds"
    )
