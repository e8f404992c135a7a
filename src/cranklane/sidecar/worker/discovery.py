"""Probes for a worker that was already running when this process started.

Requests for the worker are refused until it is known, and its next heartbeat may be more than
a second away.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cranklane.common.header_names import HeaderNames
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.worker.answer_notice import NO_NOTICE, AnswerNotice
from cranklane.sidecar.worker.probe import WorkerProbe
from cranklane.sidecar.worker.registry import WorkerRegistry


class WorkerDiscovery:
    """Probes the worker once a route table states its health path and its departures are known.

    :param on_notice: called with what the answer of a worker that was found states.
    """

    def __init__(
        self,
        runtime: Runtime,
        registry: WorkerRegistry,
        names: HeaderNames,
        on_notice: Callable[[AnswerNotice], None],
        log: Any,
    ) -> None:
        self._runtime = runtime
        self._registry = registry
        self._on_notice = on_notice
        self._log = log
        self._probe = WorkerProbe(runtime, registry.address, names) if registry.address else None

    def probe_once(self, path: str) -> None:
        """Start the probe in a separate task; later calls have no effect.

        :param path: URL path of the worker's health check.
        """
        if self._probe is not None:
            self._runtime.spawn(self._probe_worker, self._probe, path)
            self._probe = None

    def _probe_worker(self, probe: WorkerProbe, path: str) -> None:
        self._registry.wait_until_departures_known()
        if self._registry.instance.id:
            return
        probed_worker = probe.find(path)
        if probed_worker is not None:
            self._log.info(
                "worker_probed", instance=probed_worker.instance, slots=probed_worker.slots
            )
            applied = self._registry.apply_probe(probed_worker)
            # A health check may lack what the answers to requests state.
            if applied and probed_worker.notice != NO_NOTICE:
                self._on_notice(probed_worker.notice)
