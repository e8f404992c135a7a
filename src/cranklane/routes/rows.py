"""Rows of a route table, so that an update only carries the changed entries.

One row per route, service and tenant, plus rows for the version and the limits. A node without a
table gets the whole document in one row instead.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from cranklane.common.strict_json import read_json_text
from cranklane.records.messages import ConfigRow
from cranklane.routes.document import DocumentError, limits_of, route_of, service_of, tenant_of
from cranklane.routes.table import RouteTable
from cranklane.routes.tenants import TenantDirectory

VERSION_ROW = "version"
LIMITS_ROW = "limits"
ROUTE_KIND = "routes"
SERVICE_KIND = "services"
TENANT_KIND = "tenants"
KEY_REQUIRED_ROW = "keyed"
"""Key of a row that exists if requests need the API key of a tenant."""

_SEPARATOR = "/"

_READERS: dict[str, Callable[[str, Any], Any]] = {
    ROUTE_KIND: route_of,
    SERVICE_KIND: service_of,
    TENANT_KIND: tenant_of,
}
"""Parsers of the entries of each kind."""


def rows_of(document: dict[str, Any]) -> dict[str, bytes]:
    """Return the rows of a document by key; kinds that are no objects have none.

    >>> rows = rows_of({"version": 3, "routes": {"r": {"b": 1, "a": 2}}, "services": {}})
    >>> rows["routes/r"], rows["version"]
    (b'{"a":2,"b":1}', b'3')
    """
    rows = {
        VERSION_ROW: _encode(document.get("version", 0)),
        LIMITS_ROW: _encode(document.get("limits", {})),
    }
    kinds = [ROUTE_KIND, SERVICE_KIND]
    if document.get(TENANT_KIND) is not None:
        kinds.append(TENANT_KIND)
        rows[KEY_REQUIRED_ROW] = _encode(True)
    for kind in kinds:
        entries = document.get(kind)
        for name, value in entries.items() if isinstance(entries, dict) else ():
            rows[kind + _SEPARATOR + name] = _encode(value)
    return rows


class UpdatedTable(NamedTuple):
    """A route table after an update.

    :ivar problems: one for each entry that cannot be read; its former state stays in the table.
    """

    table: RouteTable
    problems: list[str]


def with_rows(table: RouteTable, rows: Iterable[ConfigRow]) -> UpdatedTable:
    """Return a table with changed rows applied; a row without a value removes its entry."""
    builder = _TableBuilder(table)
    problems = []
    for row in rows:
        try:
            builder.apply(row)
        except (DocumentError, ValueError) as error:
            problems.append(f"{row.key}: {error}")
    return UpdatedTable(builder.build(), problems)


class _TableBuilder:
    """Builds a route table from a previous one and changed rows."""

    def __init__(self, table: RouteTable) -> None:
        tenants = table.tenants
        self._key_required = tenants is not None
        self._version = table.version
        self._limits = table.limits
        self._entries: dict[str, dict[str, Any]] = {
            ROUTE_KIND: {route.name: route for route in table.routes},
            SERVICE_KIND: dict(table.services),
            TENANT_KIND: dict(tenants.by_name) if tenants is not None else {},
        }

    def apply(self, row: ConfigRow) -> None:
        """Apply one row.

        :raises DocumentError: when its value is not a valid entry.
        :raises ValueError: when its value is not JSON.
        """
        kind, _, name = row.key.partition(_SEPARATOR)
        value: Any = read_json_text(row.value) if row.value else None
        if kind in _READERS and row.value:
            self._entries[kind][name] = _READERS[kind](name, value)
        elif kind in _READERS:
            self._entries[kind].pop(name, None)
        elif kind == KEY_REQUIRED_ROW:
            self._key_required = bool(row.value)
        elif kind == LIMITS_ROW:
            self._limits = limits_of(value)
        elif kind == VERSION_ROW:
            self._version = value

    def build(self) -> RouteTable:
        """Return the resulting table."""
        routes = tuple(self._entries[ROUTE_KIND].values())
        services = self._entries[SERVICE_KIND]
        tenants = (
            TenantDirectory(self._entries[TENANT_KIND].values()) if self._key_required else None
        )
        return RouteTable(self._version, routes, services, self._limits, tenants)


def _encode(value: Any) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()
