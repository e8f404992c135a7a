"""The replicas of a group as the newest entry of its log states them.

Owns the sets of replicas by entry; relies on the log's owner to report each entry that is
appended, replaced or restored.
"""

from __future__ import annotations

from cranklane.records.messages import ReplicaMember, ReplicaSet


def quorum_of(voters: int) -> int:
    """Return how many of so many voters decide: more than half.

    >>> [quorum_of(voters) for voters in (1, 2, 3, 4, 5)]
    [1, 2, 2, 3, 3]
    """
    return voters // 2 + 1


class Members:
    """Sets of replicas by the index of the entry that states them.

    A set is in force as soon as its entry is in the log, committed or not. Sets
    follow each other by one replica at a time, so any two neighbouring sets have
    a quorum in common.
    """

    def __init__(self) -> None:
        self._sets: list[tuple[int, list[ReplicaMember]]] = [(0, [])]

    @property
    def current(self) -> list[ReplicaMember]:
        """The replicas now."""
        return self._sets[-1][1]

    @property
    def index(self) -> int:
        """Index of the entry that states them."""
        return self._sets[-1][0]

    def voters(self) -> list[ReplicaMember]:
        """Return the replicas that vote."""
        return [member for member in self.current if member.voter]

    def quorum(self) -> int:
        """Return how many voters decide."""
        return quorum_of(len(self.voters()))

    def find(self, identity: int) -> ReplicaMember | None:
        """Return the replica of an identity, or None."""
        return next((item for item in self.current if item.identity == identity), None)

    def named(self, name: str) -> ReplicaMember | None:
        """Return the replica of a name, or None."""
        return next((item for item in self.current if item.name == name), None)

    def is_voter(self, identity: int) -> bool:
        """Return whether an identity votes."""
        member = self.find(identity)
        return member is not None and member.voter

    def stated(self, index: int, data: bytes) -> None:
        """Adopt the set that an entry states."""
        self.cut(index)
        self._sets.append((index, ReplicaSet.unpack(data).members))

    def cut(self, index: int) -> None:
        """Forget what entries from ``index`` on state: they were replaced."""
        while len(self._sets) > 1 and self._sets[-1][0] >= index:
            self._sets.pop()

    def restore(self, index: int, members: list[ReplicaMember]) -> None:
        """Start from a snapshot's set."""
        self._sets = [(index, members)]

    def at(self, index: int) -> list[ReplicaMember]:
        """Return the replicas as stated up to an index."""
        return next((members for stated, members in reversed(self._sets) if stated <= index), [])
