"""Commands that analyze the JSON logs of cranklane processes."""

from __future__ import annotations

from pathlib import Path

import typer

from cranklane.cli.common import fail
from cranklane.cli.losses import format_losses, sum_losses
from cranklane.cli.request_timeline import LogLine, read_lines, timeline_of
from cranklane.cli.slot_use import format_slot_use, sum_slot_use


def explain_request(request: str, logs: list[Path]) -> None:
    """Print the log events of a request and the cause of its outcome."""
    timeline = timeline_of(request, _read_logs(logs))
    if not timeline:
        raise fail([f"the logs have no event of request {request!r}"])
    for line in timeline:
        typer.echo(line)


def explain_losses(logs: list[Path]) -> None:
    """Report lost requests by cause, and the use of workers' slots, from sidecar logs."""
    lines = _read_logs(logs)
    losses = sum_losses(lines)
    if not losses.routes:
        raise fail(["expected logs of sidecars with requests_ended events, found no such event"])
    for text in format_losses(losses):
        typer.echo(text)
    for text in format_slot_use(sum_slot_use(lines)):
        typer.echo(text)


def _read_logs(logs: list[Path]) -> list[LogLine]:
    lines: list[LogLine] = []
    for path in logs:
        try:
            with path.open("rb") as file:
                lines += read_lines(file)
        except OSError as error:
            raise fail([f"{path}: cannot be read: {error.strerror}"]) from error
    return lines
