"""Limits and departures that a worker states in the headers of its answers."""

from __future__ import annotations

import math

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Ok

from cranklane.common.header_names import HeaderNames
from cranklane.common.http1.header_block import HeaderBlock
from cranklane.common.http1.message import AnswerHead, Framing
from cranklane.sidecar.worker.answer_notice import (
    AnswerNotice,
    AnswerNoticeReader,
    parse_rate_limit,
)
from cranklane.sidecar.worker.instances import WorkerInstance
from cranklane.sidecar.worker.stated_limit import StatedLimit
from mesh_support import play

NAMES = HeaderNames()
FIRST = WorkerInstance("i-1", 1000)
AGAIN = WorkerInstance("i-1", 2000)
LIMITED = AnswerNotice(4.0)
SILENT = AnswerNotice()
UNREADABLE = AnswerNotice(problem="expected a number")


def read(*headers):
    head = AnswerHead(200, HeaderBlock.of([(b"X", b"y"), *headers]), Framing.NONE, 0, True)
    return AnswerNoticeReader(NAMES).read(head)


@pytest.mark.parametrize(
    ("texts", "limit"),
    [
        ([b"4"], 4.0),
        ([b"0"], 0.0),
        ([b"0.0"], 0.0),
        ([b"0.3"], 0.3),
        ([b" 3.9 "], 3.9),
        ([b"7", b"5"], 5.0),
        ([b"7, 5"], 5.0),
        ([b"999999999999"], 999999999999.0),
    ],
)
def test_a_decimal_number_is_a_limit_and_the_lowest_of_several_counts(texts, limit):
    headers = [(NAMES.rate_limit.lower(), text) for text in texts]
    assert read(*headers) == AnswerNotice(limit)


@pytest.mark.parametrize(
    "text", [b"", b"-1", b"+1", b"nan", b"inf", b"1e3", b".5", b"5.", b"4,", b"x", b"9" * 400]
)
def test_other_texts_are_no_limit_but_a_problem(text):
    notice = read((NAMES.rate_limit, text))
    assert notice.rate_limit is None
    assert "expected a decimal number" in notice.problem


@given(st.binary(max_size=50))
def test_any_bytes_are_a_finite_limit_or_a_problem(text):
    parsed = parse_rate_limit(text)
    if isinstance(parsed, Ok):
        assert math.isfinite(parsed.ok_value)
        assert parsed.ok_value >= 0


@pytest.mark.parametrize(("text", "leaving"), [(b"1", True), (b" 1 ", True), (b"0", False)])
def test_a_leaving_worker_states_one(text, leaving):
    assert read((NAMES.leaving, text)).leaving is leaving


def test_both_notices_of_an_answer_are_read():
    both = read((NAMES.rate_limit, b"x"), (NAMES.leaving, b"1"))
    assert (both.leaving, bool(both.problem)) == (True, True)


class LimitTime:
    """The stated limit of a worker, its changes and the clock that it reads."""

    def __init__(self):
        self.now = 10.0
        self.changes = []
        self.limit = StatedLimit(lambda: self.now, self.changes.append)
        self.limit.follow(FIRST)

    def answered(self, notice, started_at, instance=FIRST):
        """Apply an answer; return the limit after it."""
        self.limit.answered(instance, started_at, notice)
        return self.limit.rate


def test_an_answer_to_an_earlier_request_does_not_end_a_limit():
    time = LimitTime()
    time.answered(LIMITED, 9.0)
    assert time.answered(SILENT, 9.9) == 4.0
    assert time.answered(SILENT, 10.0) is None
    assert [change.rate for change in time.changes] == [4.0, None]


def test_a_limit_that_cannot_be_read_leaves_the_former_one():
    time = LimitTime()
    assert time.answered(UNREADABLE, 10.0) is None
    time.answered(LIMITED, 10.0)
    time.now = 11.0
    assert time.answered(UNREADABLE, 10.5) == 4.0


def test_the_newest_answer_sets_the_limit():
    time = LimitTime()
    time.answered(LIMITED, 9.0)
    assert time.answered(AnswerNotice(2.5), 8.0) == 2.5


def test_a_limit_ends_with_the_instance_that_stated_it():
    time = LimitTime()
    time.answered(LIMITED, 9.0)
    time.limit.follow(WorkerInstance("i-1", 1000))
    assert time.limit.rate == 4.0
    time.limit.follow(AGAIN)
    assert time.limit.rate is None
    assert time.answered(LIMITED, 9.0, instance=FIRST) is None


def test_a_limit_stays_when_a_probed_instance_states_its_start():
    time = LimitTime()
    time.limit.follow(WorkerInstance("i-2"))
    time.answered(LIMITED, 9.0, WorkerInstance("i-2"))
    time.limit.follow(WorkerInstance("i-2", 3000))
    assert time.answered(SILENT, 9.0, WorkerInstance("i-2")) == 4.0


def test_a_stated_limit_and_its_end_appear_in_the_metrics_of_the_sidecar():
    def script(mesh):
        machine = mesh.machines[2]
        seen = []
        for text in (b"50", b"x", b""):
            machine.worker.state.rate_limit = text
            mesh.request(machine, "/other/x")
            gevent.sleep(0.1)
            seen.append(machine.sidecar.gate.notices.limit.rate)
        return seen, machine.sidecar.metrics.text().decode().splitlines()

    seen, lines = play(script)
    assert seen == [50.0, 50.0, None]
    for kind in ("limit", "limit_unreadable", "limit_ended"):
        assert f'cranklane_worker_notices_total{{kind="{kind}"}} 1.0' in lines
    assert "cranklane_worker_rate_limit -1.0" in lines
