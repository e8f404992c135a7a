"""State machine of the route table: the table in force and the digests of all accepted tables.

The store changes only when committed commands are applied in log order, so every replica reaches
the same state. Owns that state; the replica owns the log.
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
    """Result of a command."""

    ACCEPTED = 0
    """In force now or earlier: a repeated request always gets this result."""
    CONFLICT = 1
    """The version in force differs from the command's base."""
    NOT_NEWER = 2
    """The command's version is not above the version in force."""


class RouteTableStore:
    """Route table of one replica.

    :ivar revision: number of accepted tables.
    :ivar version: operator's version number of the table in force, 0 for none.
    :ivar tenants: tenants of the table in force.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.version = 0
        self.tenants: list[Tenant] = []
        self._packed_document = pack_document(b"")
        self._rows = RowChanges()
        self._accepted_versions: dict[bytes, int] = {}

    @property
    def document(self) -> bytes:
        """Document in force, byte for byte as the operator sent it; empty for none."""
        return unpack_document(self._packed_document)

    def was_accepted(self, digest: bytes) -> bool:
        """Return whether a table with this digest was ever accepted."""
        return digest in self._accepted_versions

    def expected_result(self, command: RouteTableCommand) -> TableResult:
        """Return the result of applying a command now, without applying it."""
        if self.was_accepted(command.digest):
            return TableResult.ACCEPTED
        if command.base != self.version:
            return TableResult.CONFLICT
        if command.version <= self.version:
            return TableResult.NOT_NEWER
        return TableResult.ACCEPTED

    def apply(self, data: bytes) -> TableResult:
        """Apply a committed RouteTableCommand and return its result."""
        command = RouteTableCommand.unpack(data)
        result = self.expected_result(command)
        if result is TableResult.ACCEPTED and not self.was_accepted(command.digest):
            self.revision += 1
            self.version = command.version
            self._packed_document = command.document
            document = json.loads(self.document)
            self._rows.replace(self.revision, rows_of(document))
            self.tenants = _tenants_of(document)
            self._accepted_versions[command.digest] = command.version
        return result

    def delta(self, base: int) -> ConfigDelta:
        """Return the update for a subscriber at revision ``base``.

        It holds the rows changed since, or the whole document if those are unknown.
        """
        if base >= self.revision:
            return ConfigDelta(base, self.revision, False, [])
        changed = self._rows.since(base) if base else None
        if changed is not None:
            return ConfigDelta(base, self.revision, False, changed)
        row = ConfigRow(self.revision, ROUTE_TABLE_ROW, self._packed_document)
        return ConfigDelta(0, self.revision, True, [row])

    def value(self, key: str) -> bytes:
        """Return the value of a row, empty if the row does not exist."""
        return self._packed_document if key == ROUTE_TABLE_ROW else b""

    def pack(self) -> bytes:
        """Return the encoded state for a snapshot."""
        accepted = [
            TakenTable(version, digest) for digest, version in self._accepted_versions.items()
        ]
        return RouteTableState(self.revision, self.version, self._packed_document, accepted).pack()

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        state = RouteTableState.unpack(data) if data else RouteTableState()
        self.revision = state.revision
        self.version = state.version
        self._packed_document = state.document or pack_document(b"")
        document = json.loads(self.document) if self.document else None
        self._rows.reset(self.revision, rows_of(document) if document is not None else {})
        self.tenants = _tenants_of(document) if document is not None else []
        self._accepted_versions = {table.digest: table.version for table in state.taken}


def _tenants_of(document: dict[str, Any]) -> list[Tenant]:
    entries = document.get("tenants") or {}
    return [tenant_of(name, value) for name, value in entries.items()]
