"""The heartbeat of a worker, as its sidecar receives it."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from cranklane.sidecar.worker.instances import WorkerInstance


class WorkerPhase(Enum):
    """Phase that a worker states in its heartbeats."""

    READY = "ready"
    DRAINING = "draining"


class WorkerHeartbeat(NamedTuple):
    """A heartbeat of a worker.

    :ivar instance: the start of the worker that sends it.
    :ivar slots: number of concurrent requests.
    :ivar sequence: increases with each heartbeat of an instance.
    :ivar cold_ms: for how long the worker states to remain slow; None if not stated.
    """

    instance: WorkerInstance
    service: str
    slots: int
    phase: WorkerPhase
    sequence: int
    cold_ms: int | None = None
