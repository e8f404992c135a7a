"""Outlier ejection: excludes members that fail several times in a row.

:mod:`~cranklane.node.members` counts the failures. The sidecar's ejection rule is
:mod:`~cranklane.sidecar.routing.ejection`.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

EJECT_AFTER_FAILURES = 3
"""Consecutive failures that eject a member. One faulty call or connection usually causes
fewer."""

EJECT_SECONDS = 5.0
"""Duration of the first ejection in seconds; each further consecutive failure adds as much.
About the restart time of a worker."""

MAX_EJECT_SECONDS = 60.0
"""Longest ejection in seconds; bounds how long a recovered member gets no calls."""

MIN_ACTIVE_RATIO = 0.5
"""Smallest fraction of a service's members left after ejection. If more than half of them
fail, the fault is more likely on the caller's side, and ejections are ignored."""


class Ejectable(Protocol):
    """A member that can be ejected.

    :ivar ejected_until: monotonic second at which its ejection ends.
    """

    ejected_until: float


_Member = TypeVar("_Member", bound=Ejectable)


def ejection_seconds(failures: int) -> float:
    """Return the seconds of ejection after consecutive failures; 0 for no ejection.

    >>> [ejection_seconds(failures) for failures in (2, 3, 4, 100)]
    [0.0, 5.0, 10.0, 60.0]
    """
    if failures < EJECT_AFTER_FAILURES:
        return 0.0
    rounds = failures - EJECT_AFTER_FAILURES + 1
    return min(MAX_EJECT_SECONDS, EJECT_SECONDS * rounds)


def without_ejected(members: Sequence[_Member], now: float) -> Sequence[_Member]:
    """Return the members that are not ejected, or all members if too few would be left.

    :param now: current time in monotonic seconds.
    """
    healthy = [member for member in members if member.ejected_until <= now]
    return healthy if len(healthy) >= len(members) * MIN_ACTIVE_RATIO else members
