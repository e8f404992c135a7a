"""Ejects members of a service that fail several times in a row.

Owns the rule: when, for how long, and how many at most. The failures are counted by
:mod:`~cranklane.node.members`. The sidecar's rule
(:mod:`~cranklane.sidecar.routing.ejection`) is another one: it tells failures to reach a
destination, which eject it at once, from failed runs.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol, TypeVar

EJECT_AFTER_FAILURES = 3
"""Failures in a row after which a member gets no calls for a while. A choice: one or two
failures in a row are common while a single call or connection goes wrong."""

EJECT_SECONDS = 5.0
"""Seconds of the first ejection; each further failure in a row adds as many. A choice: about
the time that a worker needs to restart."""

MAX_EJECT_SECONDS = 60.0
"""Seconds of the longest ejection. A choice: a member that works again is tried within a
minute."""

MIN_KEPT_RATIO = 0.5
"""Ratio of a service's members that is never ejected. A choice: when more than half look
broken, the fault is more likely on the caller's side."""


class Ejectable(Protocol):
    """What the rule needs to know of a member.

    :ivar ejected_until: monotonic second at which its ejection ends.
    """

    ejected_until: float


_Member = TypeVar("_Member", bound=Ejectable)


def ejection_seconds(failures: int) -> float:
    """Return for how many seconds a member is ejected after failures in a row; 0: not at all.

    >>> [ejection_seconds(failures) for failures in (2, 3, 4, 100)]
    [0.0, 5.0, 10.0, 60.0]
    """
    if failures < EJECT_AFTER_FAILURES:
        return 0.0
    rounds = failures - EJECT_AFTER_FAILURES + 1
    return min(MAX_EJECT_SECONDS, EJECT_SECONDS * rounds)


def without_ejected(members: Sequence[_Member], now: float) -> Sequence[_Member]:
    """Return the members that are not ejected, or all when too few would be left.

    :param now: monotonic seconds.
    """
    healthy = [member for member in members if member.ejected_until <= now]
    return healthy if len(healthy) >= len(members) * MIN_KEPT_RATIO else members
