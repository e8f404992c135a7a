"""Reads a route table from its document and states every problem in it.

A document is JSON. Field names are the product's own; times are milliseconds::

    {"version": 7, "base": 5,
     "routes": {"pay": {"host": "shop.example", "prefix": "/pay/",
                        "repeat": "unsafe", "timeout_ms": 800, "objective_ms": 500,
                        "priority": 0, "service": "orders", "max_attempts": 2}},
     "services": {"orders": {"health_path": "/healthz", "max_connections": 652}},
     "tenants": {"shop": {"keys": ["…"], "priority": 1, "rate_per_s": 187, "burst": 187}},
     "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

A route goes to one ``service`` or is divided by ``split``, a list of
``{"service": ..., "weight": ...}``. ``repeat`` is ``safe``, ``unsafe`` or
``download``; requests of ``safe`` and ``download`` routes may run again.

Where a document has ``tenants``, each request needs an API key of one of them, save on
routes that are ``public``. A tenant without ``rate_per_s``, or with 0, has no limit.
"""

from __future__ import annotations

import json
import zlib
from typing import Any

from result import Err, Ok, Result

from cranklane.common.secret_digest import secret_digest
from cranklane.routes.table import (
    MAX_PRIORITY,
    Limits,
    Route,
    RouteTable,
    ServiceEntry,
    Share,
)
from cranklane.routes.tenants import Tenant, TenantDirectory

ROUTE_TABLE_ROW = "routes"
"""Key of the row of configuration in which nodes get the whole document, packed."""

MAX_TIMEOUT_MS = 600_000
"""Longest time limit of a route."""

MAX_OBJECTIVE_OVER_TIMEOUT_MS = 60_000
"""An objective must be less than this much above its route's time limit."""

PACKING_LEVEL = 1
"""zlib's fastest level: most of the gain in size, at a third of the default level's time."""

MAX_NUMBER = 2**63 - 1
"""Greatest whole number in a document: a signed integer of 64 bits."""

MAX_ATTEMPTS = 1000
"""Greatest ``max_attempts`` of a route. A choice: far beyond what any route needs, so that a
mistyped number is found."""

NOT_IDEMPOTENT = "unsafe"
IDEMPOTENT = ("safe", "download")
"""Words of ``repeat`` in a document."""


class ProblemError(Exception):
    """Problems found while reading; carries their texts."""


class _Fields:
    """The fields of one object of the document, with checks."""

    def __init__(self, where: str, value: Any) -> None:
        if not isinstance(value, dict):
            raise ProblemError(f"{where}: expected an object")
        self._where = where
        self._value = value

    def number(self, name: str, minimum: int, maximum: int, default: int | None = None) -> int:
        value = self._value.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
            raise ProblemError(
                f"{self._where}.{name}: found {value!r}; "
                f"expected a number of {minimum} to {maximum}"
            )
        return value

    def text(self, name: str, default: str | None = None) -> str:
        value = self._value.get(name, default)
        if not isinstance(value, str) or not value:
            raise ProblemError(f"{self._where}.{name}: found {value!r}; expected a text")
        return value

    def amount(self, name: str) -> float:
        value = self._value.get(name)
        if value is None:
            return 0.0
        number = isinstance(value, int | float) and not isinstance(value, bool)
        if not number or not 0 <= value <= MAX_NUMBER:
            raise ProblemError(f"{self._where}.{name}: found {value!r}; expected an amount from 0")
        return float(value)

    def flag(self, name: str) -> bool:
        value = self._value.get(name, False)
        if not isinstance(value, bool):
            raise ProblemError(f"{self._where}.{name}: found {value!r}; expected true or false")
        return value

    def value(self, name: str) -> Any:
        return self._value.get(name)


def pack_document(data: bytes) -> bytes:
    """Return a document compressed, as it is stored and sent: about a tenth of its size."""
    return zlib.compress(data, PACKING_LEVEL)


def unpack_document(packed: bytes) -> bytes:
    """Return a document's bytes as the operator sent them."""
    return zlib.decompress(packed)


def read_json(data: bytes) -> Result[dict[str, Any], list[str]]:
    """Return the object that a document's bytes hold, or the problem."""
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        return Err([f"the document cannot be read: {error}"])
    if not isinstance(value, dict):
        return Err(["the document is not an object"])
    return Ok(value)


def read_table(document: dict[str, Any]) -> Result[RouteTable, list[str]]:
    """Return the table of a document, or every problem found in it."""
    problems: list[str] = []
    services = _read_each(document, "services", service_of, problems)
    routes = _read_each(document, "routes", route_of, problems)
    keyed = document.get("tenants") is not None
    tenants = _read_each(document, "tenants", tenant_of, problems) if keyed else []
    limits = Limits()
    version = 0
    try:
        version = _Fields("document", document).number("version", 1, MAX_NUMBER)
        limits = limits_of(document.get("limits", {}))
    except ProblemError as problem:
        problems.append(str(problem))
    by_name = {service.name: service for service in services}
    problems += _check_destinations(routes, by_name)
    problems += _check_places(routes)
    problems += _check_keys(tenants)
    if problems:
        return Err(problems)
    directory = TenantDirectory(tenants) if keyed else None
    return Ok(RouteTable(version, tuple(routes), by_name, limits, directory))


