"""The queue before a worker: who goes first, who is refused, what is counted."""

import gevent

from cranklane.outcome import Reason
from cranklane.sidecar.admission import slots as module
from cranklane.sidecar.admission.slots import Slots
from cranklane.sidecar.admission.streamed_answer import StreamedAnswer
from cranklane_lab.simulation.loop import run_virtual


def play(script, limit=1):
    def run(loop):
        slots = Slots(loop.now)
        slots.resize(limit)
        return script(slots)

    return run_virtual(run)


def ask(slots, order, name, priority=0, wait=1.0, hold=0.1):
    reason = slots.acquire(priority, wait, lambda _waiter: None)
    order.append(name if reason is Reason.NONE else reason)
    if reason is Reason.NONE:
        gevent.sleep(hold)
        slots.release(hold)


def order_of(slots, requests):
    order = []
    tasks = []
    for request in requests:
        tasks.append(gevent.spawn(ask, slots, order, *request))
        gevent.sleep(0)
    gevent.joinall(tasks)
    return order


def test_a_request_in_a_hurry_goes_before_many_that_can_wait():
    def script(slots):
        patient = [(f"patient {n}", 0, 0.9) for n in range(3)]
        return order_of(slots, [*patient, ("hurried", 0, 0.12)])

    assert play(script) == ["patient 0", "hurried", "patient 1", "patient 2"]


def test_the_more_important_goes_first():
    def script(slots):
        return order_of(slots, [("a", 0, 1.0), ("least", 2, 1.0), ("most", 0, 1.0)])

    assert play(script) == ["a", "most", "least"]


def first_of_an_important_and_a_hurried_one():
    def script(slots):
        return order_of(slots, [("a", 0, 1.0), ("hurried", 1, 0.3), ("important", 0, 1.0)])[1]

    return play(script)


def test_the_more_important_goes_first_however_little_another_may_wait():
    assert first_of_an_important_and_a_hurried_one() == "important"


def test_by_patience_alone_a_less_important_one_in_a_hurry_would_go_first(monkeypatch):
    ranked = Slots.rank
    monkeypatch.setattr(
        Slots, "rank", lambda self, _priority, wait, age=0.0: ranked(self, 0, wait, age)
    )
    assert first_of_an_important_and_a_hurried_one() == "hurried"


def test_what_cannot_start_in_time_is_refused_at_once():
    def script(slots):
        slots.slot_seconds = 0.5
        order = order_of(slots, [("a", 0, 1.0), ("b", 0, 0.2)])
        return order, slots.running, slots.queued

    assert play(script) == ([Reason.QUEUE_FULL, "a"], 0, 0) or play(script) == (
        ["a", Reason.QUEUE_FULL],
        0,
        0,
    )


def test_a_wait_that_is_ended_frees_its_place():
    def script(slots):
        order = []
        waiters = []
        holder = gevent.spawn(ask, slots, order, "holder", 0, 1.0, 0.3)
        gevent.sleep(0)
        waiting = gevent.spawn(lambda: order.append(slots.acquire(0, 1.0, waiters.append)))
        gevent.sleep(0.05)
        waiters[0].refuse(Reason.CANCELLED)
        gevent.joinall([holder, waiting])
        return order, slots.running, slots.queued

    assert play(script) == (["holder", Reason.CANCELLED], 0, 0)


def test_more_slots_start_those_that_wait():
    def script(slots):
        order = []
        tasks = [gevent.spawn(ask, slots, order, name, 0, 1.0, 0.2) for name in "abc"]
        gevent.sleep(0.05)
        slots.resize(3)
        gevent.sleep(0.01)
        running = slots.running
        gevent.joinall(tasks)
        return running, sorted(order)

    assert play(script) == (3, ["a", "b", "c"])


def test_a_wait_ended_just_before_its_slot_is_granted_counts_once():
    def script(slots):
        waiters = []
        assert slots.acquire(0, 1.0, waiters.append) is Reason.NONE
        waiting = gevent.spawn(slots.acquire, 0, 1.0, waiters.append)
        gevent.sleep(0.01)
        assert slots.queued == 1
        waiters[0].refuse(Reason.CANCELLED)
        # The slot is free before the task that waited has run again.
        slots.release(0.1)
        reason = waiting.get()
        return reason, slots.queued, slots.running

    assert play(script) == (Reason.CANCELLED, 0, 0)


def test_a_wait_that_times_out_counts_once():
    def script(slots):
        slots.acquire(0, 1.0, lambda _waiter: None)
        slots.slot_seconds = 0.01
        reason = slots.acquire(0, 0.05, lambda _waiter: None)
        slots.release(0.1)
        return reason, slots.queued, slots.running

    assert play(script) == (Reason.DEADLINE_TOO_NEAR, 0, 0)


def test_an_answer_that_nobody_reads_gives_its_slot_back():
    def pieces():
        yield b"piece"

    ended = []
    unread = StreamedAnswer(pieces(), lambda: ended.append("unread"))
    unread.close()
    unread.close()
    assert ended == ["unread"]
    assert list(StreamedAnswer(pieces(), lambda: ended.append("read"))) == [b"piece"]
    assert ended == ["unread", "read"]


LONG_WAITED = 0.4
"""Seconds that the patient have waited of their 0.5 when one in a hurry comes."""


def started_after_a_long_wait():
    """Return in which order those start that wait longest and one in a hurry that comes late."""

    def script(slots):
        order = []
        tasks = [gevent.spawn(ask, slots, order, "holder", 0, 1.0, LONG_WAITED + 0.05)]
        gevent.sleep(0)
        tasks += [gevent.spawn(ask, slots, order, f"patient {n}", 0, 0.5, 0.02) for n in range(2)]
        gevent.sleep(LONG_WAITED)
        slots.slot_seconds = 0.02
        tasks.append(gevent.spawn(ask, slots, order, "hurried", 0, 0.15, 0.02))
        gevent.joinall(tasks)
        return order

    return play(script)


def test_those_about_to_be_refused_do_not_hold_up_one_that_can_wait_less():
    order = ["holder", "hurried", "patient 0", "patient 1"]
    assert started_after_a_long_wait() == order


def test_by_latest_start_alone_they_would(monkeypatch):
    monkeypatch.setattr(module, "HURRY_WEIGHT", 1.0)
    assert started_after_a_long_wait()[1] == "patient 0"


def test_a_worker_without_slots_refuses_at_once():
    def script(slots):
        return order_of(slots, [("a", 0, 5.0)])

    assert play(script, limit=0) == [Reason.QUEUE_FULL]
