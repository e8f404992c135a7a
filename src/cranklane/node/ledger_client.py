"""Client for ledger groups: finds each group's leader and keeps a connection to it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult
from gevent.lock import Semaphore
from result import Err, Ok, Result

from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.node.members import MemberTable
from cranklane.policy.names import SYSTEM_TENANT
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import (
    Hello,
    LedgerBegin,
    LedgerDone,
    LedgerFinish,
    LedgerGrant,
    LedgerUnavailable,
    Message,
)
from cranklane.runtime.interface import Address, Runtime, format_address, parse_address

REPLICA_TIMEOUT_SECONDS = 0.5
"""Seconds to wait for one replica's reply; short enough to try several during a once-call."""

ROUND_PAUSE_SECONDS = 0.1
"""Seconds between rounds of requests to all replicas while the group has no known leader."""

CONNECT_TIMEOUT_SECONDS = 0.3
"""Seconds to connect to a replica."""

IDLE_TIMEOUT_SECONDS = 9.0
"""Seconds without a record after which a connection is closed; just before the ledger closes
it (cranklane.ledger.process.IDLE_TIMEOUT_SECONDS)."""


@dataclass(frozen=True)
class LedgerFailure:
    """A request that got no answer from a leader.

    :ivar not_run: True if the request certainly had no effect.
    """

    not_run: bool


@dataclass(frozen=True)
class _Reply:
    """Result of one request.

    :ivar message: the reply, or None if none arrived.
    :ivar not_run: True if the request certainly had no effect.
    """

    message: Message | None
    not_run: bool


class _Connection:
    """Connection to one ledger replica, shared by concurrent requests."""

    def __init__(self, runtime: Runtime, address: Address, hello: Hello) -> None:
        connection = runtime.connect(address, CONNECT_TIMEOUT_SECONDS)
        self.records = RecordConnection(connection, IDLE_TIMEOUT_SECONDS)
        self.records.handshake(hello)
        self._answers: dict[int, AsyncResult] = {}
        self._next_call = 0
        runtime.spawn(self._read)

    def _read(self) -> None:
        try:
            while True:
                call, message = self.records.receive()
                answer = self._answers.pop(call, None)
                if answer is not None:
                    answer.set(message)
        except (ConnectionLostError, MalformedRecordError):
            # The requests in flight get no answer here; the next one reconnects.
            pass
        finally:
            self.records.close()
            for answer in self._answers.values():
                answer.set(None)

    def ask(self, request: Message, seconds: float) -> Message | None:
        """Send a request; return the answer, or None if none arrives in time."""
        self._next_call += 1
        answer = self._answers[self._next_call] = AsyncResult()
        try:
            self.records.send(request, self._next_call)
            return answer.get(timeout=seconds)
        except ConnectionLostError:
            return None
        except gevent.Timeout:
            # Close the connection of an unresponsive replica, so that the next request reconnects.
            self.records.close()
            return None


class LedgerClient:
    """A node's client for all ledger groups.

    :param hello: returns the node's Hello record.
    """

    def __init__(self, runtime: Runtime, members: MemberTable, hello: Callable[[], Hello]) -> None:
        self._runtime = runtime
        self._members = members
        self._hello = hello
        self._connections: dict[str, _Connection] = {}
        self._connect_locks: dict[str, Semaphore] = {}
        self._leaders: dict[str, str] = {}

    def begin(
        self, group: str, request: LedgerBegin, seconds: float
    ) -> Result[LedgerGrant, LedgerFailure]:
        """Request the ledger's decision on a once-call."""
        reply = self._ask_group(group, request, seconds)
        if isinstance(reply.message, LedgerGrant):
            return Ok(reply.message)
        return Err(LedgerFailure(reply.not_run))

    def finish(self, group: str, request: LedgerFinish, seconds: float) -> LedgerDone | None:
        """Store the outcome of a once-call; return the ledger's answer, or None if none arrives."""
        message = self._ask_group(group, request, seconds).message
        return message if isinstance(message, LedgerDone) else None

    def _ask_group(self, group: str, request: Message, seconds: float) -> _Reply:
        """Return the leader's reply; query the replicas in rounds until one leads or time is up.

        Another round follows only if some replica may be the leader, because it may have
        accepted the request or because it named another replica. Otherwise the group has no
        leader and the request fails at once.
        """
        deadline = self._runtime.monotonic() + seconds
        not_run = True
        while True:
            leaderless = True
            for address in self._addresses(group):
                remaining = deadline - self._runtime.monotonic()
                if remaining <= 0:
                    return _Reply(None, not_run)
                reply = self._ask_replica(address, request, min(REPLICA_TIMEOUT_SECONDS, remaining))
                not_run &= reply.not_run
                if isinstance(reply.message, LedgerUnavailable):
                    leaderless &= not self._follow_hint(group, address, reply.message)
                elif reply.message is not None:
                    self._leaders[group] = address
                    return reply
                else:
                    leaderless &= reply.not_run
            if leaderless or self._runtime.monotonic() + ROUND_PAUSE_SECONDS >= deadline:
                return _Reply(None, not_run)
            gevent.sleep(ROUND_PAUSE_SECONDS)

    def _follow_hint(self, group: str, address: str, reply: LedgerUnavailable) -> bool:
        """Store the leader that a replica names; return whether it named another replica."""
        if reply.leader and reply.leader != address:
            self._leaders[group] = reply.leader
            return True
        if self._leaders.get(group) == address:
            del self._leaders[group]
        return False

    def _addresses(self, group: str) -> list[str]:
        """Return the replicas' addresses, the likely leader's first."""
        members = self._members.of(SYSTEM_TENANT, group)
        addresses = [format_address(member.address) for member in members]
        self._runtime.random.shuffle(addresses)
        leader = self._leaders.get(group)
        if leader is not None:
            addresses = [leader, *(address for address in addresses if address != leader)]
        return addresses

    def _ask_replica(self, address: str, request: Message, seconds: float) -> _Reply:
        """Send a request to one replica and return the result."""
        try:
            connection = self._connection(address)
        except (OSError, ConnectionLostError, MalformedRecordError):
            # Nothing was sent, so another replica may be tried.
            return _Reply(None, not_run=True)
        message = connection.ask(request, seconds)
        refused = isinstance(message, LedgerUnavailable) and message.not_run
        return _Reply(message, refused)

    def _connection(self, address: str) -> _Connection:
        with self._connect_locks.setdefault(address, Semaphore()):
            connection = self._connections.get(address)
            if connection is None or connection.records.closed:
                target = parse_address(address)
                connection = _Connection(self._runtime, target, self._hello())
                self._connections[address] = connection
            return connection
