"""Asks ledger groups: finds the replica that leads and keeps a connection to it."""

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

TRY_SECONDS = 0.5
"""Seconds that one replica has to answer. A choice: a third of the time a once-call waits."""

ROUND_PAUSE_SECONDS = 0.1
"""Seconds between rounds over all replicas while none of them leads. A choice: short beside
an election."""

CONNECT_SECONDS = 0.3
"""Seconds a replica has to take a connection. A choice: below the time it has to answer."""

IDLE_SECONDS = 9.0
"""Seconds without a record after which a connection is closed. A choice: just before the
ledger closes it (cranklane.ledger.process.SILENT_SECONDS)."""


@dataclass(frozen=True)
class LedgerFailure:
    """No replica has granted or refused.

    :ivar not_run: whether the request certainly changed nothing.
    """

    not_run: bool


@dataclass(frozen=True)
class _Reply:
    """What came of one request.

    :ivar message: the reply, or None without one.
    :ivar not_run: whether the request certainly changed nothing.
    """

    message: Message | None
    not_run: bool


class _Connection:
    """A connection to one ledger replica; many requests share it."""

    def __init__(self, runtime: Runtime, address: Address, own: Hello) -> None:
        connection = runtime.connect(address, CONNECT_SECONDS)
        self.records = RecordConnection(connection, IDLE_SECONDS)
        self.records.handshake(own)
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
            self.records.close()
            for answer in self._answers.values():
                answer.set(None)

    def ask(self, request: Message, seconds: float) -> Message | None:
        """Return the answer, or None when none came in time."""
        self._next_call += 1
        answer = self._answers[self._next_call] = AsyncResult()
        try:
            self.records.send(request, self._next_call)
            return answer.get(timeout=seconds)
        except ConnectionLostError:
            return None
        except gevent.Timeout:
            # Silent: the next request tries another replica at once.
            self.records.close()
            return None


class LedgerClient:
    """The ledger groups as one node reaches them.

    :param hello: returns the node's greeting.
    """

    def __init__(self, runtime: Runtime, members: MemberTable, hello: Callable[[], Hello]) -> None:
        self._runtime = runtime
        self._members = members
        self._hello = hello
        self._connections: dict[str, _Connection] = {}
        self._dialling: dict[str, Semaphore] = {}
        self._leaders: dict[str, str] = {}

    def begin(
        self, group: str, request: LedgerBegin, seconds: float
    ) -> Result[LedgerGrant, LedgerFailure]:
        """Ask for the entry of a once-call."""
        reply = self._ask_group(group, request, seconds)
        if isinstance(reply.message, LedgerGrant):
            return Ok(reply.message)
        return Err(LedgerFailure(reply.not_run))

    def finish(self, group: str, request: LedgerFinish, seconds: float) -> LedgerDone | None:
        """Store how a once-call ended; return the ledger's answer, or None without one."""
        message = self._ask_group(group, request, seconds).message
        return message if isinstance(message, LedgerDone) else None

    def _ask_group(self, group: str, request: Message, seconds: float) -> _Reply:
        """Return the leader's reply; ask replicas in rounds until one leads or time is up.

        A further round is made only when some replica may lead: it has the request, or
        named a leader. Without any, the call is refused at once instead of waiting.
        """
        until = self._runtime.monotonic() + seconds
        not_run = True
        while True:
            leaderless = True
            for address in self._addresses(group):
                left = until - self._runtime.monotonic()
                if left <= 0:
                    return _Reply(None, not_run)
                reply = self._ask(address, request, min(TRY_SECONDS, left))
                not_run &= reply.not_run
                if isinstance(reply.message, LedgerUnavailable):
                    leaderless &= not self._follow_hint(group, address, reply.message)
                elif reply.message is not None:
                    self._leaders[group] = address
                    return reply
                else:
                    leaderless &= reply.not_run
            if leaderless or self._runtime.monotonic() + ROUND_PAUSE_SECONDS >= until:
                return _Reply(None, not_run)
            gevent.sleep(ROUND_PAUSE_SECONDS)

    def _follow_hint(self, group: str, address: str, reply: LedgerUnavailable) -> bool:
        """Remember which leader a replica names; return whether it names another one."""
        if reply.leader and reply.leader != address:
            self._leaders[group] = reply.leader
            return True
        if self._leaders.get(group) == address:
            del self._leaders[group]
        return False

    def _addresses(self, group: str) -> list[str]:
        """Return where to ask, the likely leader first."""
        members = self._members.of(SYSTEM_TENANT, group)
        addresses = [format_address(member.address) for member in members]
        self._runtime.random.shuffle(addresses)
        leader = self._leaders.get(group)
        if leader is not None:
            addresses = [leader, *(item for item in addresses if item != leader)]
        return addresses

    def _ask(self, address: str, request: Message, seconds: float) -> _Reply:
        """Ask one replica."""
        try:
            connection = self._connection(address)
        except (OSError, ConnectionLostError, MalformedRecordError):
            # Nothing was sent; another replica is asked.
            return _Reply(None, not_run=True)
        message = connection.ask(request, seconds)
        refused = isinstance(message, LedgerUnavailable) and message.not_run
        return _Reply(message, refused)

    def _connection(self, address: str) -> _Connection:
        with self._dialling.setdefault(address, Semaphore()):
            connection = self._connections.get(address)
            if connection is None or connection.records.closed:
                target = parse_address(address)
                connection = _Connection(self._runtime, target, self._hello())
                self._connections[address] = connection
            return connection
