"""Membership of a group, from the MEMBERS entries of its log.

The log's owner must report each entry that is appended, replaced or restored.
"""

from __future__ import annotations

from cranklane.records.messages import ReplicaMember, ReplicaSet


def quorum_of(voters: int) -> int:
    """Return the size of a majority of ``voters`` voters.

    >>> [quorum_of(voters) for voters in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return voters // 2 + 1


class Members:
    """Member sets by the index of the log entry that defines them.

    A set takes effect when its entry is appended, before it is committed. Consecutive
    sets differ by one replica, so that their quorums overlap.
    """

    def __init__(self) -> None:
        self._sets: list[tuple[int, list[ReplicaMember]]] = [(0, [])]

    @property
    def current(self) -> list[ReplicaMember]:
        """The newest member set."""
        return self._sets[-1][1]

    @property
    def index(self) -> int:
        """Index of the entry that defines the newest set."""
        return self._sets[-1][0]

    def voters(self) -> list[ReplicaMember]:
        """Return the voters of the newest set."""
        return [member for member in self.current if member.voter]

    def quorum(self) -> int:
        """Return the quorum size of the newest set."""
        return quorum_of(len(self.voters()))

    def find(self, identity: int) -> ReplicaMember | None:
        """Return the member with an identity, or None."""
        return next((item for item in self.current if item.identity == identity), None)

    def find_by_name(self, name: str) -> ReplicaMember | None:
        """Return the member with a name, or None."""
        return next((item for item in self.current if item.name == name), None)

    def is_voter(self, identity: int) -> bool:
        """Return whether the member with an identity is a voter."""
        member = self.find(identity)
        return member is not None and member.voter

    def adopt(self, index: int, data: bytes) -> None:
        """Adopt the set that an entry at ``index`` defines."""
        self.remove_from(index)
        self._sets.append((index, ReplicaSet.unpack(data).members))

    def remove_from(self, index: int) -> None:
        """Remove the sets of replaced entries, those from ``index`` on."""
        while len(self._sets) > 1 and self._sets[-1][0] >= index:
            self._sets.pop()

    def restore(self, index: int, members: list[ReplicaMember]) -> None:
        """Replace all sets by the set of a snapshot."""
        self._sets = [(index, members)]

    def members_at(self, index: int) -> list[ReplicaMember]:
        """Return the member set in effect at an index."""
        return next((members for entry, members in reversed(self._sets) if entry <= index), [])
