"""Workers that start again under the id that they had, and messages that cannot be read."""

from __future__ import annotations

import json
from types import SimpleNamespace

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from cranklane.records.messages import Heartbeat
from cranklane.sidecar.admission.slots import Slots
from cranklane.sidecar.worker.api import parse_deregistration, parse_heartbeat
from cranklane.sidecar.worker.heartbeat import WorkerHeartbeat, WorkerPhase
from cranklane.sidecar.worker.instances import WorkerInstance
from cranklane.sidecar.worker.registry import WorkerRegistry
from cranklane.sidecar.worker.worker_state import WorkerState
from cranklane_lab.standins.routed_worker import HEARTBEAT_SECONDS
from mesh_support import play

FIRST_START_MS = 1_700_000_000_000
SECOND_START_MS = FIRST_START_MS + 30_000
MARGIN_SECONDS = 0.2


class Log:
    def info(self, *_arguments, **_fields):
        pass

    warning = info


class RegistryTime:
    """A registry of one worker and the clock that it reads."""

    def __init__(self):
        self.now = 0.0
        runtime = SimpleNamespace(monotonic=lambda: self.now, wall=lambda: self.now)
        slots = Slots(lambda: self.now)
        self.registry = WorkerRegistry(
            runtime, "", "s", HEARTBEAT_SECONDS, slots, lambda: None, Log()
        )

    def heartbeat(self, started_at_ms, sequence, phase=WorkerPhase.READY):
        """Deliver a heartbeat; return whether it was taken from the current instance."""
        instance = WorkerInstance("i-1", started_at_ms)
        self.registry.heartbeat(WorkerHeartbeat(instance, "s", 4, phase, sequence))
        return self.registry.instance == instance


def test_a_start_under_the_same_id_is_used_although_its_counts_start_anew():
    time = RegistryTime()
    assert time.heartbeat(FIRST_START_MS, 20)
    assert time.heartbeat(SECOND_START_MS, 1)
    assert time.registry.state is WorkerState.READY


@pytest.mark.parametrize("states_end", [False, True])
def test_a_start_under_the_id_of_a_drained_one_is_used(states_end):
    time = RegistryTime()
    time.heartbeat(FIRST_START_MS, 20)
    time.heartbeat(FIRST_START_MS, 21, WorkerPhase.DRAINING)
    if states_end:
        time.registry.deregister(WorkerInstance("i-1", FIRST_START_MS))
    time.heartbeat(SECOND_START_MS, 1)
    assert time.registry.state is WorkerState.READY


def test_a_late_heartbeat_of_the_earlier_start_is_ignored():
    time = RegistryTime()
    time.heartbeat(FIRST_START_MS, 20)
    time.heartbeat(SECOND_START_MS, 1)
    assert not time.heartbeat(FIRST_START_MS, 21, WorkerPhase.DRAINING)
    assert time.registry.state is WorkerState.READY


def test_a_late_first_heartbeat_of_an_earlier_start_is_ignored():
    time = RegistryTime()
    time.heartbeat(SECOND_START_MS, 1)
    assert not time.heartbeat(FIRST_START_MS, 1)


def test_a_late_end_of_the_earlier_start_does_not_end_the_new_one():
    time = RegistryTime()
    time.heartbeat(FIRST_START_MS, 20)
    time.heartbeat(SECOND_START_MS, 1)
    time.registry.deregister(WorkerInstance("i-1", FIRST_START_MS))
    assert time.registry.state is WorkerState.READY


def test_a_start_whose_clock_stepped_back_is_used_once_the_earlier_one_is_silent():
    time = RegistryTime()
    time.heartbeat(SECOND_START_MS, 20)
    time.now += HEARTBEAT_SECONDS
    assert not time.heartbeat(FIRST_START_MS, 1)
    time.now += HEARTBEAT_SECONDS
    assert time.heartbeat(FIRST_START_MS, 2)


def test_a_start_whose_clock_stepped_back_is_used_at_once_after_an_exit():
    time = RegistryTime()
    time.heartbeat(SECOND_START_MS, 20)
    time.registry.unreachable()
    assert time.heartbeat(FIRST_START_MS, 1)


