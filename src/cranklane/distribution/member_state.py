"""What is known of a member of the fleet, as records between processes state it."""

from __future__ import annotations

from enum import IntEnum


class MemberState(IntEnum):
    """What is known of a node."""

    LIVE = 0
    DRAINING = 1
    GONE = 2
    """It said that it ends, or that nothing runs there."""
    SILENT = 3
    """Its lease at control has run out: it is gone, or cut off from control."""

    @property
    def is_there(self) -> bool:
        """Whether control takes the node to be there."""
        return self in (MemberState.LIVE, MemberState.DRAINING)
