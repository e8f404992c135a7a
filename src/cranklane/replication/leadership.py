"""Log replication by the leader, with one task for each other replica.

Owns each replica's durable index and last reply, from which it derives the commit index and the
lease. Log and members belong to :class:`ReplicaState`.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event

from cranklane.records.messages import (
    AppendReply,
    AppendRequest,
    ReplicaMember,
    SnapshotChunk,
    SnapshotReply,
)
from cranklane.replication.link import ReplicaLink
from cranklane.replication.state import ReplicaState
from cranklane.replication.timing import (
    HEARTBEAT_INTERVAL_SECONDS,
    LEASE_SECONDS,
    REPLICATION_RETRY_SECONDS,
    REPLY_TIMEOUT_SECONDS,
    SNAPSHOT_REPLY_TIMEOUT_SECONDS,
)

MAX_BATCH_ENTRIES = 256
"""Most entries in one request; bounds how long a heartbeat waits behind a batch."""

CHUNK_BYTES = 256 * 1024
"""Most snapshot bytes in one request."""


class Leadership:
    """Leadership of one term.

    :param on_newer_term: called with a newer term found in a reply.
    :ivar term: the term of this leadership.
    :ivar match_index: index of the newest durable entry by replica identity.
    """

    def __init__(
        self, state: ReplicaState, term: int, on_newer_term: Callable[[int], None]
    ) -> None:
        self._state = state
        self._on_newer_term = on_newer_term
        self.term = term
        self._started_at = state.runtime.monotonic()
        self.match_index: dict[int, int] = {}
        self._answered_request_sent_at: dict[int, float] = {}
        self._replicating_to: set[int] = set()
        self._wakeups: dict[int, Event] = {}
        self._term_start_index = state.log.last_index + 1
        self._ended = False

    def age(self) -> float:
        """Return the seconds since this leadership started."""
        return self._state.runtime.monotonic() - self._started_at

    def start(self) -> None:
        """Start the replication tasks."""
        self._start_replicating()

    def end(self) -> None:
        """Stop the replication tasks."""
        self._ended = True
        self.wake()

    def wake(self) -> None:
        """Wake the tasks to send new entries, and start tasks for new members."""
        self._start_replicating()
        for wakeup in self._wakeups.values():
            wakeup.set()

    def _start_replicating(self) -> None:
        if self._ended:
            return
        state = self._state
        for member in state.members.current:
            if member.identity not in self._replicating_to and member.identity != state.identity:
                self._replicating_to.add(member.identity)
                self._wakeups[member.identity] = Event()
                state.runtime.spawn_restarting(self._replicate, member)

    def _still_replicates(self, member: ReplicaMember) -> bool:
        if self._ended:
            return False
        return self._state.members.find(member.identity) is not None

    def _replicate(self, member: ReplicaMember) -> None:
        """Send entries or snapshots to one replica while it is a member."""
        state = self._state
        link = state.link(member)
        wakeup = self._wakeups[member.identity]
        next_index = state.log.last_index + 1
        while self._still_replicates(member):
            wakeup.clear()
            if next_index <= state.log.snapshot.index:
                sent = self._send_snapshot(link, member)
            else:
                sent = self._send_entries(link, member, next_index)
            if sent is None:
                gevent.sleep(REPLICATION_RETRY_SECONDS)
                continue
            next_index = sent
            if next_index > state.log.last_index:
                wakeup.wait(HEARTBEAT_INTERVAL_SECONDS)
        self._replicating_to.discard(member.identity)

    def _append_request(self, next_index: int) -> AppendRequest | None:
        """Return the request with entries from ``next_index`` on.

        :returns: None when the entry before ``next_index`` is compacted.
        """
        state = self._state
        previous_term = state.log.term_at(next_index - 1)
        if previous_term is None:
            return None
        return AppendRequest(
            term=self.term,
            leader=state.identity,
            previous_index=next_index - 1,
            previous_term=previous_term,
            commit=state.commit_index,
            entries=state.log.between(next_index, next_index + MAX_BATCH_ENTRIES - 1),
            leased=self.has_lease(),
        )

    def _send_entries(
        self, link: ReplicaLink, member: ReplicaMember, next_index: int
    ) -> int | None:
        """Send entries; return the next index to send, or None without a valid reply."""
        request = self._append_request(next_index)
        if request is None:
            # The entry is compacted: this index makes the task send the snapshot next.
            return self._state.log.snapshot.index
        sent_at = self._state.runtime.monotonic()
        reply = link.call(request, AppendReply, REPLY_TIMEOUT_SECONDS)
        if reply is None or not self._is_valid_reply(link, member, reply.term):
            return None
        self._answered_request_sent_at[member.identity] = sent_at
        if not reply.success:
            return max(1, min(next_index - 1, reply.last + 1))
        self.match_index[member.identity] = reply.match
        self._commit()
        return reply.match + 1

    def _is_valid_reply(self, link: ReplicaLink, member: ReplicaMember, term: int) -> bool:
        """Return whether a reply is from this member and not from a newer term."""
        if term > self.term:
            self._on_newer_term(term)
            return False
        return link.peer_identity == member.identity

    def _send_snapshot(self, link: ReplicaLink, member: ReplicaMember) -> int | None:
        """Send the snapshot; return the next index to send, or None on failure."""
        state = self._state
        snapshot = state.log.snapshot
        data = snapshot.pack()
        offset = 0
        while offset < len(data):
            chunk_data = data[offset : offset + CHUNK_BYTES]
            chunk = SnapshotChunk(
                self.term, state.identity, snapshot.index, offset, len(data), chunk_data
            )
            sent_at = state.runtime.monotonic()
            reply = link.call(chunk, SnapshotReply, SNAPSHOT_REPLY_TIMEOUT_SECONDS)
            if reply is None or not self._is_valid_reply(link, member, reply.term):
                return None
            self._answered_request_sent_at[member.identity] = sent_at
            if reply.received != offset + len(chunk_data):
                return None
            offset = reply.received
        return snapshot.index + 1

    def record_local_sync(self, index: int) -> None:
        """Record that the leader's log is durable up to an index."""
        self.match_index[self._state.identity] = index
        self._commit()

    def _commit(self) -> None:
        """Commit entries of this term that are durable at a quorum of voters."""
        state = self._state
        if self._ended:
            return
        durable = sorted(
            (self.match_index.get(member.identity, 0) for member in state.members.voters()),
            reverse=True,
        )
        quorum = state.members.quorum()
        if len(durable) < quorum:
            return
        index = durable[quorum - 1]
        if index > state.commit_index and state.log.term_at(index) == self.term:
            state.commit(index)
            self.wake()

    def has_lease(self) -> bool:
        """Return whether a quorum answered within ``LEASE_SECONDS``: no other leader can exist.

        The lease starts once the first entry of the term is applied, because only then does the
        applied state include all entries of earlier terms.
        """
        state = self._state
        if self._ended or state.applied_index < self._term_start_index:
            return False
        answered = sum(
            member.identity == state.identity or self.replied_within(member.identity, LEASE_SECONDS)
            for member in state.members.voters()
        )
        return answered >= state.members.quorum()

    @property
    def has_committed(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._state.commit_index >= self._term_start_index

    def replied_within(self, identity: int, seconds: float) -> bool:
        """Return whether a replica answered a request sent in the last ``seconds``."""
        sent_at = self._answered_request_sent_at.get(identity)
        return sent_at is not None and self._state.runtime.monotonic() - sent_at < seconds

    def caught_up(self, identity: int) -> bool:
        """Return whether a replica has all committed entries on disk."""
        return self.match_index.get(identity, 0) >= self._state.commit_index
