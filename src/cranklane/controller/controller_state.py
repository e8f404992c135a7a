"""State machine of a controller's log: the route table and the departures of workers.

Commands and snapshots of releases without departures are the plain records of the route table.
The others begin with a mark that no such record begins with: its first field is a version or a
revision, which stays below 2**63.
"""

from __future__ import annotations

from typing import Any

from cranklane.controller.departure_store import DepartureStore
from cranklane.controller.route_store import RouteTableStore
from cranklane.records.messages import ControllerState, DepartureCommand

_MARK = b"\xff" * 8


def encode_departures(command: DepartureCommand) -> bytes:
    """Return the log's command that stores departures."""
    return _MARK + command.pack()


class ControllerStateMachine:
    """Applies committed commands to the stores that they concern."""

    def __init__(self, table: RouteTableStore, departures: DepartureStore) -> None:
        self._table = table
        self._departures = departures

    def apply(self, command: bytes) -> Any:
        """Apply a committed command; return the result of a route table, True for departures."""
        if not command.startswith(_MARK):
            return self._table.apply(command)
        self._departures.add(DepartureCommand.unpack(command[len(_MARK) :]).departures)
        return True

    def pack(self) -> bytes:
        """Return the encoded state for a snapshot."""
        state = ControllerState(self._table.pack(), self._departures.pack())
        return _MARK + state.pack()

    def restore(self, state: bytes) -> None:
        """Replace the state by that of a snapshot; empty bytes are the initial state."""
        if not state.startswith(_MARK):
            self._table.restore(state)
            self._departures.restore([])
            return
        whole = ControllerState.unpack(state[len(_MARK) :])
        self._table.restore(whole.table)
        self._departures.restore(whole.departures)
