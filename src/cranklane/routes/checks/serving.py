"""Routes and services whose settings contradict each other or have no effect."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from cranklane.routes.checks.findings import Finding, warning
from cranklane.routes.table import Route, RouteTable


def check_serving(document: dict[str, Any], table: RouteTable) -> Iterator[Finding]:
    """Yield findings on the times, attempts and services of a valid document."""
    for route in table.routes:
        entry = document["routes"][route.name]
        yield from _check_split(route, entry)
        yield from _check_objective(route)
        yield from _check_attempts(route, entry)
        if route.public and table.tenants is None:
            yield warning(
                f"routes.{route.name}.public",
                "has no effect: without tenants no request needs a key",
            )
    yield from _check_services(document, table)


def _check_split(route: Route, entry: dict[str, Any]) -> Iterator[Finding]:
    field = f"routes.{route.name}.split"
    if entry.get("split") is None:
        return
    if "service" in entry:
        yield warning(f"routes.{route.name}.service", "has no effect beside split")
    seen: set[str] = set()
    for share in route.shares:
        if share.weight == 0:
            yield warning(field, f"{share.service!r} has weight 0, so it gets no requests")
        if share.service in seen:
            yield warning(field, f"{share.service!r} is listed more than once; its weights add up")
        seen.add(share.service)


def _check_objective(route: Route) -> Iterator[Finding]:
    if route.objective_ms > route.timeout_ms:
        yield warning(
            f"routes.{route.name}.objective_ms",
            f"{route.objective_ms} exceeds timeout_ms {route.timeout_ms}: a response later than "
            "the timeout is never sent",
        )


def _check_attempts(route: Route, entry: dict[str, Any]) -> Iterator[Finding]:
    """Yield attempts that cannot start before the timeout.

    An attempt is taken to last as long as the stated objective, or a millisecond, the unit of
    deadlines, without one.
    """
    stated = entry.get("objective_ms") is not None and route.objective_ms <= route.timeout_ms
    attempt_ms = route.objective_ms if stated else 1
    elapsed_ms = (route.max_attempts - 1) * attempt_ms
    if elapsed_ms < route.timeout_ms:
        return
    usable = -(-route.timeout_ms // attempt_ms)
    yield warning(
        f"routes.{route.name}.max_attempts",
        f"timeout_ms {route.timeout_ms} holds {usable} of {route.max_attempts} attempts "
        f"that take {'objective_ms ' if stated else ''}{attempt_ms} ms each",
    )


def _check_services(document: dict[str, Any], table: RouteTable) -> Iterator[Finding]:
    named = {share.service for route in table.routes for share in route.shares}
    served = {share.service for route in table.routes for share in route.shares if share.weight}
    for service in table.services.values():
        path = f"services.{service.name}"
        if service.name not in named:
            yield warning(path, "no route leads to it, so it gets no requests")
        elif service.name not in served:
            yield warning(path, "every route to it has weight 0, so it gets no requests")
        if not service.health_path.startswith("/") or any(
            character.isspace() for character in service.health_path
        ):
            yield warning(
                f"{path}.health_path",
                f"{service.health_path!r} is no path that begins with a slash and has no white "
                "space, so health checks fail",
            )
        if document["services"][service.name].get("max_connections") == 0:
            yield warning(f"{path}.max_connections", "0 is the same as no statement, not a limit")
