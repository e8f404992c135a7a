"""The load header of a worker's answers.

Its fields are separated by commas: running requests, waiting requests, slots and, from workers that
share their machine with others, the current run time in percent of the usual one. Later fields are
ignored, so that a worker of a later release is understood.
"""

from __future__ import annotations

import re
from typing import NamedTuple

USUAL_RUN_TIME_PERCENT = 100
"""Run time of a worker that has its machine to itself, or states nothing else."""

MAX_RUN_TIME_PERCENT = 10_000
"""Largest credible run time; a larger one counts as not stated."""

_WHOLE_NUMBER = re.compile(rb"[0-9]{1,9}")
"""Bounds the digits, and excludes signs and spaces within the number."""

_REQUIRED_FIELDS = 3


class WorkerLoad(NamedTuple):
    """Load that a worker states.

    :ivar run_time_percent: current run time in percent of the usual one; None if not stated.
    """

    running: int
    waiting: int
    slots: int
    run_time_percent: int | None = None


def parse_worker_load(text: bytes | None) -> WorkerLoad | None:
    """Return the stated load; None if it is missing or one of the first three fields is invalid.

    >>> parse_worker_load(b"3, 0,8")
    WorkerLoad(running=3, waiting=0, slots=8, run_time_percent=None)
    >>> parse_worker_load(b"3,0,8,250,17")
    WorkerLoad(running=3, waiting=0, slots=8, run_time_percent=250)
    >>> [parse_worker_load(text) for text in (None, b"3,0", b"3,-1,8", b"3,0,x")]
    [None, None, None, None]
    """
    fields = (text or b"").split(b",")
    numbers = [_whole_number(field) for field in fields[:_REQUIRED_FIELDS]]
    if len(fields) < _REQUIRED_FIELDS or None in numbers:
        return None
    running, waiting, slots = (number or 0 for number in numbers)
    percent = (
        _run_time_percent(fields[_REQUIRED_FIELDS]) if len(fields) > _REQUIRED_FIELDS else None
    )
    return WorkerLoad(running, waiting, slots, percent)


def stated_run_time_percent(text: bytes) -> int | None:
    """Return the run time of a load header, or None; cheaper than parsing the whole header.

    >>> [stated_run_time_percent(text) for text in (b"3,0,8,250,17", b"3,0,8", b"3,0,8,0")]
    [250, None, None]
    """
    fields = text.split(b",", _REQUIRED_FIELDS + 1)
    return _run_time_percent(fields[_REQUIRED_FIELDS]) if len(fields) > _REQUIRED_FIELDS else None


def _run_time_percent(field: bytes) -> int | None:
    percent = _whole_number(field)
    return percent if percent is not None and 0 < percent <= MAX_RUN_TIME_PERCENT else None


def _whole_number(field: bytes) -> int | None:
    text = field.strip()
    return int(text) if _WHOLE_NUMBER.fullmatch(text) else None
