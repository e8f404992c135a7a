"""Parses and validates route table documents.

A document is JSON; times are in milliseconds::

    {"version": 7, "base": 5,
     "routes": {"pay": {"host": "shop.example", "prefix": "/pay/",
                        "repeat": "unsafe", "timeout_ms": 800, "objective_ms": 500,
                        "priority": 0, "service": "orders", "max_attempts": 2}},
     "services": {"orders": {"health_path": "/healthz", "max_connections": 652}},
     "tenants": {"shop": {"keys": ["…"], "priority": 1, "rate_per_s": 187, "burst": 187}},
     "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

A route sends its requests to one ``service``, or divides them by ``split``, a list of
``{"service": ..., "weight": ...}``. ``repeat`` is ``safe``, ``download``, ``unsafe`` or ``upload``;
requests of ``safe`` and ``download`` routes may be retried. ``upload`` routes take large bodies.

If a document has ``tenants``, each request needs the API key of a tenant, except on ``public``
routes. A tenant has no limit if ``rate_per_s`` is missing or 0.
"""

from __future__ import annotations

import zlib
from typing import Any

from result import Err, Ok, Result

from cranklane.common.secret_digest import secret_digest
from cranklane.common.strict_json import JsonTextError, read_json_text
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
"""Key of the configuration row that holds the whole compressed document."""

MAX_TIMEOUT_MS = 600_000
"""Maximum ``timeout_ms`` of a route."""

MAX_OBJECTIVE_OVER_TIMEOUT_MS = 60_000
"""Exclusive maximum of ``objective_ms`` minus ``timeout_ms`` of a route."""

MAX_DOCUMENT_BYTES = 12 * 1024 * 1024
"""Maximum size of a document; five times the size of a table with 12,000 routes."""

COMPRESSION_LEVEL = 1
"""Fastest level of zlib; achieves most of the compression of slower levels."""

MAX_INTEGER = 2**63 - 1
"""Largest integer in a document: the maximum of a signed 64-bit integer."""

MAX_ATTEMPTS = 1000
"""Maximum ``max_attempts`` of a route; refuses mistyped numbers."""

NOT_IDEMPOTENT = ("unsafe", "upload")
IDEMPOTENT = ("safe", "download")
"""Values of ``repeat`` in a document."""


class DocumentError(Exception):
    """An invalid value in a document; the message names the field."""


class _Fields:
    """Validated access to the fields of one object in a document.

    :param path: path of the object in the document, for error messages.
    """

    def __init__(self, path: str, value: Any) -> None:
        if not isinstance(value, dict):
            raise DocumentError(f"{path}: expected an object")
        self._path = path
        self._value = value

    def integer(self, name: str, minimum: int, maximum: int, default: int | None = None) -> int:
        value = self._value.get(name, default)
        if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
            raise DocumentError(
                f"{self._path}.{name}: found {value!r}; "
                f"expected an integer from {minimum} to {maximum}"
            )
        return value

    def text(self, name: str, default: str | None = None) -> str:
        value = self._value.get(name, default)
        if not isinstance(value, str) or not value:
            raise DocumentError(
                f"{self._path}.{name}: found {value!r}; expected a non-empty string"
            )
        return value

    def number(self, name: str) -> float:
        value = self._value.get(name)
        if value is None:
            return 0.0
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not 0 <= value <= MAX_INTEGER:
            raise DocumentError(
                f"{self._path}.{name}: found {value!r}; expected a number of at least 0"
            )
        return float(value)

    def flag(self, name: str) -> bool:
        value = self._value.get(name, False)
        if not isinstance(value, bool):
            raise DocumentError(f"{self._path}.{name}: found {value!r}; expected true or false")
        return value

    def value(self, name: str) -> Any:
        return self._value.get(name)


def pack_document(data: bytes) -> bytes:
    """Return a compressed document, for storage and transfer."""
    return zlib.compress(data, COMPRESSION_LEVEL)


def unpack_document(packed: bytes) -> bytes:
    """Return the decompressed document, byte for byte as the operator sent it."""
    return zlib.decompress(packed)


def read_json(data: bytes) -> Result[dict[str, Any], list[str]]:
    """Return the JSON object in a document's bytes, or the problem."""
    try:
        value = read_json_text(data)
    except JsonTextError as error:
        return Err([f"the document is not valid JSON: {error}"])
    if not isinstance(value, dict):
        return Err(["the document is not a JSON object"])
    return Ok(value)


def base_of(document: dict[str, Any]) -> Result[int, str]:
    """Return the version that a document replaces, 0 for none, or the problem."""
    base = document.get("base", 0)
    if isinstance(base, bool) or not isinstance(base, int) or not 0 <= base <= MAX_INTEGER:
        return Err(f"base: found {base!r}; expected a version number or 0")
    return Ok(base)


def read_table(document: dict[str, Any]) -> Result[RouteTable, list[str]]:
    """Return the route table of a document, or all problems in it."""
    table, problems = readable_table(document)
    return Err(problems) if problems else Ok(table)


def readable_table(document: dict[str, Any]) -> tuple[RouteTable, list[str]]:
    """Return the route table of the readable entries of a document, and all problems in it."""
    problems: list[str] = []
    services = _read_entries(document, "services", service_of, problems)
    routes = _read_entries(document, "routes", route_of, problems)
    key_required = document.get("tenants") is not None
    tenants = _read_entries(document, "tenants", tenant_of, problems) if key_required else []
    limits = Limits()
    version = 0
    try:
        version = _Fields("document", document).integer("version", 1, MAX_INTEGER)
        limits = limits_of(document.get("limits", {}))
    except DocumentError as problem:
        problems.append(str(problem))
    by_name = {service.name: service for service in services}
    problems += _check_destinations(routes, by_name)
    problems += _check_prefixes(routes)
    problems += _check_keys(tenants)
    directory = TenantDirectory(tenants) if key_required else None
    return RouteTable(version, tuple(routes), by_name, limits, directory), problems


