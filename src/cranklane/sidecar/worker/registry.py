"""The worker beside this sidecar as its own heartbeats show it: which start, and in which state.

Owns the worker's state and the number of slots that are used, and decides when the worker counts
as leaving, unreachable or lost. A worker that says that it leaves gets nothing from then on: the
sidecar is the only way to it.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple

import gevent

from cranklane.distribution.member_state import MemberState
from cranklane.outcome import Reason
from cranklane.runtime.interface import Address, Runtime, parse_address
from cranklane.sidecar.admission.slots import Slots
from cranklane.sidecar.worker.instances import InstanceHistory
from cranklane.sidecar.worker.pool import WorkerPool
from cranklane.sidecar.worker.probe import ProbedWorker

USABLE_FRACTION = 0.95
"""Fraction of its slots that a worker is given. A choice: some workers get slower when nearly
full."""

SMALL_WORKER_SLOTS = 10
"""A worker with fewer slots is given all of them. A choice: one slot less would cost it
a tenth or more."""

MISSED_HEARTBEATS = 3.5
"""Heartbeats in a row whose absence means that the worker is lost. A choice: three that are lost
or late by chance do not."""

SUSPENSION_HEARTBEATS = 2.0
"""Heartbeats' times between two checks from which this machine is taken to have stood still. A
choice: less than those that make a worker lost, and more than a busy process is late by."""


class WorkerPhase(Enum):
    """What a worker says of itself."""

    READY = "ready"
    DRAINING = "draining"


class WorkerState(Enum):
    """Whether requests may go to the worker."""

    UNKNOWN = "unheard"
    """Nothing was received from it since this process started. The value stands in logs."""
    READY = "ready"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    """It took no connection; its next heartbeat makes it ready again."""
    LOST = "lost"
    """Its heartbeats have stopped."""
    GONE = "gone"
    """It deregistered."""


_MEMBER_STATES = {
    WorkerState.READY: MemberState.LIVE,
    WorkerState.DRAINING: MemberState.DRAINING,
}


class WorkerHeartbeat(NamedTuple):
    """One heartbeat of a worker.

    :ivar slots: requests that it can run at once.
    :ivar sequence: grows with each heartbeat of one start.
    """

    instance: str
    service: str
    slots: int
    phase: WorkerPhase
    sequence: int


class WorkerRegistry:
    """The one worker of a machine.

    :param service: the service this machine belongs to.
    :param heartbeat_seconds: time between a worker's heartbeats.
    :param slots: resized to what the worker can run.
    :param on_change: called when what others should know has changed.
    :ivar address: where it listens; None where this machine has no worker.
    :ivar instance: the worker's newest start; empty while none is known.
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
        self.service = service
        self.instance = ""
        self.state = WorkerState.UNKNOWN

    @property
    def member_state(self) -> MemberState:
        """What other sidecars should know."""
        return _MEMBER_STATES.get(self.state, MemberState.GONE)

    @property
    def slots(self) -> int:
        """Requests that the worker runs at once."""
        return self._slots.limit

    def heartbeat(self, heartbeat: WorkerHeartbeat) -> None:
        """Apply a heartbeat; one that is older than what is known changes nothing."""
        instance = heartbeat.instance
        if not self._instances.advance(instance, heartbeat.sequence):
            return
        if instance != self.instance:
            if self._is_superseded(instance):
                return
            self._take_instance(instance)
        self._last_heartbeat_at = self._runtime.monotonic()
        if self._instances.has_ended(instance):
            return
        self.service = heartbeat.service
        usable = usable_slots(heartbeat.slots)
        if usable != self._slots.limit:
            self._slots.resize(usable)
            self._on_change()
        if heartbeat.phase is WorkerPhase.DRAINING:
            self._mark_leaving(instance, WorkerState.DRAINING)
        else:
            self._set_state(WorkerState.READY)

    def probed(self, worker: ProbedWorker) -> None:
        """Apply what a healthy worker has answered, unless a heartbeat came before."""
        if self.instance:
            return
        self._take_instance(worker.instance)
        self._last_heartbeat_at = self._runtime.monotonic()
        self._slots.resize(usable_slots(worker.slots))
        self._set_state(WorkerState.READY)

    def deregister(self, instance: str) -> None:
        """Record that a start is about to exit."""
        if not self.instance:
            self._take_instance(instance)
        if instance == self.instance:
            self._mark_leaving(instance, WorkerState.GONE)
        else:
            self._instances.end(instance)

    def _mark_leaving(self, instance: str, state: WorkerState) -> None:
        self._instances.end(instance)
        if self.state is WorkerState.GONE:
            return
        self._set_state(state)
        self._slots.refuse_waiting(Reason.DRAINING)

    def unreachable(self) -> None:
        """Record that the worker accepts no connection."""
        if self.state is WorkerState.READY:
            self._set_state(WorkerState.UNREACHABLE)

    def other_instance(self, instance: str) -> None:
        """Record that another start than the known one answers at the address."""
        if instance and instance != self.instance:
            self._log.warning("worker_replaced", known=self.instance, answered=instance)
            self._set_state(WorkerState.UNREACHABLE)
            self._instances.forget_sequence(instance)

    def watch(self) -> None:
        """Notice when heartbeats stop; never returns."""
        period = self._heartbeat_seconds
        checked_at = self._runtime.monotonic()
        while True:
            gevent.sleep(period)
            now = self._runtime.monotonic()
            if was_suspended(now - checked_at, period):
                # The worker stood still as well: its silence says nothing of it.
                self._last_heartbeat_at = now
            checked_at = now
            if is_lost(self.state, now - self._last_heartbeat_at, period):
                self._set_state(WorkerState.LOST)

    def _is_superseded(self, instance: str) -> bool:
        """Return whether an instance other than the current one is an older one."""
        if not self.instance:
            return False
        if self._instances.has_ended(instance):
            return True
        if self.state not in (WorkerState.READY, WorkerState.DRAINING):
            return False
        return self._instances.is_older(instance, self.instance)

    def _take_instance(self, instance: str) -> None:
        self._log.info("worker_instance", instance=instance, former=self.instance)
        self.instance = instance
        self.state = WorkerState.UNKNOWN
        if self.pool is not None:
            self.pool.close_idle()
        self._on_change()

    def _set_state(self, state: WorkerState) -> None:
        if state is self.state:
            return
        self._log.info(
            "worker_state", instance=self.instance, state=state.value, former=self.state.value
        )
        self.state = state
        self._on_change()


def was_suspended(seconds: float, heartbeat_seconds: float) -> bool:
    """Return whether this machine stood still between two checks of the worker's silence.

    :param seconds: between the two checks, by a clock that counts a suspension.
    """
    return seconds > SUSPENSION_HEARTBEATS * heartbeat_seconds


def is_lost(state: WorkerState, silent_seconds: float, heartbeat_seconds: float) -> bool:
    """Return whether a worker's silence means that it is lost.

    Only one that could get requests can be lost: others have said why they are silent.
    """
    in_use = state in (WorkerState.READY, WorkerState.UNREACHABLE)
    return in_use and silent_seconds > MISSED_HEARTBEATS * heartbeat_seconds


def usable_slots(slots: int) -> int:
    """Return how many of a worker's slots are used.

    >>> usable_slots(4), usable_slots(14), usable_slots(44)
    (4, 13, 41)
    """
    return slots if slots < SMALL_WORKER_SLOTS else int(slots * USABLE_FRACTION)
