"""Ablation tests of the quarantine: disabling a mechanism must break the guarantee it provides.

Also covers the retention of absent sidecars in the directory.
"""

from __future__ import annotations

import gevent
import pytest

from cranklane.records.messages import Member, MemberDelta
from cranklane.sidecar.admission import crash_evidence, isolated_runs
from cranklane.sidecar.admission.isolated_runs import SuspectAdmission
from cranklane.sidecar.quarantine import rules
from cranklane.sidecar.quarantine.anti_entropy import AntiEntropy
from cranklane.sidecar.quarantine.gossip import QuarantineGossip
from cranklane.sidecar.quarantine.sidecar_directory import (
    ABSENT_RETENTION_SECONDS,
    SidecarDirectory,
)
from cranklane.sidecar.quarantine.table import Quarantine
from cranklane_lab.simulation.crashes import CrashingRequests
from mesh_support import play
from test_crashing_requests import FLEET, UnrelatedCallers, has_quarantined, send_repeatedly


def count_crashes(mesh):
    crashing = CrashingRequests(mesh)
    send_repeatedly(mesh)
    return len(crashing.crashes)


def test_with_all_mechanisms_a_request_crashes_three_workers():
    assert play(count_crashes, **FLEET) == 3


def test_without_updates_it_crashes_more(monkeypatch):
    monkeypatch.setattr(QuarantineGossip, "_send", lambda *_: None)
    monkeypatch.setattr(AntiEntropy, "_sync_with_peers", lambda _self: True)
    assert play(count_crashes, **FLEET) > 3


def test_without_quarantine_it_crashes_more(monkeypatch):
    monkeypatch.setattr(rules, "quarantine_seconds", lambda _ends: 0.0)
    monkeypatch.setattr(rules, "PROBATION_RUN_SECONDS", 0.0)
    assert play(count_crashes, **FLEET) > 3


def max_crashes_of_concurrent_requests(mesh):
    """Send four crashing requests concurrently to the same machines.

    :returns: the largest number of workers crashed by one of them.
    """
    crashing = CrashingRequests(mesh)
    tasks = [gevent.spawn(send_repeatedly, mesh, f"/read/crash/{n}", 12, 0.9) for n in range(4)]
    gevent.joinall(tasks)
    return max(len(crashing.crashes_caused_by(b"/crash/%d" % n)) for n in range(4))


LARGE_FLEET = {"services": ("s",) * 12 + ("t",) * 2, "slots": 16}


def test_with_isolation_each_of_several_crashes_at_most_three():
    assert play(max_crashes_of_concurrent_requests, **LARGE_FLEET) <= 3


def test_without_isolation_several_crash_more(monkeypatch):
    def admit(self, request, _on_wait):
        if self._quarantine.is_empty:
            return SuspectAdmission()
        identity = isolated_runs.identity_of_request(request)
        level = self._quarantine.suspicion_level(identity)
        return self._admission_without_isolation(identity) or SuspectAdmission(
            suspicion_level=level
        )

    monkeypatch.setattr(isolated_runs.IsolatedRuns, "admit", admit)
    assert play(max_crashes_of_concurrent_requests, **LARGE_FLEET) > 3


def popular_request_quarantined(mesh):
    """Crash pairs of workers in quick succession while all callers send the same request.

    :returns: whether any sidecar quarantined the request.
    """
    for machine in mesh.machines:
        machine.worker.state.seconds = 0.16
    crashing = CrashingRequests(mesh)
    callers = UnrelatedCallers(mesh, "/read/popular")
    gevent.sleep(1.0)
    was_quarantined = False
    for first in range(0, 4, 2):
        crashing.end(mesh.machines[first])
        gevent.sleep(0.02)
        crashing.end(mesh.machines[first + 1])
        for _ in range(100):
            was_quarantined |= any(has_quarantined(machine) for machine in mesh.machines)
            gevent.sleep(0.005)
        gevent.sleep(3.0)
    callers.join_and_count_failures()
    return was_quarantined


SEEDS = (1, 2, 3, 4)


def quarantines_popular_request(seed):
    return play(popular_request_quarantined, seed=seed, **FLEET)


def test_popular_request_is_not_quarantined_after_quick_crashes():
    assert not any(map(quarantines_popular_request, SEEDS))


def test_highest_level_of_copies_would_quarantine_a_popular_request(monkeypatch):
    original_worker_crashed = Quarantine.worker_crashed

    def worker_crashed(self, service, crash, runs):
        for identity in [identity for identity, level in runs.items() if level]:
            self.suspect(service, identity)
        original_worker_crashed(self, service, crash, runs)

    monkeypatch.setattr(crash_evidence, "_suspicion_level_of", lambda run: -run.suspicion_level)
    monkeypatch.setattr(Quarantine, "retried", Quarantine.suspect)
    monkeypatch.setattr(Quarantine, "worker_crashed", worker_crashed)
    assert any(map(quarantines_popular_request, SEEDS))


# Retention of absent sidecars.


@pytest.fixture
def directory():
    clock = [100.0]
    new_directory = SidecarDirectory(lambda: clock[0], "own")
    new_directory.now = clock
    return new_directory


def member(node, service="s", state=0):
    return Member(state=state, node=node, service=service, address="10.0.0.1:1")


def node_names(directory, service=""):
    return [peer.node for peer in directory.list_peers(service)]


def test_sidecar_with_worker_down_is_retained_temporarily(directory):
    directory.apply(MemberDelta(True, [member("b"), member("a"), member("c", "t"), member("own")]))
    assert node_names(directory) == ["a", "b", "c"]
    assert node_names(directory, "s") == ["a", "b"]
    directory.apply(MemberDelta(False, [member("a", state=2)]))
    assert node_names(directory, "s") == ["a", "b"]
    directory.now[0] += ABSENT_RETENTION_SECONDS + 1
    directory.apply(MemberDelta(False, []))
    assert node_names(directory, "s") == ["b"]


def test_sidecar_missing_from_a_complete_list_is_retained_temporarily(directory):
    directory.apply(MemberDelta(True, [member("a"), member("b")]))
    directory.apply(MemberDelta(True, [member("a")]))
    assert node_names(directory) == ["a", "b"]
    directory.now[0] += ABSENT_RETENTION_SECONDS + 1
    directory.apply(MemberDelta(False, []))
    assert node_names(directory) == ["a"]
