"""Server for the requests of other replicas of the group.

Owns the received chunks of an incomplete snapshot; all other state belongs to the replica.
Votes and entries are synced to disk before they are acknowledged.
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
    """Serves requests of other replicas.

    :param join: answers join requests.
    """

    def __init__(self, replica: Replica, join: Callable[[JoinRequest], JoinReply]) -> None:
        self._replica = replica
        self._join = join
        self._snapshot_data = b""

    def serve(self, records: RecordConnection, hello: ReplicaHello) -> None:
        """Serve the requests of one replica until its connection closes.

        :param hello: the first record that the replica sent.
        """
        try:
            records.send(self._replica.hello())
            if hello.group != self._replica.info.group:
                return
            while True:
                _, message = records.receive()
                records.send(self._answer(message))
        except (ConnectionLostError, MalformedRecordError):
            # The peer reconnects; the leader detects a replica that stays silent.
            return
        except OSError as error:
            # Without a durable write there is no reply; the peer times out and retries.
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
        raise MalformedRecordError(f"{type(message).__name__} is not expected from a replica")

    def _confirm(self, request: ConfirmRequest) -> ConfirmReply:
        """Return whether this replica has the leader lease, and its commit index."""
        replica = self._replica
        leads = request.term <= replica.term and replica.may_read
        return ConfirmReply(replica.term, leads, replica.commit_index)

    def _vote(self, request: VoteRequest) -> VoteReply:
        replica = self._replica
        with replica.state_lock:
            if voting.may_support_a_lease(self._voter(), request):
                return VoteReply(replica.term, False)
            if request.trial:
                return VoteReply(replica.term, voting.grants_pre_vote(self._voter(), request))
            replica.adopt_term(request.term)
            granted = voting.grants_vote(self._voter(), request)
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
            timer_restarted_recently=replica.election.was_timer_restarted_recently(),
        )

    def _append(self, request: AppendRequest) -> AppendReply:
        replica = self._replica
        with replica.state_lock:
            if request.term < replica.term:
                return AppendReply(replica.term, False, 0, replica.log.last_index)
            replica.follow(request.term, request.leader, request.leased)
            if not self._has_previous_entry(request):
                return AppendReply(replica.term, False, 0, replica.log.last_index)
            new = [entry for entry in request.entries if self._is_new(entry)]
            if new:
                self._append_new(new)
            if not replica.log.is_synced:
                # Also entries that are not new: an earlier sync may have failed, or an earlier
                # process of this replica may have ended before it.
                replica.log.sync()
            match = request.previous_index + len(request.entries)
            replica.commit(min(request.commit, match))
            return AppendReply(replica.term, True, match, replica.log.last_index)

    def _append_new(self, entries: list[LogEntry]) -> None:
        replica = self._replica
        if entries[0].index <= replica.commit_index:
            raise InvariantError(
                f"a leader tried to replace the committed entry {entries[0].index}"
            )
        replica.log.append(entries)
        for entry in entries:
            replica.adopt_members(entry)

    def _has_previous_entry(self, request: AppendRequest) -> bool:
        log = self._replica.log
        if request.previous_index < log.snapshot.index:
            # Entries up to the snapshot are committed, so the leader has the same ones.
            return True
        return log.term_at(request.previous_index) == request.previous_term

    def _is_new(self, entry: LogEntry) -> bool:
        log = self._replica.log
        if entry.index <= log.snapshot.index:
            return False
        return log.term_at(entry.index) != entry.term

    def _receive_snapshot(self, chunk: SnapshotChunk) -> SnapshotReply:
        replica = self._replica
        with replica.state_lock:
            if chunk.term < replica.term:
                return SnapshotReply(replica.term, 0)
            replica.follow(chunk.term, chunk.leader, leased=False)
            if chunk.offset == 0:
                self._snapshot_data = b""
            if chunk.offset != len(self._snapshot_data):
                return SnapshotReply(replica.term, len(self._snapshot_data))
            self._snapshot_data += chunk.data
            received = len(self._snapshot_data)
            if received == chunk.total:
                self._install(LogSnapshot.unpack(self._snapshot_data))
                self._snapshot_data = b""
            return SnapshotReply(replica.term, received)

    def _install(self, snapshot: LogSnapshot) -> None:
        if snapshot.index > self._replica.commit_index:
            self._replica.install(snapshot)
