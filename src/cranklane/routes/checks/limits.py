"""Limits on requests that contradict each other or the routes."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from cranklane.routes.checks.findings import Finding, warning
from cranklane.routes.document import NOT_IDEMPOTENT
from cranklane.routes.table import RouteTable

UPLOAD = "upload"
"""Value of ``repeat`` of routes that take large bodies."""


def check_limits(
    document: dict[str, Any], table: RouteTable, buffered_body_bytes: int
) -> Iterator[Finding]:
    """Yield findings on the limits of a valid document.

    :param buffered_body_bytes: size up to which sidecars buffer a body whole.
    """
    limits = table.limits
    repeats = {name: route["repeat"] for name, route in document["routes"].items()}
    if limits.max_body_bytes == 0:
        yield warning("limits.max_body_bytes", "0 refuses every request with a body")
    elif limits.max_header_bytes > limits.max_body_bytes and any(
        repeat in NOT_IDEMPOTENT for repeat in repeats.values()
    ):
        yield warning(
            "limits.max_body_bytes",
            f"{limits.max_body_bytes} is less than max_header_bytes {limits.max_header_bytes}, "
            "although routes of the types unsafe or upload take bodies",
        )
    for name, repeat in repeats.items():
        if repeat == UPLOAD and limits.max_body_bytes <= buffered_body_bytes:
            yield warning(
                f"routes.{name}.repeat",
                f"upload is for bodies above {buffered_body_bytes} bytes, but "
                f"limits.max_body_bytes is {limits.max_body_bytes}",
            )
