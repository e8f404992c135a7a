"""Commands on the replicas of control and on their back-ups."""

from __future__ import annotations

import base64
import time
from pathlib import Path
from typing import Annotated, Any

import typer

from cranklane.cli.common import Control, Token, call, fail
from cranklane.control import backup
from cranklane.errors import CorruptedLogError
from cranklane.runtime.real import FileStorage

control_commands = typer.Typer(no_args_is_help=True, help="Replicas of control and back-ups.")

WAIT_SECONDS = 60.0
"""Seconds that a replica has to vote. A choice: time to copy the state of a large fleet."""

POLL_SECONDS = 0.3
"""Seconds between looks at whether it votes. A choice: an operator waits for it, and control
hardly notices."""


def _replicas(control: str, token: str) -> list[dict[str, Any]]:
    return call(control, token, "GET", "/v1/replicas")["replicas"]


@control_commands.command("list")
def list_replicas(control: Control, token: Token) -> None:
    """List the replicas of the control group."""
    for item in _replicas(control, token):
        leads = "leads" if item["leads"] else ""
        typer.echo(
            f"{item['name']:<24} {item['role']:<13} {leads:<6} {item['address']:<22} "
            f"http {item['http']:<22} identity {item['identity']}"
        )


@control_commands.command()
def add(name: str, control: Control, token: Token) -> None:
    """Let a replica vote; its process must have joined. Waits until it does."""
    _make_voter(name, control, token)
    typer.echo(f"{name} votes")


def _make_voter(name: str, control: str, token: str) -> None:
    """Let a replica vote as soon as it has joined; fail when it does not in time."""
    until = time.monotonic() + WAIT_SECONDS
    asked = False
    while True:
        found = [item for item in _replicas(control, token) if item["name"] == name]
        if found and found[0]["role"] == "voter":
            return
        if found and not asked:
            call(control, token, "PUT", f"/v1/replicas/{name}", {"voter": True})
            asked = True
        if time.monotonic() >= until:
            problem = "has not caught up" if found else "has not joined; start it first"
            raise fail([f"{name} {problem}"])
        time.sleep(POLL_SECONDS)


@control_commands.command()
def remove(name: str, control: Control, token: Token) -> None:
    """Remove a replica, unless too few voters that answer would be left."""
    call(control, token, "DELETE", f"/v1/replicas/{name}")
    typer.echo(f"{name} removed")


@control_commands.command()
def replace(old: str, new: str, control: Control, token: Token) -> None:
    """Let NEW vote, then remove OLD; a quorum is kept at every step."""
    _make_voter(new, control, token)
    call(control, token, "DELETE", f"/v1/replicas/{old}")
    typer.echo(f"{new} votes, {old} removed")


@control_commands.command()
def snapshot(path: Path, control: Control, token: Token) -> None:
    """Write a back-up of all that is accepted now to a new file."""
    if path.exists():
        raise fail([f"{path}: is there already"])
    data = base64.b64decode(call(control, token, "GET", "/v1/snapshot")["snapshot"])
    FileStorage(path.parent).replace(path.name, data)
    typer.echo(f"{path}: {len(data)} bytes, {_summary(backup.inspect_backup(data))}")


@control_commands.command()
def restore(path: Path, data: Annotated[Path, typer.Option(help="an empty data folder")]) -> None:
    """Put a back-up into an empty data folder; start its process as the founder."""
    try:
        restored = backup.restore(FileStorage(data), path.read_bytes())
    except (OSError, CorruptedLogError) as error:
        raise fail([f"{path}: {error}"]) from error
    typer.echo(f"{data}: holds the state after entry {restored.index}; start it with --founder yes")


@control_commands.command()
def inspect(path: Path) -> None:
    """Print what a back-up, or the data folder of a stopped process, holds."""
    found = _inspect(path)
    typer.echo(_summary(found))
    if found.torn_bytes:
        typer.echo(f"a torn tail of {found.torn_bytes} bytes was cut")
    for name, version in found.documents:
        typer.echo(f"{version:>8}  {name}")


@control_commands.command()
def verify(path: Path) -> None:
    """Check a back-up, or the data folder of a stopped process; exit 1 when damaged."""
    typer.echo(f"{path}: sound; {_summary(_inspect(path))}")


def _inspect(path: Path) -> backup.Inspection:
    try:
        if path.is_dir():
            return backup.inspect_folder(FileStorage(path))
        return backup.inspect_backup(path.read_bytes())
    except (OSError, CorruptedLogError) as error:
        raise fail([f"{path}: {error}"]) from error


def _summary(found: backup.Inspection) -> str:
    return (
        f"snapshot after entry {found.snapshot_index} of term {found.term} with revision "
        f"{found.revision}, {found.entries} entries after it with {found.edits} edits"
    )
