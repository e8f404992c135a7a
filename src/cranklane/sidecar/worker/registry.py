"""Tracks the instance, state and slots of the local worker.

Decides from heartbeats and connection errors whether the worker is ready, draining, unreachable
or lost. A draining worker gets no further requests, since all of them pass through this sidecar.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

import gevent

from cranklane.common.units import MILLISECONDS
from cranklane.distribution.member_state import MemberState
from cranklane.outcome import Reason
from cranklane.runtime.interface import Address, Runtime, parse_address
from cranklane.sidecar.admission.slots import Slots
from cranklane.sidecar.capacity.slow_start import SlowStart, SlowStartChange, StartCause
from cranklane.sidecar.worker.instances import (
    NO_INSTANCE,
    UNKNOWN_START,
    InstanceHistory,
    WorkerInstance,
)
from cranklane.sidecar.worker.pool import WorkerPool
from cranklane.sidecar.worker.probe import ProbedWorker

USABLE_FRACTION = 0.95
"""Fraction of a worker's slots that is used; some workers slow down when nearly full."""

SMALL_WORKER_SLOTS = 10
"""Number of slots below which all are used: leaving one free would cost a large fraction."""

MISSED_HEARTBEATS = 3.5
"""Heartbeat intervals of silence after which the worker is lost; tolerates three missed ones."""

SILENT_HEARTBEATS = 1.5
"""Heartbeat intervals of silence after which an instance with an earlier start time replaces the
current one, whose clock may have been ahead. Less silence suggests a late heartbeat instead."""

SUSPENSION_HEARTBEATS = 2.0
"""Heartbeat intervals between two checks from which the machine was presumably suspended. Below
:data:`MISSED_HEARTBEATS`, so that a suspension does not make the worker lost, but above the delay
of a busy process."""


YOUNG_SECONDS = 3.0
"""Age up to which a worker that this process meets first is taken to have just started."""


class WorkerPhase(Enum):
    """Phase that a worker states in its heartbeats."""

    READY = "ready"
    DRAINING = "draining"


class WorkerState(Enum):
    """State of the worker; requests are sent only in ``READY``."""

    UNKNOWN = "unheard"
    """No heartbeat since this process started or the instance changed."""
    READY = "ready"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    """It accepted no connection; its next heartbeat makes it ready again."""
    LOST = "lost"
    """Its heartbeats have stopped."""
    GONE = "gone"
    """It has deregistered."""


_MEMBER_STATES = {
    WorkerState.READY: MemberState.LIVE,
    WorkerState.DRAINING: MemberState.DRAINING,
}


_RECOVERY_CAUSES = {
    WorkerState.UNREACHABLE: StartCause.UNREACHABLE,
    WorkerState.LOST: StartCause.LOST,
}


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


