"""What a replica does while it leads: one task for each other replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

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
from cranklane.replication.timing import LEASE_SECONDS

if TYPE_CHECKING:
    from cranklane.replication.replica import Replica

HEARTBEAT_SECONDS = 0.2
"""Seconds between requests to a replica that has everything."""

REPLY_SECONDS = 0.8
"""Seconds a reply is waited for."""

RETRY_SECONDS = 0.2
"""Seconds before a replica that gave no reply is tried again."""

BATCH_ENTRIES = 256
CHUNK_BYTES = 256 * 1024
_SNAPSHOT_SECONDS = 5.0


class Leadership:
    """One term's leadership.

    :ivar term: the term that is led.
    :ivar matched: newest entry that is durable at each replica, by identity.
    """

    def __init__(self, replica: Replica, term: int) -> None:
        self._replica = replica
        self.term = term
        self._began_at = replica.runtime.monotonic()
        self.matched: dict[int, int] = {}
        self._answered_at: dict[int, float] = {}
        self._followed: set[int] = set()
        self._news: dict[int, Event] = {}
        self._first_index = replica.log.last_index + 1
        self._ended = False

    def age(self) -> float:
        """Return the seconds since it began."""
        return self._replica.runtime.monotonic() - self._began_at

    def start(self) -> None:
        """Start the tasks."""
        self._follow_members()

    def end(self) -> None:
        """Let the tasks end."""
        self._ended = True
        self.wake()

    def wake(self) -> None:
        """Let the tasks send what is new."""
        self._follow_members()
        for news in self._news.values():
            news.set()

    def _follow_members(self) -> None:
        if self._ended:
            return
        replica = self._replica
        for member in replica.members.current:
            if member.identity not in self._followed and member.identity != replica.identity:
                self._followed.add(member.identity)
                self._news[member.identity] = Event()
                replica.runtime.spawn(self._replicate, member)

    def _leads(self, member: ReplicaMember) -> bool:
        if self._ended:
            return False
        return self._replica.members.find(member.identity) is not None

    def _replicate(self, member: ReplicaMember) -> None:
        """Bring one replica up to date and keep it there."""
        replica = self._replica
        link = replica.link(member)
        news = self._news[member.identity]
        next_index = replica.log.last_index + 1
        while self._leads(member):
            news.clear()
            if next_index <= replica.log.snapshot.index:
                sent = self._send_snapshot(link, member)
            else:
                sent = self._send_entries(link, member, next_index)
            if sent is None:
                gevent.sleep(RETRY_SECONDS)
                continue
            next_index = sent
            if next_index > replica.log.last_index:
                news.wait(HEARTBEAT_SECONDS)
        self._followed.discard(member.identity)

    def _send_entries(
        self, link: ReplicaLink, member: ReplicaMember, next_index: int
    ) -> int | None:
        """Send entries; return the next index to send, or None without a reply."""
        replica = self._replica
        log = replica.log
        previous_term = log.term_at(next_index - 1)
        if previous_term is None:
            return log.snapshot.index
        request = AppendRequest(
            term=self.term,
            leader=replica.identity,
            previous_index=next_index - 1,
            previous_term=previous_term,
            commit=replica.commit_index,
            entries=log.between(next_index, next_index + BATCH_ENTRIES - 1),
            leased=self.has_lease(),
        )
        sent_at = replica.runtime.monotonic()
        reply = link.call(request, AppendReply, REPLY_SECONDS)
        if reply is None or not self._is(link, member, reply.term):
            return None
        self._answered_at[member.identity] = sent_at
        if not reply.success:
            return max(1, min(next_index - 1, reply.last + 1))
        self.matched[member.identity] = reply.match
        self._commit()
        return reply.match + 1

    def _is(self, link: ReplicaLink, member: ReplicaMember, term: int) -> bool:
        """Return whether the reply came from the replica that we know, in this term."""
        if term > self.term:
            self._replica.newer_term_seen(term)
            return False
        return link.peer == member.identity

    def _send_snapshot(self, link: ReplicaLink, member: ReplicaMember) -> int | None:
        """Send the snapshot; return the next index to send, or None on failure."""
        replica = self._replica
        snapshot = replica.log.snapshot
        data = snapshot.pack()
        offset = 0
        while offset < len(data):
            piece = data[offset : offset + CHUNK_BYTES]
            chunk = SnapshotChunk(
                self.term, replica.identity, snapshot.index, offset, len(data), piece
            )
            sent_at = replica.runtime.monotonic()
            reply = link.call(chunk, SnapshotReply, _SNAPSHOT_SECONDS)
            if reply is None or not self._is(link, member, reply.term):
                return None
            self._answered_at[member.identity] = sent_at
            if reply.received != offset + len(piece):
                return None
            offset = reply.received
        return snapshot.index + 1

    def own_durable(self, index: int) -> None:
        """Take that the leader's own log is durable up to an index."""
        self.matched[self._replica.identity] = index
        self._commit()

    def _commit(self) -> None:
        """Commit what a quorum of voters has on disk, in this term."""
        replica = self._replica
        if self._ended:
            return
        durable = sorted(
            (self.matched.get(member.identity, 0) for member in replica.members.voters()),
            reverse=True,
        )
        quorum = replica.members.quorum()
        if len(durable) < quorum:
            return
        index = durable[quorum - 1]
        if index > replica.commit_index and replica.log.term_at(index) == self.term:
            replica.commit(index)
            self.wake()

    def has_lease(self) -> bool:
        """Return whether no other leader can exist, and all is applied that was committed."""
        replica = self._replica
        if self._ended or replica.applied_index < self._first_index:
            return False
        answered = sum(
            member.identity == replica.identity
            or self.answered_within(member.identity, LEASE_SECONDS)
            for member in replica.members.voters()
        )
        return answered >= replica.members.quorum()

    @property
    def has_committed(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._replica.commit_index >= self._first_index

    def answered_within(self, identity: int, seconds: float) -> bool:
        """Return whether a replica answered a request sent within the last seconds."""
        sent_at = self._answered_at.get(identity)
        return sent_at is not None and self._replica.runtime.monotonic() - sent_at < seconds

    def caught_up(self, identity: int) -> bool:
        """Return whether a replica has all that is committed."""
        return self.matched.get(identity, 0) >= self._replica.commit_index
