"""Routes that no request can match, and hosts that match other requests than they seem to.

Sidecars compare hosts and prefixes literally. They first look for routes of the Host header as
sent, and only if there is none for the Host header without its port. A prefix is never hidden by
longer ones: a route always keeps the path that equals its own prefix.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

from cranklane.routes.checks.findings import Finding, warning
from cranklane.routes.table import Limits, Route, RouteTable

_NOT_IN_HOST = re.compile(r"[\s/?#@\x00-\x20\x7f]")
"""Characters that a Host header cannot contain."""

_NOT_IN_PATH = re.compile(r"[\s?#\x00-\x20\x7f]")
"""Characters that the path of a request target cannot contain."""

_HEADER_OVERHEAD_BYTES = 4
"""Bytes that a sidecar counts for each header in addition to its name and value."""


def check_matching(document: dict[str, Any], table: RouteTable) -> Iterator[Finding]:
    """Yield findings on the hosts and prefixes of a valid document."""
    if not table.routes:
        yield warning("routes", "there are none, so every request is refused")
    for route in table.routes:
        yield from _check_host(route)
        yield from _check_prefix(route)
        yield from _check_head_size(route, table.limits)
    yield from _check_spelling(document)
    yield from _check_ports(table)


def _check_host(route: Route) -> Iterator[Finding]:
    field = f"routes.{route.name}.host"
    if _NOT_IN_HOST.search(route.host):
        yield warning(
            field,
            f"{route.host!r} matches no request: a Host header has no scheme, path or white space",
        )
    elif not route.host.isascii():
        yield warning(field, f"{route.host!r} matches no request: clients send its xn-- form")
    elif "*" in route.host:
        yield warning(field, f"{route.host!r} matches no request: hosts have no wildcards")


def _check_prefix(route: Route) -> Iterator[Finding]:
    field = f"routes.{route.name}.prefix"
    character = _NOT_IN_PATH.search(route.prefix)
    if character or not route.prefix.isascii():
        yield warning(
            field,
            f"{route.prefix!r} matches no request: paths contain no query, white space or "
            "unencoded characters beyond ASCII",
        )
    elif "*" in route.prefix:
        yield warning(field, f"{route.prefix!r} only matches a literal *: prefixes are no patterns")


def _check_head_size(route: Route, limits: Limits) -> Iterator[Finding]:
    least_bytes = len(route.prefix) + len("Host") + len(route.host) + _HEADER_OVERHEAD_BYTES
    if least_bytes > limits.max_header_bytes:
        yield warning(
            f"routes.{route.name}",
            f"matches no request: its prefix and host take {least_bytes} bytes, "
            f"limits.max_header_bytes is {limits.max_header_bytes}",
        )


def _check_spelling(document: dict[str, Any]) -> Iterator[Finding]:
    """Yield hosts that differ only in case from the host of an earlier route."""
    first_uses: dict[str, tuple[str, str]] = {}
    for name, route in document["routes"].items():
        host = route["host"]
        first_name, first_host = first_uses.setdefault(host.lower(), (name, host))
        if host != first_host:
            yield warning(
                f"routes.{name}.host",
                f"{host!r} and {first_host!r} of routes.{first_name} are one host: case is ignored",
            )


def _check_ports(table: RouteTable) -> Iterator[Finding]:
    """Yield hosts with a port beside the same host without one."""
    hosts = {route.host for route in table.routes}
    for route in table.routes:
        name, colon, _ = route.host.partition(":")
        if colon and name in hosts:
            yield warning(
                f"routes.{route.name}.host",
                f"requests with the Host header {route.host!r} match only routes of this host "
                f"with its port, never those of {name!r}",
            )
