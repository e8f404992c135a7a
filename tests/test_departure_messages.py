"""Any sequence of messages and restarts: a departed start stays unused, a new one is used at once.

Guards against each order in which an older message about the worker overrides a newer one.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from types import SimpleNamespace

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cranklane.sidecar.admission.slots import Slots
from cranklane.sidecar.worker.heartbeat import WorkerHeartbeat, WorkerPhase
from cranklane.sidecar.worker.instances import WorkerInstance
from cranklane.sidecar.worker.probe import ProbedWorker
from cranklane.sidecar.worker.registry import WorkerRegistry
from cranklane.sidecar.worker.worker_state import WorkerState, is_lost

HEARTBEAT_SECONDS = 1.5
MAX_DELAYED = 3
"""Heartbeats of one start that are on their way at once: they are some seconds late."""


MESSAGES = (
    "heartbeat_in_time",
    "heartbeat_delayed",
    "heartbeat_sent_twice",
    "drain",
    "deregister",
    "deregister_without_start_time",
    "answer_states_departure",
    "probe_by_health",
    "probe_by_wrong_health",
    "misdirected_request",
)


class Log:
    def info(self, *_arguments, **_fields):
        pass

    warning = info


@dataclass
class WorkerStart:
    """One start of the worker's process, and its messages that are on their way."""

    instance: WorkerInstance
    sequence: int = 0
    acknowledged: bool = False
    drains: bool = False
    delayed: list[WorkerHeartbeat] = field(default_factory=list)

    def heartbeat(self, phase=WorkerPhase.READY):
        self.sequence += 1
        return WorkerHeartbeat(self.instance, "s", 4, phase, self.sequence)


