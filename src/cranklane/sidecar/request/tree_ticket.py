"""The rank of a call tree, which all its calls carry.

Lower ranks are served first. The encoded form may grow: bytes after the known fields are ignored,
and missing ones mean that nothing is stated, so that sidecars of other releases are understood.
"""

from __future__ import annotations

from struct import Struct
from typing import NamedTuple

MAX_RANK = 65535
"""The last rank."""

RANKS_PER_PRIORITY = 256
"""Ranks of each priority: the priority is the high byte of a rank."""

_LAST_PRIORITY = MAX_RANK // RANKS_PER_PRIORITY

_LAYOUT = Struct("!H")


def rank_of_priority(priority: int) -> int:
    """Return the first rank of a priority; all priorities beyond 255 share the last ranks.

    >>> rank_of_priority(0), rank_of_priority(2), rank_of_priority(1000)
    (0, 512, 65280)
    """
    return min(priority, _LAST_PRIORITY) * RANKS_PER_PRIORITY


class TreeTicket(NamedTuple):
    """What the calls of one tree have in common.

    :ivar rank: 0 for the first to be served, up to :data:`MAX_RANK`; None if not stated.
    """

    rank: int | None = None

    @property
    def is_first_priority(self) -> bool:
        """Whether the tree is ranked with priority 0."""
        return self.rank is not None and self.rank < RANKS_PER_PRIORITY

    def pack(self) -> bytes:
        r"""Return the encoded ticket; empty if it states nothing.

        >>> TreeTicket(258).pack(), TreeTicket().pack()
        (b'\x01\x02', b'')
        """
        return b"" if self.rank is None else _LAYOUT.pack(self.rank)


NO_TICKET = TreeTicket()


def rank_in_class(ticket: TreeTicket, priority: int) -> int:
    """Return the rank of a ticket; without one, the middle rank of a priority.

    >>> rank_in_class(TreeTicket(7), 2), rank_in_class(NO_TICKET, 2)
    (7, 640)
    """
    if ticket.rank is not None:
        return ticket.rank
    return rank_of_priority(priority) + RANKS_PER_PRIORITY // 2


def unpack_ticket(data: bytes) -> TreeTicket:
    r"""Return the ticket in a record's field.

    >>> unpack_ticket(b"\x01\x02later"), unpack_ticket(b"\x01") is NO_TICKET
    (TreeTicket(rank=258), True)
    """
    if len(data) < _LAYOUT.size:
        return NO_TICKET
    return TreeTicket(_LAYOUT.unpack_from(data)[0])
