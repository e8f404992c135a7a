"""What a worker states about itself in the headers of its answers.

A worker in need states how many requests per second it accepts from all callers together; the
limit holds for as long as its answers state it. A worker that is about to exit states that it
is leaving. A worker that shares its machine states its relative run time.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from result import Err, Ok, Result

from cranklane.common.header_names import HeaderNames
from cranklane.common.http1.message import AnswerHead
from cranklane.sidecar.worker.load_header import stated_run_time_percent

_DECIMAL_NUMBER = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{1,12})?")
"""Bounds the digits, so that any accepted text is a finite number."""

_LEAVING = b"1"


class AnswerNotice(NamedTuple):
    """What the headers of one answer state.

    :ivar rate_limit: requests per second that the worker accepts; None if no limit is stated, or
        one that cannot be read.
    :ivar problem: why the stated limit cannot be read; empty if it can or none is stated.
    :ivar leaving: whether the worker is about to exit.
    :ivar run_time_percent: current run time in percent of the usual one; None if not stated.
    """

    rate_limit: float | None = None
    problem: str = ""
    leaving: bool = False
    run_time_percent: int | None = None


NO_NOTICE = AnswerNotice()


class AnswerNoticeReader:
    """Reads the notices in the heads of a worker's answers."""

    def __init__(self, names: HeaderNames) -> None:
        self._rate_limit_name = names.rate_limit.lower()
        self._leaving_name = names.leaving.lower()
        self._load_name = names.load.lower()

    def read(self, head: AnswerHead) -> AnswerNotice:
        """Return what an answer states; ``NO_NOTICE`` if nothing."""
        headers = head.headers
        limits = headers.values(self._rate_limit_name)
        leaving = any(value == _LEAVING for value in headers.values(self._leaving_name)[-1:])
        percent: int | None = None
        for value in headers.values(self._load_name)[-1:]:
            percent = stated_run_time_percent(value)
        if not limits:
            if not leaving and percent is None:
                return NO_NOTICE
            return AnswerNotice(leaving=leaving, run_time_percent=percent)
        parsed = parse_rate_limit(b",".join(limits))
        if isinstance(parsed, Err):
            return AnswerNotice(None, parsed.err_value, leaving, percent)
        return AnswerNotice(parsed.ok_value, "", leaving, percent)


def parse_rate_limit(text: bytes) -> Result[float, str]:
    """Parse a limit in requests per second; return it or a description of the error.

    Repeated headers are joined by commas; the lowest of several limits counts.

    >>> parse_rate_limit(b"3.9"), parse_rate_limit(b" 0 "), parse_rate_limit(b"8, 5.5")
    (Ok(3.9), Ok(0.0), Ok(5.5))
    >>> parse_rate_limit(b"1e3").is_err(), parse_rate_limit(b"4,nan").is_err()
    (True, True)
    """
    values = [value.strip() for value in text.split(b",")]
    if not all(_DECIMAL_NUMBER.fullmatch(value) for value in values):
        return Err(f"expected a decimal number of at most 12 digits, found {text[:40]!r}")
    return Ok(min(float(value) for value in values))
