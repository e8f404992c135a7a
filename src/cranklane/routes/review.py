"""Reviews a route table document before it is sent to a controller.

An error is a reason for which a controller refuses the document. A warning is an entry that a
controller accepts although it has no effect, contradicts another one or is likely a mistake.
Performs no input or output.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from result import Err

from cranklane.routes.checks.findings import Finding, error, warning
from cranklane.routes.checks.limits import check_limits
from cranklane.routes.checks.matching import check_matching
from cranklane.routes.checks.names import check_names
from cranklane.routes.checks.serving import check_serving
from cranklane.routes.checks.tenants import check_tenants
from cranklane.routes.document import MAX_DOCUMENT_BYTES, base_of, read_json, read_table
from cranklane.routes.table import RouteTable


@dataclass(frozen=True)
class Review:
    """Result of a review.

    :ivar document: the parsed document; None if it is not a JSON object.
    :ivar table: its route table; None if the document is invalid.
    """

    findings: list[Finding] = field(default_factory=list)
    document: dict[str, Any] | None = None
    table: RouteTable | None = None


def review(data: bytes, buffered_body_bytes: int) -> Review:
    """Return the errors of a document, and its warnings as far as it can be read.

    :param buffered_body_bytes: size up to which sidecars buffer a body whole.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        return Review([error("", f"has {len(data)} bytes; the maximum is {MAX_DOCUMENT_BYTES}")])
    read = read_json(data)
    if isinstance(read, Err):
        return Review([error("", problem) for problem in read.err_value])
    document = read.ok_value
    findings = [*_check_base(document)]
    table_read = read_table(document)
    if isinstance(table_read, Err):
        findings += [_error_of(problem) for problem in table_read.err_value]
        return Review([*findings, *check_names(data)], document)
    table = table_read.ok_value
    findings += _check_version(document, table)
    findings += check_names(data)
    findings += check_matching(document, table)
    findings += check_serving(document, table)
    findings += check_limits(document, table, buffered_body_bytes)
    findings += check_tenants(document, table)
    return Review(findings, document, table)


def review_successor(document: dict[str, Any], in_force: dict[str, Any] | None) -> list[Finding]:
    """Return the errors of a valid document's version and base against the table in force.

    :param in_force: the document in force; None if there is none.
    """
    if in_force is not None and _canonical(document) == _canonical(in_force):
        # A controller accepts a repeated document.
        return []
    version_in_force = in_force["version"] if in_force is not None else 0
    base = base_of(document).unwrap()
    findings = []
    if base != version_in_force:
        findings.append(error("base", f"is {base}, but version {version_in_force} is in force"))
    if document["version"] <= version_in_force:
        problem = f"is {document['version']}, not above version {version_in_force} in force"
        findings.append(error("version", problem))
    return findings


def _check_base(document: dict[str, Any]) -> list[Finding]:
    base = base_of(document)
    return [_error_of(base.err_value)] if isinstance(base, Err) else []


def _check_version(document: dict[str, Any], table: RouteTable) -> list[Finding]:
    base = base_of(document)
    if isinstance(base, Err):
        return []
    if table.version <= base.ok_value:
        return [error("version", f"is {table.version}, not above its base {base.ok_value}")]
    if "base" not in document and table.version > 1:
        return [warning("base", "is missing, so the document is refused unless none is in force")]
    return []


def _error_of(problem: str) -> Finding:
    """Return the finding of a problem that begins with the path of its field."""
    path, separator, message = problem.partition(": ")
    return error(path.removeprefix("document."), message) if separator else error("", problem)


def _canonical(document: dict[str, Any]) -> str:
    return json.dumps(document, sort_keys=True, separators=(",", ":"))
