"""One replica of a group: starts its tasks, takes proposals, and changes term and role.

The protocol is Raft (Ongaro and Ousterhout, USENIX ATC 2014) with trial votes,
learners, one change of members at a time, and a leader lease for reads. Each
connection and each peer has a task of its own.

Owns which leadership is in force. The log, vote and members belong to
:class:`ReplicaState`, waiting proposals to :class:`Proposals`, the state machine's progress
to :class:`Applier`, the election timer to :class:`Election`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gevent.event import Event
from result import Err, Result

from cranklane.records.messages import LogEntry, LogSnapshot, ReplicaMember, ReplicaSet
from cranklane.replication.applier import Applier
from cranklane.replication.election import Election
from cranklane.replication.leadership import Leadership
from cranklane.replication.proposals import ProposalFailure, Proposals
from cranklane.replication.state import EntryKind, ReplicaIdentity, ReplicaState
from cranklane.replication.state_machine import StateMachine
from cranklane.runtime.interface import Runtime, Storage


class Replica(ReplicaState):
    """One replica of one group.

    :param on_apply: called after entries were applied.
    :param event_log: for changes of state.
    :ivar leadership: set while this replica leads.
    """

    def __init__(
        self,
        runtime: Runtime,
        storage: Storage,
        machine: StateMachine,
        own: ReplicaIdentity,
        on_apply: Callable[[], None],
        event_log: Any,
    ) -> None:
        super().__init__(runtime, storage, own, event_log)
        self.leadership: Leadership | None = None
        self.election = Election(state=self, candidate=self)
        self._proposals = Proposals()
        self._applier = Applier(self, machine, self._proposals, on_apply)
        self._unsynced = Event()

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
        """Whether it leads for certain, or had a recent heartbeat of a leader that did."""
        return self.may_read or (not self.is_leader and self.election.has_leased_leader())

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
        self._applier.restore(self.log.snapshot)
        self.election.restart_timer()
        for task in (self._applier.run, self._sync, self.election.watch):
            self.runtime.spawn(task)
        self._stand_when_alone()
        if self.members.quorum() > 1:
            self.runtime.spawn(self.election.replace_former_leader)

    def _stand_when_alone(self) -> None:
        """Stand at once when there is no other voter to wait for."""
        if self.is_voter and self.members.quorum() == 1:
            self.runtime.spawn(self.election.campaign)

    def found_group(self) -> None:
        """Found a group of this one replica.

        Its data folder must be empty, or hold a back-up and nothing else.

        :raises OSError: when the disk refuses the entry.
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
        self._stand_when_alone()

    # Proposals.

    def propose(
        self, command: bytes, kind: EntryKind = EntryKind.COMMAND
    ) -> Result[Any, ProposalFailure]:
        """Commit a command, apply it and return its answer."""
        leadership = self.leadership
        if leadership is None:
            return Err(ProposalFailure.NOT_LEADER)
        with self.changing:
            if self.leadership is not leadership:
                return Err(ProposalFailure.NOT_LEADER)
            try:
                index = self._append_own(leadership, kind, command)
            except OSError as error:
                self._disk_failed(error)
                return Err(ProposalFailure.NOT_LEADER)
            proposal = self._proposals.add(index, leadership.term)
        self._unsynced.set()
        leadership.wake()
        return self._proposals.wait(proposal)

    def _append_own(self, leadership: Leadership, kind: EntryKind, data: bytes) -> int:
        entry = LogEntry(leadership.term, self.log.last_index + 1, kind, data)
        self.log.append([entry])
        self.take_members(entry)
        return entry.index

    def _sync(self) -> None:
        """Make the leader's own entries durable, many at once, for ever."""
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

    def _disk_failed(self, error: OSError) -> None:
        """Leave the leadership to a replica whose disk takes writes."""
        self.event_log.error("disk_failed", error=str(error))
        self.election.pause()
        self.step_down()

    # Snapshots.

    def snapshot(self) -> LogSnapshot:
        """Return a snapshot of all that is applied here."""
        return self._applier.snapshot()

    def compact(self) -> None:
        """Replace the applied entries by a snapshot. Needs the lock ``changing``.

        :raises OSError: when the disk refuses the snapshot.
        """
        self._applier.compact()

    def install(self, snapshot: LogSnapshot) -> None:
        """Replace log and state by a leader's snapshot. Needs the lock ``changing``.

        :raises OSError: when the disk refuses the snapshot.
        """
        self._applier.install(snapshot)

    # Terms.

    def take_term(self, term: int) -> None:
        """Adopt a newer term; a leader of an older one steps down. Needs the lock.

        :raises OSError: when the disk refuses the term.
        """
        if term > self.term:
            self.votes.save(term, 0)
            self.leader = 0
            self.step_down()

    def newer_term_seen(self, term: int) -> None:
        """Adopt a newer term that a reply has shown."""
        try:
            with self.changing:
                self.take_term(term)
        except OSError as error:
            self._disk_failed(error)

    def begin_term(self) -> bool:
        """Begin a new term and vote for itself; return False when it leads by now.

        The term of a leader must stay that of its leadership.

        :raises OSError: when the disk refuses the vote.
        """
        with self.changing:
            if self.leadership is not None:
                return False
            self.votes.save(self.term + 1, self.identity)
            self.leader = 0
            return True

    # Roles.

    def follow(self, term: int, leader: int, leased: bool) -> None:
        """Follow a replica that leads a term. Needs the lock.

        :param leased: whether it states that it has its lease.
        :raises OSError: when the disk refuses the vote.
        """
        self.take_term(term)
        if self.votes.state.voted_for != leader:
            # Whoever leads has the term for good; see PeerService on its lease.
            self.votes.save(term, leader)
        if self.leader != leader:
            self.leader = leader
            self.event_log.info("following", group=self.own.group, term=term)
        self.election.restart_timer()
        if leased:
            self.election.leased_heartbeat()

    def lead(self, term: int) -> None:
        """Begin to lead a term that a quorum has voted for."""
        with self.changing:
            if self.term != term or self.leadership is not None:
                return
            leadership = Leadership(self, term, self.newer_term_seen)
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

    def step_down(self) -> None:
        """Stop leading; the outcome of proposals under way is unknown."""
        if self.leadership is None:
            return
        self.event_log.warning("leadership_lost", group=self.own.group, term=self.term)
        self.leadership.end()
        self.leadership = None
        self.leader = 0
        self.election.restart_timer()
        self._proposals.abandon()
