"""Settings of a node or an edge."""

from __future__ import annotations

from dataclasses import dataclass

from cranklane.settings import (
    ADDRESS,
    ADDRESSES,
    NAME,
    OPTIONAL_ADDRESS,
    OPTIONAL_NAME,
    TEXT,
    seconds,
    setting,
)


@dataclass
class NodeSettings:
    """Settings of a node, or of an edge if ``service`` is empty."""

    name: str = setting(NAME, help="name of this process, unique in the fleet")
    zone: str = setting(NAME, help="zone of this machine")
    controls: list[str] = setting(ADDRESSES, help="addresses of the control processes")
    http: str = setting(ADDRESS, help="address for callers")
    data: str = setting(TEXT, help="data folder")
    tenant: str = setting(OPTIONAL_NAME, "", help="tenant of the worker's service")
    service: str = setting(OPTIONAL_NAME, "", help="service of the worker; empty for an edge")
    listen: str = setting(ADDRESS, "127.0.0.1:0", help="address for other nodes")
    worker: str = setting(OPTIONAL_ADDRESS, "", help="the worker's HTTP address")
    admin: str = setting(OPTIONAL_ADDRESS, "", help="address for metrics, status and drain")
    stop_seconds: float = setting(
        seconds(0, 86_400),
        300.0,
        help="maximum wait for calls in flight at a planned stop, in seconds",
    )

    @property
    def full_service(self) -> str:
        """``tenant.service``, or empty at an edge."""
        return f"{self.tenant}.{self.service}" if self.service else ""
