"""One replica of a group: its log, its vote, and what it applies.

The protocol is Raft (Ongaro and Ousterhout, USENIX ATC 2014) with trial votes,
learners, one change of members at a time, and a leader lease for reads. Each
connection and each peer has a task of its own.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Any

import gevent
from gevent.event import AsyncResult, Event
from gevent.lock import Semaphore
from result import Err, Ok, Result

from cranklane.records.messages import (
    LogEntry,
    LogSnapshot,
    ReplicaHello,
    ReplicaMember,
    ReplicaSet,
    VoteRequest,
)
from cranklane.replication.election import Election
from cranklane.replication.leadership import Leadership
from cranklane.replication.link import ReplicaLink
from cranklane.replication.log import Log
from cranklane.replication.members import Members
from cranklane.replication.state_machine import StateMachine
from cranklane.replication.vote_file import VoteFile
from cranklane.runtime.interface import Runtime, Storage

SNAPSHOT_BYTES = 4 * 1024 * 1024
"""Least size of the log file from which a snapshot replaces it."""

SNAPSHOT_FACTOR = 2
"""The log grows to at least this many times the last snapshot's size, so that a
large state is not written again for each little change."""

PROPOSAL_SECONDS = 5.0
"""Seconds a proposal waits for its commit."""


class EntryKind(IntEnum):
    """What an entry of the log is."""

    TERM_START = 0
    COMMAND = 1
    MEMBERS = 2


class ProposalFailure(Enum):
    """Why a proposal has no answer."""

    NOT_LEADER = "not_leader"
    """It was not written anywhere."""
    UNKNOWN = "unknown"
    """It may be committed or not."""


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


class Replica:
    """One replica of one group.

    :param on_apply: called after entries were applied.
    :param log: for changes of state.
    :ivar leader: identity of the leader of the newest term, 0 when not known.
    :ivar commit_index: newest entry known to be committed.
    :ivar applied_index: newest entry applied.
    :ivar leadership: set while this replica leads.
    :ivar changing: held while log, vote or term change.
    """

    def __init__(
        self,
        runtime: Runtime,
        storage: Storage,
        machine: StateMachine,
        own: ReplicaIdentity,
        on_apply: Callable[[], None],
        log: Any,
    ) -> None:
        self.runtime = runtime
        self.own = own
        self.log = Log(storage)
        self.members = Members()
        self.machine = machine
        self.leader = 0
        self.commit_index = 0
        self.applied_index = 0
        self.leadership: Leadership | None = None
        self.changing = Semaphore()
        self.election = Election(self)
        self.votes = VoteFile(storage)
        self.event_log = log
        self._on_apply = on_apply
        self._committed = Event()
        self._unsynced = Event()
        self._waiting: dict[int, tuple[int, AsyncResult]] = {}
        self._links: dict[str, ReplicaLink] = {}

    # State.

    @property
    def term(self) -> int:
        """The newest term known."""
        return self.votes.state.term

    @property
    def identity(self) -> int:
        """Identity of the data folder."""
        return self.votes.state.identity

    @property
    def is_leader(self) -> bool:
        """Whether it leads, as far as it knows."""
        return self.leadership is not None

    @property
    def may_read(self) -> bool:
        """Whether it leads for certain and has applied all that was acknowledged."""
        return self.leadership is not None and self.leadership.has_lease()

    @property
    def in_touch(self) -> bool:
        """Whether it leads for certain, or has lately heard a leader that did."""
        return self.may_read or (not self.is_leader and self.election.leader_heard_lately())

    @property
    def is_member(self) -> bool:
        """Whether it belongs to a group."""
        return self.members.find(self.identity) is not None

    def members_suffice(self, voters: int) -> bool:
        """Return whether the group has at least so many voters, by its committed word."""
        settled = self.members.index <= self.commit_index
        return settled and len(self.members.voters()) >= voters

    def leader_member(self) -> ReplicaMember | None:
        """Return the leader, or None when it is not known."""
        return self.members.find(self.leader) if self.leader else None

    def hello(self) -> ReplicaHello:
        """Return what it tells other replicas of itself."""
        return ReplicaHello(self.identity, self.own.group, self.own.name)

    # Start.

    def open(self) -> None:
        """Come back to what is on disk, and start the replica's tasks.

        :raises DamagedLogError: when what is on disk cannot be trusted.
        """
        torn = self.log.open()
        if torn:
            self.event_log.warning("torn_tail_cut", bytes=torn)
        has_log = self.log.last_index > 0
        self.votes.open(self.runtime.random, has_log)
        self.restore(self.log.snapshot)
        self.election.heard()
        for task in (self._apply, self._sync, self.election.watch):
            self.runtime.spawn(task)
        self._lead_alone()
        if self.members.quorum() > 1:
            self.runtime.spawn(self.election.replace_former_leader)

    def _lead_alone(self) -> None:
        """Stand at once when there is nobody to hear from."""
        if self.members.is_voter(self.identity) and self.members.quorum() == 1:
            self.runtime.spawn(self.election.campaign)

    def restore(self, snapshot: LogSnapshot) -> None:
        """Replace state and members by a snapshot's and the entries after it."""
        self.machine.restore(snapshot.state)
        self.members.restore(snapshot.index, snapshot.members)
        for entry in self.log.between(snapshot.index + 1, self.log.last_index):
            self.take_members(entry)
        self.commit_index = self.applied_index = snapshot.index

    def found_group(self) -> None:
        """Found a group of this one replica.

        Its data folder must be empty, or hold a back-up and nothing else.
        """
        term = max(1, self.log.last_term)
        self.votes.save(term, self.identity)
        own = self.own
        founder = ReplicaMember(self.identity, True, False, own.name, own.address, own.http)
        data = ReplicaSet([founder]).pack()
        entry = LogEntry(term, self.log.last_index + 1, EntryKind.MEMBERS, data)
        self.log.append([entry])
        self.log.sync()
        self.take_members(entry)
        self._lead_alone()

    def take_members(self, entry: LogEntry) -> None:
        """Take what an entry that is now in the log says of the members."""
        if entry.kind == EntryKind.MEMBERS:
            self.members.stated(entry.index, entry.data)
        else:
            self.members.cut(entry.index)

    def link(self, member: ReplicaMember) -> ReplicaLink:
        """Return the link to a replica's address."""
        link = self._links.get(member.address)
        if link is None:
            link = ReplicaLink(self.runtime, member.address, self.hello())
            self._links[member.address] = link
        return link

    # Proposals.

    def propose(
        self, command: bytes, kind: EntryKind = EntryKind.COMMAND
    ) -> Result[Any, ProposalFailure]:
        """Commit a command, apply it and return its answer."""
        leadership = self.leadership
        if leadership is None:
            return Err(ProposalFailure.NOT_LEADER)
        applied: AsyncResult = AsyncResult()
        with self.changing:
            if self.leadership is not leadership:
                return Err(ProposalFailure.NOT_LEADER)
            try:
                index = self._append_own(leadership, kind, command)
            except OSError as error:
                self._disk_failed(error)
                return Err(ProposalFailure.NOT_LEADER)
            waiting = self._waiting[index] = (leadership.term, applied)
        self._unsynced.set()
        leadership.wake()
        try:
            return applied.get(timeout=PROPOSAL_SECONDS)
        except gevent.Timeout:
            return Err(ProposalFailure.UNKNOWN)
        finally:
            if self._waiting.get(index) is waiting:
                del self._waiting[index]

    def _disk_failed(self, error: OSError) -> None:
        """Leave leading to a replica whose disk takes writes."""
        self.event_log.error("disk_failed", error=str(error))
        self.election.pause()
        self.step_down()

    def _append_own(self, leadership: Leadership, kind: EntryKind, data: bytes) -> int:
        entry = LogEntry(leadership.term, self.log.last_index + 1, kind, data)
        self.log.append([entry])
        self.take_members(entry)
        return entry.index

    # Tasks.

    def _sync(self) -> None:
        """Make the leader's own entries durable, many at once."""
        while True:
            self._unsynced.wait()
            self._unsynced.clear()
            leadership = self.leadership
            try:
                durable = self.log.sync()
            except OSError as error:
                self._disk_failed(error)
                continue
            if leadership is not None and self.leadership is leadership:
                leadership.own_durable(durable)

    def _apply(self) -> None:
        """Apply committed entries in order."""
        while True:
            self._committed.wait()
            self._committed.clear()
            while self.applied_index < self.commit_index:
                entries = self.log.between(self.applied_index + 1, self.applied_index + 1)
                if not entries:
                    break
                self._apply_one(entries[0])
            self._on_apply()
            self._snapshot_when_large()

    def _apply_one(self, entry: LogEntry) -> None:
        answer: Any = None
        if entry.kind == EntryKind.COMMAND:
            answer = self.machine.apply(entry.data)
        self.applied_index = entry.index
        term, waiting = self._waiting.get(entry.index, (0, None))
        if waiting is not None:
            same = term == entry.term
            waiting.set(Ok(answer) if same else Err(ProposalFailure.UNKNOWN))

    def _snapshot_when_large(self) -> None:
        limit = max(SNAPSHOT_BYTES, SNAPSHOT_FACTOR * self.log.snapshot_size)
        if self.log.size < limit or self.applied_index <= self.log.snapshot.index:
            return
        try:
            with self.changing:
                self.compact()
        except OSError as error:
            # The log stays as it is; a later entry tries again.
            self.event_log.error("disk_failed", error=str(error))

    def compact(self) -> None:
        """Replace the applied entries by a snapshot. Needs the lock."""
        index = self.applied_index
        term = self.log.term_at(index)
        if term is None:
            return
        members = self.members.at(index)
        self.log.compact(LogSnapshot(term, index, members, self.machine.pack()))

    def commit(self, index: int) -> None:
        """Take that entries up to ``index`` are committed."""
        index = min(index, self.log.last_index)
        if index > self.commit_index:
            self.commit_index = index
            self._committed.set()

    def installed(self) -> None:
        """Tell that a leader's snapshot has replaced the state."""
        self._on_apply()

    # Terms.

    def take_term(self, term: int) -> None:
        """Take a newer term; a leader of an older one steps down. Needs the lock."""
        if term > self.term:
            self.votes.save(term, 0)
            self.leader = 0
            self.step_down()

    def follow(self, term: int, leader: int, leased: bool) -> None:
        """Take that a replica leads a term. Needs the lock.

        :param leased: whether it leads for certain, by its own word.
        """
        self.take_term(term)
        if self.votes.state.voted_for != leader:
            # Whoever leads has the term for good; see PeerService on its lease.
            self.votes.save(term, leader)
        if self.leader != leader:
            self.leader = leader
            self.event_log.info("following", group=self.own.group, term=term)
        self.election.heard()
        if leased:
            self.election.leader_heard()

    def step_down(self) -> None:
        """Lead no more; proposals under way end as unknown."""
        if self.leadership is None:
            return
        self.event_log.warning("leadership_lost", group=self.own.group, term=self.term)
        self.leadership.end()
        self.leadership = None
        self.leader = 0
        self.election.heard()
        for _, waiting in self._waiting.values():
            waiting.set(Err(ProposalFailure.UNKNOWN))
        self._waiting.clear()

    def newer_term_seen(self, term: int) -> None:
        """Take a newer term that a reply has shown."""
        try:
            with self.changing:
                self.take_term(term)
        except OSError as error:
            self._disk_failed(error)

    def stand(self) -> VoteRequest | None:
        """Begin a new term as its candidate; return what to ask the others.

        Does nothing when it leads by now: its term must stay that of its leadership.
        """
        with self.changing:
            if self.leadership is not None:
                return None
            self.votes.save(self.term + 1, self.identity)
            self.leader = 0
            return self.vote_request(trial=False)

    def vote_request(self, trial: bool) -> VoteRequest:
        """Return what to ask the others for."""
        term = self.term + 1 if trial else self.term
        return VoteRequest(
            term,
            self.identity,
            self.log.last_index,
            self.log.last_term,
            trial,
            self.election.lost_leader,
        )

    def lead(self, term: int) -> None:
        """Begin to lead a term that a quorum has voted for."""
        with self.changing:
            if self.term != term or self.leadership is not None:
                return
            leadership = Leadership(self, term)
            try:
                self._append_own(leadership, EntryKind.TERM_START, b"")
            except OSError as error:
                self._disk_failed(error)
                return
            self.leader = self.identity
            self.leadership = leadership
        self.event_log.info("leading", group=self.own.group, term=term)
        self._unsynced.set()
        leadership.start()
