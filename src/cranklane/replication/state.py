"""State of a replica: log, vote, members, and commit and apply progress.

Shared by :mod:`election`, :mod:`leadership` and :mod:`applier`. The replica's role and the tasks
that drive it belong to :mod:`replica`.
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
    """Kind of a log entry."""

    TERM_START = 0
    COMMAND = 1
    MEMBERS = 2


@dataclass(frozen=True)
class ReplicaInfo:
    """Group, name and addresses of a replica, from its settings.

    :ivar address: address for other replicas.
    :ivar http: address of the operator API of its process.
    """

    group: str
    name: str
    address: str
    http: str = ""


class ReplicaState:
    """State of one replica of one group.

    :param event_log: logger of role and membership changes and disk errors.
    :ivar leader: identity of the leader in the current term, 0 when unknown.
    :ivar commit_index: index of the newest entry known to be committed.
    :ivar applied_index: index of the newest applied entry.
    :ivar committed: set when there are committed entries to apply.
    :ivar state_lock: lock for changes of log, vote and term.
    """

    def __init__(
        self, runtime: Runtime, storage: Storage, info: ReplicaInfo, event_log: Any
    ) -> None:
        self.runtime = runtime
        self.info = info
        self.event_log = event_log
        self.log = Log(storage)
        self.votes = VoteFile(storage)
        self.members = Members()
        self.leader = 0
        self.commit_index = 0
        self.applied_index = 0
        self.committed = Event()
        self.state_lock = Semaphore()
        self._links: dict[str, ReplicaLink] = {}

    @property
    def term(self) -> int:
        """Current term of this replica."""
        return self.votes.state.term

    @property
    def identity(self) -> int:
        """Random identity stored in the data folder; an emptied folder gets a new one."""
        return self.votes.state.identity

    @property
    def is_member(self) -> bool:
        """Whether this replica is a member of its group."""
        return self.members.find(self.identity) is not None

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter."""
        return self.members.is_voter(self.identity)

    def members_suffice(self, voters: int) -> bool:
        """Return whether a committed entry gives the group at least this number of voters."""
        is_committed = self.members.index <= self.commit_index
        return is_committed and len(self.members.voters()) >= voters

    def leader_member(self) -> ReplicaMember | None:
        """Return the leader's member entry, or None when the leader is unknown."""
        return self.members.find(self.leader) if self.leader else None

    def hello(self) -> ReplicaHello:
        """Return the first record of a connection to another replica."""
        return ReplicaHello(self.identity, self.info.group, self.info.name)

    def link(self, member: ReplicaMember) -> ReplicaLink:
        """Return the link to a member's address, created on first use."""
        link = self._links.get(member.address)
        if link is None:
            link = ReplicaLink(self.runtime, member.address, self.hello())
            self._links[member.address] = link
        return link

    def adopt_members(self, entry: LogEntry) -> None:
        """Update the members for an entry that was appended to the log.

        An entry of another kind removes member sets of the entries it replaced.
        """
        if entry.kind == EntryKind.MEMBERS:
            self.members.adopt(entry.index, entry.data)
        else:
            self.members.remove_from(entry.index)

    def commit(self, index: int) -> None:
        """Advance the commit index to ``index``, at most to the end of the log."""
        index = min(index, self.log.last_index)
        if index > self.commit_index:
            self.commit_index = index
            self.committed.set()
