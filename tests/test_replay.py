"""Traces: the format, playing them against stated outcomes, making them shorter."""

from __future__ import annotations

from pathlib import Path

import pytest

from cranklane_lab.replay.generate import random_trace, shrink
from cranklane_lab.replay.player import play
from cranklane_lab.replay.trace import Event, Trace, TraceError, read

TRACES = sorted(Path(__file__).with_name("traces").glob("*.trace"))


def test_a_trace_survives_its_file(tmp_path):
    trace = random_trace(3)
    path = tmp_path / "a.trace"
    trace.write(path)
    assert read(path) == trace


def test_every_wrong_line_is_named(tmp_path):
    path = tmp_path / "a.trace"
    path.write_text(
        '{"trace": 1, "size": 3}\n{"at": 1, "do": "explode"}\n{"at": 1, "do": "kill", "who": "x"}\n'
        'nonsense\n{"at": "soon", "do": "request", "expect": ["fine"]}\n'
    )
    with pytest.raises(TraceError) as raised:
        read(path)
    assert [problem.split(": ")[1] for problem in raised.value.problems] == [
        "line 4",
        "line 1",
        "line 2",
        "line 3",
        "line 4",
        "line 5",
        "line 5",
    ]


def test_a_trace_plays_the_same_each_time():
    trace = random_trace(5, controls=1, ledgers=1)
    assert play(trace).digest == play(trace).digest


def test_an_outcome_that_differs_is_told():
    event = Event(0.5, "request", kind="search", nonce="n", key="", expect=("not_run",))
    played = play(Trace(events=(event,)))
    assert played.differences == ["n: expected not_run, told answered"]


def test_a_trace_that_breaks_a_promise_becomes_shorter():
    trace = random_trace(1, controls=1, ledgers=1)
    needed = {event for event in trace.events if event.do == "slow"}
    short = shrink(trace, lambda fewer: needed <= set(fewer.events))
    assert set(short.events) == needed


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_kept_trace_plays_as_stated(path):
    played = play(read(path))
    assert not played.violations
    assert not played.differences
