"""Command that checks route table files."""

from __future__ import annotations

from enum import IntEnum
from pathlib import Path
from typing import Annotated, Any

import typer
from result import Err
from typer.core import TyperCommand

from cranklane.cli.route_table_report import Comparison, Report, json_text, print_text
from cranklane.cli.table_in_force import read_table_in_force
from cranklane.routes.checks.findings import Severity, error
from cranklane.routes.difference import difference
from cranklane.routes.review import Review, review, review_successor
from cranklane.sidecar.request.attempt import MAX_BUFFERED_BODY_BYTES

route_table_commands = typer.Typer(no_args_is_help=True, help="Check route tables.")


class ExitCode(IntEnum):
    """Exit codes of ``cranklane route-table check``."""

    NO_FINDINGS = 0
    ERRORS = 1
    WARNINGS = 2
    NOT_COMPARED = 3
    """No errors in the document, but the table in force could not be read."""
    USAGE = 4
    """Wrong options or arguments. The usual code for these, 2, means warnings here."""


class _CheckCommand(TyperCommand):
    """Command whose usage errors have an exit code of their own."""

    def parse_args(self, ctx: Any, args: list[str]) -> list[str]:
        """Parse the arguments of the command line."""
        try:
            return super().parse_args(ctx, args)
        except Exception as problem:
            if getattr(problem, "exit_code", None) == ExitCode.WARNINGS:
                problem.exit_code = int(ExitCode.USAGE)  # type: ignore[attr-defined]
            raise


@route_table_commands.callback()
def _group() -> None:
    """Check route tables."""


@route_table_commands.command(cls=_CheckCommand)
def check(
    file: Path,
    control: Annotated[
        str | None,
        typer.Option(
            help="host:port of each controller, comma-separated: compare with the table in force"
        ),
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="print JSON")] = False,
) -> None:
    """Check a route table before it is sent to a controller.

    Errors are what a controller refuses; warnings are likely mistakes. Exit code 0: no findings,
    1: errors, 2: warnings only, 3: no errors, but the table in force cannot be read, 4: wrong
    options.
    """
    try:
        reviewed = review(file.read_bytes(), MAX_BUFFERED_BODY_BYTES)
    except OSError as problem:
        reviewed = Review([error("", f"cannot be read: {problem.strerror}")])
    comparison = None
    if control is not None and reviewed.document is not None and reviewed.table is not None:
        comparison = _compare(reviewed.document, control.split(","))
    report = Report(str(file), reviewed, comparison)
    if as_json:
        typer.echo(json_text(report))
    else:
        print_text(report)
    raise typer.Exit(_exit_code(report))


def _compare(document: dict[str, Any], controls: list[str]) -> Comparison:
    read = read_table_in_force(controls)
    if isinstance(read, Err):
        return Comparison(problems=read.err_value)
    in_force = read.ok_value
    return Comparison(
        version=in_force["version"] if in_force is not None else 0,
        findings=review_successor(document, in_force),
        changes=difference(in_force or {}, document),
    )


def _exit_code(report: Report) -> ExitCode:
    severities = {finding.severity for finding in report.findings}
    if Severity.ERROR in severities:
        return ExitCode.ERRORS
    if report.comparison is not None and report.comparison.problems:
        return ExitCode.NOT_COMPARED
    return ExitCode.WARNINGS if severities else ExitCode.NO_FINDINGS
