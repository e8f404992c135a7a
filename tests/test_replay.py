"""Traces: file format, replay with expected outcomes, shrinking."""

from __future__ import annotations

from pathlib import Path

import pytest

from cranklane_lab.replay.generate import random_trace, shrink
from cranklane_lab.replay.player import play
from cranklane_lab.replay.trace import Event, Trace, TraceError, read

TRACES = sorted(Path(__file__).with_name("traces").glob("*.trace"))


def test_a_written_trace_reads_back_equal(tmp_path):
    trace = random_trace(3)
    path = tmp_path / "a.trace"
    trace.write(path)
    assert read(path) == trace


def test_every_invalid_line_is_reported(tmp_path):
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


def test_replay_is_deterministic():
    trace = random_trace(5, controls=1, ledgers=1)
    assert play(trace).digest == play(trace).digest


def test_an_unexpected_outcome_is_reported():
    event = Event(0.5, "request", kind="search", nonce="n", key="", expect=("not_run",))
    played = play(Trace(events=(event,)))
    assert played.differences == ["n: expected not_run, got answered"]


def test_a_trace_shrinks_to_the_events_that_matter():
    trace = random_trace(1, controls=1, ledgers=1)
    needed = {event for event in trace.events if event.do == "slow"}
    short = shrink(trace, lambda fewer: needed <= set(fewer.events))
    assert set(short.events) == needed


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_stored_trace_has_its_expected_outcomes(path):
    played = play(read(path))
    assert not played.violations
    assert not played.differences
