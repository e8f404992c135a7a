"""Report of a checked route table as text or JSON.

In text, findings and problems go to standard error, the summary and the difference to standard
output.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

import typer

from cranklane.routes.checks.findings import Finding
from cranklane.routes.difference import Change, ChangeKind
from cranklane.routes.review import Review
from cranklane.routes.table import RouteTable


@dataclass(frozen=True)
class Comparison:
    """Comparison with the table in force.

    :ivar version: version in force; 0 if there is none.
    :ivar problems: why the table in force could not be read; empty if it could.
    """

    version: int = 0
    findings: list[Finding] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class Report:
    """What a check has found.

    :ivar file: path of the document, as the operator gave it.
    :ivar comparison: None if it was not asked for or the document is invalid.
    """

    file: str
    review: Review
    comparison: Comparison | None = None

    @property
    def findings(self) -> list[Finding]:
        """All findings, those on the comparison last."""
        return [*self.review.findings, *(self.comparison.findings if self.comparison else [])]


def print_text(report: Report) -> None:
    """Print a report as text."""
    for finding in report.findings:
        where = f"{finding.field}: " if finding.field else ""
        typer.echo(f"{report.file}: {finding.severity.value}: {where}{finding.message}", err=True)
    if report.review.table is not None:
        typer.echo(_summary(report.review.table))
    if report.comparison is not None:
        _print_comparison(report.comparison)


def _print_comparison(comparison: Comparison) -> None:
    for problem in comparison.problems:
        typer.echo(problem, err=True)
    if comparison.problems:
        return
    in_force = f"version {comparison.version}" if comparison.version else "no table"
    count = len(comparison.changes)
    typer.echo(f"in force: {in_force}; {count or 'no'} change{'' if count == 1 else 's'}")
    for change in comparison.changes:
        typer.echo(f"  {_change_text(change)}")


def _summary(table: RouteTable) -> str:
    tenants = "no tenants: requests need no key"
    if table.tenants is not None:
        tenants = f"{len(table.tenants.by_name)} tenants"
    return (
        f"version {table.version}: {len(table.routes)} routes, "
        f"{len(table.services)} services, {tenants}"
    )


def _change_text(change: Change) -> str:
    """Return one line for a change.

    >>> _change_text(Change(ChangeKind.CHANGED, "routes.pay", "timeout_ms", 800, 900))
    '~ routes.pay.timeout_ms: 800 -> 900'
    >>> _change_text(Change(ChangeKind.REMOVED, "services.s", before={"health_path": "/"}))
    '- services.s: health_path "/"'
    """
    if change.kind is ChangeKind.CHANGED:
        path = f"~ {change.entry}.{change.field}: "
        if change.before is None and change.after is None:
            return path + "changed"
        return f"{path}{_value_text(change.before)} -> {_value_text(change.after)}"
    added = change.kind is ChangeKind.ADDED
    values = change.after if added else change.before
    listed = ", ".join(f"{name} {_value_text(value)}" for name, value in values.items())
    return f"{'+' if added else '-'} {change.entry}: {listed}"


def _value_text(value: Any) -> str:
    return "not stated" if value is None else json.dumps(value)


def json_text(report: Report) -> str:
    """Return a report as JSON."""
    table = report.review.table
    value: dict[str, Any] = {
        "file": report.file,
        "version": table.version if table is not None else None,
        "findings": [
            {
                "severity": finding.severity.value,
                "field": finding.field,
                "message": finding.message,
            }
            for finding in report.findings
        ],
    }
    if report.comparison is not None:
        value["in_force"] = _comparison_json(report.comparison)
    return json.dumps(value, indent=2)


def _comparison_json(comparison: Comparison) -> dict[str, Any]:
    if comparison.problems:
        return {"problems": comparison.problems}
    changes = [
        {
            "kind": change.kind.value,
            "entry": change.entry,
            "field": change.field,
            "before": change.before,
            "after": change.after,
        }
        for change in comparison.changes
    ]
    return {"version": comparison.version, "changes": changes}
