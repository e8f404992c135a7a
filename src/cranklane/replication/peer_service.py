"""Answers the requests of the other replicas of a group.

Owns the pieces of a snapshot on its way; all else belongs to the replica. Nothing is promised
before it is on disk.
"""

from __future__ import annotations

from collections.abc import Callable

from cranklane.errors import ConnectionLostError, InvariantError, MalformedRecordError
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import (
    AppendReply,
    AppendRequest,
    ConfirmReply,
    ConfirmRequest,
    JoinReply,
    JoinRequest,
    LogEntry,
    LogSnapshot,
    Message,
    ReplicaHello,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from cranklane.replication import voting
from cranklane.replication.replica import Replica
from cranklane.replication.voting import Voter


class PeerService:
    """The answering side of a replica.

    :param join: answers a replica that asks to become part of the group.
    """

    def __init__(self, replica: Replica, join: Callable[[JoinRequest], JoinReply]) -> None:
        self._replica = replica
        self._join = join
        self._incoming = b""

    def serve(self, records: RecordConnection, hello: ReplicaHello) -> None:
        """Answer one replica's requests until its connection ends.

        :param hello: its first record.
        """
        try:
            records.send(self._replica.hello())
            if hello.group != self._replica.own.group:
                return
            while True:
                _, message = records.receive()
                records.send(self._answer(message))
        except (ConnectionLostError, MalformedRecordError):
            # The asker opens another connection; who is silent its leader finds out.
            return
        except OSError as error:
            # The disk refused what would have been promised; the asker gets no answer.
            self._replica.event_log.error("disk_failed", error=str(error))
        finally:
            records.close()

    def _answer(self, message: Message) -> Message:
        match message:
            case VoteRequest():
                return self._vote(message)
            case AppendRequest():
                return self._append(message)
            case SnapshotChunk():
                return self._receive_snapshot(message)
            case ConfirmRequest():
                return self._confirm(message)
            case JoinRequest():
                return self._join(message)
        raise MalformedRecordError(f"{type(message).__name__} from a replica")

    def _confirm(self, request: ConfirmRequest) -> ConfirmReply:
        """Answer whether this replica leads for certain, and what is committed then."""
        replica = self._replica
        leads = request.term <= replica.term and replica.may_read
        return ConfirmReply(replica.term, leads, replica.commit_index)

    def _vote(self, request: VoteRequest) -> VoteReply:
        replica = self._replica
        with replica.changing:
            if voting.may_support_a_lease(self._voter(), request):
                return VoteReply(replica.term, False)
            if request.trial:
                return VoteReply(replica.term, voting.grants_trial(self._voter(), request))
            replica.take_term(request.term)
            granted = voting.grants(self._voter(), request)
            if granted:
                replica.votes.save(replica.term, request.candidate)
                replica.election.restart_timer()
            return VoteReply(replica.term, granted)

    def _voter(self) -> Voter:
        replica = self._replica
        return Voter(
            term=replica.term,
            voted_for=replica.votes.state.voted_for,
            last_term=replica.log.last_term,
            last_index=replica.log.last_index,
            leads=replica.is_leader,
            timer_fresh=replica.election.is_timer_fresh(),
        )

    def _append(self, request: AppendRequest) -> AppendReply:
        replica = self._replica
        with replica.changing:
            if request.term < replica.term:
                return AppendReply(replica.term, False, 0, replica.log.last_index)
            replica.follow(request.term, request.leader, request.leased)
            if not self._matches(request):
                return AppendReply(replica.term, False, 0, replica.log.last_index)
            new = [entry for entry in request.entries if self._is_new(entry)]
            if new:
                self._append_new(new)
            match = request.previous_index + len(request.entries)
            replica.commit(min(request.commit, match))
            return AppendReply(replica.term, True, match, replica.log.last_index)

    def _append_new(self, entries: list[LogEntry]) -> None:
        replica = self._replica
        if entries[0].index <= replica.commit_index:
            raise InvariantError(f"a leader would replace the committed entry {entries[0].index}")
        replica.log.append(entries)
        for entry in entries:
            replica.take_members(entry)
        replica.log.sync()

    def _matches(self, request: AppendRequest) -> bool:
        log = self._replica.log
        if request.previous_index < log.snapshot.index:
            # All up to the snapshot is committed, so it is the leader's too.
            return True
        return log.term_at(request.previous_index) == request.previous_term

    def _is_new(self, entry: LogEntry) -> bool:
        log = self._replica.log
        if entry.index <= log.snapshot.index:
            return False
        return log.term_at(entry.index) != entry.term

    def _receive_snapshot(self, chunk: SnapshotChunk) -> SnapshotReply:
        replica = self._replica
        with replica.changing:
            if chunk.term < replica.term:
                return SnapshotReply(replica.term, 0)
            replica.follow(chunk.term, chunk.leader, leased=False)
            if chunk.offset == 0:
                self._incoming = b""
            if chunk.offset != len(self._incoming):
                return SnapshotReply(replica.term, len(self._incoming))
            self._incoming += chunk.data
            received = len(self._incoming)
            if received == chunk.total:
                self._install(LogSnapshot.unpack(self._incoming))
                self._incoming = b""
            return SnapshotReply(replica.term, received)

    def _install(self, snapshot: LogSnapshot) -> None:
        if snapshot.index > self._replica.commit_index:
            self._replica.install(snapshot)
