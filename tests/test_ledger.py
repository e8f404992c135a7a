"""At most once: the entries themselves, and calls of once-routes on the virtual clock."""

from __future__ import annotations

import gevent

from cranklane.ledger.store import (
    MAX_STORED_BODY,
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
    begins = [item for item in requests if isinstance(item, LedgerBegin)]
    finishes = [item for item in requests if isinstance(item, LedgerFinish)]
    return store.apply(LedgerBatch(when, begins, finishes).pack())


def decision(store, when, request):
    return apply(store, when, request).grants[0].decision


def test_only_the_first_attempt_runs():
    store = LedgerStore()
    grants = apply(store, 1.0, begin(1), begin(2), begin(3)).grants
    assert [grant.decision for grant in grants] == [RUN, IN_PROGRESS, IN_PROGRESS]


def test_an_attempt_that_lost_its_grant_may_ask_again():
    store = LedgerStore()
    assert [decision(store, 1.0, begin(1)) for _ in range(3)] == [RUN, RUN, RUN]


def test_a_resend_gets_the_stored_answer():
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


def test_a_run_whose_end_is_not_known_is_never_run_again():
    store = LedgerStore()
    apply(store, 1.0, begin(1))
    assert decision(store, 5.9, begin(2)) == IN_PROGRESS
    assert decision(store, 6.1, begin(2)) == UNKNOWN
    assert decision(store, RETENTION_SECONDS, begin(2)) == UNKNOWN


def test_an_entry_expires_after_the_retention():
    store = LedgerStore()
    apply(store, 1.0, begin(1))
    assert decision(store, RETENTION_SECONDS + 1.1, begin(2)) == RUN


def test_time_never_falls_with_a_leader_whose_clock_is_behind():
    store = LedgerStore()
    apply(store, 100.0, begin(1))
    assert decision(store, 2.0, begin(2)) == IN_PROGRESS
    assert store.now == 100.0


def test_another_body_under_the_key_is_a_conflict():
    store = LedgerStore()
    apply(store, 1.0, begin(1))
    assert decision(store, 2.0, begin(2, digest=b"other")) == CONFLICT


def test_an_attempt_that_has_not_run_frees_the_key():
    store = LedgerStore()
    apply(store, 1.0, begin(1))
    apply(store, 2.0, finish(1, Outcome.NOT_RUN))
    assert decision(store, 3.0, begin(2)) == RUN


def test_only_the_attempt_that_runs_may_end_the_entry_and_only_once():
    store = LedgerStore()
    apply(store, 1.0, begin(1))
    assert not apply(store, 2.0, finish(2, Outcome.NOT_RUN)).done[0].stored
    assert apply(store, 2.0, finish(1)).done[0].stored
    assert not apply(store, 2.0, finish(1, Outcome.NOT_RUN)).done[0].stored
    assert decision(store, 3.0, begin(3)) == ANSWERED


def test_a_snapshot_holds_everything():
    store = LedgerStore()
    for number in range(50):
        apply(store, float(number), begin(number, key=f"k{number}"))
    again = LedgerStore()
    again.restore(store.pack())
    assert again.pack() == store.pack()
    assert decision(again, 50.0, begin(99, key="k7")) == UNKNOWN


class ScriptedClient:
    """Answers the ends of once-calls one after the other."""

    def __init__(self, *words):
        self.words = list(words)

    def finish(self, _group, _request, _seconds):
        return self.words.pop(0)


def ends_left(outcome, *words):
    """Return the words left once an end was stored, and the ends still counted."""

    def scenario(world):
        client = ScriptedClient(*words)
        calls = once.OnceCalls(world.process("node", "z"), client)
        task = gevent.spawn(calls.store, "main", finish(1, outcome))
        gevent.sleep(0)
        while_storing = calls.storing
        task.join()
        return len(client.words), while_storing, calls.storing

    return simulate(1, SMALL.between_zones, scenario)


def test_an_end_that_the_ledger_has_already_is_sent_once():
    assert ends_left(Outcome.ANSWERED, LedgerDone(False), LedgerDone(True)) == (1, 0, 0)


def test_an_end_without_an_answer_is_sent_again_and_counts_as_in_flight():
    assert ends_left(Outcome.ANSWERED, None, LedgerDone(True), None) == (1, 1, 0)


def test_an_entry_to_be_freed_is_asked_for_until_it_was_there():
    words = (LedgerDone(False), None, LedgerDone(True), None)
    assert ends_left(Outcome.NOT_RUN, *words) == (1, 1, 0)


# On the virtual clock.


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


def sign(run, nonce="n", key="key"):
    kind = next(item for item in SMALL.requests if item.name == "sign")
    return run.send(run.fleet.client(f"client-{run.world.events}"), kind, nonce, key)


def signed(run):
    return sum(item.service == "signing" for item in run.recorder.runs)


def test_a_resend_is_answered_without_a_second_run():
    def script(run):
        told = [sign(run) for _ in range(3)]
        return [item.good for item in told], signed(run)

    assert play(script) == ([True, True, True], 1)


def test_another_request_under_the_same_key_is_refused_clearly():
    def script(run):
        sign(run, "one")
        told = sign(run, "two")
        return told.outcome, told.reason, told.status, signed(run)

    assert play(script) == ("not_run", "key_conflict", 422, 1)


def test_a_resend_beside_the_running_call_hears_that_it_is_in_progress():
    def script(run):
        for pair in run.fleet.of("signing"):
            pair.worker.state.slow_factor = 50.0
        first = gevent.spawn(sign, run)
        gevent.sleep(0.3)
        second = sign(run)
        return second.outcome, second.reason, second.retry_after_ms > 0, first.get().good

    assert play(script) == ("unknown", "in_progress", True, True)


def test_without_a_quorum_it_is_refused_at_once_and_not_run():
    def script(run):
        for process in run.fleet.ledger_processes[1:]:
            process.kill(power_lost=True)
        gevent.sleep(3.0)
        told = sign(run)
        return told.outcome, told.reason, told.retry_after_ms > 0, told.seconds < 1.0, signed(run)

    assert play(script) == ("not_run", "ledger_unavailable", True, True, 0)


def test_a_call_goes_on_when_its_caller_is_lost_and_a_resend_gets_its_answer():
    def script(run):
        for pair in run.fleet.of("signing"):
            pair.worker.state.slow_factor = 20.0
        lost = gevent.spawn(sign, run)
        gevent.sleep(0.15)
        for pair in run.fleet.of("signing"):
            run.world.network.cut("edge", pair.node_process.name)
            run.world.network.cut(pair.node_process.name, "edge")
        first = lost.get()
        run.world.network.heal_all()
        gevent.sleep(5.0)
        return first.outcome, sign(run).good, signed(run)

    assert play(script) == ("unknown", True, 1)


def late_runs(run, stop=SimulatedProcess.freeze):
    """Stop the nodes once entries are made; return which of those ran after the lease."""
    tasks = [gevent.spawn(sign, run, f"n{number}", f"k{number}") for number in range(20)]
    while not any(len(ledger.store) for ledger in run.fleet.ledgers):
        gevent.sleep(0.0001)
    at = run.world.loop.now()
    fullest = max((ledger.store for ledger in run.fleet.ledgers), key=len)
    granted = {LedgerEntry.unpack(packed).key for packed in fullest._entries.values()}
    for pair in run.fleet.of("signing"):
        stop(pair.node_process, once.LEASE_SECONDS + 0.2)
    gevent.joinall(tasks)
    return [
        item.key
        for item in run.recorder.runs
        if item.key in granted and item.at > at + once.LEASE_SECONDS
    ]


def test_a_frozen_node_does_not_run_after_its_lease():
    assert play(late_runs) == []


def test_without_the_lease_a_frozen_node_would_run_late(monkeypatch):
    monkeypatch.setattr(once.OnceTicket, "may_start", lambda _self: True)
    assert play(late_runs)


def test_an_answer_too_large_to_store_is_not_run_again_either(monkeypatch):
    monkeypatch.setattr(once, "MAX_STORED_BODY", 10)
    assert MAX_STORED_BODY > 10

    def script(run):
        return [sign(run).outcome for _ in range(2)], signed(run)

    outcomes, runs = play(script)
    assert runs == 1
    assert outcomes[0] == "answered"


def test_entries_survive_the_loss_of_any_one_disk():
    def script(run):
        sign(run)
        for number in range(3):
            process = run.fleet.ledger_processes[number]
            process.kill(power_lost=True)
            process.disk.wipe()
            gevent.sleep(0.5)
            run.fleet.restart_ledger(number)
            gevent.sleep(15.0)
        return sign(run).good, signed(run)

    assert play(script) == (True, 1)
