"""At-most-once calls: the ledger's state machine, and once-calls in simulated fleets."""

from __future__ import annotations

import gevent

from cranklane.ledger.store import (
    MAX_STORED_BODY_BYTES,
    RETENTION_SECONDS,
    LedgerDecision,
    LedgerStore,
)
from cranklane.node import once
from cranklane.outcome import Outcome
from cranklane.records.messages import (
    LedgerBatch,
    LedgerBegin,
    LedgerDone,
    LedgerEntry,
    LedgerFinish,
)
from cranklane_lab.scenarios.base import Run
from cranklane_lab.scenarios.library import SMALL
from cranklane_lab.simulation.fleet import SimulatedFleet
from cranklane_lab.simulation.process import SimulatedProcess
from cranklane_lab.simulation.world import simulate

RUN, ANSWERED, IN_PROGRESS, UNKNOWN, CONFLICT = LedgerDecision


def begin(attempt, key="k", digest=b"d"):
    return LedgerBegin(attempt, 1000, 4000, digest, "t", "t.s", key)


def finish(attempt, outcome=Outcome.ANSWERED, body=b"paid"):
    return LedgerFinish(attempt, outcome, 200, "t", "t.s", "k", [("A", "b")], body)


def apply(store, when, *requests):
    begins = [request for request in requests if isinstance(request, LedgerBegin)]
    finishes = [request for request in requests if isinstance(request, LedgerFinish)]
    return store.apply(LedgerBatch(when, begins, finishes).pack())


def decision(store, when, request):
    return apply(store, when, request).grants[0].decision


def test_only_the_first_attempt_may_run():
    store = LedgerStore()
    grants = apply(store, 1.0, begin(1), begin(2), begin(3)).grants
    assert [grant.decision for grant in grants] == [RUN, IN_PROGRESS, IN_PROGRESS]


def test_resent_begin_of_the_same_attempt_gets_the_same_grant():
    store = LedgerStore()
    assert [decision(store, 1.0, begin(1)) for _ in range(3)] == [RUN, RUN, RUN]


def test_second_attempt_gets_the_stored_answer():
    store = LedgerStore()
    apply(store, 1.0, begin(1))
    assert apply(store, 2.0, finish(1)).done[0].stored
    grant = apply(store, 3.0, begin(2)).grants[0]
    assert (grant.decision, grant.status, grant.headers, grant.body) == (
        ANSWERED,
        200,
        [("A", "b")],
        b"paid",
    )


def test_unfinished_run_blocks_its_key_until_the_entry_expires():
    store = LedgerStore()
    apply(store, 1.0, begin(1))
    assert decision(store, 5.9, begin(2)) == IN_PROGRESS
    assert decision(store, 6.1, begin(2)) == UNKNOWN
    assert decision(store, RETENTION_SECONDS, begin(2)) == UNKNOWN


def test_entry_expires_after_the_retention_period():
    store = LedgerStore()
    apply(store, 1.0, begin(1))
    assert decision(store, RETENTION_SECONDS + 1.1, begin(2)) == RUN


def test_time_does_not_decrease_under_a_leader_with_a_slow_clock():
    store = LedgerStore()
    apply(store, 100.0, begin(1))
    assert decision(store, 2.0, begin(2)) == IN_PROGRESS
    assert store.now == 100.0


def test_another_request_digest_under_the_same_key_is_a_conflict():
    store = LedgerStore()
    apply(store, 1.0, begin(1))
    assert decision(store, 2.0, begin(2, digest=b"other")) == CONFLICT


def test_not_run_outcome_frees_the_key():
    store = LedgerStore()
    apply(store, 1.0, begin(1))
    apply(store, 2.0, finish(1, Outcome.NOT_RUN))
    assert decision(store, 3.0, begin(2)) == RUN


def test_only_the_running_attempt_may_finish_the_entry_and_only_once():
    store = LedgerStore()
    apply(store, 1.0, begin(1))
    assert not apply(store, 2.0, finish(2, Outcome.NOT_RUN)).done[0].stored
    assert apply(store, 2.0, finish(1)).done[0].stored
    assert not apply(store, 2.0, finish(1, Outcome.NOT_RUN)).done[0].stored
    assert decision(store, 3.0, begin(3)) == ANSWERED


def test_snapshot_restores_the_whole_state():
    store = LedgerStore()
    for number in range(50):
        apply(store, float(number), begin(number, key=f"k{number}"))
    restored = LedgerStore()
    restored.restore(store.pack())
    assert restored.pack() == store.pack()
    assert decision(restored, 50.0, begin(99, key="k7")) == UNKNOWN


class ScriptedLedgerClient:
    """Returns scripted replies to the outcomes sent to the ledger."""

    def __init__(self, *replies):
        self.replies = list(replies)

    def finish(self, _group, _request, _seconds):
        return self.replies.pop(0)


def run_store(outcome, *replies):
    """Store an outcome; return the unused replies and the pending stores during and after it."""

    def scenario(world):
        client = ScriptedLedgerClient(*replies)
        calls = once.OnceCalls(world.process("node", "z"), client)
        task = gevent.spawn(calls.store, "main", finish(1, outcome))
        gevent.sleep(0)
        pending_during_store = calls.pending_stores
        task.join()
        return len(client.replies), pending_during_store, calls.pending_stores

    return simulate(1, SMALL.between_zones, scenario)


