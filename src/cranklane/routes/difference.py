"""Difference between two route tables, by entry and field.

Compares the values in effect: missing fields have their defaults, hosts are in lower case. Of
tenants' keys it states only whether they have changed. Performs no input or output.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum
from typing import Any, NamedTuple

from cranklane.routes.document import limits_of, route_of, service_of, tenant_of
from cranklane.routes.table import Limits

KEYS_FIELD = "keys"
"""Field of a tenant whose values are never part of a change."""

_Fields = dict[str, Any]


class ChangeKind(Enum):
    """Kind of a change."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Change(NamedTuple):
    """An added or removed entry, or a changed field.

    :ivar entry: path of the entry, such as ``routes.pay``.
    :ivar field: the changed field; empty if the entry was added or removed.
    :ivar before: former value, or all fields of a removed entry; None if not stated.
    :ivar after: new value, or all fields of an added entry; None if not stated.
    """

    kind: ChangeKind
    entry: str
    field: str = ""
    before: Any = None
    after: Any = None


def difference(before: dict[str, Any], after: dict[str, Any]) -> list[Change]:
    """Return the changes from one valid document to another, without version and base.

    :raises DocumentError: when an entry of a document is invalid.
    """
    changes: list[Change] = []
    for kind, fields_of in _ENTRY_FIELDS.items():
        changes += _entry_changes(kind, fields_of, before.get(kind), after.get(kind))
    limits = (limits_of(document.get("limits", {})) for document in (before, after))
    changes += _field_changes("limits", *(_limit_fields(value) for value in limits))
    required = [document.get("tenants") is not None for document in (before, after)]
    changes += _field_changes("tenants", *({"key_required": value} for value in required))
    return changes


def _entry_changes(
    kind: str,
    fields_of: Callable[[str, Any], _Fields],
    before: dict[str, Any] | None,
    after: dict[str, Any] | None,
) -> Iterator[Change]:
    former = {name: fields_of(name, value) for name, value in (before or {}).items()}
    current = {name: fields_of(name, value) for name, value in (after or {}).items()}
    for name in sorted(former.keys() | current.keys()):
        entry = f"{kind}.{name}"
        if name not in current:
            yield Change(ChangeKind.REMOVED, entry, before=_without_keys(former[name]))
        elif name not in former:
            yield Change(ChangeKind.ADDED, entry, after=_without_keys(current[name]))
        else:
            yield from _field_changes(entry, former[name], current[name])


def _field_changes(entry: str, before: _Fields, after: _Fields) -> Iterator[Change]:
    for name in [*before, *(name for name in after if name not in before)]:
        former, current = before.get(name), after.get(name)
        if former == current:
            continue
        if name == KEYS_FIELD:
            yield Change(ChangeKind.CHANGED, entry, name)
        else:
            yield Change(ChangeKind.CHANGED, entry, name, former, current)


def _without_keys(fields: _Fields) -> _Fields:
    return {name: value for name, value in fields.items() if name != KEYS_FIELD}


def _route_fields(name: str, value: Any) -> _Fields:
    route = route_of(name, value)
    fields = {
        "host": route.host,
        "prefix": route.prefix,
        "repeat": value["repeat"],
        "timeout_ms": route.timeout_ms,
        "objective_ms": route.objective_ms,
        "priority": route.priority,
        "max_attempts": route.max_attempts,
        "public": route.public,
    }
    if len(route.shares) == 1:
        return {**fields, "service": route.shares[0].service}
    return {**fields, "split": [share._asdict() for share in sorted(route.shares)]}


def _service_fields(name: str, value: Any) -> _Fields:
    service = service_of(name, value)
    return {"health_path": service.health_path, "max_connections": service.max_connections}


def _tenant_fields(name: str, value: Any) -> _Fields:
    tenant = tenant_of(name, value)
    return {
        "priority": tenant.priority,
        "rate_per_s": tenant.rate_per_second,
        "burst": tenant.burst,
        KEYS_FIELD: tenant.key_digests,
    }


def _limit_fields(limits: Limits) -> _Fields:
    return {
        "max_header_bytes": limits.max_header_bytes,
        "max_body_bytes": limits.max_body_bytes,
        "header_timeout_ms": limits.header_timeout_ms,
        "idle_timeout_ms": limits.idle_timeout_ms,
    }


_ENTRY_FIELDS: dict[str, Callable[[str, Any], _Fields]] = {
    "routes": _route_fields,
    "services": _service_fields,
    "tenants": _tenant_fields,
}
"""Functions that return the fields in effect of an entry of each kind."""
