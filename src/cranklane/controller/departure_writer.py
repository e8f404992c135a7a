"""Commits departures of workers to the log, by way of the leader.

A departure counts as stored once its command is committed: a quorum of the controllers has it on
disk, so it survives every process that knows of it. Departures that arrive while a command is
under way share the next one.
"""

from __future__ import annotations

from collections.abc import Callable

from gevent.event import AsyncResult, Event
from result import Ok

from cranklane.controller.controller_state import encode_departures
from cranklane.controller.departure_store import DepartureStore
from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.records.connection import RecordConnection
from cranklane.records.messages import Departure, DepartureCommand, DepartureReply, Hello
from cranklane.replication.replica import Replica
from cranklane.runtime.interface import Runtime, parse_address

CONNECT_TIMEOUT_SECONDS = 0.5
REPLY_TIMEOUT_SECONDS = 2.0
"""Timeouts of a request to the leader. A sidecar reports its departures again until they are
stored."""


class _Batch:
    """Departures of one command, and whether they were stored."""

    def __init__(self) -> None:
        self._departures: dict[tuple[str, str], Departure] = {}
        self.stored: AsyncResult[bool] = AsyncResult()

    def add(self, departures: list[Departure]) -> None:
        """Add departures; sidecars report each one again and again until it is stored."""
        for departure in departures:
            self._departures[departure.node, departure.instance] = departure

    def command(self) -> DepartureCommand:
        """Return the command that stores them."""
        return DepartureCommand(list(self._departures.values()))


class DepartureWriter:
    """Stores departures for the sidecars of one controller.

    :param hello: returns the first record of a connection to another controller.
    """

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        store: DepartureStore,
        hello: Callable[[], Hello],
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._store = store
        self._hello = hello
        self._next_batch = _Batch()
        self._requested = Event()

    def store(self, departures: list[Departure]) -> bool:
        """Store departures; return False if that failed or is uncertain."""
        if self._store.contains_all(departures):
            return True
        batch = self._next_batch
        batch.add(departures)
        self._requested.set()
        return bool(batch.stored.get())

    def run(self) -> None:
        """Write one batch after the other; runs until the process ends."""
        while True:
            self._requested.wait()
            self._requested.clear()
            batch, self._next_batch = self._next_batch, _Batch()
            is_stored = False
            try:
                is_stored = self._write(batch.command())
            finally:
                # Also after an unexpected exception: the sidecars wait for it, and report again.
                batch.stored.set(is_stored)

    def _write(self, command: DepartureCommand) -> bool:
        if self._replica.is_leader:
            return self.commit(command)
        leader = self._replica.leader_member()
        if leader is None:
            return False
        try:
            return self._request(leader.address, command)
        except (OSError, ConnectionLostError, MalformedRecordError):
            # The sidecar reports again; by then another leader may be known.
            return False

    def _request(self, address: str, command: DepartureCommand) -> bool:
        """Ask the leader to commit a command; return whether it did.

        :raises OSError: when the leader cannot be reached.
        :raises ConnectionLostError: when the connection is lost before the reply.
        """
        connection = self._runtime.connect(parse_address(address), CONNECT_TIMEOUT_SECONDS)
        records = RecordConnection(connection, REPLY_TIMEOUT_SECONDS)
        try:
            records.handshake(self._hello())
            records.send(command)
            return bool(records.expect(DepartureReply).stored)
        finally:
            records.close()

    def commit(self, command: DepartureCommand) -> bool:
        """Commit a command, if this process leads; return whether that succeeded."""
        if self._store.contains_all(command.departures) and self._replica.may_read:
            return True
        return isinstance(self._replica.propose(encode_departures(command)), Ok)
