"""State of a node or edge, as encoded in records."""

from __future__ import annotations

from enum import IntEnum


class MemberState(IntEnum):
    """State of a member of the fleet."""

    LIVE = 0
    DRAINING = 1
    GONE = 2
    """The member reported that it stops or that nothing runs there."""
    SILENT = 3
    """The member's lease expired: it has crashed or is partitioned from control."""

    @property
    def is_present(self) -> bool:
        """Whether control lists the member as present."""
        return self in (MemberState.LIVE, MemberState.DRAINING)
