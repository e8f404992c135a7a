"""Command that checks route table files."""

from __future__ import annotations

from pathlib import Path

import typer
from result import Err

from cranklane.cli.common import fail
from cranklane.routes.document import read_json, read_table

route_table_commands = typer.Typer(no_args_is_help=True, help="Check route tables.")


@route_table_commands.callback()
def _group() -> None:
    """Check route tables."""


@route_table_commands.command()
def check(file: Path) -> None:
    """Validate a route table as a controller does; print a summary or every problem."""
    try:
        data = file.read_bytes()
    except OSError as error:
        raise fail([f"{file}: cannot be read: {error.strerror}"]) from error
    result = read_json(data).and_then(read_table)
    if isinstance(result, Err):
        raise fail([f"{file}: {problem}" for problem in result.err_value])
    table = result.ok_value
    tenants = "no tenants: requests need no key"
    if table.tenants is not None:
        tenants = f"{len(table.tenants.by_name)} tenants"
    typer.echo(
        f"version {table.version}: {len(table.routes)} routes, "
        f"{len(table.services)} services, {tenants}"
    )