def _read_each(document: dict[str, Any], kind: str, read: Any, problems: list[str]) -> list[Any]:
    entries = document.get(kind)
    if not isinstance(entries, dict):
        problems.append(f"{kind}: expected a table by name")
        return []
    found = []
    for name, value in entries.items():
        try:
            found.append(read(name, value))
        except ProblemError as problem:
            problems.append(str(problem))
    return found


def service_of(name: str, value: Any) -> ServiceEntry:
    """Return one service of a document.

    :raises ProblemError: when something is wrong with it.
    """
    fields = _Fields(f"services.{name}", value)
    return ServiceEntry(
        name,
        fields.text("health_path", "/"),
        fields.number("max_connections", 0, MAX_NUMBER, 0),
    )


def route_of(name: str, value: Any) -> Route:
    """Return one route of a document.

    :raises ProblemError: when something is wrong with it.
    """
    where = f"routes.{name}"
    fields = _Fields(where, value)
    repeat = fields.text("repeat")
    if repeat != NOT_IDEMPOTENT and repeat not in IDEMPOTENT:
        raise ProblemError(f"{where}.repeat: found {repeat!r}; expected safe, unsafe or download")
    prefix = fields.text("prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ProblemError(f"{where}.prefix: found {prefix!r}; must begin and end with a slash")
    timeout = fields.number("timeout_ms", 1, MAX_TIMEOUT_MS)
    max_objective = timeout + MAX_OBJECTIVE_OVER_TIMEOUT_MS - 1
    return Route(
        name=name,
        host=fields.text("host").lower(),
        prefix=prefix,
        idempotent=repeat in IDEMPOTENT,
        timeout_ms=timeout,
        objective_ms=fields.number("objective_ms", 1, max_objective, timeout),
        priority=fields.number("priority", 0, MAX_PRIORITY, 0),
        max_attempts=fields.number("max_attempts", 1, MAX_ATTEMPTS),
        shares=_shares(where, fields),
        public=fields.flag("public"),
    )


def _shares(where: str, fields: _Fields) -> tuple[Share, ...]:
    split = fields.value("split")
    if split is None:
        return (Share(fields.text("service"), 1),)
    if not isinstance(split, list) or not split:
        raise ProblemError(f"{where}.split: expected a list of service and weight")
    shares = []
    for entry in split:
        part = _Fields(f"{where}.split", entry)
        shares.append(Share(part.text("service"), part.number("weight", 0, MAX_NUMBER)))
    if not any(share.weight for share in shares):
        raise ProblemError(f"{where}.split: no part has a weight")
    return tuple(shares)


def limits_of(value: Any) -> Limits:
    """Return the limits of a document.

    :raises ProblemError: when something is wrong with them.
    """
    fields = _Fields("limits", value)
    default = Limits()
    return Limits(
        fields.number("max_header_bytes", 1, MAX_NUMBER, default.max_header_bytes),
        fields.number("max_body_bytes", 0, MAX_NUMBER, default.max_body_bytes),
        fields.number("header_timeout_ms", 1, MAX_NUMBER, default.header_timeout_ms),
        fields.number("idle_timeout_ms", 1, MAX_NUMBER, default.idle_timeout_ms),
    )


def tenant_of(name: str, value: Any) -> Tenant:
    """Return one tenant of a document.

    Problems never repeat a key: it is a secret.

    :raises ProblemError: when something is wrong with it.
    """
    where = f"tenants.{name}"
    fields = _Fields(where, value)
    keys = fields.value("keys")
    if not isinstance(keys, list) or not all(isinstance(key, str) and key for key in keys):
        raise ProblemError(f"{where}.keys: expected a list of texts")
    return Tenant(
        name=name,
        priority=fields.number("priority", 0, MAX_PRIORITY, 0),
        rate_per_second=fields.amount("rate_per_s"),
        burst=fields.amount("burst"),
        key_digests=frozenset(secret_digest(key.encode()) for key in keys),
    )


def _check_keys(tenants: list[Tenant]) -> list[str]:
    holders: dict[str, str] = {}
    problems = []
    for tenant in tenants:
        for digest in tenant.key_digests:
            if digest in holders:
                problems.append(f"tenants.{tenant.name}: shares a key with {holders[digest]}")
            holders[digest] = tenant.name
    return problems


def _check_destinations(routes: list[Route], services: dict[str, ServiceEntry]) -> list[str]:
    return [
        f"routes.{route.name}: unknown service {share.service!r}"
        for route in routes
        for share in route.shares
        if share.service not in services
    ]


def _check_places(routes: list[Route]) -> list[str]:
    taken: dict[tuple[str, str], str] = {}
    problems = []
    for route in routes:
        place = (route.host, route.prefix)
        if place in taken:
            problems.append(
                f"routes.{route.name}: same host and prefix as {taken[place]}: "
                f"{route.host}{route.prefix}"
            )
        taken[place] = route.name
    return problems
