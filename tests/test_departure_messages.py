"""Any sequence of messages and restarts: a departed start stays unused, a new one is used at once.

Guards against each order in which an older message about the worker overrides a newer one.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from types import SimpleNamespace

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cranklane.sidecar.admission.slots import Slots
from cranklane.sidecar.worker.heartbeat import WorkerHeartbeat, WorkerPhase
from cranklane.sidecar.worker.instances import WorkerInstance
from cranklane.sidecar.worker.probe import ProbedWorker
from cranklane.sidecar.worker.registry import WorkerRegistry
from cranklane.sidecar.worker.worker_state import WorkerState, is_lost

HEARTBEAT_SECONDS = 1.5
MAX_HELD_UP = 3
"""Heartbeats of one start that are on their way at once: they are some seconds late."""


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
    held_up: list[WorkerHeartbeat] = field(default_factory=list)

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
        self.control_is_reachable = True
        self.restart_sidecar(True)

    def wall_ms(self):
        return int(self.now * 1000)

    # Events on the machine.

    @rule(answers=st.booleans())
    def restart_sidecar(self, answers):
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
        if answers:
            self.control_answers()

    @precondition(lambda self: not self.knows)
    @rule()
    def control_answers(self):
        self.registry.departures_learned(list(self.stored))
        self.knows = True

    @precondition(lambda self: self.running is None)
    @rule(keeps_id=st.booleans())
    def start_worker(self, keeps_id):
        self.now += 0.01
        name = "a" if keeps_id or not self.starts else f"b{len(self.starts)}"
        self.running = WorkerStart(WorkerInstance(name, self.wall_ms()))
        self.starts.append(self.running)
        self.registry.heartbeat(self.running.heartbeat())
        self.heard_at = self.now
        if self.knows:
            assert self.registry.state is WorkerState.READY
            assert self.registry.instance == self.running.instance

    @precondition(lambda self: self.running is not None)
    @rule()
    def worker_ends(self):
        self.running = None

    @rule(seconds=st.sampled_from([0.1, 1.5, 6.0]))
    def time_passes(self, seconds):
        self.now += seconds
        if is_lost(self.registry.state, self.now - self.heard_at, HEARTBEAT_SECONDS):
            self.registry._set_state(WorkerState.LOST)

    # Messages of the running start.

    @precondition(lambda self: self.running is not None)
    @rule()
    def heartbeat_in_time(self):
        phase = WorkerPhase.DRAINING if self.running.acknowledged else WorkerPhase.READY
        self.registry.heartbeat(self.running.heartbeat(phase))
        self.heard_at = self.now

    @precondition(lambda self: self.running and len(self.running.held_up) < MAX_HELD_UP)
    @rule(is_delivered=st.booleans())
    def heartbeat_held_up(self, is_delivered):
        if self.running.acknowledged:
            return
        heartbeat = self.running.heartbeat()
        self.running.held_up.append(heartbeat)
        if is_delivered:
            self.registry.heartbeat(heartbeat)
            self.heard_at = self.now

    @precondition(lambda self: self.running is not None)
    @rule()
    def drain(self):
        self.registry.heartbeat(self.running.heartbeat(WorkerPhase.DRAINING))
        self.running.acknowledged = True

    @precondition(lambda self: self.running is not None)
    @rule()
    def deregister(self):
        self.registry.deregister(self.running.instance)
        self.running.acknowledged = True

    @precondition(lambda self: self.running and self.knows_running())
    @rule()
    def deregister_without_start_time(self):
        self.registry.deregister(WorkerInstance(self.running.instance.id))
        self.running.acknowledged = True

    @precondition(lambda self: self.running and self.knows_running())
    @rule()
    def answer_states_departure(self):
        self.registry.leaving(self.registry.instance)
        self.running.acknowledged = True

    def knows_running(self):
        known = self.registry.instance
        return known.id and known.may_be(self.running.instance)

    # Messages of any start, late, and what the sidecar finds by itself.

    @rule(data=st.data())
    def late_heartbeat(self, data):
        held_up = [(start, beat) for start in self.starts for beat in start.held_up]
        if not held_up:
            return
        start, heartbeat = data.draw(st.sampled_from(held_up))
        if data.draw(st.booleans()):
            start.held_up.remove(heartbeat)
        self.registry.heartbeat(heartbeat)

    @precondition(lambda self: any(start.acknowledged for start in self.starts))
    @rule(data=st.data())
    def late_deregistration(self, data):
        departed = [start for start in self.starts if start.acknowledged]
        self.registry.deregister(data.draw(st.sampled_from(departed)).instance)

    @precondition(lambda self: self.running is not None)
    @rule(health_is_wrong=st.booleans())
    def probe(self, health_is_wrong):
        if self.running.acknowledged is health_is_wrong:
            self.registry.apply_probe(ProbedWorker(self.running.instance.id, 4))
            self.heard_at = self.now

    @precondition(lambda self: self.running is not None)
    @rule()
    def misdirected_request(self):
        if self.registry.state is WorkerState.READY:
            self.registry.note_unexpected_instance(self.running.instance.id)

    @precondition(lambda self: self.running is None)
    @rule()
    def refused_connection(self):
        self.registry.unreachable()

    @invariant()
    def a_departed_start_gets_no_requests(self):
        if self.running is None or not self.running.acknowledged:
            return
        accepts = self.registry.instance.id == self.running.instance.id
        assert not (self.registry.state is WorkerState.READY and accepts)


TestWorkerMessages = WorkerMessages.TestCase
TestWorkerMessages.settings = settings(max_examples=300, stateful_step_count=25, deadline=None)