class WorkerRegistry:
    """State of the local worker.

    :param service: service of this machine, until a heartbeat states the worker's.
    :param heartbeat_seconds: interval of the worker's heartbeats.
    :param slots: resized to the worker's usable slots.
    :param on_change: called when the state to announce to other processes has changed.
    :ivar address: address of the worker; None if this machine has none.
    :param on_slow_start: called at the beginning and at the end of each slow start.
    :ivar instance: the worker's newest instance; ``NO_INSTANCE`` while unknown.
    :ivar slow_start: limits the slots in use after the worker has started or recovered.
    """

    def __init__(
        self,
        runtime: Runtime,
        address: str,
        service: str,
        heartbeat_seconds: float,
        slots: Slots,
        on_change: Callable[[], None],
        log: Any,
        on_slow_start: Callable[[SlowStartChange], None] = lambda _change: None,
    ) -> None:
        self._runtime = runtime
        self.address: Address | None = parse_address(address) if address else None
        self._heartbeat_seconds = heartbeat_seconds
        self._slots = slots
        self._on_change = on_change
        self._log = log
        self._last_heartbeat_at = 0.0
        self._instances = InstanceHistory()
        self.pool = WorkerPool(runtime, self.address) if self.address else None
        self.slow_start = SlowStart(runtime.monotonic, slots.set_window, on_slow_start)
        slots.widen = self.slow_start.widen
        self._stated_cold = False
        self.service = service
        self.instance = NO_INSTANCE
        self.state = WorkerState.UNKNOWN

    @property
    def member_state(self) -> MemberState:
        """State to announce to control and other sidecars."""
        return _MEMBER_STATES.get(self.state, MemberState.GONE)

    @property
    def slots(self) -> int:
        """Usable slots of the worker."""
        return self._slots.stated

    def heartbeat(self, heartbeat: WorkerHeartbeat) -> None:
        """Apply a heartbeat; late ones and those of superseded instances are ignored."""
        instance = self._resolve(heartbeat.instance)
        former, former_state = self.instance, self.state
        self._complete_instance(instance)
        if not self._instances.advance(instance, heartbeat.sequence):
            self._log_ignored(heartbeat, "late")
            return
        if instance != self.instance:
            if self._is_superseded(instance):
                self._log_ignored(heartbeat, "superseded")
                return
            self._adopt_instance(instance)
        self._last_heartbeat_at = self._runtime.monotonic()
        if self._instances.has_planned_exit(instance):
            if heartbeat.phase is WorkerPhase.READY:
                self._log_ignored(heartbeat, "departed")
            return
        self.service = heartbeat.service
        usable = usable_slots(heartbeat.slots)
        cause = self._slow_start_cause(former, former_state, heartbeat.cold_ms)
        if cause is not None and heartbeat.phase is WorkerPhase.READY:
            self.slow_start.begin(cause, usable, heartbeat.cold_ms)
        if usable != self._slots.stated:
            self.slow_start.resize(usable)
            self._slots.resize(usable)
            self._on_change()
        if heartbeat.phase is WorkerPhase.DRAINING:
            self._begin_planned_exit(instance, WorkerState.DRAINING, "heartbeat")
        else:
            self._set_state(WorkerState.READY)

    def _slow_start_cause(
        self, former: WorkerInstance, former_state: WorkerState, cold_ms: int | None
    ) -> StartCause | None:
        """Return why a heartbeat begins a slow start; None if it does not.

        :param former: instance before the heartbeat.
        :param former_state: state before the heartbeat.
        """
        states_cold = bool(cold_ms)
        turned_cold = states_cold and not self._stated_cold
        self._stated_cold = states_cold
        if former.id and not self.instance.may_be(former):
            return StartCause.NEW_INSTANCE
        if former != self.instance:
            # It may have run for long before this process was started.
            is_cold = states_cold if cold_ms is not None else self._is_young()
            return StartCause.NEW_INSTANCE if is_cold else None
        if former_state in _RECOVERY_CAUSES:
            return _RECOVERY_CAUSES[former_state]
        return StartCause.STATED_COLD if turned_cold else None

    def _is_young(self) -> bool:
        """Return whether the worker states that it has just started."""
        if self.instance.started_at_ms == UNKNOWN_START:
            return False
        age = self._runtime.wall() - self.instance.started_at_ms / MILLISECONDS
        return 0.0 <= age < YOUNG_SECONDS

    def apply_probe(self, worker: ProbedWorker) -> bool:
        """Apply the result of a probe; return False if a heartbeat has arrived before."""
        if self.instance.id:
            return False
        self._adopt_instance(WorkerInstance(worker.instance))
        self._last_heartbeat_at = self._runtime.monotonic()
        self._slots.resize(usable_slots(worker.slots))
        self._set_state(WorkerState.READY)
        return True

    def deregister(self, stated: WorkerInstance) -> None:
        """Record that an instance is about to exit."""
        instance = self._resolve(stated)
        self._complete_instance(instance)
        if not self.instance.id:
            self._adopt_instance(instance)
        if instance == self.instance:
            self._begin_planned_exit(instance, WorkerState.GONE, "deregistration")
        else:
            self._instances.record_planned_exit(instance)

    def leaving(self, instance: WorkerInstance) -> None:
        """Record that an answer of an instance states that it is about to exit."""
        if not instance.may_be(self.instance):
            self._instances.record_planned_exit(instance)
        elif not self._instances.has_planned_exit(self.instance):
            self._begin_planned_exit(self.instance, WorkerState.DRAINING, "answer")

    def _resolve(self, instance: WorkerInstance) -> WorkerInstance:
        """Return the instance that a message is from; it may state the id alone."""
        if instance.started_at_ms != UNKNOWN_START:
            return instance
        if instance.id == self.instance.id:
            return self.instance
        return self._instances.newest(instance.id)

    def _complete_instance(self, instance: WorkerInstance) -> None:
        """Add the start time to an instance that was found by a probe, which does not state it."""
        lacks_start_time = self.instance == WorkerInstance(instance.id)
        if lacks_start_time and instance.started_at_ms != UNKNOWN_START:
            self.instance = instance
            self._on_change()

    def _log_ignored(self, heartbeat: WorkerHeartbeat, reason: str) -> None:
        """Log a heartbeat that changes nothing."""
        self._log.info(
            "heartbeat_ignored",
            instance=heartbeat.instance.label,
            sequence=heartbeat.sequence,
            phase=heartbeat.phase.value,
            reason=reason,
            current=self.instance.label,
            state=self.state.value,
        )

    def _begin_planned_exit(
        self, instance: WorkerInstance, state: WorkerState, stated_by: str
    ) -> None:
        self._instances.record_planned_exit(instance)
        self._log.info(
            "worker_departure",
            instance=instance.label,
            stated_by=stated_by,
            former=self.state.value,
        )
        if self.state is WorkerState.GONE:
            return
        self._set_state(state)
        self._slots.refuse_waiting(Reason.DRAINING)

    def unreachable(self) -> None:
        """Record that the worker accepted no connection."""
        if self.state is WorkerState.READY:
            self._set_state(WorkerState.UNREACHABLE)

    def note_unexpected_instance(self, instance_id: str) -> None:
        """Record that an instance of another id than the known one's answered."""
        if instance_id and instance_id != self.instance.id:
            self._log.warning("worker_replaced", known=self.instance.label, answered=instance_id)
            self._set_state(WorkerState.UNREACHABLE)
            self._instances.forget_sequences(instance_id)

    def watch(self) -> None:
        """Detect missing heartbeats; never returns."""
        period = self._heartbeat_seconds
        checked_at = self._runtime.monotonic()
        while True:
            gevent.sleep(period)
            now = self._runtime.monotonic()
            if was_suspended(now - checked_at, period):
                # The worker was suspended as well, so its silence does not mean that it is lost.
                self._last_heartbeat_at = now
                if self.state is WorkerState.READY:
                    self.slow_start.begin(StartCause.SUSPENDED, self._slots.stated)
            self.slow_start.end_if_due()
            checked_at = now
            if is_lost(self.state, now - self._last_heartbeat_at, period):
                self._set_state(WorkerState.LOST)

    def _is_superseded(self, instance: WorkerInstance) -> bool:
        """Return whether an instance is older than the current one."""
        if not self.instance.id:
            return False
        if self._instances.has_planned_exit(instance):
            return True
        if self.state not in (WorkerState.READY, WorkerState.DRAINING):
            return False
        if self._instances.is_older(instance, self.instance):
            return True
        current = self.instance
        has_same_id = instance.id == current.id
        started_earlier = has_same_id and instance.started_at_ms < current.started_at_ms
        return started_earlier and not self._is_silent()

    def _is_silent(self) -> bool:
        """Return whether the current instance has missed a heartbeat."""
        silent_seconds = self._runtime.monotonic() - self._last_heartbeat_at
        return silent_seconds > SILENT_HEARTBEATS * self._heartbeat_seconds

    def _adopt_instance(self, instance: WorkerInstance) -> None:
        self._log.info("worker_instance", instance=instance.label, former=self.instance.label)
        self.instance = instance
        self.state = WorkerState.UNKNOWN
        if self.pool is not None:
            self.pool.close_idle()
        self._on_change()

    def _set_state(self, state: WorkerState) -> None:
        if state is self.state:
            return
        self._log.info(
            "worker_state",
            instance=self.instance.label,
            state=state.value,
            former=self.state.value,
        )
        self.state = state
        self._on_change()


def was_suspended(seconds: float, heartbeat_seconds: float) -> bool:
    """Return whether this machine was suspended between two checks of the heartbeats.

    :param seconds: time between the checks, by a clock that also runs during a suspension.
    """
    return seconds > SUSPENSION_HEARTBEATS * heartbeat_seconds


def is_lost(state: WorkerState, silent_seconds: float, heartbeat_seconds: float) -> bool:
    """Return whether a worker's silence means that it is lost.

    Only workers in use are checked: draining and deregistered ones are expected to fall silent.
    """
    in_use = state in (WorkerState.READY, WorkerState.UNREACHABLE)
    return in_use and silent_seconds > MISSED_HEARTBEATS * heartbeat_seconds


def usable_slots(slots: int) -> int:
    """Return the number of a worker's slots that may be used.

    >>> usable_slots(4), usable_slots(14), usable_slots(44)
    (4, 13, 41)
    """
    return slots if slots < SMALL_WORKER_SLOTS else int(slots * USABLE_FRACTION)