class WorkerMessages(RuleBasedStateMachine):
    """A machine whose worker and sidecar start again and again; control keeps the departures."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.stored = []
        self.starts = []
        self.running = None
        self.restart_sidecar(True)

    def wall_ms(self):
        return int(self.now * 1000)

    # Few rules with many variants each: a failure needs several kinds of events in one example.

    @rule(event=st.sampled_from(["restart", "restart without control", "control answers"]))
    def sidecar_event(self, event):
        if event == "control answers":
            self.control_answers()
        else:
            self.restart_sidecar(event == "restart")

    @rule(event=st.sampled_from(["start", "start under the id", "start under the id", "end"]))
    def worker_event(self, event):
        if event == "end":
            self.hold_up_last_heartbeat()
            self.running = None
        else:
            self.start_worker(event != "start")

    @precondition(lambda self: self.running is not None)
    @rule(message=st.sampled_from(MESSAGES))
    def message(self, message):
        getattr(self, message)()

    @rule(data=st.data())
    def late_heartbeat(self, data):
        delayed = [(start, beat) for start in self.starts for beat in start.delayed]
        if not delayed:
            return
        start, heartbeat = data.draw(st.sampled_from(delayed))
        if data.draw(st.booleans()):
            start.delayed.remove(heartbeat)
        self.registry.heartbeat(heartbeat)

    @rule(event=st.sampled_from([0.1, 1.5, 6.0, "refused connection", "late deregistration"]))
    def other_event(self, event):
        if event == "refused connection":
            if self.running is None:
                self.registry.unreachable()
        elif event == "late deregistration":
            for start in self.starts:
                if start.acknowledged:
                    self.registry.deregister(start.instance)
        else:
            self.now += event
            if is_lost(self.registry.state, self.now - self.heard_at, HEARTBEAT_SECONDS):
                self.registry._set_state(WorkerState.LOST)

    # The machine.

    def restart_sidecar(self, control_answers):
        runtime = SimpleNamespace(monotonic=lambda: self.now, wall=lambda: self.now)
        self.registry = WorkerRegistry(
            runtime,
            "",
            "s",
            HEARTBEAT_SECONDS,
            Slots(lambda: self.now),
            lambda: None,
            Log(),
            on_departure=lambda instance: self.stored.append(instance.label),
        )
        self.registry.await_departures()
        self.knows = False
        self.heard_at = self.now
        if control_answers:
            self.control_answers()

    def control_answers(self):
        self.registry.departures_learned(list(self.stored))
        self.knows = True

    def start_worker(self, keeps_id):
        """Start the worker; the last heartbeat of the start that ends by this may arrive later."""
        self.hold_up_last_heartbeat()
        self.now += 0.01
        name = "a" if keeps_id or not self.starts else f"b{len(self.starts)}"
        self.running = WorkerStart(WorkerInstance(name, self.wall_ms()))
        self.starts.append(self.running)
        self.heartbeat_in_time()
        if self.knows:
            assert self.registry.state is WorkerState.READY
            assert self.registry.instance == self.running.instance

    def hold_up_last_heartbeat(self):
        if self.running and not self.running.acknowledged:
            self.heartbeat_delayed()

    # Messages of the running start.

    def heartbeat_in_time(self):
        phase = WorkerPhase.DRAINING if self.running.drains else WorkerPhase.READY
        self.registry.heartbeat(self.running.heartbeat(phase))
        self.heard_at = self.now

    def heartbeat_delayed(self):
        if not self.running.acknowledged and len(self.running.delayed) < MAX_DELAYED:
            self.running.delayed.append(self.running.heartbeat())

    def heartbeat_sent_twice(self):
        self.heartbeat_delayed()
        if self.running.delayed:
            self.registry.heartbeat(self.running.delayed[-1])
            self.heard_at = self.now

    def drain(self):
        self.running.drains = True
        self.running.acknowledged = True
        self.heartbeat_in_time()

    def deregister(self):
        self.running.acknowledged = True
        self.registry.deregister(self.running.instance)

    def deregister_without_start_time(self):
        if self.knows_running():
            self.running.acknowledged = True
            self.registry.deregister(WorkerInstance(self.running.instance.id))

    def answer_states_departure(self):
        if self.knows_running():
            self.running.acknowledged = True
            self.registry.leaving(self.registry.instance)

    def knows_running(self):
        known = self.registry.instance
        return known.id and known.may_be(self.running.instance)

    def probe_by_health(self):
        if not self.running.acknowledged:
            self.probe_by_wrong_health()

    def probe_by_wrong_health(self):
        self.registry.apply_probe(ProbedWorker(self.running.instance.id, 4))
        self.heard_at = self.now

    def misdirected_request(self):
        if self.registry.state is not WorkerState.UNKNOWN:
            self.registry.note_unexpected_instance(self.running.instance.id)

    @invariant()
    def a_departed_start_gets_no_requests(self):
        if self.running is None or not self.running.acknowledged:
            return
        accepts = self.registry.instance.id == self.running.instance.id
        assert not (self.registry.state is WorkerState.READY and accepts)


TestWorkerMessages = WorkerMessages.TestCase
TestWorkerMessages.settings = settings(
    max_examples=600, stateful_step_count=30, deadline=None, derandomize=True
)


def deliver_late(machine):
    """Deliver the heartbeat of the first start that is still on its way."""
    machine.registry.heartbeat(machine.starts[0].delayed[0])


def two_starts_under_one_id(machine):
    machine.worker_event("start under the id")
    machine.worker_event("start under the id")


def depart_and_restart(machine):
    two_starts_under_one_id(machine)
    machine.deregister()
    machine.sidecar_event("restart")
    deliver_late(machine)


def depart_after_a_late_start_was_used(machine):
    two_starts_under_one_id(machine)
    machine.other_event(6.0)
    deliver_late(machine)
    machine.deregister()


def misdirected_after_departure(machine):
    two_starts_under_one_id(machine)
    machine.deregister()
    machine.registry.note_unexpected_instance("another")
    assert machine.registry.state is WorkerState.GONE
    deliver_late(machine)


def depart_as_found_by_a_probe(machine):
    machine.worker_event("start")
    machine.sidecar_event("restart")
    machine.probe_by_health()
    machine.answer_states_departure()
    machine.heartbeat_in_time()


def restart_after_a_probe_was_completed(machine):
    machine.worker_event("start")
    machine.sidecar_event("restart")
    machine.probe_by_health()
    machine.answer_states_departure()
    machine.heartbeat_in_time()
    machine.sidecar_event("restart")
    machine.heartbeat_in_time()


def late_draining_heartbeat(machine):
    machine.worker_event("start")
    draining = machine.running.heartbeat(WorkerPhase.DRAINING)
    machine.heartbeat_in_time()
    machine.registry.heartbeat(draining)
    machine.running.acknowledged = True


@pytest.mark.parametrize(
    "events",
    [
        depart_and_restart,
        depart_after_a_late_start_was_used,
        misdirected_after_departure,
        depart_as_found_by_a_probe,
        restart_after_a_probe_was_completed,
        late_draining_heartbeat,
    ],
)
def test_a_departed_start_stays_unused(events):
    machine = WorkerMessages()
    events(machine)
    assert machine.running.acknowledged
    machine.a_departed_start_gets_no_requests()
    machine.worker_event("start under the id")


def test_a_late_draining_heartbeat_of_another_id_does_not_end_the_use_of_the_worker():
    machine = WorkerMessages()
    machine.worker_event("start")
    draining = machine.running.heartbeat(WorkerPhase.DRAINING)
    machine.worker_event("start")
    machine.sidecar_event("restart")
    machine.heartbeat_in_time()
    machine.registry.heartbeat(draining)
    assert machine.registry.state is WorkerState.READY
