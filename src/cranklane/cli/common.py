"""Options, HTTP calls and error exits shared by the operator commands."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import typer
from result import Err

from cranklane.cli.client import OperatorClient, OperatorProblem

Control = Annotated[
    str,
    typer.Option(
        envvar="CRANKLANE_CONTROL", help="host:port of each control process, comma-separated"
    ),
]
Token = Annotated[str, typer.Option(envvar="CRANKLANE_TOKEN", help="operator token")]


def fail(lines: list[str]) -> typer.Exit:
    """Print error lines to standard error; return the exception that exits with status 1."""
    for line in lines:
        typer.echo(line, err=True)
    return typer.Exit(1)


def read_text_file(path: Path) -> str:
    """Return the text of a UTF-8 file.

    :raises typer.Exit: when it cannot be read; the problem is printed.
    """
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise fail([f"{path}: cannot be read: {error.strerror}"]) from error
    except UnicodeDecodeError as error:
        problem = f"{path}: byte {error.start}: not UTF-8: {error.reason}"
        raise fail([problem]) from error


def call(control: str, token: str, method: str, path: str, media: Any = None) -> dict[str, Any]:
    """Call the operator API and return the response's JSON.

    :param control: ``host:port`` of each process to try, separated by commas.
    :raises typer.Exit: when the call fails; its errors are printed.
    """
    result = OperatorClient(control.split(","), token).call(method, path, media)
    if isinstance(result, Err):
        problem: OperatorProblem = result.err_value
        raise fail(problem.lines)
    return result.ok_value
