"""The open connections of callers: how many there may be, and what all of them may hold.

Whatever is held for a connection is charged to one budget of the process, so that clients which
send much or slowly, or do not read their responses, cannot use up its memory. When it is full,
connections that wait are closed: first those that have never sent a request, then those that
leave a response unread, then idle ones; among these the one that has waited longest. Requests at
a worker are not touched.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from enum import Enum

from cranklane.common.memory_budget import ORDINARY_BYTES, MemoryBudget
from cranklane.sidecar.ingress.caller_connection import CallerConnection

CONNECTION_BYTES = 32 * 1024
"""Memory of a connection with its task, including a request and a response of ordinary size."""

STREAMED_BYTES = 192 * 1024
"""Memory for a body that is passed on in pieces: one received, its copy in a record or chunk, and
the buffered first part."""

LARGE_FRACTION = 3 / 4
"""Fraction of the budget for what exceeds ``ORDINARY_BYTES``; the rest is for ordinary requests."""

UNREAD_SECONDS = 0.5
"""Time without progress after which a response counts as unread."""


class ClosedFor(Enum):
    """Why a connection was closed for lack of room."""

    NO_REQUEST = "no_request"
    """It had not sent a whole request."""
    UNREAD = "unread"
    """It did not read its response."""
    IDLE = "idle"
    """It had been idle for longest."""
    NOT_ADMITTED = "not_admitted"
    """It was new, and no other one could be closed."""


class CallerConnections:
    """Admits connections and charges what they hold.

    :param clock: returns monotonic seconds.
    :param max_connections: limit on the number of connections.
    :param on_closed: called with the reason for each connection closed for lack of room.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        budget: MemoryBudget,
        max_connections: int,
        on_closed: Callable[[ClosedFor], None],
    ) -> None:
        self._clock = clock
        self._budget = budget
        self._max_connections = max_connections
        self._on_closed = on_closed
        self._charges: dict[CallerConnection, int] = {}
        self._new: OrderedDict[CallerConnection, None] = OrderedDict()
        self._idle: OrderedDict[CallerConnection, None] = OrderedDict()
        self._writing: OrderedDict[CallerConnection, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._charges)

    def waiting(self) -> Iterable[CallerConnection]:
        """Return the connections of which no whole request has been read."""
        return [*self._new, *self._idle]

    def admit(self, connection: CallerConnection) -> bool:
        """Add a new connection, closing another one if needed; return False if there is no room."""
        while len(self._charges) >= self._max_connections or not self._budget.fits(
            CONNECTION_BYTES
        ):
            if not self._close_one(include_idle=True):
                self._on_closed(ClosedFor.NOT_ADMITTED)
                return False
        self._budget.charge(CONNECTION_BYTES)
        self._charges[connection] = 0
        return True

    def remove(self, connection: CallerConnection) -> None:
        """Forget a connection that is being closed."""
        charge = self._charges.pop(connection, None)
        if charge is None:
            return
        self._budget.charge(-CONNECTION_BYTES - charge)
        self._new.pop(connection, None)
        self._idle.pop(connection, None)
        self._writing.pop(connection, None)

    def wait_for_request(self, connection: CallerConnection) -> None:
        """Note that a connection waits for its next request; nothing large is held for it."""
        if connection not in self._charges:
            return
        if self._charges[connection]:
            self.charge(connection, 0)
        order = self._idle if connection.has_served else self._new
        order[connection] = None
        order.move_to_end(connection)

    def request_read(self, connection: CallerConnection) -> None:
        """Note that a connection has sent a request, which is served from now on."""
        (self._idle if connection.has_served else self._new).pop(connection, None)
        connection.has_served = True

    def write(self, connection: CallerConnection) -> None:
        """Note that the writing of a large response to a connection begins or makes progress."""
        if connection in self._charges:
            self._writing[connection] = self._clock()
            self._writing.move_to_end(connection)

    def written(self, connection: CallerConnection) -> None:
        """Note that a large response has been written, or given up."""
        self._writing.pop(connection, None)

    def charge(self, connection: CallerConnection, size: int) -> bool:
        """Set what a connection holds; return False if there is no room for it.

        Connections that have not sent a request, or do not read, are closed to make room.

        :param size: bytes held; those up to ``ORDINARY_BYTES`` are not charged.
        """
        if connection not in self._charges:
            # Closed for lack of room while its task was running.
            return False
        size = size if size > ORDINARY_BYTES else 0
        added = size - self._charges[connection]
        while added > 0 and not self._budget.fits(added, LARGE_FRACTION):
            if not self._close_one(include_idle=False, requested_by=connection):
                return False
        self._budget.charge(added)
        self._charges[connection] = size
        return True

    def charge_response(self, connection: CallerConnection, size: int) -> None:
        """Like :meth:`charge` for a worker's response, which is never refused."""
        if not self.charge(connection, size) and connection in self._charges:
            self._budget.charge(size - self._charges[connection])
            self._charges[connection] = size

    def _close_one(self, include_idle: bool, requested_by: CallerConnection | None = None) -> bool:
        """Close the connection that has been useless for longest; return False without one."""
        first_new = next(iter(self._new), None)
        if first_new is not None:
            return first_new is not requested_by and self._close(first_new, ClosedFor.NO_REQUEST)
        unread = self._unread_for_longest()
        if unread is not None and unread is not requested_by:
            return self._close(unread, ClosedFor.UNREAD)
        first_idle = next(iter(self._idle), None)
        if include_idle and first_idle is not None:
            return self._close(first_idle, ClosedFor.IDLE)
        return False

    def _unread_for_longest(self) -> CallerConnection | None:
        """Return the connection whose response has made no progress for longest; None if none."""
        connection = next(iter(self._writing), None)
        if connection is None or self._clock() - self._writing[connection] < UNREAD_SECONDS:
            return None
        return connection

    def _close(self, connection: CallerConnection, reason: ClosedFor) -> bool:
        self.remove(connection)
        connection.close()
        self._on_closed(reason)
        return True
