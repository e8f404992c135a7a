"""Rules of the quarantine, as functions of what is known of one request.

They say what a crash means for the requests that ran, how long a request is refused, what is
known of it at a moment, and what wins where two sidecars know different things. The table
(``table``) keeps the knowledge and asks here. Times are seconds of one clock.
"""

from __future__ import annotations

import math
from enum import Enum

from cranklane.sidecar.request.identity import Identity

NEVER = -math.inf
"""Second until which a request is quarantined that never was."""

# How long.

FIRST_QUARANTINE_SECONDS = 5.0
"""Quarantine after the first crash that is evidence against a request alone. A choice: one such
crash may be a chance, as when the worker's machine fails in that moment; the pause lets the
workers that have crashed come back (some seconds) before the next one is risked, and costs an
innocent request no more than that."""

SECOND_QUARANTINE_SECONDS = 300.0
"""Quarantine after the second such crash; it doubles with each further one. A choice: each
probation of a guilty request costs a worker and all that runs there."""

MAX_QUARANTINE_SECONDS = 3600.0
"""Longest quarantine. A choice: whoever mends the worker gets the request served within this time,
or lifts the quarantine."""

PROBATION_RUN_SECONDS = 10.0
"""Other sidecars go on to refuse a request for this long while one runs it on probation. A choice:
longer than nearly all runs."""

SUSPICION_SECONDS = 120.0
"""A suspected request that is not seen again is forgotten after this long. A choice: later it is
no more likely to be guilty than any other request, and a table that is empty costs nothing."""

CLEARED_SECONDS = 1.0
"""A request that was cleared is not suspected for this long by a sender that may not know it. A
request that many send is cleared within milliseconds of a crash; without this, twelve more of
2,000 such requests failed when two pairs of workers crashed 2 to 80 ms apart (simulation)."""

SAME_QUARANTINE_SECONDS = 1.0
"""Two times until which a request is quarantined that differ by less are the same, reported over
paths of different length. A choice: far above the delays of a network, far below a quarantine."""


class QuarantineState(Enum):
    """What is known of a request.

    :cvar SUSPECTED: it ran at a worker as that crashed.
    :cvar QUARANTINED: it is refused everywhere.
    :cvar ON_PROBATION: quarantined until now; one isolated run shows whether it still crashes
        workers.
    """

    CLEAR = "clear"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    ON_PROBATION = "on_probation"


def state_at(now: float, seen_at: float, quarantined_until: float) -> QuarantineState:
    """Return the state of a request that was suspected at some time.

    :param seen_at: when it was seen last.
    :param quarantined_until: :data:`NEVER` for one that is only suspected.
    """
    if quarantined_until > now:
        return QuarantineState.QUARANTINED
    if quarantined_until > NEVER:
        return QuarantineState.ON_PROBATION
    if now - seen_at > SUSPICION_SECONDS:
        return QuarantineState.CLEAR
    return QuarantineState.SUSPECTED


def is_forgotten(now: float, seen_at: float, quarantined_until: float) -> bool:
    """Return whether nothing needs to be known of a request any more.

    One that was quarantined is remembered for longer than one that was only suspected.
    """
    was_quarantined = quarantined_until > NEVER
    kept_seconds = MAX_QUARANTINE_SECONDS if was_quarantined else SUSPICION_SECONDS
    return now - max(seen_at, quarantined_until) > kept_seconds


def quarantine_seconds(crashes: int) -> float:
    """Return how long a request is quarantined, by the crashes that are evidence against it.

    >>> [quarantine_seconds(crashes) for crashes in (1, 2, 3, 9)]
    [5.0, 300.0, 600.0, 3600.0]
    """
    if crashes < 2:
        return FIRST_QUARANTINE_SECONDS
    return float(min(MAX_QUARANTINE_SECONDS, SECOND_QUARANTINE_SECONDS * 2 ** (crashes - 2)))


def most_suspected(levels: dict[Identity, int]) -> list[Identity]:
    """Return the requests against which a crash is evidence: those suspected most.

    A crash takes all runs along, and most of them are innocent. So it is evidence only against
    those that were suspected before, and of these against those that were suspected most.

    :param levels: the requests that ran, each with its suspicion level as it began; 0: none.

    >>> most_suspected({b"a": 0, b"b": 1, b"c": 2, b"d": 2}), most_suspected({b"a": 0})
    ([b'c', b'd'], [])
    """
    top = max(levels.values(), default=0)
    if top == 0:
        return []
    return [identity for identity, level in levels.items() if level == top]


# Whose knowledge wins.


def merged_seconds(
    reported_seconds: float, known: frozenset[bytes], reported: frozenset[bytes]
) -> float:
    """Return how long a request is quarantined from now on by another sidecar's report.

    Crashes that were seen at two places at once count together: neither sidecar knew of the
    other's as it decided.

    :param reported_seconds: how much longer the other sidecar refuses it.
    :param known: ids of the crashes that are known here as evidence.
    :param reported: those that the other sidecar knows.

    >>> merged_seconds(5.0, frozenset({b"1", b"2"}), frozenset({b"1", b"3"}))
    600.0
    >>> merged_seconds(5.0, frozenset({b"1"}), frozenset({b"1", b"3"}))
    5.0
    """
    seen_apart = bool(reported - known and known - reported)
    if not seen_apart:
        return reported_seconds
    return max(reported_seconds, quarantine_seconds(len(known | reported)))


def is_longer(until: float, known_until: float) -> bool:
    """Return whether a reported end of a quarantine is later than the known one, not the same."""
    return until > known_until + SAME_QUARANTINE_SECONDS


def is_outdated(held_ms: int, reported: frozenset[bytes], cleared: frozenset[bytes] | None) -> bool:
    """Return whether a reported quarantine is older than a clearing of the request.

    :param held_ms: milliseconds that it still lasts; 0: only a suspicion, which is never outdated.
    :param reported: ids of the crashes that the report knows as evidence.
    :param cleared: ids of those that were known when it was cleared; None: it never was.

    >>> one, two = frozenset({b"1"}), frozenset({b"1", b"2"})
    >>> is_outdated(9, one, two), is_outdated(9, two, one), is_outdated(0, one, two)
    (True, False, False)
    """
    return held_ms > 0 and cleared is not None and reported <= cleared


def is_cleared(known: frozenset[bytes], cleared: frozenset[bytes]) -> bool:
    """Return whether a reported clearing covers all evidence that is known here."""
    return known <= cleared
