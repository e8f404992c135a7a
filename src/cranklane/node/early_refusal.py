"""Refuses calls at the calling node when the called members would probably refuse them.

Each answer of a member reports the criticality that it recently refused
(:meth:`cranklane.node.admission.Admission.refused_below`);
:mod:`~cranklane.node.members` keeps the reports.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from cranklane.node.members import MemberView, RefusalReport
from cranklane.outcome import Criticality

REPORT_VALID_SECONDS = 0.2
"""Seconds for which a member's report is valid. A few service times, as its load changes that
fast."""

_NO_REPORT = RefusalReport(0, 0.0)

REFUSED_RATIO = 0.9
"""Fraction of the matching calls that is refused; the remaining calls refresh the reports."""


class EarlyRefusal:
    """Refuses a node's outbound calls early.

    :param clock: returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float], random: Random) -> None:
        self._clock = clock
        self._random = random

    def refuses(self, members: Sequence[MemberView], tenant: str, criticality: Criticality) -> bool:
        """Return whether to refuse a call because most members refused more critical ones.

        Calls of the highest refused criticality are still sent: the members decide which of
        them fit in. Refusing them here would leave slots to less critical calls.

        :param members: members of the called service.
        """
        if not members:
            return False
        oldest = self._clock() - REPORT_VALID_SECONDS
        refusing = 0
        for member in members:
            report = member.refusals.get(tenant, _NO_REPORT)
            refusing += report.refused_below > criticality + 1 and report.reported_at > oldest
        if refusing * 2 <= len(members):
            return False
        return self._random.random() < REFUSED_RATIO
