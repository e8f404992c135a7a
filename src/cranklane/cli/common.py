"""Options and calls shared by the operators' commands; ends a command that fails."""

from __future__ import annotations

from typing import Annotated, Any

import typer
from result import Err

from cranklane.cli.client import OperatorClient, OperatorProblem

Control = Annotated[str, typer.Option(envvar="CRANKLANE_CONTROL", help="host:port of control")]
Token = Annotated[str, typer.Option(envvar="CRANKLANE_TOKEN", help="the operator's token")]


def fail(lines: list[str]) -> typer.Exit:
    """Print the lines to standard error; return what to raise."""
    for line in lines:
        typer.echo(line, err=True)
    return typer.Exit(1)


def call(control: str, token: str, method: str, path: str, media: Any = None) -> dict[str, Any]:
    """Call control and return its answer; end the command when it gives none."""
    result = OperatorClient(control.split(","), token).call(method, path, media)
    if isinstance(result, Err):
        problem: OperatorProblem = result.err_value
        raise fail(problem.lines)
    return result.ok_value
