"""Commands that explain requests from the logs of processes.

Relies on :mod:`~cranklane.cli.story` and :mod:`~cranklane.cli.losses`.
"""

from __future__ import annotations

from pathlib import Path

import typer

from cranklane.cli.common import fail
from cranklane.cli.losses import format_losses, losses_of
from cranklane.cli.story import LogLine, read_lines, story_of


def explain_request(request: str, logs: list[Path]) -> None:
    """Explain what happened to a request, from the logs of the processes that it passed."""
    story = story_of(request, _lines_of(logs))
    if not story:
        raise fail([f"no line is about the request {request!r}"])
    for line in story:
        typer.echo(line)


def explain_losses(logs: list[Path]) -> None:
    """Report where requests were lost and how much work was wasted, from sidecars' logs."""
    losses = losses_of(_lines_of(logs))
    if not losses.routes:
        raise fail(["no line sums up ended requests: are these the logs of sidecars?"])
    for line in format_losses(losses):
        typer.echo(line)


def _lines_of(logs: list[Path]) -> list[LogLine]:
    lines: list[LogLine] = []
    for path in logs:
        try:
            with path.open(errors="replace") as file:
                lines += read_lines(file)
        except OSError as error:
            raise fail([f"{path}: cannot be read: {error.strerror}"]) from error
    return lines
