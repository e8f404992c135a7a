"""Replicates the log while a replica leads: one task for each other replica.

Owns what each replica has on disk and when it last answered, and with them what is
committed and whether the lease holds; log and members belong to :class:`ReplicaState`.
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
    HEARTBEAT_SECONDS,
    LEASE_SECONDS,
    REPLICATION_RETRY_SECONDS,
    REPLY_SECONDS,
    SNAPSHOT_REPLY_SECONDS,
)

MAX_BATCH_ENTRIES = 256
"""Entries in one request. A choice: a replica that is far behind takes few round trips, and
a heartbeat does not wait long behind a batch."""

CHUNK_BYTES = 256 * 1024
"""Bytes of a snapshot in one request. A choice, as for a batch."""


class Leadership:
    """One term's leadership.

    :param on_newer_term: called with a newer term that a reply has shown.
    :ivar term: the term that is led.
    :ivar matched: newest entry that is durable at each replica, by identity.
    """

    def __init__(
        self, state: ReplicaState, term: int, on_newer_term: Callable[[int], None]
    ) -> None:
        self._state = state
        self._on_newer_term = on_newer_term
        self.term = term
        self._began_at = state.runtime.monotonic()
        self.matched: dict[int, int] = {}
        self._answered_at: dict[int, float] = {}
        self._followed: set[int] = set()
        self._wakeups: dict[int, Event] = {}
        self._first_index = state.log.last_index + 1
        self._ended = False

    def age(self) -> float:
        """Return the seconds since it began."""
        return self._state.runtime.monotonic() - self._began_at

    def start(self) -> None:
        """Start the tasks."""
        self._start_replicating()

    def end(self) -> None:
        """Let the tasks end."""
        self._ended = True
        self.wake()

    def wake(self) -> None:
        """Let the tasks send what is new."""
        self._start_replicating()
        for wakeup in self._wakeups.values():
            wakeup.set()

    def _start_replicating(self) -> None:
        if self._ended:
            return
        state = self._state
        for member in state.members.current:
            if member.identity not in self._followed and member.identity != state.identity:
                self._followed.add(member.identity)
                self._wakeups[member.identity] = Event()
                state.runtime.spawn(self._replicate, member)

    def _still_replicates(self, member: ReplicaMember) -> bool:
        if self._ended:
            return False
        return self._state.members.find(member.identity) is not None

    def _replicate(self, member: ReplicaMember) -> None:
        """Bring one replica up to date and keep it there."""
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
                wakeup.wait(HEARTBEAT_SECONDS)
        self._followed.discard(member.identity)

    def _append_request(self, next_index: int) -> AppendRequest | None:
        """Return the request with the entries from an index on, or None without the one before."""
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
        """Send entries; return the next index to send, or None without a reply."""
        request = self._append_request(next_index)
        if request is None:
            # A snapshot has replaced that entry: it is sent next.
            return self._state.log.snapshot.index
        sent_at = self._state.runtime.monotonic()
        reply = link.call(request, AppendReply, REPLY_SECONDS)
        if reply is None or not self._is_from(link, member, reply.term):
            return None
        self._answered_at[member.identity] = sent_at
        if not reply.success:
            return max(1, min(next_index - 1, reply.last + 1))
        self.matched[member.identity] = reply.match
        self._commit()
        return reply.match + 1

    def _is_from(self, link: ReplicaLink, member: ReplicaMember, term: int) -> bool:
        """Return whether the reply came from the replica that we know, in this term."""
        if term > self.term:
            self._on_newer_term(term)
            return False
        return link.peer == member.identity

    def _send_snapshot(self, link: ReplicaLink, member: ReplicaMember) -> int | None:
        """Send the snapshot; return the next index to send, or None on failure."""
        state = self._state
        snapshot = state.log.snapshot
        data = snapshot.pack()
        offset = 0
        while offset < len(data):
            piece = data[offset : offset + CHUNK_BYTES]
            chunk = SnapshotChunk(
                self.term, state.identity, snapshot.index, offset, len(data), piece
            )
            sent_at = state.runtime.monotonic()
            reply = link.call(chunk, SnapshotReply, SNAPSHOT_REPLY_SECONDS)
            if reply is None or not self._is_from(link, member, reply.term):
                return None
            self._answered_at[member.identity] = sent_at
            if reply.received != offset + len(piece):
                return None
            offset = reply.received
        return snapshot.index + 1

    def own_durable(self, index: int) -> None:
        """Record that the leader's own log is durable up to an index."""
        self.matched[self._state.identity] = index
        self._commit()

    def _commit(self) -> None:
        """Commit what a quorum of voters has on disk, in this term."""
        state = self._state
        if self._ended:
            return
        durable = sorted(
            (self.matched.get(member.identity, 0) for member in state.members.voters()),
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
        """Return whether no other leader can exist, and all is applied that was committed."""
        state = self._state
        if self._ended or state.applied_index < self._first_index:
            return False
        answered = sum(
            member.identity == state.identity
            or self.answered_within(member.identity, LEASE_SECONDS)
            for member in state.members.voters()
        )
        return answered >= state.members.quorum()

    @property
    def has_committed(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._state.commit_index >= self._first_index

    def answered_within(self, identity: int, seconds: float) -> bool:
        """Return whether a replica answered a request sent within the last seconds."""
        sent_at = self._answered_at.get(identity)
        return sent_at is not None and self._state.runtime.monotonic() - sent_at < seconds

    def caught_up(self, identity: int) -> bool:
        """Return whether a replica has all that is committed."""
        return self.matched.get(identity, 0) >= self._state.commit_index
