"""The route table in force at a sidecar."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from result import Err

from cranklane.records.messages import ConfigDelta
from cranklane.routes.document import ROUTE_TABLE_ROW, read_json, read_table
from cranklane.routes.table import RouteTable


class AdoptedTable:
    """Takes tables from control in order and never steps back.

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
        for row in delta.rows:
            if row.key == ROUTE_TABLE_ROW and row.value:
                self._take(row.value)
        self.version = delta.version
        self._on_adopt()
        return True

    def _take(self, document: bytes) -> None:
        read = read_json(document).and_then(read_table)
        if isinstance(read, Err):
            # Control checks each table with this very code before it is taken.
            self._log.error("route_table_unreadable", problems=read.err_value[:3])
            return
        self.table = read.ok_value
        self._log.info(
            "route_table_in_force", version=self.table.version, routes=len(self.table.routes)
        )
