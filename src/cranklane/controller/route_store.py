"""The route table in force, and which tables were ever taken.

The store changes only by applying committed commands in order, so that every
replica comes to the same state. It owns that state; the replica owns its order.
"""

from __future__ import annotations

import json
from enum import IntEnum
from typing import Any

from cranklane.controller.row_changes import RowChanges
from cranklane.records.messages import (
    ConfigDelta,
    ConfigRow,
    RouteTableCommand,
    RouteTableState,
    TakenTable,
)
from cranklane.routes.document import (
    ROUTE_TABLE_ROW,
    pack_document,
    tenant_of,
    unpack_document,
)
from cranklane.routes.rows import rows_of
from cranklane.routes.tenants import Tenant


class TableResult(IntEnum):
    """What became of a command."""

    TAKEN = 0
    """In force, or taken before: an equal request gets this answer for good."""
    CONFLICT = 1
    """Another version than the one it builds on is in force."""
    NOT_NEWER = 2
    """Its version is not above the one in force."""


class RouteTableStore:
    """State of the route table at one replica.

    :ivar revision: how many tables were taken.
    :ivar version: the operator's version in force, 0 for none.
    :ivar tenants: those of the table in force.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.version = 0
        self.tenants: list[Tenant] = []
        self._packed = pack_document(b"")
        self._rows = RowChanges()
        self._taken: dict[bytes, int] = {}

    @property
    def document(self) -> bytes:
        """The document in force as the operator sent it; empty for none."""
        return unpack_document(self._packed)

    def was_taken(self, digest: bytes) -> bool:
        """Return whether a table with this digest was ever taken."""
        return digest in self._taken

    def judge(self, command: RouteTableCommand) -> TableResult:
        """Return what a command would come to now."""
        if self.was_taken(command.digest):
            return TableResult.TAKEN
        if command.base != self.version:
            return TableResult.CONFLICT
        if command.version <= self.version:
            return TableResult.NOT_NEWER
        return TableResult.TAKEN

    def apply(self, data: bytes) -> TableResult:
        """Apply a committed RouteTableCommand and return its answer."""
        command = RouteTableCommand.unpack(data)
        result = self.judge(command)
        if result is TableResult.TAKEN and not self.was_taken(command.digest):
            self.revision += 1
            self.version = command.version
            self._packed = command.document
            document = json.loads(self.document)
            self._rows.replace(self.revision, rows_of(document))
            self.tenants = _tenants_of(document)
            self._taken[command.digest] = command.version
        return result

    # For subscribers.

    def delta(self, base: int) -> ConfigDelta:
        """Return what a subscriber at ``base`` needs to be current.

        One that has a table gets the rows that have changed since.
        """
        if base >= self.revision:
            return ConfigDelta(base, self.revision, False, [])
        changed = self._rows.since(base) if base else None
        if changed is not None:
            return ConfigDelta(base, self.revision, False, changed)
        row = ConfigRow(self.revision, ROUTE_TABLE_ROW, self._packed)
        return ConfigDelta(0, self.revision, True, [row])

    def value(self, key: str) -> bytes:
        """Return a row's value, empty when there is none."""
        return self._packed if key == ROUTE_TABLE_ROW else b""

    # Snapshots.

    def pack(self) -> bytes:
        """Return the whole state for a snapshot."""
        taken = [TakenTable(version, digest) for digest, version in self._taken.items()]
        return RouteTableState(self.revision, self.version, self._packed, taken).pack()

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot's."""
        state = RouteTableState.unpack(data) if data else RouteTableState()
        self.revision = state.revision
        self.version = state.version
        self._packed = state.document or pack_document(b"")
        document = json.loads(self.document) if self.document else None
        self._rows.start(self.revision, rows_of(document) if document is not None else {})
        self.tenants = _tenants_of(document) if document is not None else []
        self._taken = {item.digest: item.version for item in state.taken}


def _tenants_of(document: dict[str, Any]) -> list[Tenant]:
    tenants = document.get("tenants") or {}
    return [tenant_of(name, value) for name, value in tenants.items()]
