"""The table of suspected and held requests of one sidecar, and what sidecars tell each other."""

from __future__ import annotations

import pytest

from cranklane.records.messages import QuarantineEntry
from cranklane.sidecar.quarantine.entry import crash_id
from cranklane.sidecar.quarantine.rules import (
    FIRST_QUARANTINE_SECONDS,
    PROBATION_RUN_SECONDS,
    SECOND_QUARANTINE_SECONDS,
    SUSPICION_SECONDS,
    QuarantineState,
)
from cranklane.sidecar.quarantine.table import MAX_QUARANTINED, MAX_SUSPECTED, Quarantine
from cranklane.sidecar.request.identity import identity_of

GUILTY = b"g" * 16
BESIDE = b"b" * 16


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class Sidecar:
    """A table and the news that it has told."""

    def __init__(self, clock):
        self.news = []
        self.table = Quarantine(clock, self.news.extend)

    def end(self, name, *runs):
        self.table.worker_crashed("s", crash_id(name), dict(runs))


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def sidecar(clock):
    return Sidecar(clock)


def test_the_first_end_holds_nobody(sidecar):
    sidecar.end("one", (GUILTY, 0), (BESIDE, 0))
    assert sidecar.table.state(GUILTY) is QuarantineState.SUSPECTED
    assert sidecar.table.state(BESIDE) is QuarantineState.SUSPECTED
    assert sidecar.table.quarantined() == []


def test_the_end_of_a_second_worker_speaks_only_against_the_suspect(sidecar):
    sidecar.end("one", (GUILTY, 0))
    sidecar.end("two", (GUILTY, 1), (BESIDE, 0))
    assert sidecar.table.state(GUILTY) is QuarantineState.QUARANTINED
    assert sidecar.table.state(BESIDE) is QuarantineState.SUSPECTED
    assert sidecar.table.suspicion_level(BESIDE) == 1


def test_ends_at_one_moment_hold_nobody(sidecar):
    for name in ("one", "two", "three", "four"):
        sidecar.end(name, (GUILTY, 0))
    assert sidecar.table.state(GUILTY) is QuarantineState.SUSPECTED


def test_of_several_suspects_at_one_end_none_is_held_and_the_next_end_tells(sidecar):
    sidecar.end("one", (GUILTY, 0), (BESIDE, 0))
    sidecar.end("two", (GUILTY, 1), (BESIDE, 1))
    assert sidecar.table.quarantined() == []
    sidecar.end("three", (GUILTY, 2), (BESIDE, 1))
    assert [entry.identity for entry in sidecar.table.quarantined()] == [GUILTY]
    assert sidecar.table.seconds_left(GUILTY) == SECOND_QUARANTINE_SECONDS


def test_the_first_hold_is_short_and_the_second_long(sidecar, clock):
    sidecar.end("one", (GUILTY, 0))
    sidecar.end("two", (GUILTY, 1))
    assert sidecar.table.seconds_left(GUILTY) == FIRST_QUARANTINE_SECONDS
    clock.now += FIRST_QUARANTINE_SECONDS
    assert sidecar.table.state(GUILTY) is QuarantineState.ON_PROBATION
    sidecar.table.probation_run_begins(GUILTY)
    assert sidecar.table.seconds_left(GUILTY) == PROBATION_RUN_SECONDS
    sidecar.end("three", (GUILTY, 2))
    assert sidecar.table.seconds_left(GUILTY) == SECOND_QUARANTINE_SECONDS


def test_an_answer_clears_a_suspect_and_one_on_probation(sidecar, clock):
    sidecar.end("one", (GUILTY, 0), (BESIDE, 0))
    sidecar.table.answered(BESIDE)
    assert sidecar.table.state(BESIDE) is QuarantineState.CLEAR
    sidecar.end("two", (GUILTY, 1))
    clock.now += FIRST_QUARANTINE_SECONDS
    sidecar.table.probation_run_begins(GUILTY)
    sidecar.table.answered(GUILTY)
    assert sidecar.table.is_empty


def test_a_suspect_that_is_not_seen_again_is_forgotten(sidecar, clock):
    sidecar.end("one", (GUILTY, 0))
    clock.now += SUSPICION_SECONDS + 1
    assert sidecar.table.state(GUILTY) is QuarantineState.CLEAR
    assert sidecar.table.is_empty


def test_news_bring_another_sidecar_to_the_same_state(sidecar, clock):
    other = Sidecar(clock)
    sidecar.end("one", (GUILTY, 0))
    sidecar.end("two", (GUILTY, 1))
    assert other.table.merge(sidecar.news)
    assert other.table.state(GUILTY) is QuarantineState.QUARANTINED
    assert other.table.digest() == sidecar.table.digest()
    assert other.table.merge(sidecar.table.entries()) == []
    assert other.news == []


def test_ends_seen_at_two_places_count_together(clock):
    first, second = Sidecar(clock), Sidecar(clock)
    for sidecar, name in ((first, "two"), (second, "three")):
        sidecar.end("one", (GUILTY, 0))
        sidecar.end(name, (GUILTY, 1))
    first.table.merge(second.news)
    assert first.table.seconds_left(GUILTY) == SECOND_QUARANTINE_SECONDS


