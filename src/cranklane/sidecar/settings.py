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
    seconds,
    setting,
    whole_number,
)


@dataclass
class SidecarSettings:
    """Settings of a sidecar, as its file and flags name them.

    Only ``seeds`` and ``operator_digest`` may change while it runs.
    """

    name: str = setting(NAME, help="name of this process, unique in the fleet")
    zone: str = setting(NAME, help="zone this machine stands in")
    service: str = setting(TEXT, help="service of this machine, stated as the caller")
    callers: str = setting(ADDRESS, help="address for the clients and the worker of this machine")
    readiness: str = setting(ADDRESS, help="address at which readiness is asked")
    registry: str = setting(ADDRESS, help="address for the worker's heartbeats")
    listen: str = setting(ADDRESS, help="address for other sidecars")
    seeds: list[str] = setting(ADDRESSES, help="operators' addresses of some controllers")
    peer_port: int = setting(
        whole_number(1, 65535), help="port at which controllers listen for nodes"
    )
    worker: str = setting(OPTIONAL_ADDRESS, "", help="the worker's HTTP address")
    heartbeat_seconds: float = setting(
        seconds(0.01, 3600), 1.5, help="seconds between a worker's heartbeats"
    )
    metrics: str = setting(OPTIONAL_ADDRESS, "", help="address of /metrics; none: nowhere")
    advertise: str = setting(
        OPTIONAL_ADDRESS, "", help="address told to others, when it is not the one listened on"
    )
    retry_ratio: float = setting(
        seconds(0, 10), 0.2, help="requests sent again for each request, over the whole fleet"
    )
    retry_slack: float = setting(
        seconds(0, 1_000_000), 60.0, help="requests sent again beyond that ratio in each window"
    )
    retry_seconds: float = setting(
        seconds(0.1, 3600), 10.0, help="seconds of a window of the two retry settings"
    )
    revocation_seconds: float = setting(
        seconds(0, 3600),
        0.0,
        help="after it was acknowledged, a revoked key runs nowhere after these seconds, also "
        "out of touch with control; 0: only where control is in touch",
    )
    operator_digest: str = setting(
        DIGEST, "", help="SHA-256 digest of the token that may lift and add holds; empty: nobody's"
    )
    stop_seconds: float = setting(seconds(0, 3600), 6.0, help="most seconds of a planned stop")
