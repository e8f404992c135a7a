"""Decides which heartbeats begin a slow start of the worker, and why."""

from __future__ import annotations

from collections.abc import Callable

from cranklane.common.units import MILLISECONDS
from cranklane.sidecar.capacity.slow_start import StartCause
from cranklane.sidecar.worker.instances import UNKNOWN_START, WorkerInstance
from cranklane.sidecar.worker.worker_state import WorkerState

YOUNG_SECONDS = 3.0
"""Age up to which a worker that this process meets first is taken to have just started."""

_RECOVERY_CAUSES = {
    WorkerState.UNREACHABLE: StartCause.UNREACHABLE,
    WorkerState.LOST: StartCause.LOST,
}


class StartCauses:
    """Causes of slow starts, by what successive heartbeats state.

    :param wall: returns the Unix time in seconds.
    """

    def __init__(self, wall: Callable[[], float]) -> None:
        self._wall = wall
        self._stated_cold = False

    def cause(
        self,
        instance: WorkerInstance,
        cold_ms: int | None,
        former: WorkerInstance,
        former_state: WorkerState,
    ) -> StartCause | None:
        """Return why a heartbeat begins a slow start; None if it does not.

        :param instance: the current instance, which sent it.
        :param cold_ms: for how long it states to remain slow; None if not stated.
        :param former: instance before the heartbeat.
        :param former_state: state before the heartbeat.
        """
        states_cold = bool(cold_ms)
        turned_cold = states_cold and not self._stated_cold
        self._stated_cold = states_cold
        if former.id and not instance.may_be(former):
            return StartCause.NEW_INSTANCE
        if former != instance:
            # It may have run for long before this process was started.
            is_cold = states_cold if cold_ms is not None else self._is_young(instance)
            return StartCause.NEW_INSTANCE if is_cold else None
        if former_state in _RECOVERY_CAUSES:
            return _RECOVERY_CAUSES[former_state]
        return StartCause.STATED_COLD if turned_cold else None

    def _is_young(self, instance: WorkerInstance) -> bool:
        """Return whether an instance states that it has just started."""
        if instance.started_at_ms == UNKNOWN_START:
            return False
        age = self._wall() - instance.started_at_ms / MILLISECONDS
        return 0.0 <= age < YOUNG_SECONDS
