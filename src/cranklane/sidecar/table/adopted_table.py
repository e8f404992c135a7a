"""The route table in force at a sidecar, updated by deltas from control.

Each update replaces the table object, so that a request sees one consistent state.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cranklane.records.messages import ConfigDelta
from cranklane.routes.document import ROUTE_TABLE_ROW, readable_table
from cranklane.routes.rows import UpdatedTable, with_rows
from cranklane.routes.stored_document import read_stored
from cranklane.routes.table import RouteTable

MAX_LOGGED_PROBLEMS = 3
"""Limit on the logged problems of an unreadable table. The first ones show the cause."""


class AdoptedTable:
    """Applies deltas from control; older revisions than the one in force are rejected.

    :param on_adopt: called after each applied delta, including those without rows.
    :ivar version: revision in force; 0 before the first delta.
    :ivar table: route table in force; empty before the first delta.
    :ivar unreadable_entries: entries of updates that could not be read since the start.
    """

    def __init__(self, log: Any, on_adopt: Callable[[], None]) -> None:
        self._log = log
        self._on_adopt = on_adopt
        self.version = 0
        self.table = RouteTable()
        self.unreadable_entries = 0

    def adopt(self, delta: ConfigDelta) -> bool:
        """Apply a delta; return False if it is older than the revision in force."""
        if delta.version < self.version:
            return False
        if delta.rows:
            self._apply_rows(delta)
        self.version = delta.version
        self._on_adopt()
        return True

    def _apply_rows(self, delta: ConfigDelta) -> None:
        self.table, problems = self._read(delta)
        if problems:
            # Of a controller of another release, or accepted by a former one. The other entries
            # are in force.
            self.unreadable_entries += len(problems)
            self._log.error(
                "route_table_unreadable",
                count=len(problems),
                problems=problems[:MAX_LOGGED_PROBLEMS],
            )
        self._log.info(
            "route_table_in_force",
            version=self.table.version,
            routes=len(self.table.routes),
            revision=delta.version,
            changed=len(delta.rows),
            whole=delta.whole,
        )

    def _read(self, delta: ConfigDelta) -> UpdatedTable:
        if not delta.whole:
            return with_rows(self.table, delta.rows)
        packed = next((row.value for row in delta.rows if row.key == ROUTE_TABLE_ROW), b"")
        stored = read_stored(packed)
        if stored.value is None:
            return UpdatedTable(self.table, stored.problems)
        table, problems = readable_table(stored.value)
        return UpdatedTable(table, stored.problems + problems)
