"""What the soak takes for a broken promise, and that its faults follow its seed."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

import pytest

from cranklane_lab.soak.checks import Observations
from cranklane_lab.soak.faults import Faults
from cranklane_lab.soak.proxy import ProxyMode
from cranklane_lab.soak.site import CONTROLLERS, SERVICES, Crash
from cranklane_lab.standins.raw_http import RawAnswer


def workers(*requests):
    runs = [SimpleNamespace(request=request) for request in requests]
    return [SimpleNamespace(state=SimpleNamespace(runs=runs))]


def answer(status, body=b""):
    return RawAnswer(status, {}, body)


def test_what_is_right_breaks_nothing():
    seen = Observations()
    seen.answered("a", False, answer(200, b"ran a"))
    seen.answered("b", False, answer(503))
    seen.answered("c", False, answer(502))
    seen.answered("d", True, answer(503))
    seen.answered("e", False, None)
    seen.read(3, 3)
    seen.check_runs(workers("a", "c", "d", "d", "e"))
    assert seen.broken == []


@pytest.mark.parametrize(
    ("spoil", "told"),
    [
        (lambda seen: seen.answered("a", True, answer(200, b"ran b")), "another's answer"),
        (lambda seen: seen.read(4, 3), "gave version 3 after 4"),
    ],
)
def test_a_wrong_answer_or_an_old_read_is_a_broken_promise(spoil, told):
    seen = Observations()
    spoil(seen)
    assert [told in line for line in seen.broken] == [True]


@pytest.mark.parametrize(
    ("status", "ran", "told"),
    [(502, ("a", "a"), "ran 2 times"), (503, ("a",), "was told that it had not run")],
)
def test_what_ran_twice_or_was_denied_is_a_broken_promise(status, ran, told):
    seen = Observations()
    seen.answered("a", False, answer(status))
    seen.check_runs(workers(*ran))
    assert [told in line for line in seen.broken] == [True]


def runs_of(target, *moments):
    runs = [SimpleNamespace(request="c", target=target, at=at) for at in moments]
    return [SimpleNamespace(state=SimpleNamespace(runs=runs))]


@pytest.mark.parametrize(("runs_after", "broken"), [(3, 0), (4, 1)])
def test_a_request_that_ends_workers_may_run_thrice_more_once_it_is_known(runs_after, broken):
    seen = Observations()
    crashes = [Crash(float(at), b"/read/crash") for at in (1, 2, 3)]
    moments = [1, 2, 3, 5.9, *(6.1 + n for n in range(runs_after))]
    seen.check_crashes(crashes, runs_of(b"/read/crash", *moments))
    assert len(seen.broken) == broken


class StandInProcess:
    alive = False

    def __init__(self, log, name):
        self._log = log
        self._name = name

    def __getattr__(self, call):
        return lambda: self._log.append(f"{call} {self._name}")


class StandInSite:
    def __init__(self):
        self.log = []
        self.sidecars = {n: StandInProcess(self.log, f"sidecar-{n}") for n in range(len(SERVICES))}
        self.controllers = {n: StandInProcess(self.log, f"c-{n}") for n in range(CONTROLLERS)}
        self.proxies = {
            name: SimpleNamespace(set=self.log.append, delay_seconds=0.0)
            for name in [f"sidecar-{n}" for n in self.sidecars]
            + [f"controller-{n}" for n in self.controllers]
        }

    def start_sidecar(self, number):
        self.log.append(f"start sidecar-{number}")

    def start_controller(self, number, empty=False):
        self.log.append(f"start c-{number} {empty}")


def strike(seed, monkeypatch):
    monkeypatch.setattr("cranklane_lab.soak.faults.gevent.sleep", lambda _seconds: None)
    site = StandInSite()
    notes = []
    faults = Faults(site, Random(seed), notes.append)
    left = iter(range(120))
    faults.strike_sidecars(lambda: next(left) >= 40)
    faults.strike_controllers(lambda: next(left) >= 100)
    return notes, site.log


def test_a_seed_fixes_the_faults_and_every_kind_comes(monkeypatch):
    notes, log = strike(7, monkeypatch)
    assert (notes, log) == strike(7, monkeypatch)
    assert notes != strike(8, monkeypatch)[0]
    kinds = {note.split()[0] for note in notes}
    assert kinds == {"kill", "pause", "stop", "link", "empty"}


def test_every_fault_is_taken_back(monkeypatch):
    _, log = strike(3, monkeypatch)
    stopped = sum(isinstance(entry, str) and entry.startswith("freeze") for entry in log)
    resumed = sum(isinstance(entry, str) and entry.startswith("thaw") for entry in log)
    spoiled = [entry for entry in log if isinstance(entry, ProxyMode)]
    assert stopped == resumed > 0
    assert spoiled[1::2] == [ProxyMode.PASS] * (len(spoiled) // 2)
    killed = sum(isinstance(entry, str) and entry.startswith("kill") for entry in log)
    started = sum(isinstance(entry, str) and entry.startswith("start") for entry in log)
    assert started >= killed > 0
