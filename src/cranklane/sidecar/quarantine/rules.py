"""Rules of the quarantine, as pure functions.

They determine the requests blamed for a crash, the duration of a quarantine, the state of a request
and the merging of reports from other sidecars. Times are seconds on the clock of the table.
"""

from __future__ import annotations

import math
from enum import Enum

from cranklane.sidecar.request.identity import Identity

NEVER_QUARANTINED = -math.inf
"""Value of ``quarantined_until`` for a request that is only suspected."""

# Durations.

FIRST_QUARANTINE_SECONDS = 5.0
"""Quarantine after the first crash that is evidence. Short, because the crash may be coincidental;
long enough for crashed workers to restart before the request runs again."""

SECOND_QUARANTINE_SECONDS = 300.0
"""Quarantine after the second crash that is evidence; doubles with each further one, since a failed
probation crashes a worker with all its runs."""

MAX_QUARANTINE_SECONDS = 3600.0
"""Upper bound of a quarantine, and thus of the delay until a repaired worker serves the request."""

PROBATION_RUN_SECONDS = 10.0
"""Quarantine at the other sidecars during a probation run; longer than nearly all runs."""

SUSPICION_SECONDS = 120.0
"""Time after which a suspicion expires unless it is renewed. After it, the request is no more
likely to cause a crash than any other."""

CLEARED_GRACE_SECONDS = 1.0
"""Time after a clearing during which a sender's retry raises no new suspicion: the sender may not
have received the clearing yet."""

QUARANTINE_END_TOLERANCE_SECONDS = 1.0
"""Maximum difference between two reports of the same end of a quarantine; far above network delays
and far below a quarantine."""


class QuarantineState(Enum):
    """State of a request in the quarantine table.

    :cvar SUSPECTED: it was in flight when a worker crashed.
    :cvar QUARANTINED: all sidecars refuse it.
    :cvar ON_PROBATION: its quarantine has ended; an isolated run shows whether it still crashes
        workers.
    """

    CLEAR = "clear"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    ON_PROBATION = "on_probation"


def state_at(now: float, suspected_at: float, quarantined_until: float) -> QuarantineState:
    """Return the state of a request that has an entry in the table.

    :param suspected_at: time of the last suspicion.
    :param quarantined_until: end of the quarantine; :data:`NEVER_QUARANTINED` if only suspected.
    """
    if quarantined_until > now:
        return QuarantineState.QUARANTINED
    if quarantined_until > NEVER_QUARANTINED:
        return QuarantineState.ON_PROBATION
    if now - suspected_at > SUSPICION_SECONDS:
        return QuarantineState.CLEAR
    return QuarantineState.SUSPECTED


def is_forgotten(now: float, suspected_at: float, quarantined_until: float) -> bool:
    """Return whether the entry of a request has expired.

    Entries of requests that were quarantined are kept for longer.
    """
    was_quarantined = quarantined_until > NEVER_QUARANTINED
    kept_seconds = MAX_QUARANTINE_SECONDS if was_quarantined else SUSPICION_SECONDS
    return now - max(suspected_at, quarantined_until) > kept_seconds


def quarantine_seconds(crashes: int) -> float:
    """Return the duration of a quarantine in seconds.

    :param crashes: number of crashes that are evidence against the request.

    >>> [quarantine_seconds(crashes) for crashes in (1, 2, 3, 9)]
    [5.0, 300.0, 600.0, 3600.0]
    """
    if crashes < 2:
        return FIRST_QUARANTINE_SECONDS
    return float(min(MAX_QUARANTINE_SECONDS, SECOND_QUARANTINE_SECONDS * 2 ** (crashes - 2)))


def most_suspected(levels: dict[Identity, int]) -> list[Identity]:
    """Return the requests with the highest suspicion level, against which a crash is evidence.

    A crash interrupts all runs of the worker, and most are innocent. Requests that were not
    suspected before are therefore never returned.

    :param levels: the requests in flight with their suspicion levels at their start; 0 if none.

    >>> most_suspected({b"a": 0, b"b": 1, b"c": 2, b"d": 2}), most_suspected({b"a": 0})
    ([b'c', b'd'], [])
    """
    highest_level = max(levels.values(), default=0)
    if highest_level == 0:
        return []
    return [identity for identity, level in levels.items() if level == highest_level]


# Merging of reports from other sidecars.


def merged_seconds(
    reported_seconds: float, local_crashes: frozenset[bytes], reported_crashes: frozenset[bytes]
) -> float:
    """Return the remaining quarantine in seconds after merging another sidecar's report.

    Crashes observed concurrently at two sidecars are added up, because neither sidecar counted the
    other's when it set its quarantine.

    :param reported_seconds: remaining quarantine at the other sidecar.
    :param local_crashes: ids of the crashes known here as evidence.
    :param reported_crashes: ids of the crashes known to the other sidecar as evidence.

    >>> merged_seconds(5.0, frozenset({b"1", b"2"}), frozenset({b"1", b"3"}))
    600.0
    >>> merged_seconds(5.0, frozenset({b"1"}), frozenset({b"1", b"3"}))
    5.0
    """
    is_concurrent = bool(reported_crashes - local_crashes and local_crashes - reported_crashes)
    if not is_concurrent:
        return reported_seconds
    return max(reported_seconds, quarantine_seconds(len(local_crashes | reported_crashes)))


def is_longer(reported_until: float, local_until: float) -> bool:
    """Return whether a reported end of a quarantine is later than the local one.

    Differences within the tolerance count as the same end.
    """
    return reported_until > local_until + QUARANTINE_END_TOLERANCE_SECONDS


def is_outdated(
    held_ms: int, reported_crashes: frozenset[bytes], cleared_crashes: frozenset[bytes] | None
) -> bool:
    """Return whether a clearing of the request supersedes a reported quarantine.

    :param held_ms: remaining quarantine in milliseconds; 0 for a suspicion, which is never
        outdated.
    :param reported_crashes: ids of the crashes that the report has as evidence.
    :param cleared_crashes: ids of the crashes that the clearing covers; None without a clearing.

    >>> one, two = frozenset({b"1"}), frozenset({b"1", b"2"})
    >>> is_outdated(9, one, two), is_outdated(9, two, one), is_outdated(0, one, two)
    (True, False, False)
    """
    return held_ms > 0 and cleared_crashes is not None and reported_crashes <= cleared_crashes


def is_cleared(local_crashes: frozenset[bytes], cleared_crashes: frozenset[bytes]) -> bool:
    """Return whether a reported clearing covers all local evidence."""
    return local_crashes <= cleared_crashes