def test_a_probed_worker_keeps_its_state_when_a_heartbeat_states_its_start():
    time = RegistryTime()
    time.registry.apply_probe(SimpleNamespace(instance="i-1", slots=4))
    assert time.heartbeat(FIRST_START_MS, 9)
    assert time.registry.state is WorkerState.READY


def test_an_end_without_start_time_concerns_the_current_start():
    time = RegistryTime()
    time.heartbeat(FIRST_START_MS, 20)
    time.registry.deregister(WorkerInstance("i-1"))
    assert time.registry.state is WorkerState.GONE
    time.heartbeat(FIRST_START_MS, 21)
    assert time.registry.state is WorkerState.GONE


@pytest.mark.parametrize("drained", [False, True])
def test_a_worker_that_restarts_under_its_id_serves_within_a_heartbeat(drained):
    def script(mesh):
        machine = mesh.machines[2]
        gevent.sleep(20.0)
        if drained:
            machine.worker.drain()
            gevent.sleep(1.0)
        machine.worker.end()
        machine.worker_process.kill()
        # A request finds the port closed, so the worker gets no others until its next heartbeat.
        assert mesh.request(mesh.machines[0], "/other/x").status != 200
        gevent.sleep(1.0)
        mesh.restart_worker(machine, same_id=True)
        gevent.sleep(HEARTBEAT_SECONDS + MARGIN_SECONDS)
        answers = [mesh.request(mesh.machines[0], "/other/x") for _ in range(5)]
        return [answer.status for answer in answers]

    assert play(script) == [200] * 5


def announce(parsed):
    """Pack the record that announces the worker of an accepted heartbeat to control."""
    if isinstance(parsed, Ok):
        heartbeat = parsed.ok_value
        instance = heartbeat.instance.label
        Heartbeat(slots=heartbeat.slots, service=heartbeat.service, instance=instance).pack()


VALID_HEARTBEAT = {
    "service": "s",
    "slots": 4,
    "phase": "ready",
    "sequence": 1,
    "cold_remaining_ms": 0,
    "born": FIRST_START_MS,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda values: st.lists(values, max_size=3) | st.dictionaries(st.text(), values, max_size=3),
    max_leaves=5,
)


@pytest.mark.parametrize(
    "field",
    [
        {"born": 1.5},
        {"born": "1"},
        {"born": True},
        {"born": -1},
        {"born": None},
        {"slots": float("inf")},
        {"slots": float("nan")},
        {"sequence": float("inf")},
        {"phase": "asleep"},
        {"phase": []},
        {"service": None},
    ],
)
def test_a_heartbeat_with_a_spoiled_field_is_refused(field):
    body = json.dumps({**VALID_HEARTBEAT, **field}).encode()
    assert isinstance(parse_heartbeat("i-1", body), Err)


def test_a_heartbeat_with_a_field_not_known_is_accepted():
    body = json.dumps({**VALID_HEARTBEAT, "weather": "fair"}).encode()
    assert isinstance(parse_heartbeat("i-1", body), Ok)


@given(st.sampled_from(sorted(VALID_HEARTBEAT)), JSON)
def test_no_value_of_a_field_raises(name, value):
    body = json.dumps({**VALID_HEARTBEAT, name: value}).encode()
    parse_heartbeat("i-1", body)
    parse_deregistration("i-1", body)


@given(st.sampled_from(sorted(VALID_HEARTBEAT)), JSON)
def test_an_accepted_heartbeat_can_be_announced(name, value):
    body = json.dumps({**VALID_HEARTBEAT, name: value}).encode()
    announce(parse_heartbeat("i-1", body))


@pytest.mark.parametrize(
    "field",
    [{"slots": 2**32}, {"service": "\ud800"}, {"service": "s" * 70_000}, {"born": 10**4000}],
)
def test_a_heartbeat_beyond_the_limits_of_a_record_is_refused(field):
    parsed = parse_heartbeat("i-1", json.dumps({**VALID_HEARTBEAT, **field}).encode())
    announce(parsed)
    assert isinstance(parsed, Err)


@given(st.binary(max_size=200) | JSON.map(lambda value: json.dumps(value).encode()))
def test_no_body_raises(body):
    parse_heartbeat("i-1", body)
    parse_deregistration("i-1", body)


def test_a_deeply_nested_body_is_refused():
    assert isinstance(parse_heartbeat("i-1", b"[" * 100_000), Err)
