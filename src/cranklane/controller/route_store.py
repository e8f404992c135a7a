"""State machine of the route table: the table in force and the digests of all accepted tables.

The store changes only when committed commands are applied in log order, so every replica reaches
the same state. Owns that state; the replica owns the log. A document that a former release has
accepted although it cannot be read in full stays in force: its readable part is published, and the
document itself is returned to operators.
"""

from __future__ import annotations

from collections.abc import Callable
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
    DocumentError,
    pack_document,
    tenant_of,
    unpack_document,
)
from cranklane.routes.rows import rows_of
from cranklane.routes.stored_document import read_stored
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

    :param on_unreadable: called with the version and the problems of a stored document that cannot
        be read in full.
    :ivar revision: number of accepted tables.
    :ivar version: operator's version number of the table in force, 0 for none.
    :ivar tenants: tenants of the table in force.
    """

    def __init__(
        self, on_unreadable: Callable[[int, list[str]], None] = lambda _version, _problems: None
    ) -> None:
        self._on_unreadable = on_unreadable
        self.revision = 0
        self.version = 0
        self.tenants: list[Tenant] = []
        self._packed_document = pack_document(b"")
        self._published_document = self._packed_document
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
            document = self._publish_stored()
            if document is not None:
                self._rows.replace(self.revision, rows_of(document))
            self._accepted_versions[command.digest] = command.version
        return result

    def _publish_stored(self) -> dict[str, Any] | None:
        """Publish the readable part of the document in force, and return it.

        If nothing of it can be read, the former one stays published; the result is None.
        """
        stored = read_stored(self._packed_document)
        if stored.problems:
            self._on_unreadable(self.version, stored.problems)
        if stored.value is None:
            return None
        self._published_document = stored.packed
        self.tenants = _tenants_of(stored.value)
        return stored.value

    def delta(self, base: int) -> ConfigDelta:
        """Return the update for a subscriber at revision ``base``.

        It holds the rows changed since, or the whole document if those are unknown.
        """
        if base >= self.revision:
            return ConfigDelta(base, self.revision, False, [])
        changed = self._rows.since(base) if base else None
        if changed is not None:
            return ConfigDelta(base, self.revision, False, changed)
        row = ConfigRow(self.revision, ROUTE_TABLE_ROW, self._published_document)
        return ConfigDelta(0, self.revision, True, [row])

    def value(self, key: str) -> bytes:
        """Return the value of a row, empty if the row does not exist."""
        return self._published_document if key == ROUTE_TABLE_ROW else b""

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
        self._published_document = self._packed_document
        self.tenants = []
        document = self._publish_stored() if self.version else None
        self._rows.reset(self.revision, rows_of(document) if document is not None else {})
        self._accepted_versions = {table.digest: table.version for table in state.taken}


def _tenants_of(document: dict[str, Any]) -> list[Tenant]:
    tenants = []
    for name, value in (document.get("tenants") or {}).items():
        try:
            tenants.append(tenant_of(name, value))
        except DocumentError:
            # A stored document of a former release: its sidecars report the entry.
            continue
    return tenants
