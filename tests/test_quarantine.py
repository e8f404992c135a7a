"""Quarantine table of a sidecar, and the updates that sidecars exchange."""

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

CRASHING = b"g" * 16
CONCURRENT = b"b" * 16


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class Sidecar:
    """A table and the updates that it has sent."""

    def __init__(self, clock):
        self.updates = []
        self.table = Quarantine(clock, self.updates.extend)

    def crash(self, name, *runs):
        self.table.worker_crashed("s", crash_id(name), dict(runs))


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def sidecar(clock):
    return Sidecar(clock)


def test_first_crash_quarantines_nothing(sidecar):
    sidecar.crash("one", (CRASHING, 0), (CONCURRENT, 0))
    assert sidecar.table.state(CRASHING) is QuarantineState.SUSPECTED
    assert sidecar.table.state(CONCURRENT) is QuarantineState.SUSPECTED
    assert sidecar.table.quarantined() == []


def test_second_crash_is_evidence_only_against_the_suspect(sidecar):
    sidecar.crash("one", (CRASHING, 0))
    sidecar.crash("two", (CRASHING, 1), (CONCURRENT, 0))
    assert sidecar.table.state(CRASHING) is QuarantineState.QUARANTINED
    assert sidecar.table.state(CONCURRENT) is QuarantineState.SUSPECTED
    assert sidecar.table.suspicion_level(CONCURRENT) == 1


def test_simultaneous_crashes_quarantine_nothing(sidecar):
    for name in ("one", "two", "three", "four"):
        sidecar.crash(name, (CRASHING, 0))
    assert sidecar.table.state(CRASHING) is QuarantineState.SUSPECTED


def test_crash_with_several_suspects_quarantines_none_until_the_next(sidecar):
    sidecar.crash("one", (CRASHING, 0), (CONCURRENT, 0))
    sidecar.crash("two", (CRASHING, 1), (CONCURRENT, 1))
    assert sidecar.table.quarantined() == []
    sidecar.crash("three", (CRASHING, 2), (CONCURRENT, 1))
    assert [entry.identity for entry in sidecar.table.quarantined()] == [CRASHING]
    assert sidecar.table.seconds_left(CRASHING) == SECOND_QUARANTINE_SECONDS


def test_first_quarantine_is_short_and_second_long(sidecar, clock):
    sidecar.crash("one", (CRASHING, 0))
    sidecar.crash("two", (CRASHING, 1))
    assert sidecar.table.seconds_left(CRASHING) == FIRST_QUARANTINE_SECONDS
    clock.now += FIRST_QUARANTINE_SECONDS
    assert sidecar.table.state(CRASHING) is QuarantineState.ON_PROBATION
    sidecar.table.probation_run_begins(CRASHING)
    assert sidecar.table.seconds_left(CRASHING) == PROBATION_RUN_SECONDS
    sidecar.crash("three", (CRASHING, 2))
    assert sidecar.table.seconds_left(CRASHING) == SECOND_QUARANTINE_SECONDS


def test_response_clears_a_suspect_and_one_on_probation(sidecar, clock):
    sidecar.crash("one", (CRASHING, 0), (CONCURRENT, 0))
    sidecar.table.answered(CONCURRENT)
    assert sidecar.table.state(CONCURRENT) is QuarantineState.CLEAR
    sidecar.crash("two", (CRASHING, 1))
    clock.now += FIRST_QUARANTINE_SECONDS
    sidecar.table.probation_run_begins(CRASHING)
    sidecar.table.answered(CRASHING)
    assert sidecar.table.is_empty


def test_suspicion_expires(sidecar, clock):
    sidecar.crash("one", (CRASHING, 0))
    clock.now += SUSPICION_SECONDS + 1
    assert sidecar.table.state(CRASHING) is QuarantineState.CLEAR
    assert sidecar.table.is_empty


def test_updates_bring_a_peer_to_the_same_state(sidecar, clock):
    peer = Sidecar(clock)
    sidecar.crash("one", (CRASHING, 0))
    sidecar.crash("two", (CRASHING, 1))
    assert peer.table.merge(sidecar.updates)
    assert peer.table.state(CRASHING) is QuarantineState.QUARANTINED
    assert peer.table.digest() == sidecar.table.digest()
    assert peer.table.merge(sidecar.table.entries()) == []
    assert peer.updates == []


def test_crashes_observed_at_two_sidecars_add_up(clock):
    first, second = Sidecar(clock), Sidecar(clock)
    for sidecar, name in ((first, "two"), (second, "three")):
        sidecar.crash("one", (CRASHING, 0))
        sidecar.crash(name, (CRASHING, 1))
    first.table.merge(second.updates)
    assert first.table.seconds_left(CRASHING) == SECOND_QUARANTINE_SECONDS


