"""Tracks the instance, state and slots of the local worker.

Decides from heartbeats and connection errors whether the worker is ready, draining, unreachable
or lost. A departed worker gets no further requests, since all of them pass through this sidecar.
docs/design/departures.md lists the outcome of each message in each state.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import gevent
from gevent.event import Event

from cranklane.common.units import MILLISECONDS
from cranklane.distribution.member_state import MemberState
from cranklane.outcome import Reason
from cranklane.runtime.interface import Address, Runtime, parse_address
from cranklane.sidecar.admission.slots import Slots
from cranklane.sidecar.capacity.slow_start import SlowStart, SlowStartChange, StartCause
from cranklane.sidecar.worker.heartbeat import WorkerHeartbeat, WorkerPhase
from cranklane.sidecar.worker.heartbeat_order import CurrentWorker, HeartbeatOrder, Ignored
from cranklane.sidecar.worker.instances import (
    NO_INSTANCE,
    UNKNOWN_START,
    InstanceHistory,
    WorkerInstance,
)
from cranklane.sidecar.worker.pool import WorkerPool
from cranklane.sidecar.worker.probe import ProbedWorker
from cranklane.sidecar.worker.start_causes import StartCauses
from cranklane.sidecar.worker.worker_state import (
    PLANNED_EXIT_STATES,
    WorkerState,
    is_lost,
    member_state,
    usable_slots,
    was_suspended,
)


class WorkerRegistry:
    """State of the local worker.

    :param service: service of this machine, until a heartbeat states the worker's.
    :param heartbeat_seconds: interval of the worker's heartbeats.
    :param slots: resized to the worker's usable slots.
    :param on_change: called when the state to announce to other processes has changed.
    :ivar address: address of the worker; None if this machine has none.
    :param on_departure: called with the instance for each statement of a departure.
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
        on_departure: Callable[[WorkerInstance], None] = lambda _instance: None,
    ) -> None:
        self._runtime = runtime
        self.address: Address | None = parse_address(address) if address else None
        self._heartbeat_seconds = heartbeat_seconds
        self._slots = slots
        self._on_change = on_change
        self._log = log
        self._last_heartbeat_at = 0.0
        self._instances = InstanceHistory()
        self._order = HeartbeatOrder(self._instances, heartbeat_seconds)
        self.pool = WorkerPool(runtime, self.address) if self.address else None
        self.slow_start = SlowStart(runtime.monotonic, slots.set_window, on_slow_start)
        slots.widen = self.slow_start.widen
        self._start_causes = StartCauses(runtime.wall)
        self._on_departure = on_departure
        self._departures_known = Event()
        self._departures_known.set()
        self._deferred_heartbeat: WorkerHeartbeat | None = None
        self.service = service
        self.instance = NO_INSTANCE
        self.state = WorkerState.UNKNOWN

    @property
    def member_state(self) -> MemberState:
        """State to announce to control and other sidecars."""
        return member_state(self.state)

    @property
    def slots(self) -> int:
        """Usable slots of the worker."""
        return self._slots.stated

    def may_send(self) -> bool:
        """Return whether an admitted request may still be sent: the worker has not departed."""
        return self.state not in PLANNED_EXIT_STATES

    def await_departures(self) -> None:
        """Do not use the worker before the departures are learned, or the wait for them ends."""
        self._departures_known.clear()

    def wait_until_departures_known(self) -> None:
        """Wait until the worker may be used as far as departures are concerned."""
        self._departures_known.wait()

    def departures_learned(self, labels: Iterable[str]) -> None:
        """Apply the departures that control has stored for this machine's worker.

        :param labels: the departed instances.
        """
        for instance in map(WorkerInstance.from_label, labels):
            is_current = instance.id == self.instance.id and self.instance.started_at_ms in (
                instance.started_at_ms,
                UNKNOWN_START,
            )
            if is_current and self.state not in PLANNED_EXIT_STATES:
                self._begin_planned_exit(WorkerState.GONE, "control")
            elif not self._instances.has_planned_exit(instance):
                self._log.info("worker_departure", instance=instance.label, stated_by="control")
            self._instances.record_planned_exit(instance)
        self._use_worker("control")

    def end_wait_for_departures(self) -> None:
        """Use the worker by what it states itself, if control has not stated the departures."""
        self._use_worker("timeout")

    def _use_worker(self, learned_from: str) -> None:
        """Use the worker from now on; apply the heartbeat that arrived meanwhile."""
        if self._departures_known.is_set():
            return
        self._departures_known.set()
        self._log.info("departures_known", learned_from=learned_from)
        heartbeat, self._deferred_heartbeat = self._deferred_heartbeat, None
        if heartbeat is not None:
            self.heartbeat(heartbeat)

    def heartbeat(self, heartbeat: WorkerHeartbeat) -> None:
        """Apply a heartbeat; late ones and those of superseded instances are ignored.

        A departure is never ignored: it is final for its instance, in whatever order it arrives.
        """
        instance = self._resolve(heartbeat.instance)
        former, former_state = self.instance, self.state
        self._complete_instance(instance)
        if heartbeat.phase is WorkerPhase.DRAINING:
            self._depart(instance, WorkerState.DRAINING, "heartbeat")
        elif not self._departures_known.is_set():
            self._deferred_heartbeat = heartbeat
            return
        now = self._runtime.monotonic()
        current = CurrentWorker(self.instance, self.state, now - self._last_heartbeat_at)
        ignored = self._order.reason_to_ignore(instance, heartbeat.sequence, current, now)
        self._instances.advance(instance, heartbeat.sequence)
        if ignored is not None:
            if heartbeat.phase is WorkerPhase.READY:
                self._log_ignored(heartbeat, ignored)
            return
        if instance != self.instance:
            self._adopt_instance(instance, "heartbeat")
        self._last_heartbeat_at = now
        self.service = heartbeat.service
        usable = usable_slots(heartbeat.slots)
        cause = self._start_causes.cause(instance, heartbeat.cold_ms, former, former_state)
        if cause is not None:
            self.slow_start.begin(cause, usable, heartbeat.cold_ms)
        if usable != self._slots.stated:
            self.slow_start.resize(usable)
            self._slots.resize(usable)
            self._on_change()
        self._set_state(WorkerState.READY)

    def apply_probe(self, worker: ProbedWorker) -> bool:
        """Apply the result of a probe; return False if it does not make the worker ready.

        A probe does not state the start time, so an id of which a start has departed is left to its
        next heartbeat.
        """
        instance = WorkerInstance(worker.instance)
        if self.instance.id or not self._departures_known.is_set():
            return False
        if self._instances.has_planned_exit(instance):
            self._log.info("probe_ignored", instance=instance.label, reason=Ignored.DEPARTED.value)
            return False
        self._adopt_instance(instance, "probe")
        self._last_heartbeat_at = self._runtime.monotonic()
        self._slots.resize(usable_slots(worker.slots))
        self._set_state(WorkerState.READY)
        return True

    def deregister(self, stated: WorkerInstance) -> None:
        """Record that an instance is about to exit."""
        instance = self._resolve(stated)
        self._complete_instance(instance)
        self._depart(instance, WorkerState.GONE, "deregistration")

    def leaving(self, instance: WorkerInstance) -> None:
        """Record that an answer of an instance states that it is about to exit."""
        current = instance.may_be(self.instance)
        self._depart(self.instance if current else instance, WorkerState.DRAINING, "answer")

    def _depart(self, instance: WorkerInstance, state: WorkerState, stated_by: str) -> None:
        """Record the departure of an instance, and stop sending it requests.

        Another id than the current one does not replace it: the departure may be late, and the
        worker rejects requests for another id.
        """
        if not self.instance.id or self._is_later_start(instance):
            self._adopt_instance(instance, stated_by)
        is_known = self._instances.has_planned_exit(instance)
        self._record_departure(instance)
        if instance == self.instance:
            self._begin_planned_exit(state, stated_by)
        elif not is_known:
            self._log.info("worker_departure", instance=instance.label, stated_by=stated_by)

    def _record_departure(self, instance: WorkerInstance) -> None:
        self._instances.record_planned_exit(instance, int(self._runtime.wall() * MILLISECONDS))
        self._on_departure(instance)

    def _is_later_start(self, instance: WorkerInstance) -> bool:
        """Return whether an instance is a later start under the id of the current one."""
        current = self.instance
        return instance.id == current.id and instance.started_at_ms > current.started_at_ms

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
        if not lacks_start_time or instance.started_at_ms == UNKNOWN_START:
            return
        if self.state in PLANNED_EXIT_STATES and not self._instances.has_planned_exit(instance):
            # A later start than the one that has departed.
            return
        self.instance = instance
        if self.state in PLANNED_EXIT_STATES:
            self._record_departure(instance)
        self._on_change()

    def _begin_planned_exit(self, state: WorkerState, stated_by: str) -> None:
        """Refuse requests for the current instance from now on."""
        if self.state in (state, WorkerState.GONE):
            return
        self._log.info(
            "worker_departure",
            instance=self.instance.label,
            stated_by=stated_by,
            former=self.state.value,
        )
        self._set_state(state)
        self._slots.refuse_waiting(Reason.DRAINING)

    def _log_ignored(self, heartbeat: WorkerHeartbeat, reason: Ignored) -> None:
        """Log a heartbeat that changes nothing."""
        self._log.info(
            "heartbeat_ignored",
            instance=heartbeat.instance.label,
            sequence=heartbeat.sequence,
            reason=reason.value,
            current=self.instance.label,
            state=self.state.value,
        )

    def unreachable(self) -> None:
        """Record that the worker accepted no connection."""
        if self.state is WorkerState.READY:
            self._set_state(WorkerState.UNREACHABLE)

    def note_unexpected_instance(self, instance_id: str) -> None:
        """Record that an instance of another id than the known one's answered."""
        if instance_id and instance_id != self.instance.id:
            self._log.warning("worker_replaced", known=self.instance.label, answered=instance_id)
            if self.state not in PLANNED_EXIT_STATES:
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

    def _adopt_instance(self, instance: WorkerInstance, stated_by: str) -> None:
        self._log.info(
            "worker_instance",
            instance=instance.label,
            former=self.instance.label,
            stated_by=stated_by,
        )
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
