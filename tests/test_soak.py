"""The checks of the soak test and the reproducibility of its faults."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

import pytest

from cranklane_lab.fleet.processes import start
from cranklane_lab.soak.checks import Observations
from cranklane_lab.soak.faults import RESTORE_POLL_SECONDS, FaultInjector
from cranklane_lab.soak.loads import chunked, upload_body
from cranklane_lab.soak.proxy import ProxyMode
from cranklane_lab.soak.site import CONTROLLERS, SERVICES, Crash
from cranklane_lab.standins.raw_http import RawAnswer
from cranklane_lab.standins.routed_answers import NAMES
from cranklane_lab.standins.routed_worker_state import LateBody, RoutedRun


def workers_that_ran(*requests):
    runs = [SimpleNamespace(request=request) for request in requests]
    return [SimpleNamespace(state=SimpleNamespace(runs=runs))]


def answer(status, body=b""):
    return RawAnswer(status, {}, body)


def test_correct_responses_and_runs_are_no_violation():
    observations = Observations()
    observations.record_answer("a", False, answer(200, b"ran a"))
    observations.record_answer("b", False, answer(503))
    observations.record_answer("c", False, answer(502))
    observations.record_answer("d", True, answer(503))
    observations.record_answer("e", False, None)
    observations.record_read(3, 3)
    observations.check_runs(workers_that_ran("a", "c", "d", "d", "e"))
    assert observations.violations == []


@pytest.mark.parametrize(
    ("violate", "message"),
    [
        (
            lambda observations: observations.record_answer("a", True, answer(200, b"ran b")),
            "another request's answer",
        ),
        (lambda observations: observations.record_read(4, 3), "returned version 3 after 4"),
        (
            lambda observations: observations.record_answer("a", True, answer(401)),
            "although its key is in every table",
        ),
    ],
)
def test_a_wrong_response_or_a_stale_read_is_a_violation(violate, message):
    observations = Observations()
    violate(observations)
    assert [message in line for line in observations.violations] == [True]


@pytest.mark.parametrize(
    ("status", "ran", "message"),
    [(502, ("a", "a"), "ran 2 times"), (503, ("a",), "was refused as not run")],
)
def test_a_second_run_or_a_run_after_a_refusal_is_a_violation(status, ran, message):
    observations = Observations()
    observations.record_answer("a", False, answer(status))
    observations.check_runs(workers_that_ran(*ran))
    assert [message in line for line in observations.violations] == [True]


WHOLE_UPLOAD = upload_body("up-1", 70_000)


def record_upload(body=WHOLE_UPLOAD, **headers):
    """Record a run of the upload up-1 of the tenant large; return the violations."""
    observations = Observations()
    sent = {NAMES.tenant: b"large", **{getattr(NAMES, name): headers[name] for name in headers}}
    run = RoutedRun("up-1", b"POST", b"/up/70000", list(sent.items()), body, 0.0)
    observations.record_run("large", run)
    return observations.violations


def test_a_run_for_its_tenant_with_a_whole_body_is_no_violation():
    assert record_upload() == []
    assert b"".join(chunked(b"x" * 30_001)).endswith(b"\r\n1\r\nx\r\n0\r\n\r\n")


@pytest.mark.parametrize(
    "violations",
    [
        record_upload(upload_body("up-1", 69_999)),
        record_upload(upload_body("up-2", 70_000)),
        record_upload(tenant=b"small"),
        record_upload(key=b"key-of-large"),
    ],
    ids=["truncated", "of another request", "of another tenant", "with its key"],
)
def test_an_upload_that_runs_changed_or_for_another_tenant_is_a_violation(violations):
    assert len(violations) == 1


def workers_that_ran_at(target, *times):
    runs = [SimpleNamespace(request="c", target=target, at=at) for at in times]
    return [SimpleNamespace(state=SimpleNamespace(runs=runs))]


@pytest.mark.parametrize(("runs_after", "violations"), [(3, 0), (4, 1)])
def test_a_quarantined_request_may_run_at_most_three_more_times(runs_after, violations):
    observations = Observations()
    crashes = [Crash(float(at), b"/read/crash") for at in (1, 2, 3)]
    times = [1, 2, 3, 5.9, *(6.1 + n for n in range(runs_after))]
    observations.check_quarantine(crashes, workers_that_ran_at(b"/read/crash", *times))
    assert len(observations.violations) == violations


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
        self.machines = len(SERVICES)
        self.sidecars = {n: StandInProcess(self.log, f"sidecar-{n}") for n in range(len(SERVICES))}
        self.controllers = {n: StandInProcess(self.log, f"c-{n}") for n in range(CONTROLLERS)}
        self.proxies = {
            name: SimpleNamespace(set_mode=self.log.append, delay_seconds=0.0)
            for name in [f"sidecar-{n}" for n in self.sidecars]
            + [f"controller-{n}" for n in self.controllers]
        }

    def controllers_restored(self):
        return True

    def start_sidecar(self, number):
        self.log.append(f"start sidecar-{number}")

    def change_settings(self, number):
        self.log.append(f"settings sidecar-{number}")

    def start_controller(self, number, empty=False):
        self.log.append(f"start c-{number} {empty}")


def inject_faults(seed, monkeypatch):
    monkeypatch.setattr("cranklane_lab.soak.faults.gevent.sleep", lambda _seconds: None)
    site = StandInSite()
    descriptions = []
    injector = FaultInjector(site, Random(seed), descriptions.append)
    polls = iter(range(120))
    injector.inject_sidecar_faults(lambda: next(polls) >= 40)
    injector.inject_controller_faults(lambda: next(polls) >= 100)
    return descriptions, site.log


def test_a_seed_determines_the_faults_and_every_kind_occurs(monkeypatch):
    descriptions, log = inject_faults(7, monkeypatch)
    assert (descriptions, log) == inject_faults(7, monkeypatch)
    assert descriptions != inject_faults(8, monkeypatch)[0]
    kinds = {description.split()[0] for description in descriptions}
    assert kinds == {"kill", "pause", "stop", "link", "empty", "restart", "reload"}


def test_a_controller_gets_no_fault_before_the_group_is_restored(monkeypatch):
    slept = []
    monkeypatch.setattr("cranklane_lab.soak.faults.gevent.sleep", slept.append)
    site = StandInSite()
    states = iter([False, False, True])
    site.controllers_restored = lambda: next(states)
    injector = FaultInjector(site, Random(1), lambda _text: None)
    polls = iter([False, False, False, True])
    injector.inject_controller_faults(lambda: next(polls))
    assert slept[-2:] == [RESTORE_POLL_SECONDS] * 2


def test_every_fault_is_reverted(monkeypatch):
    _, log = inject_faults(3, monkeypatch)
    paused = sum(isinstance(entry, str) and entry.startswith("freeze") for entry in log)
    resumed = sum(isinstance(entry, str) and entry.startswith("thaw") for entry in log)
    modes = [entry for entry in log if isinstance(entry, ProxyMode)]
    assert paused == resumed > 0
    assert modes[1::2] == [ProxyMode.PASS] * (len(modes) // 2)
    killed = sum(isinstance(entry, str) and entry.startswith("kill") for entry in log)
    started = sum(isinstance(entry, str) and entry.startswith("start") for entry in log)
    assert started >= killed > 0


@pytest.mark.parametrize(
    ("target", "data", "malformed", "violations"),
    [
        (b"/up/70000", WHOLE_UPLOAD[:30_000], False, 0),
        (b"/sign/x", b"x" * 500, False, 0),
        (b"/up/70000", WHOLE_UPLOAD[:30_000] + b"POST /sign/x", False, 1),
        (b"/up/70000", WHOLE_UPLOAD[:30_000], True, 1),
    ],
    ids=["ends early", "whole", "another request", "no chunk"],
)
def test_other_bytes_in_the_rest_of_a_body_are_a_violation(target, data, malformed, violations):
    observations = Observations()
    observations.record_late_body(LateBody("up-1", target, data, malformed))
    assert len(observations.violations) == violations


def test_an_unexpected_exit_of_a_process_is_a_violation(tmp_path):
    sleep = ["-n1", "-r1", "import time; time.sleep(60)"]
    processes = [
        start("killed", "timeit", sleep, tmp_path),
        start("crashed", "this", [], tmp_path),
    ]
    processes[0].kill()
    processes[1].process.wait()
    processes[1].kill()
    observations = Observations()
    observations.check_processes([process for process in processes if process.exited_unexpectedly])
    assert observations.violations == ["crashed exited unexpectedly with status 0"]
