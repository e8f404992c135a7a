"""The route table in force at a sidecar, kept up to date from control's deltas.

Owns the table and its revision. A table is replaced as a whole, so that a request sees one state.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from result import Err, Result

from cranklane.records.messages import ConfigDelta
from cranklane.routes.document import ROUTE_TABLE_ROW, read_json, read_table, unpack_document
from cranklane.routes.rows import with_rows
from cranklane.routes.table import RouteTable

MAX_PROBLEMS = 3
"""Problems of an unreadable table that are logged. A choice: the first ones show the cause."""


class AdoptedTable:
    """Applies control's deltas in order and never steps back.

    :param on_adopt: called after each delta, also one without rows.
    :ivar version: revision of the newest table in force; 0 before the first.
    :ivar table: that table.
    """

    def __init__(self, log: Any, on_adopt: Callable[[], None]) -> None:
        self._log = log
        self._on_adopt = on_adopt
        self.version = 0
        self.table = RouteTable()

    def adopt(self, delta: ConfigDelta) -> bool:
        """Apply a delta; return False when it is older than what is in force."""
        if delta.version < self.version:
            return False
        if delta.rows:
            self._take(delta)
        self.version = delta.version
        self._on_adopt()
        return True

    def _take(self, delta: ConfigDelta) -> None:
        read = self._read(delta)
        if isinstance(read, Err):
            # Control checks each table with the same code, so this is a fault of the program.
            # The table in force stays.
            self._log.error("route_table_unreadable", problem=read.err_value)
            return
        self.table = read.ok_value
        self._log.info(
            "route_table_in_force",
            version=self.table.version,
            routes=len(self.table.routes),
            revision=delta.version,
            changed=len(delta.rows),
            whole=delta.whole,
        )

    def _read(self, delta: ConfigDelta) -> Result[RouteTable, str]:
        if not delta.whole:
            return with_rows(self.table, delta.rows)
        whole = next(row.value for row in delta.rows if row.key == ROUTE_TABLE_ROW)
        read = read_json(unpack_document(whole)).and_then(read_table)
        return read.map_err(lambda problems: "; ".join(problems[:MAX_PROBLEMS]))
