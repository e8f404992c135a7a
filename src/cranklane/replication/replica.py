"""One replica of a group: starts its tasks, accepts proposals, and changes term and role.

The protocol is Raft (Ongaro and Ousterhout, USENIX ATC 2014) with pre-votes, learners,
single-member changes, and a leader lease for reads. Each connection and each peer is served by
a separate task.

Owns the current leadership. Log, vote and members belong to :class:`ReplicaState`, pending
proposals to :class:`Proposals`, apply progress to :class:`Applier`, and the election timer to
:class:`Election`.
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
from cranklane.replication.state import EntryKind, ReplicaInfo, ReplicaState
from cranklane.replication.state_machine import StateMachine
from cranklane.runtime.interface import Runtime, Storage


class Replica(ReplicaState):
    """One replica of one group.

    :param on_apply: called after entries were applied or a snapshot was installed.
    :param event_log: logger of role and membership changes and disk errors.
    :ivar leadership: the current leadership, None while this replica does not lead.
    """

    def __init__(
        self,
        runtime: Runtime,
        storage: Storage,
        state_machine: StateMachine,
        info: ReplicaInfo,
        on_apply: Callable[[], None],
        event_log: Any,
    ) -> None:
        super().__init__(runtime, storage, info, event_log)
        self.leadership: Leadership | None = None
        self.election = Election(state=self, candidate=self)
        self._proposals = Proposals()
        self._applier = Applier(self, state_machine, self._proposals, on_apply)
        self._sync_requested = Event()

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads its term; without a lease it may have been replaced."""
        return self.leadership is not None

    @property
    def may_read(self) -> bool:
        """Whether this replica has the lease and its state includes all acknowledged entries."""
        return self.leadership is not None and self.leadership.has_lease()

    @property
    def in_touch(self) -> bool:
        """Whether this replica has the lease or got a recent heartbeat of a leader that has it."""
        return self.may_read or (not self.is_leader and self.election.has_leased_leader())

    # Startup.

    def open(self) -> None:
        """Restore the state from disk and start the replica's tasks.

        :raises CorruptedLogError: when log, snapshot or vote file is corrupted, or the vote file
            is missing beside a log.
        :raises OSError: when the disk cannot be read or written.
        """
        torn = self.log.open()
        if torn:
            self.event_log.warning("torn_tail_cut", bytes=torn)
        has_log = self.log.last_index > 0
        self.votes.open(self.runtime.random, has_log)
        self._applier.restore(self.log.snapshot)
        self.election.restart_timer()
        for task in (self._applier.run, self._sync_appended_entries, self.election.run_timer):
            self.runtime.spawn_restarting(task)
        self._campaign_if_sole_voter()
        if self.members.quorum() > 1:
            self.runtime.spawn(self.election.replace_former_leader)

    def _campaign_if_sole_voter(self) -> None:
        """Start a candidacy immediately when this replica alone is a quorum."""
        if self.is_voter and self.members.quorum() == 1:
            self.runtime.spawn(self.election.campaign)

    def found_group(self) -> None:
        """Create a group with this replica as its only member.

        The data folder must be empty or contain only a restored backup.

        :raises OSError: when a write fails.
        """
        term = max(1, self.log.last_term)
        self.votes.save(term, self.identity)
        info = self.info
        founder = ReplicaMember(self.identity, True, False, info.name, info.address, info.http)
        data = ReplicaSet([founder]).pack()
        entry = LogEntry(term, self.log.last_index + 1, EntryKind.MEMBERS, data)
        self.log.append([entry])
        self.log.sync()
        self.adopt_members(entry)
        self._campaign_if_sole_voter()

    # Proposals.

    def propose(
        self, command: bytes, kind: EntryKind = EntryKind.COMMAND
    ) -> Result[Any, ProposalFailure]:
        """Append an entry and wait until it is committed and applied; return its answer."""
        leadership = self.leadership
        if leadership is None:
            return Err(ProposalFailure.NOT_LEADER)
        with self.state_lock:
            if self.leadership is not leadership:
                return Err(ProposalFailure.NOT_LEADER)
            try:
                index = self._append_local(leadership, kind, command)
            except OSError as error:
                self._handle_disk_failure(error)
                return Err(ProposalFailure.NOT_LEADER)
            proposal = self._proposals.add(index, leadership.term)
        self._sync_requested.set()
        leadership.wake()
        return self._proposals.wait(proposal)

    def _append_local(self, leadership: Leadership, kind: EntryKind, data: bytes) -> int:
        entry = LogEntry(leadership.term, self.log.last_index + 1, kind, data)
        self.log.append([entry])
        self.adopt_members(entry)
        return entry.index

    def _sync_appended_entries(self) -> None:
        """Sync entries that the leader appended, in batches; runs until the process ends."""
        while True:
            self._sync_requested.wait()
            self._sync_requested.clear()
            leadership = self.leadership
            try:
                durable = self.log.sync()
            except OSError as error:
                self._handle_disk_failure(error)
                continue
            if leadership is not None and self.leadership is leadership:
                leadership.record_local_sync(durable)

    def _handle_disk_failure(self, error: OSError) -> None:
        """Step down and delay candidacy, so that a replica with a working disk leads."""
        self.event_log.error("disk_failed", error=str(error))
        self.election.pause()
        self.step_down()

    # Snapshots.

    def snapshot(self) -> LogSnapshot:
        """Return a snapshot of the applied entries."""
        return self._applier.snapshot()

    def compact(self) -> None:
        """Replace the applied entries by a snapshot. The caller holds ``state_lock``.

        :raises OSError: when a write fails.
        """
        self._applier.compact()

    def install(self, snapshot: LogSnapshot) -> None:
        """Replace log and state by a leader's snapshot. The caller holds ``state_lock``.

        :raises OSError: when a write fails.
        """
        self._applier.install(snapshot)

    # Terms.

    def adopt_term(self, term: int) -> None:
        """Adopt a term if it is newer, and step down. The caller holds ``state_lock``.

        :raises OSError: when the term cannot be written.
        """
        if term > self.term:
            self.votes.save(term, 0)
            self.leader = 0
            self.step_down()

    def on_newer_term(self, term: int) -> None:
        """Adopt a newer term found in a reply."""
        try:
            with self.state_lock:
                self.adopt_term(term)
        except OSError as error:
            self._handle_disk_failure(error)

    def begin_term(self) -> bool:
        """Start a new term with a vote for this replica; return False if it already leads.

        The check under the lock keeps a leader's term equal to that of its leadership.

        :raises OSError: when the vote cannot be written.
        """
        with self.state_lock:
            if self.leadership is not None:
                return False
            self.votes.save(self.term + 1, self.identity)
            self.leader = 0
            return True

    # Roles.

    def follow(self, term: int, leader: int, leased: bool) -> None:
        """Follow the leader of a term. The caller holds ``state_lock``.

        :param leased: whether the leader reports that it has the lease.
        :raises OSError: when the vote cannot be written.
        """
        self.adopt_term(term)
        if self.votes.state.voted_for != leader:
            # A term has one leader; voting.may_support_a_lease relies on this record.
            self.votes.save(term, leader)
        if self.leader != leader:
            self.leader = leader
            self.event_log.info("following", group=self.info.group, term=term)
        self.election.restart_timer()
        if leased:
            self.election.record_leased_heartbeat()

    def lead(self, term: int) -> None:
        """Become leader of a term won by a quorum of votes, unless the term has changed."""
        with self.state_lock:
            if self.term != term or self.leadership is not None:
                return
            leadership = Leadership(self, term, self.on_newer_term)
            try:
                self._append_local(leadership, EntryKind.TERM_START, b"")
            except OSError as error:
                self._handle_disk_failure(error)
                return
            self.leader = self.identity
            self.leadership = leadership
        self.event_log.info("leading", group=self.info.group, term=term)
        self._sync_requested.set()
        leadership.start()

    def step_down(self) -> None:
        """Stop leading; the outcome of pending proposals becomes unknown."""
        if self.leadership is None:
            return
        self.event_log.warning("leadership_lost", group=self.info.group, term=self.term)
        self.leadership.end()
        self.leadership = None
        self.leader = 0
        self.election.restart_timer()
        self._proposals.abandon()
