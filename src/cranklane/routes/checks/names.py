"""Names in a document's JSON: fields that controllers ignore, and names that are repeated.

A controller keeps the last of several members with the same name, so an earlier route, service or
tenant of that name silently disappears.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

from cranklane.common.strict_json import read_json_text
from cranklane.routes.checks.findings import Finding, warning

_DOCUMENT_FIELDS = frozenset({"version", "base", "routes", "services", "tenants", "limits"})
_ENTRY_FIELDS = {
    "routes": frozenset(
        {
            "host",
            "prefix",
            "repeat",
            "timeout_ms",
            "objective_ms",
            "priority",
            "max_attempts",
            "service",
            "split",
            "public",
        }
    ),
    "services": frozenset({"health_path", "max_connections"}),
    "tenants": frozenset({"keys", "priority", "rate_per_s", "burst"}),
}
"""Fields of the entries of each kind."""
_SHARE_FIELDS = frozenset({"service", "weight"})
_LIMIT_FIELDS = frozenset(
    {"max_header_bytes", "max_body_bytes", "header_timeout_ms", "idle_timeout_ms"}
)

_MAX_DEPTH = 5
"""Depth of the members of a share, the deepest objects of a document."""


class _Members(dict[str, Any]):
    """A JSON object.

    :ivar repeated: names that occur more than once in its text.
    """

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        super().__init__(pairs)
        counts = Counter(name for name, _ in pairs) if len(pairs) > len(self) else {}
        self.repeated = [name for name, count in counts.items() if count > 1]


def check_names(data: bytes) -> Iterator[Finding]:
    """Yield findings on the names in a document.

    :param data: JSON text of an object.
    """
    document = read_json_text(data, _Members)
    yield from _repeated_names("", document)
    yield from _unknown_fields("", document, _DOCUMENT_FIELDS)
    yield from _unknown_fields("limits", document.get("limits"), _LIMIT_FIELDS)
    for kind, fields in _ENTRY_FIELDS.items():
        entries = document.get(kind)
        for name, entry in entries.items() if isinstance(entries, dict) else ():
            yield from _unknown_fields(f"{kind}.{name}", entry, fields)
            shares = entry.get("split") if isinstance(entry, dict) else None
            for share in shares if isinstance(shares, list) else ():
                yield from _unknown_fields(f"{kind}.{name}.split", share, _SHARE_FIELDS)


def _repeated_names(path: str, value: Any, depth: int = 0) -> Iterator[Finding]:
    if depth > _MAX_DEPTH:
        return
    if isinstance(value, list):
        for element in value:
            yield from _repeated_names(path, element, depth + 1)
    if not isinstance(value, _Members):
        return
    for name in value.repeated:
        yield warning(
            _join(path, name), "stated more than once; only the last statement has an effect"
        )
    for name, member in value.items():
        # Keys of tenants must not be printed, even where they are wrongly names of an object.
        if name != "keys":
            yield from _repeated_names(_join(path, name), member, depth + 1)


def _unknown_fields(path: str, value: Any, known: frozenset[str]) -> Iterator[Finding]:
    for name in value if isinstance(value, dict) else ():
        if name not in known:
            yield warning(_join(path, name), "unknown field; it has no effect")


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name
