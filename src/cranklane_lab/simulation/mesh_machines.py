"""Machines of a simulated mesh and the ports that they use."""

from __future__ import annotations

from dataclasses import dataclass

from cranklane.controller.process import Controller
from cranklane.runtime.interface import Address
from cranklane.sidecar.process import Sidecar
from cranklane_lab.simulation.process import SimulatedProcess
from cranklane_lab.standins.routed_worker import RoutedWorker

PEER_PORT = 7000
OPERATOR_PORT = 7001
CALLERS_PORT = 8000
READINESS_PORT = 8001
REGISTRY_PORT = 8002
METRICS_PORT = 8003
WORKER_PORT = 8080


@dataclass
class MeshMachine:
    """A machine that runs a sidecar and its worker."""

    name: str
    service: str
    zone: str
    host: str
    worker_process: SimulatedProcess
    worker: RoutedWorker
    process: SimulatedProcess
    sidecar: Sidecar

    @property
    def callers(self) -> Address:
        """Address on which the sidecar accepts requests."""
        return self.host, CALLERS_PORT

    @property
    def readiness(self) -> Address:
        """Address of the sidecar's readiness endpoint."""
        return self.host, READINESS_PORT


@dataclass
class ControllerMachine:
    """A machine that runs a controller."""

    number: int
    host: str
    process: SimulatedProcess
    controller: Controller

    @property
    def operators(self) -> Address:
        """Address of the operator API."""
        return self.host, OPERATOR_PORT