def test_outcome_without_an_entry_is_sent_once():
    assert run_store(Outcome.ANSWERED, LedgerDone(False), LedgerDone(True)) == (1, 0, 0)


def test_unacknowledged_outcome_is_resent_and_counts_as_pending():
    assert run_store(Outcome.ANSWERED, None, LedgerDone(True), None) == (1, 1, 0)


def test_not_run_outcome_is_resent_until_its_entry_is_deleted():
    replies = (LedgerDone(False), None, LedgerDone(True), None)
    assert run_store(Outcome.NOT_RUN, *replies) == (1, 1, 0)


# Simulated fleets on a virtual clock.


def play(script, ledgers=3, seed=1):
    def scenario(world):
        fleet = SimulatedFleet(world, SMALL)
        run = Run(world, fleet)
        fleet.on_run = run.recorder.ran
        fleet.start(1, ledgers)
        result = script(run)
        assert not world.loop.task_errors
        return result

    return simulate(seed, SMALL.between_zones, scenario)


def send_sign_call(run, nonce="n", key="key"):
    kind = next(request for request in SMALL.requests if request.name == "sign")
    return run.send(run.fleet.client(f"client-{run.world.events}"), kind, nonce, key)


def count_sign_runs(run):
    return sum(worker_run.service == "signing" for worker_run in run.recorder.runs)


def test_resent_call_is_answered_without_a_second_run():
    def script(run):
        answers = [send_sign_call(run) for _ in range(3)]
        return [answer.good for answer in answers], count_sign_runs(run)

    assert play(script) == ([True, True, True], 1)


def test_another_request_under_the_same_key_is_refused():
    def script(run):
        send_sign_call(run, "one")
        answer = send_sign_call(run, "two")
        return answer.outcome, answer.reason, answer.status, count_sign_runs(run)

    assert play(script) == ("not_run", "key_conflict", 422, 1)


def test_resent_call_is_refused_while_the_first_is_running():
    def script(run):
        for pair in run.fleet.of("signing"):
            pair.worker.state.slow_factor = 50.0
        first = gevent.spawn(send_sign_call, run)
        gevent.sleep(0.3)
        second = send_sign_call(run)
        return second.outcome, second.reason, second.retry_after_ms > 0, first.get().good

    assert play(script) == ("unknown", "in_progress", True, True)


def test_once_call_is_refused_at_once_without_a_ledger_quorum():
    def script(run):
        for process in run.fleet.ledger_processes[1:]:
            process.kill(power_lost=True)
        gevent.sleep(3.0)
        answer = send_sign_call(run)
        return (
            answer.outcome,
            answer.reason,
            answer.retry_after_ms > 0,
            answer.seconds < 1.0,
            count_sign_runs(run),
        )

    assert play(script) == ("not_run", "ledger_unavailable", True, True, 0)


def test_once_call_continues_after_its_caller_is_lost():
    def script(run):
        for pair in run.fleet.of("signing"):
            pair.worker.state.slow_factor = 20.0
        lost = gevent.spawn(send_sign_call, run)
        gevent.sleep(0.15)
        for pair in run.fleet.of("signing"):
            run.world.network.cut("edge", pair.node_process.name)
            run.world.network.cut(pair.node_process.name, "edge")
        first = lost.get()
        run.world.network.heal_all()
        gevent.sleep(5.0)
        return first.outcome, send_sign_call(run).good, count_sign_runs(run)

    assert play(script) == ("unknown", True, 1)


def late_runs(run, pause=SimulatedProcess.freeze):
    """Suspend the nodes when entries exist; return the keys of those that ran after the lease."""
    tasks = [gevent.spawn(send_sign_call, run, f"n{number}", f"k{number}") for number in range(20)]
    while not any(len(ledger.store) for ledger in run.fleet.ledgers):
        gevent.sleep(0.0001)
    suspended_at = run.world.loop.now()
    fullest = max((ledger.store for ledger in run.fleet.ledgers), key=len)
    granted = {LedgerEntry.unpack(packed).key for packed in fullest._entries.values()}
    for pair in run.fleet.of("signing"):
        pause(pair.node_process, once.LEASE_SECONDS + 0.2)
    gevent.joinall(tasks)
    return [
        worker_run.key
        for worker_run in run.recorder.runs
        if worker_run.key in granted and worker_run.at > suspended_at + once.LEASE_SECONDS
    ]


def test_suspended_node_does_not_run_a_call_after_its_lease():
    assert play(late_runs) == []


def test_suspended_node_runs_late_without_the_lease_check(monkeypatch):
    monkeypatch.setattr(once.OnceLease, "may_start", lambda _self: True)
    assert play(late_runs)


def test_call_with_an_answer_too_large_to_store_runs_once(monkeypatch):
    monkeypatch.setattr(once, "MAX_STORED_BODY_BYTES", 10)
    assert MAX_STORED_BODY_BYTES > 10

    def script(run):
        return [send_sign_call(run).outcome for _ in range(2)], count_sign_runs(run)

    outcomes, runs = play(script)
    assert runs == 1
    assert outcomes[0] == "answered"


def test_entries_survive_the_loss_of_any_single_disk():
    def script(run):
        send_sign_call(run)
        for number in range(3):
            process = run.fleet.ledger_processes[number]
            process.kill(power_lost=True)
            process.disk.wipe()
            gevent.sleep(0.5)
            run.fleet.restart_ledger(number)
            gevent.sleep(15.0)
        return send_sign_call(run).good, count_sign_runs(run)

    assert play(script) == (True, 1)
