"""Each mechanism against requests that end workers, switched off: its promise then breaks."""

from __future__ import annotations

import gevent
import pytest

from cranklane.records.messages import Member, MemberDelta
from cranklane.sidecar.admission import crash_evidence, isolated_runs
from cranklane.sidecar.admission.isolated_runs import SuspectAdmission
from cranklane.sidecar.quarantine import rules
from cranklane.sidecar.quarantine.anti_entropy import AntiEntropy
from cranklane.sidecar.quarantine.gossip import QuarantineGossip
from cranklane.sidecar.quarantine.sidecar_directory import KEPT_SECONDS, SidecarDirectory
from cranklane.sidecar.quarantine.table import Quarantine
from cranklane_lab.simulation.crashes import CrashingRequests
from mesh_support import play
from test_crashing_requests import FLEET, Innocents, has_quarantined, repeat


def ends_of_one(mesh):
    crashing = CrashingRequests(mesh)
    repeat(mesh)
    return len(crashing.crashes)


def test_with_all_mechanisms_a_request_ends_three_workers():
    assert play(ends_of_one, **FLEET) == 3


def test_without_news_of_others_it_ends_more(monkeypatch):
    monkeypatch.setattr(QuarantineGossip, "_send", lambda *_: None)
    monkeypatch.setattr(AntiEntropy, "_learn", lambda _self: True)
    assert play(ends_of_one, **FLEET) > 3


def test_without_holds_it_ends_more(monkeypatch):
    monkeypatch.setattr(rules, "quarantine_seconds", lambda _ends: 0.0)
    monkeypatch.setattr(rules, "PROBATION_RUN_SECONDS", 0.0)
    assert play(ends_of_one, **FLEET) > 3


def ends_beside_others(mesh):
    """Send two requests that end workers at the same machines and moments."""
    crashing = CrashingRequests(mesh)
    tasks = [gevent.spawn(repeat, mesh, f"/read/crash/{n}", 12, 0.9) for n in range(4)]
    gevent.joinall(tasks)
    return max(len(crashing.crashes_caused_by(b"/crash/%d" % n)) for n in range(4))


MANY = {"services": ("s",) * 12 + ("t",) * 2, "slots": 16}


def test_with_isolated_runs_each_of_several_ends_three_at_most():
    assert play(ends_beside_others, **MANY) <= 3


def test_without_isolated_runs_they_hide_each_other(monkeypatch):
    def admit(self, request, _on_wait):
        if self._quarantine.is_empty:
            return SuspectAdmission()
        identity = isolated_runs.identity_of_request(request)
        level = self._quarantine.suspicion_level(identity)
        return self._without_slot(identity) or SuspectAdmission(suspicion_level=level)

    monkeypatch.setattr(isolated_runs.IsolatedRuns, "admit", admit)
    assert play(ends_beside_others, **MANY) > 3


def popular_quarantined(mesh):
    """End two workers shortly after each other while all callers send the same request."""
    for machine in mesh.machines:
        machine.worker.state.seconds = 0.16
    crashing = CrashingRequests(mesh)
    innocents = Innocents(mesh, "/read/popular")
    gevent.sleep(1.0)
    were_held = False
    for first in range(0, 4, 2):
        crashing.end(mesh.machines[first])
        gevent.sleep(0.02)
        crashing.end(mesh.machines[first + 1])
        for _ in range(100):
            were_held |= any(has_quarantined(machine) for machine in mesh.machines)
            gevent.sleep(0.005)
        gevent.sleep(3.0)
    innocents.failed()
    return were_held


def test_a_popular_request_is_not_held_for_ends_shortly_after_each_other():
    assert not play(popular_quarantined, **FLEET)


def test_by_its_most_suspected_copy_it_would_be_held(monkeypatch):
    judge = Quarantine.worker_crashed

    def worker_crashed(self, service, end, runs):
        for identity in [identity for identity, level in runs.items() if level]:
            self.suspect(service, identity)
        judge(self, service, end, runs)

    monkeypatch.setattr(crash_evidence, "_suspicion_level_of", lambda run: -run.suspicion_level)
    monkeypatch.setattr(Quarantine, "retried", Quarantine.suspect)
    monkeypatch.setattr(Quarantine, "worker_crashed", worker_crashed)
    assert play(popular_quarantined, **FLEET)


# Where the others are.


@pytest.fixture
def directory():
    clock = [100.0]
    made = SidecarDirectory(lambda: clock[0], "own")
    made.now = clock
    return made


def member(node, service="s", state=0):
    return Member(state=state, node=node, service=service, address="10.0.0.1:1")


def names(directory, service=""):
    return [other.node for other in directory.of(service)]


def test_a_sidecar_whose_worker_is_down_is_told_for_a_while(directory):
    directory.apply(MemberDelta(True, [member("b"), member("a"), member("c", "t"), member("own")]))
    assert names(directory) == ["a", "b", "c"]
    assert names(directory, "s") == ["a", "b"]
    directory.apply(MemberDelta(False, [member("a", state=2)]))
    assert names(directory, "s") == ["a", "b"]
    directory.now[0] += KEPT_SECONDS + 1
    directory.apply(MemberDelta(False, []))
    assert names(directory, "s") == ["b"]


def test_a_sidecar_that_a_whole_list_leaves_out_is_told_for_a_while(directory):
    directory.apply(MemberDelta(True, [member("a"), member("b")]))
    directory.apply(MemberDelta(True, [member("a")]))
    assert names(directory) == ["a", "b"]
    directory.now[0] += KEPT_SECONDS + 1
    directory.apply(MemberDelta(False, []))
    assert names(directory) == ["a"]
