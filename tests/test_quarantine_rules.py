"""Rules of the quarantine: states, durations, evidence and merging of reports."""

import pytest

from cranklane.sidecar.quarantine import rules
from cranklane.sidecar.quarantine.rules import NEVER_QUARANTINED, QuarantineState

NOW = 1000.0


@pytest.mark.parametrize(
    ("suspected_at", "quarantined_until", "state"),
    [
        (NOW, NEVER_QUARANTINED, QuarantineState.SUSPECTED),
        (NOW - 120.0, NEVER_QUARANTINED, QuarantineState.SUSPECTED),
        (NOW - 120.1, NEVER_QUARANTINED, QuarantineState.CLEAR),
        (NOW, NOW + 0.1, QuarantineState.QUARANTINED),
        (NOW - 3600.0, NOW + 0.1, QuarantineState.QUARANTINED),
        (NOW, NOW, QuarantineState.ON_PROBATION),
        (NOW - 3600.0, NOW - 3600.0, QuarantineState.ON_PROBATION),
    ],
)
def test_state_of_a_request(suspected_at, quarantined_until, state):
    assert rules.state_at(NOW, suspected_at, quarantined_until) is state


@pytest.mark.parametrize(
    ("suspected_at", "quarantined_until", "forgotten"),
    [
        (NOW - 120.0, NEVER_QUARANTINED, False),
        (NOW - 121.0, NEVER_QUARANTINED, True),
        (NOW - 4000.0, NOW - 3600.0, False),
        (NOW - 4000.0, NOW - 3601.0, True),
        (NOW - 10.0, NOW - 3601.0, False),
        (NOW - 4000.0, NOW + 1.0, False),
    ],
)
def test_entry_expiry(suspected_at, quarantined_until, forgotten):
    assert rules.is_forgotten(NOW, suspected_at, quarantined_until) is forgotten


@pytest.mark.parametrize(
    ("crashes", "seconds"),
    [(1, 5.0), (2, 300.0), (3, 600.0), (4, 1200.0), (5, 2400.0), (6, 3600.0), (20, 3600.0)],
)
def test_quarantine_duration_by_number_of_crashes(crashes, seconds):
    assert rules.quarantine_seconds(crashes) == seconds


@pytest.mark.parametrize(
    ("levels", "blamed"),
    [
        ({}, []),
        ({b"a": 0, b"b": 0}, []),
        ({b"a": 1, b"b": 0}, [b"a"]),
        ({b"a": 1, b"b": 2, b"c": 0}, [b"b"]),
        ({b"a": 2, b"b": 1, b"c": 2}, [b"a", b"c"]),
    ],
)
def test_crash_is_evidence_against_the_most_suspected(levels, blamed):
    assert rules.most_suspected(levels) == blamed


def crashes(text):
    return frozenset(text.split())


@pytest.mark.parametrize(
    ("reported_seconds", "local_crashes", "reported", "seconds"),
    [
        (5.0, "", "one", 5.0),
        (5.0, "one", "one", 5.0),
        (5.0, "one", "one two", 5.0),
        (5.0, "one two", "one", 5.0),
        (5.0, "one", "two", 300.0),
        (5.0, "one two", "one three", 600.0),
        (500.0, "one", "two", 500.0),
        (0.0, "one", "two", 300.0),
        (0.0, "one", "", 0.0),
    ],
)
def test_concurrently_observed_crashes_add_up(reported_seconds, local_crashes, reported, seconds):
    assert (
        rules.merged_seconds(reported_seconds, crashes(local_crashes), crashes(reported)) == seconds
    )


@pytest.mark.parametrize(
    ("reported_until", "local_until", "longer"),
    [
        (NOW, NEVER_QUARANTINED, True),
        (NOW, NOW, False),
        (NOW + 1.0, NOW, False),
        (NOW + 1.1, NOW, True),
    ],
)
def test_reported_quarantine_applies_only_if_longer(reported_until, local_until, longer):
    assert rules.is_longer(reported_until, local_until) is longer


@pytest.mark.parametrize(
    ("held_ms", "reported", "cleared", "outdated"),
    [
        (100, "one", None, False),
        (100, "one", "one", True),
        (100, "one", "one two", True),
        (100, "one two", "one", False),
        (100, "", "one", True),
        (0, "one", "one", False),
    ],
)
def test_clearing_of_all_evidence_outdates_a_report(held_ms, reported, cleared, outdated):
    cleared_crashes = None if cleared is None else crashes(cleared)
    assert rules.is_outdated(held_ms, crashes(reported), cleared_crashes) is outdated


@pytest.mark.parametrize(
    ("local_crashes", "cleared", "clears"),
    [("one", "one", True), ("", "one", True), ("one two", "one", False), ("one", "", False)],
)
def test_clearing_applies_if_it_covers_all_evidence(local_crashes, cleared, clears):
    assert rules.is_cleared(crashes(local_crashes), crashes(cleared)) is clears