def _read_entries(document: dict[str, Any], kind: str, read: Any, problems: list[str]) -> list[Any]:
    entries = document.get(kind)
    if not isinstance(entries, dict):
        problems.append(f"{kind}: expected an object with entries by name")
        return []
    values = []
    for name, value in entries.items():
        try:
            values.append(read(name, value))
        except DocumentError as problem:
            problems.append(str(problem))
    return values


def service_of(name: str, value: Any) -> ServiceEntry:
    """Return one service of a document.

    :raises DocumentError: when a field is invalid.
    """
    fields = _Fields(f"services.{name}", value)
    return ServiceEntry(
        name,
        fields.text("health_path", "/"),
        fields.integer("max_connections", 0, MAX_INTEGER, 0),
    )


def route_of(name: str, value: Any) -> Route:
    """Return one route of a document.

    :raises DocumentError: when a field is invalid.
    """
    path = f"routes.{name}"
    fields = _Fields(path, value)
    repeat = fields.text("repeat")
    if repeat not in NOT_IDEMPOTENT and repeat not in IDEMPOTENT:
        expected = "safe, download, unsafe or upload"
        raise DocumentError(f"{path}.repeat: found {repeat!r}; expected {expected}")
    prefix = fields.text("prefix")
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise DocumentError(
            f"{path}.prefix: found {prefix!r}; expected a path that begins and ends with a slash"
        )
    timeout = fields.integer("timeout_ms", 1, MAX_TIMEOUT_MS)
    max_objective = timeout + MAX_OBJECTIVE_OVER_TIMEOUT_MS - 1
    return Route(
        name=name,
        host=fields.text("host").lower(),
        prefix=prefix,
        idempotent=repeat in IDEMPOTENT,
        timeout_ms=timeout,
        objective_ms=fields.integer("objective_ms", 1, max_objective, timeout),
        priority=fields.integer("priority", 0, MAX_PRIORITY, 0),
        max_attempts=fields.integer("max_attempts", 1, MAX_ATTEMPTS),
        shares=_shares(path, fields),
        public=fields.flag("public"),
    )


def _shares(path: str, fields: _Fields) -> tuple[Share, ...]:
    split = fields.value("split")
    if split is None:
        return (Share(fields.text("service"), 1),)
    if not isinstance(split, list) or not split:
        raise DocumentError(f"{path}.split: expected a list of service and weight")
    shares = []
    for entry in split:
        share_fields = _Fields(f"{path}.split", entry)
        shares.append(
            Share(share_fields.text("service"), share_fields.integer("weight", 0, MAX_INTEGER))
        )
    if not any(share.weight for share in shares):
        raise DocumentError(f"{path}.split: expected a weight above 0 for at least one service")
    return tuple(shares)


def limits_of(value: Any) -> Limits:
    """Return the limits of a document.

    :raises DocumentError: when a field is invalid.
    """
    fields = _Fields("limits", value)
    default = Limits()
    return Limits(
        fields.integer("max_header_bytes", 1, MAX_INTEGER, default.max_header_bytes),
        fields.integer("max_body_bytes", 0, MAX_INTEGER, default.max_body_bytes),
        fields.integer("header_timeout_ms", 1, MAX_INTEGER, default.header_timeout_ms),
        fields.integer("idle_timeout_ms", 1, MAX_INTEGER, default.idle_timeout_ms),
    )


def tenant_of(name: str, value: Any) -> Tenant:
    """Return one tenant of a document.

    :raises DocumentError: when a field is invalid; the message never contains a key.
    """
    path = f"tenants.{name}"
    fields = _Fields(path, value)
    keys = fields.value("keys")
    if not isinstance(keys, list) or not all(isinstance(key, str) and key for key in keys):
        raise DocumentError(f"{path}.keys: expected a list of non-empty strings")
    return Tenant(
        name=name,
        priority=fields.integer("priority", 0, MAX_PRIORITY, 0),
        rate_per_second=fields.number("rate_per_s"),
        burst=fields.number("burst"),
        key_digests=frozenset(secret_digest(key.encode()) for key in keys),
    )


def _check_keys(tenants: list[Tenant]) -> list[str]:
    tenant_names: dict[str, str] = {}
    problems = []
    for tenant in tenants:
        for digest in tenant.key_digests:
            if digest in tenant_names:
                problems.append(f"tenants.{tenant.name}: shares a key with {tenant_names[digest]}")
            tenant_names[digest] = tenant.name
    return problems


def _check_destinations(routes: list[Route], services: dict[str, ServiceEntry]) -> list[str]:
    return [
        f"routes.{route.name}: unknown service {share.service!r}"
        for route in routes
        for share in route.shares
        if share.service not in services
    ]


def _check_prefixes(routes: list[Route]) -> list[str]:
    route_names: dict[tuple[str, str], str] = {}
    problems = []
    for route in routes:
        host_and_prefix = (route.host, route.prefix)
        if host_and_prefix in route_names:
            problems.append(
                f"routes.{route.name}: same host and prefix as {route_names[host_and_prefix]}: "
                f"{route.host}{route.prefix}"
            )
        route_names[host_and_prefix] = route.name
    return problems
