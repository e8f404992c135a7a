"""Ports and command-line flags of controller and sidecar processes."""

from __future__ import annotations

from dataclasses import dataclass, field

from cranklane_lab.fleet.processes import free_port


@dataclass(frozen=True)
class MeshPorts:
    """Ports of a mesh; all its hosts use the same ones."""

    peer: int = field(default_factory=free_port)
    http: int = field(default_factory=free_port)
    callers: int = field(default_factory=free_port)
    readiness: int = field(default_factory=free_port)
    registry: int = field(default_factory=free_port)
    worker: int = field(default_factory=free_port)

    def controller(self, name: str, host: str, data: str, seeds: str) -> dict[str, str]:
        """Return the flags of a controller on a host.

        :param seeds: comma-separated HTTP addresses of some controllers.
        """
        return {
            "name": name,
            "zone": "a",
            "listen": f"{host}:{self.peer}",
            "http": f"{host}:{self.http}",
            "data": data,
            "seeds": seeds,
            "peer-port": str(self.peer),
        }

    def sidecar(self, name: str, host: str, service: str, seeds: str) -> dict[str, str]:
        """Return the flags of a sidecar on a host."""
        return {
            "name": name,
            "zone": "a",
            "service": service,
            "callers": f"{host}:{self.callers}",
            "readiness": f"{host}:{self.readiness}",
            "registry": f"{host}:{self.registry}",
            "listen": f"{host}:{self.peer}",
            "worker": f"{host}:{self.worker}",
            "seeds": seeds,
            "peer-port": str(self.peer),
        }


def as_arguments(daemon: str, flags: dict[str, str]) -> list[str]:
    """Return the command line of a daemon.

    >>> as_arguments("sidecar", {"name": "s"})
    ['sidecar', '--name', 's']
    """
    arguments = [daemon]
    for key, value in flags.items():
        arguments += [f"--{key}", value]
    return arguments
