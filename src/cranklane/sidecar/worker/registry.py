"""What is known of the worker beside this sidecar, from its own heartbeats.

A heartbeat names the worker's start (its instance) and carries a sequence that
grows with each call, so that one that comes late is recognised. What a worker
says of its end binds at once: the sidecar is the only way to it.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import gevent

from cranklane.distribution.member_state import MemberState
from cranklane.outcome import Reason
from cranklane.runtime.interface import Address, Runtime, parse_address
from cranklane.sidecar.admission.slots import Slots
from cranklane.sidecar.worker.pool import WorkerPool
from cranklane.sidecar.worker.probe import ProbedWorker

USABLE_PART = 0.95
"""Part of its slots that a worker is given: some get slower when nearly full."""

SMALL_WORKER_SLOTS = 10
"""A worker with fewer slots is given all of them."""

MISSED_HEARTBEATS = 3.5
"""Heartbeats in a row whose absence means that the worker is lost."""

LATE_LOOK = 2.0
"""Heartbeats' times after which a look at the worker's silence is late: less than those that
make it lost, and more than a busy process is late by."""

REMEMBERED_INSTANCES = 64


class WorkerPhase(Enum):
    """What a worker says of itself."""

    READY = "ready"
    DRAINING = "draining"


class WorkerState(Enum):
    """Whether requests may go to the worker."""

    UNHEARD = "unheard"
    """Nothing was heard since this process started."""
    READY = "ready"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    """It took no connection; its next heartbeat makes it ready again."""
    LOST = "lost"
    """Its heartbeats have stopped."""
    GONE = "gone"
    """It said that it ends."""


_MEMBER_STATES = {
    WorkerState.READY: MemberState.LIVE,
    WorkerState.DRAINING: MemberState.DRAINING,
}


@dataclass(frozen=True)
class WorkerHeartbeat:
    """One heartbeat of a worker."""

    instance: str
    service: str
    slots: int
    phase: WorkerPhase
    sequence: int
    cold_seconds: float = 0.0


class WorkerRegistry:
    """The one worker of a machine.

    :param service: the service this machine belongs to.
    :param heartbeat_seconds: time between a worker's heartbeats.
    :param on_change: called when what others should know has changed.
    :ivar address: where it listens; None where this machine has no worker.
    :ivar instance: the worker's newest start; empty when none was heard.
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
        self._heard_at = 0.0
        self._sequences: OrderedDict[str, int] = OrderedDict()
        self._ended: OrderedDict[str, None] = OrderedDict()
        self.pool = WorkerPool(runtime, self.address) if self.address else None
        self.service = service
        self.instance = ""
        self.state = WorkerState.UNHEARD

    @property
    def member_state(self) -> MemberState:
        """What other sidecars should know."""
        return _MEMBER_STATES.get(self.state, MemberState.GONE)

    @property
    def slots(self) -> int:
        """Requests that the worker runs at once."""
        return self._slots.limit

    def heartbeat(self, heartbeat: WorkerHeartbeat) -> None:
        """Take a heartbeat; one that is older than what is known changes nothing."""
        instance = heartbeat.instance
        if heartbeat.sequence <= self._sequences.get(instance, -1):
            return
        self._remember(self._sequences, instance, heartbeat.sequence)
        if instance != self.instance:
            if self._is_superseded(instance):
                return
            self._take_instance(instance)
        self._heard_at = self._runtime.monotonic()
        if instance in self._ended:
            return
        self.service = heartbeat.service
        usable = _usable(heartbeat.slots)
        if usable != self._slots.limit:
            self._slots.resize(usable)
            self._on_change()
        if heartbeat.phase is WorkerPhase.DRAINING:
            self._end(instance, WorkerState.DRAINING)
        else:
            self._set_state(WorkerState.READY)

    def probed(self, worker: ProbedWorker) -> None:
        """Take what a healthy worker has said; nothing after its first heartbeat."""
        if self.instance:
            return
        self._take_instance(worker.instance)
        self._heard_at = self._runtime.monotonic()
        self._slots.resize(_usable(worker.slots))
        self._set_state(WorkerState.READY)

    def deregister(self, instance: str) -> None:
        """Take that an instance is about to end."""
        if not self.instance:
            self._take_instance(instance)
        if instance == self.instance:
            self._end(instance, WorkerState.GONE)
        else:
            self._remember(self._ended, instance, None)

    def _end(self, instance: str, state: WorkerState) -> None:
        self._remember(self._ended, instance, None)
        if self.state is WorkerState.GONE:
            return
        self._set_state(state)
        self._slots.refuse_waiting(Reason.DRAINING)

    def unreachable(self) -> None:
        """Take that the worker takes no connection."""
        if self.state is WorkerState.READY:
            self._set_state(WorkerState.UNREACHABLE)

    def other_instance(self, instance: str) -> None:
        """Take that another instance than the known one answers at the address."""
        if instance and instance != self.instance:
            self._log.warning("worker_replaced", known=self.instance, answered=instance)
            self._set_state(WorkerState.UNREACHABLE)
            self._sequences.pop(instance, None)

    def watch(self) -> None:
        """Notice when heartbeats stop, for ever."""
        looked_at = self._runtime.monotonic()
        while True:
            gevent.sleep(self._heartbeat_seconds)
            now = self._runtime.monotonic()
            if now - looked_at > LATE_LOOK * self._heartbeat_seconds:
                # This machine stood still, and the worker with it: its silence tells nothing.
                self._heard_at = now
            looked_at = now
            silent = now - self._heard_at
            if silent > MISSED_HEARTBEATS * self._heartbeat_seconds and self.state in (
                WorkerState.READY,
                WorkerState.UNREACHABLE,
            ):
                self._set_state(WorkerState.LOST)

    def _is_superseded(self, instance: str) -> bool:
        """Return whether an instance other than the current one is an older one."""
        if not self.instance:
            return False
        if instance in self._ended:
            return True
        if self.state not in (WorkerState.READY, WorkerState.DRAINING):
            return False
        # Instances stand in the order in which they were first heard.
        for known in self._sequences:
            if known in (instance, self.instance):
                return known == instance
        return False

    def _take_instance(self, instance: str) -> None:
        self._log.info("worker_instance", instance=instance, former=self.instance)
        self.instance = instance
        self.state = WorkerState.UNHEARD
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

    @staticmethod
    def _remember(known: OrderedDict[str, Any], instance: str, value: Any) -> None:
        known[instance] = value
        while len(known) > REMEMBERED_INSTANCES:
            known.popitem(last=False)


def _usable(slots: int) -> int:
    """Return how many of a worker's slots are used.

    >>> _usable(4), _usable(14), _usable(44)
    (4, 13, 41)
    """
    return slots if slots < SMALL_WORKER_SLOTS else int(slots * USABLE_PART)
