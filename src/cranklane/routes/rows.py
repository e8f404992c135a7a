"""A route table as rows, so that a change travels as what has changed.

Each route and each service has a row of its own, and so have the version and the
limits. A node that has no table yet gets the whole document in one row instead.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Any

from result import Err, Ok, Result

from cranklane.records.messages import ConfigRow
from cranklane.routes.document import ProblemError, limits_of, route_of, service_of, tenant_of
from cranklane.routes.table import RouteTable
from cranklane.routes.tenants import TenantDirectory

VERSION_ROW = "version"
LIMITS_ROW = "limits"
ROUTE_KIND = "routes"
SERVICE_KIND = "services"
TENANT_KIND = "tenants"
KEYED_ROW = "keyed"
"""Row that is there where requests need the API key of a tenant."""

_SEPARATOR = "/"

_READERS: dict[str, Callable[[str, Any], Any]] = {
    ROUTE_KIND: route_of,
    SERVICE_KIND: service_of,
    TENANT_KIND: tenant_of,
}
"""How an entry of each kind is read from its value."""


def rows_of(document: dict[str, Any]) -> dict[str, bytes]:
    """Return the rows of a checked document by key.

    >>> rows = rows_of({"version": 3, "routes": {"r": {"b": 1, "a": 2}}, "services": {}})
    >>> rows["routes/r"], rows["version"]
    (b'{"a":2,"b":1}', b'3')
    """
    rows = {
        VERSION_ROW: _text(document["version"]),
        LIMITS_ROW: _text(document.get("limits", {})),
    }
    kinds = [ROUTE_KIND, SERVICE_KIND]
    if document.get(TENANT_KIND) is not None:
        kinds.append(TENANT_KIND)
        rows[KEYED_ROW] = _text(True)
    for kind in kinds:
        for name, value in document[kind].items():
            rows[kind + _SEPARATOR + name] = _text(value)
    return rows


def with_rows(table: RouteTable, rows: Iterable[ConfigRow]) -> Result[RouteTable, str]:
    """Return a table with rows changed; a row without a value removes its entry."""
    draft = _Draft(table)
    try:
        for row in rows:
            draft.take(row)
    except (ProblemError, ValueError) as error:
        return Err(str(error))
    return Ok(draft.finished())


class _Draft:
    """A route table while rows of it are changed."""

    def __init__(self, table: RouteTable) -> None:
        tenants = table.tenants
        self._keyed = tenants is not None
        self._version = table.version
        self._limits = table.limits
        self._entries: dict[str, dict[str, Any]] = {
            ROUTE_KIND: {route.name: route for route in table.routes},
            SERVICE_KIND: dict(table.services),
            TENANT_KIND: dict(tenants.by_name) if tenants is not None else {},
        }

    def take(self, row: ConfigRow) -> None:
        """Apply one row.

        :raises ProblemError: when its value is no valid entry.
        :raises ValueError: when its value is no JSON.
        """
        kind, _, name = row.key.partition(_SEPARATOR)
        value: Any = json.loads(row.value) if row.value else None
        if kind in _READERS and row.value:
            self._entries[kind][name] = _READERS[kind](name, value)
        elif kind in _READERS:
            self._entries[kind].pop(name, None)
        elif kind == KEYED_ROW:
            self._keyed = bool(row.value)
        elif kind == LIMITS_ROW:
            self._limits = limits_of(value)
        elif kind == VERSION_ROW:
            self._version = value

    def finished(self) -> RouteTable:
        """Return the table after the changes."""
        routes = tuple(self._entries[ROUTE_KIND].values())
        services = self._entries[SERVICE_KIND]
        tenants = TenantDirectory(self._entries[TENANT_KIND].values()) if self._keyed else None
        return RouteTable(self._version, routes, services, self._limits, tenants)


def _text(value: Any) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()
