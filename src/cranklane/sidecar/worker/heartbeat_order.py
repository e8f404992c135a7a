"""Decides whether a heartbeat that says ready is from the start of the worker that runs now.

Heartbeats may arrive late, twice, and after their sender has ended. Answers the load of restarts:
a worker that starts again is used with its first heartbeat, a departed one never again.
docs/design/departures.md lists the outcome of each message in each state.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from cranklane.sidecar.worker.instances import (
    ConsecutiveHeartbeats,
    InstanceHistory,
    WorkerInstance,
)
from cranklane.sidecar.worker.worker_state import PLANNED_EXIT_STATES, WorkerState

SILENT_HEARTBEATS = 1.5
"""Heartbeat intervals of silence after which an instance with an earlier start time replaces the
current one, whose clock may have been ahead. Less silence suggests a late heartbeat instead."""

CONFIRMING_HEARTBEATS = 2
"""Consecutive heartbeats by which an instance that was heard before a departed one shows that it
is the one that runs."""

CONFIRMING_HEARTBEATS_OF_EARLIER_START = 6
"""The same for an earlier start under the id of a departed one. The worker accepts requests by its
id alone, so late heartbeats must not count as a start whose clock was set back."""


class Ignored(Enum):
    """Why a heartbeat does not make its instance ready."""

    DEPARTED = "departed"
    LATE = "late"
    """A newer heartbeat of the instance has arrived before."""
    EARLIER_START = "earlier start"
    """A later start under the same id is known."""
    SUPERSEDED = "superseded"
    """An instance of another id was heard first after it."""


class CurrentWorker(NamedTuple):
    """The worker as known when a heartbeat arrives.

    :ivar silent_seconds: time since its last heartbeat.
    """

    instance: WorkerInstance
    state: WorkerState
    silent_seconds: float


class HeartbeatOrder:
    """Orders the heartbeats of one machine's worker.

    :param heartbeat_seconds: interval of the worker's heartbeats.
    """

    def __init__(self, history: InstanceHistory, heartbeat_seconds: float) -> None:
        self._history = history
        self._max_gap_seconds = SILENT_HEARTBEATS * heartbeat_seconds
        self._returning = ConsecutiveHeartbeats()

    def reason_to_ignore(
        self, instance: WorkerInstance, sequence: int, current: CurrentWorker, now: float
    ) -> Ignored | None:
        """Return why a heartbeat does not make its instance ready; None if it does.

        :param now: monotonic seconds.
        """
        if self._history.has_planned_exit(instance):
            return Ignored.DEPARTED
        if not self._history.is_newer(instance, sequence):
            return Ignored.LATE
        if instance == current.instance:
            return None
        latest = self._history.latest_start(instance.id)
        if instance.started_at_ms < latest.started_at_ms:
            replaces = self._earlier_start_replaces(instance, latest, current, now)
            return None if replaces else Ignored.EARLIER_START
        if instance.id == current.instance.id:
            return None
        return None if self._other_id_replaces(instance, current, now) else Ignored.SUPERSEDED

    def _earlier_start_replaces(
        self, instance: WorkerInstance, latest: WorkerInstance, current: CurrentWorker, now: float
    ) -> bool:
        """Return whether a start runs that is earlier than the latest of its id."""
        if self._history.has_planned_exit(latest):
            return self._is_confirmed(instance, now, CONFIRMING_HEARTBEATS_OF_EARLIER_START)
        if current.state is not WorkerState.READY or instance.id != current.instance.id:
            return True
        is_silent = current.silent_seconds > self._max_gap_seconds
        return is_silent and not self._history.is_older(instance, current.instance)

    def _other_id_replaces(
        self, instance: WorkerInstance, current: CurrentWorker, now: float
    ) -> bool:
        """Return whether an instance of another id than the current one runs."""
        if not self._history.is_older(instance, current.instance):
            return True
        if current.state in PLANNED_EXIT_STATES:
            return self._is_confirmed(instance, now, CONFIRMING_HEARTBEATS)
        return current.state is not WorkerState.READY

    def _is_confirmed(self, instance: WorkerInstance, now: float, heartbeats: int) -> bool:
        """Count a heartbeat; return whether as many have arrived one after the other."""
        return self._returning.count(instance, now, self._max_gap_seconds) >= heartbeats
