"""Worker queue: start order, refusals and counters."""

import gevent

from cranklane.outcome import Reason
from cranklane.sidecar.admission import slots as module
from cranklane.sidecar.admission.slots import Slots
from cranklane.sidecar.request.streamed_answer import StreamedAnswer
from cranklane_lab.simulation.loop import run_virtual


def run_script(script, limit=1):
    def run(loop):
        slots = Slots(loop.now)
        slots.resize(limit)
        return script(slots)

    return run_virtual(run)


def acquire_and_hold(slots, started, name, priority=0, wait=1.0, hold=0.1):
    reason = slots.acquire(priority, wait, lambda _waiter: None)
    started.append(name if reason is Reason.NONE else reason)
    if reason is Reason.NONE:
        gevent.sleep(hold)
        slots.release(hold)


def start_order(slots, requests):
    started = []
    tasks = []
    for request in requests:
        tasks.append(gevent.spawn(acquire_and_hold, slots, started, *request))
        gevent.sleep(0)
    gevent.joinall(tasks)
    return started


def test_short_wait_limit_starts_before_long_ones():
    def script(slots):
        patient = [(f"patient {n}", 0, 0.9) for n in range(3)]
        return start_order(slots, [*patient, ("hurried", 0, 0.12)])

    assert run_script(script) == ["patient 0", "hurried", "patient 1", "patient 2"]


def test_higher_priority_starts_first():
    def script(slots):
        return start_order(slots, [("a", 0, 1.0), ("least", 2, 1.0), ("most", 0, 1.0)])

    assert run_script(script) == ["a", "most", "least"]


def first_of_high_priority_and_short_wait():
    def script(slots):
        return start_order(slots, [("a", 0, 1.0), ("hurried", 1, 0.3), ("important", 0, 1.0)])[1]

    return run_script(script)


def test_priority_outranks_a_short_wait_limit():
    assert first_of_high_priority_and_short_wait() == "important"


def test_without_priority_a_short_wait_limit_starts_first(monkeypatch):
    original_rank = Slots.rank
    monkeypatch.setattr(
        Slots, "rank", lambda self, _priority, wait, age=0.0: original_rank(self, 0, wait, age)
    )
    assert first_of_high_priority_and_short_wait() == "hurried"


def test_unreachable_start_time_is_refused_immediately():
    def script(slots):
        slots.slot_seconds = 0.5
        started = start_order(slots, [("a", 0, 1.0), ("b", 0, 0.2)])
        return started, slots.running, slots.queued

    assert run_script(script) == ([Reason.QUEUE_FULL, "a"], 0, 0) or run_script(script) == (
        ["a", Reason.QUEUE_FULL],
        0,
        0,
    )


def test_cancelled_wait_leaves_the_queue():
    def script(slots):
        started = []
        waiters = []
        holder = gevent.spawn(acquire_and_hold, slots, started, "holder", 0, 1.0, 0.3)
        gevent.sleep(0)
        waiting = gevent.spawn(lambda: started.append(slots.acquire(0, 1.0, waiters.append)))
        gevent.sleep(0.05)
        waiters[0].refuse(Reason.CANCELLED)
        gevent.joinall([holder, waiting])
        return started, slots.running, slots.queued

    assert run_script(script) == (["holder", Reason.CANCELLED], 0, 0)


def test_added_slots_are_granted_to_waiters():
    def script(slots):
        started = []
        tasks = [
            gevent.spawn(acquire_and_hold, slots, started, name, 0, 1.0, 0.2) for name in "abc"
        ]
        gevent.sleep(0.05)
        slots.resize(3)
        gevent.sleep(0.01)
        running = slots.running
        gevent.joinall(tasks)
        return running, sorted(started)

    assert run_script(script) == (3, ["a", "b", "c"])


def test_cancellation_just_before_a_grant_is_counted_once():
    def script(slots):
        waiters = []
        assert slots.acquire(0, 1.0, waiters.append) is Reason.NONE
        waiting = gevent.spawn(slots.acquire, 0, 1.0, waiters.append)
        gevent.sleep(0.01)
        assert slots.queued == 1
        waiters[0].refuse(Reason.CANCELLED)
        # The slot becomes free before the waiting task resumes.
        slots.release(0.1)
        reason = waiting.get()
        return reason, slots.queued, slots.running

    assert run_script(script) == (Reason.CANCELLED, 0, 0)


def test_timed_out_wait_is_counted_once():
    def script(slots):
        slots.acquire(0, 1.0, lambda _waiter: None)
        slots.slot_seconds = 0.01
        reason = slots.acquire(0, 0.05, lambda _waiter: None)
        slots.release(0.1)
        return reason, slots.queued, slots.running

    assert run_script(script) == (Reason.DEADLINE_TOO_NEAR, 0, 0)


def test_unread_response_releases_its_slot():
    def chunks():
        yield b"piece"

    ended = []
    unread = StreamedAnswer(chunks(), lambda: ended.append("unread"))
    unread.close()
    unread.close()
    assert ended == ["unread"]
    assert list(StreamedAnswer(chunks(), lambda: ended.append("read"))) == [b"piece"]
    assert ended == ["unread", "read"]


ELAPSED_WAIT_SECONDS = 0.4
"""Time that the patient requests have waited, of 0.5 s, when the hurried one arrives."""


def start_order_after_a_long_wait():
    """Return the start order of requests near their wait limit and of a late, hurried one."""

    def script(slots):
        started = []
        tasks = [
            gevent.spawn(
                acquire_and_hold, slots, started, "holder", 0, 1.0, ELAPSED_WAIT_SECONDS + 0.05
            )
        ]
        gevent.sleep(0)
        tasks += [
            gevent.spawn(acquire_and_hold, slots, started, f"patient {n}", 0, 0.5, 0.02)
            for n in range(2)
        ]
        gevent.sleep(ELAPSED_WAIT_SECONDS)
        slots.slot_seconds = 0.02
        tasks.append(gevent.spawn(acquire_and_hold, slots, started, "hurried", 0, 0.15, 0.02))
        gevent.joinall(tasks)
        return started

    return run_script(script)


def test_requests_near_their_wait_limit_do_not_delay_shorter_ones():
    started = ["holder", "hurried", "patient 0", "patient 1"]
    assert start_order_after_a_long_wait() == started


def test_latest_start_order_delays_the_shorter_wait(monkeypatch):
    monkeypatch.setattr(module, "HURRY_WEIGHT", 1.0)
    assert start_order_after_a_long_wait()[1] == "patient 0"


def test_zero_slots_refuse_immediately():
    def script(slots):
        return start_order(slots, [("a", 0, 5.0)])

    assert run_script(script, limit=0) == [Reason.QUEUE_FULL]