def test_update_older_than_a_clearing_is_ignored(sidecar, clock):
    peer = Sidecar(clock)
    sidecar.crash("one", (CRASHING, 0))
    sidecar.crash("two", (CRASHING, 1))
    outdated = list(sidecar.updates)
    peer.table.merge(outdated)
    sidecar.table.lift(CRASHING)
    peer.table.merge(sidecar.updates[-1:])
    assert peer.table.is_empty
    assert peer.table.merge(outdated[-1:]) == []
    assert sidecar.table.merge(outdated[-1:]) == []
    assert peer.table.is_empty and sidecar.table.is_empty


def test_peer_that_missed_a_clearing_is_corrected(sidecar, clock):
    peer = Sidecar(clock)
    sidecar.crash("one", (CRASHING, 0))
    sidecar.crash("two", (CRASHING, 1))
    peer.table.merge(sidecar.updates)
    sidecar.table.lift(CRASHING)
    stale = peer.table.entries()
    assert sidecar.table.merge(stale) == []
    peer.table.merge(sidecar.table.corrections(stale))
    assert peer.table.is_empty


def test_operator_quarantine_is_effective_after_a_clearing(sidecar, clock):
    peer = Sidecar(clock)
    for _ in range(2):
        clock.now += 1
        sidecar.table.quarantine("s", CRASHING, 60.0)
        peer.table.merge(sidecar.updates)
        assert peer.table.state(CRASHING) is QuarantineState.QUARANTINED
        sidecar.table.lift(CRASHING)
        peer.table.merge(sidecar.updates)
        assert peer.table.is_empty
        sidecar.updates.clear()


def test_refusals_by_a_gate_do_not_extend_its_quarantine(sidecar, clock):
    sidecar.crash("one", (CRASHING, 0))
    sidecar.crash("two", (CRASHING, 1))
    for _ in range(10):
        seconds_left = sidecar.table.seconds_left(CRASHING)
        sidecar.table.record_refusal("s", CRASHING, seconds_left)
        clock.now += 0.4
    clock.now += FIRST_QUARANTINE_SECONDS - 4.0
    assert sidecar.table.state(CRASHING) is QuarantineState.ON_PROBATION


def test_table_size_is_bounded(sidecar):
    for number in range(5000):
        identity = number.to_bytes(16)
        sidecar.crash(f"a{number}", (identity, 0))
        sidecar.crash(f"b{number}", (identity, 1))
        sidecar.table.suspect("s", (number + 10**6).to_bytes(16))
    assert len(sidecar.table.quarantined()) == MAX_QUARANTINED
    assert len(sidecar.table._entries) <= MAX_QUARANTINED + MAX_SUSPECTED


def test_cleared_request_loses_its_suspicion_level(sidecar, clock):
    sidecar.crash("one", (CRASHING, 0))
    sidecar.table.answered(CRASHING)
    sidecar.table.retried("s", CRASHING)
    assert sidecar.table.state(CRASHING) is QuarantineState.CLEAR
    sidecar.crash("two", (CRASHING, 1))
    assert sidecar.table.state(CRASHING) is QuarantineState.SUSPECTED
    sidecar.table.answered(CRASHING)
    clock.now += 2.0
    sidecar.table.retried("s", CRASHING)
    assert sidecar.table.state(CRASHING) is QuarantineState.SUSPECTED


def test_operator_quarantine_and_clearing(sidecar):
    sidecar.table.quarantine("s", CRASHING, 60.0)
    assert sidecar.table.state(CRASHING) is QuarantineState.QUARANTINED
    assert sidecar.table.lift(CRASHING)
    assert sidecar.table.state(CRASHING) is QuarantineState.CLEAR
    assert not sidecar.table.lift(CRASHING)


def test_packed_entry_keeps_its_identity():
    entry = QuarantineEntry(5000, False, "s", crash_id("one"), CRASHING)
    assert QuarantineEntry.unpack(entry.pack()).identity == CRASHING


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
def test_different_requests_have_different_identities(service, tenant, lines, body, length):
    assert identity_of(service, tenant, lines, body, length) != identity_of("s", "", LINES, b"", 0)


def test_identity_of_a_large_body_covers_prefix_and_length():
    body = b"x" * 65_536
    first = identity_of("s", "", LINES, body, 100_000)
    assert first == identity_of("s", "", LINES, body + b"y", 100_000)
    assert first != identity_of("s", "", LINES, body, 100_001)
