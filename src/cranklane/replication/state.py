"""What a replica holds: its log, vote and members, and how far entries are committed.

Election, leadership and the application of entries read it and change it through its
methods. Who leads, and the tasks that drive it, belong to :mod:`replica`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from gevent.event import Event
from gevent.lock import Semaphore

from cranklane.records.messages import LogEntry, ReplicaHello, ReplicaMember
from cranklane.replication.link import ReplicaLink
from cranklane.replication.log import Log
from cranklane.replication.members import Members
from cranklane.replication.vote_file import VoteFile
from cranklane.runtime.interface import Runtime, Storage


class EntryKind(IntEnum):
    """What an entry of the log is."""

    TERM_START = 0
    COMMAND = 1
    MEMBERS = 2


@dataclass(frozen=True)
class ReplicaIdentity:
    """Who a replica is.

    :ivar address: where other replicas reach it.
    :ivar http: where operators reach its process.
    """

    group: str
    name: str
    address: str
    http: str = ""


class ReplicaState:
    """State of one replica of one group.

    :param event_log: for changes of state.
    :ivar leader: identity of the leader of the newest term, 0 when not known.
    :ivar commit_index: newest entry known to be committed.
    :ivar applied_index: newest entry applied.
    :ivar committed: set when entries have been committed that are not applied yet.
    :ivar changing: held while log, vote or term change.
    """

    def __init__(
        self, runtime: Runtime, storage: Storage, own: ReplicaIdentity, event_log: Any
    ) -> None:
        self.runtime = runtime
        self.own = own
        self.event_log = event_log
        self.log = Log(storage)
        self.votes = VoteFile(storage)
        self.members = Members()
        self.leader = 0
        self.commit_index = 0
        self.applied_index = 0
        self.committed = Event()
        self.changing = Semaphore()
        self._links: dict[str, ReplicaLink] = {}

    @property
    def term(self) -> int:
        """The newest term known."""
        return self.votes.state.term

    @property
    def identity(self) -> int:
        """Identity of the data folder."""
        return self.votes.state.identity

    @property
    def is_member(self) -> bool:
        """Whether it belongs to a group."""
        return self.members.find(self.identity) is not None

    @property
    def is_voter(self) -> bool:
        """Whether it votes."""
        return self.members.is_voter(self.identity)

    def members_suffice(self, voters: int) -> bool:
        """Return whether the group has at least so many voters in a committed entry."""
        settled = self.members.index <= self.commit_index
        return settled and len(self.members.voters()) >= voters

    def leader_member(self) -> ReplicaMember | None:
        """Return the leader, or None when it is not known."""
        return self.members.find(self.leader) if self.leader else None

    def hello(self) -> ReplicaHello:
        """Return its greeting to other replicas."""
        return ReplicaHello(self.identity, self.own.group, self.own.name)

    def link(self, member: ReplicaMember) -> ReplicaLink:
        """Return the link to a replica's address."""
        link = self._links.get(member.address)
        if link is None:
            link = ReplicaLink(self.runtime, member.address, self.hello())
            self._links[member.address] = link
        return link

    def take_members(self, entry: LogEntry) -> None:
        """Adopt the members that an entry states that is now in the log."""
        if entry.kind == EntryKind.MEMBERS:
            self.members.stated(entry.index, entry.data)
        else:
            self.members.cut(entry.index)

    def commit(self, index: int) -> None:
        """Mark entries up to ``index`` as committed."""
        index = min(index, self.log.last_index)
        if index > self.commit_index:
            self.commit_index = index
            self.committed.set()