def test_news_that_is_older_than_a_clearing_holds_nobody(sidecar, clock):
    other = Sidecar(clock)
    sidecar.end("one", (GUILTY, 0))
    sidecar.end("two", (GUILTY, 1))
    old = list(sidecar.news)
    other.table.merge(old)
    sidecar.table.lift(GUILTY)
    other.table.merge(sidecar.news[-1:])
    assert other.table.is_empty
    assert other.table.merge(old[-1:]) == []
    assert sidecar.table.merge(old[-1:]) == []
    assert other.table.is_empty and sidecar.table.is_empty


def test_a_sidecar_that_missed_a_clearing_is_corrected(sidecar, clock):
    other = Sidecar(clock)
    sidecar.end("one", (GUILTY, 0))
    sidecar.end("two", (GUILTY, 1))
    other.table.merge(sidecar.news)
    sidecar.table.lift(GUILTY)
    stale = other.table.entries()
    assert sidecar.table.merge(stale) == []
    other.table.merge(sidecar.table.corrections(stale))
    assert other.table.is_empty


def test_an_operators_hold_counts_after_an_earlier_clearing_too(sidecar, clock):
    other = Sidecar(clock)
    for _ in range(2):
        clock.now += 1
        sidecar.table.quarantine("s", GUILTY, 60.0)
        other.table.merge(sidecar.news)
        assert other.table.state(GUILTY) is QuarantineState.QUARANTINED
        sidecar.table.lift(GUILTY)
        other.table.merge(sidecar.news)
        assert other.table.is_empty
        sidecar.news.clear()


def test_refusals_of_a_gate_do_not_hold_longer_than_the_gate_does(sidecar, clock):
    sidecar.end("one", (GUILTY, 0))
    sidecar.end("two", (GUILTY, 1))
    for _ in range(10):
        left = sidecar.table.seconds_left(GUILTY)
        sidecar.table.learn("s", GUILTY, left)
        clock.now += 0.4
    clock.now += FIRST_QUARANTINE_SECONDS - 4.0
    assert sidecar.table.state(GUILTY) is QuarantineState.ON_PROBATION


def test_a_flood_of_different_requests_stays_within_the_bounds(sidecar):
    for number in range(5000):
        identity = number.to_bytes(16)
        sidecar.end(f"a{number}", (identity, 0))
        sidecar.end(f"b{number}", (identity, 1))
        sidecar.table.suspect("s", (number + 10**6).to_bytes(16))
    assert len(sidecar.table.quarantined()) == MAX_QUARANTINED
    assert len(sidecar.table._entries) <= MAX_QUARANTINED + MAX_SUSPECTED


def test_a_request_that_was_cleared_meanwhile_begins_anew(sidecar, clock):
    sidecar.end("one", (GUILTY, 0))
    sidecar.table.answered(GUILTY)
    sidecar.table.retried("s", GUILTY)
    assert sidecar.table.state(GUILTY) is QuarantineState.CLEAR
    sidecar.end("two", (GUILTY, 1))
    assert sidecar.table.state(GUILTY) is QuarantineState.SUSPECTED
    sidecar.table.answered(GUILTY)
    clock.now += 2.0
    sidecar.table.retried("s", GUILTY)
    assert sidecar.table.state(GUILTY) is QuarantineState.SUSPECTED


def test_operators_hold_and_lift(sidecar):
    sidecar.table.quarantine("s", GUILTY, 60.0)
    assert sidecar.table.state(GUILTY) is QuarantineState.QUARANTINED
    assert sidecar.table.lift(GUILTY)
    assert sidecar.table.state(GUILTY) is QuarantineState.CLEAR
    assert not sidecar.table.lift(GUILTY)


def test_an_entry_outlives_its_record():
    entry = QuarantineEntry(5000, False, "s", crash_id("one"), GUILTY)
    assert QuarantineEntry.unpack(entry.pack()).identity == GUILTY


LINES = b"GET /a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n"


@pytest.mark.parametrize(
    ("service", "tenant", "lines", "body", "length"),
    [
        ("t", "", LINES, b"", 0),
        ("s", "other", LINES, b"", 0),
        ("s", "", LINES.replace(b"/a", b"/b"), b"", 0),
        ("s", "", LINES.replace(b"GET", b"PUT"), b"", 0),
        ("s", "", LINES.replace(b"Host: h", b"Host: i"), b"", 0),
        ("s", "", LINES, b"x", 1),
        ("s", "", LINES, b"", 70_000),
    ],
)
def test_requests_that_differ_in_what_they_ask_are_not_the_same(
    service, tenant, lines, body, length
):
    assert identity_of(service, tenant, lines, body, length) != identity_of("s", "", LINES, b"", 0)


def test_the_parts_of_a_large_body_that_count_are_the_first():
    body = b"x" * 65_536
    first = identity_of("s", "", LINES, body, 100_000)
    assert first == identity_of("s", "", LINES, body + b"y", 100_000)
    assert first != identity_of("s", "", LINES, body, 100_001)
