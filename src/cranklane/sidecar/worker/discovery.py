"""Looks once for a worker that was there before this process started.

The worker's next heartbeat may be more than a second away; until then, or until the worker
has answered at its health address, this machine's callers would be refused.
"""

from __future__ import annotations

from typing import Any

from cranklane.common.header_names import HeaderNames
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.worker.probe import WorkerProbe
from cranklane.sidecar.worker.registry import WorkerRegistry


class WorkerDiscovery:
    """Probes the worker when the first route table names its health address."""

    def __init__(
        self, runtime: Runtime, registry: WorkerRegistry, names: HeaderNames, log: Any
    ) -> None:
        self._runtime = runtime
        self._registry = registry
        self._log = log
        self._probe = WorkerProbe(runtime, registry.address, names) if registry.address else None

    def health_path_known(self, path: str) -> None:
        """Probe the worker in a task of its own; only the first call does.

        :param path: of the worker's health address.
        """
        if self._probe is not None:
            self._runtime.spawn(self._find, self._probe, path)
            self._probe = None

    def _find(self, probe: WorkerProbe, path: str) -> None:
        if self._registry.instance:
            return
        found = probe.find(path)
        if found is not None:
            self._log.info("worker_probed", instance=found.instance, slots=found.slots)
            self._registry.probed(found)
