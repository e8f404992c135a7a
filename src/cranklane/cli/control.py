"""Commands that manage control replicas, backups and data folders."""

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

control_commands = typer.Typer(no_args_is_help=True, help="Manage control replicas and backups.")

VOTER_TIMEOUT_SECONDS = 60.0
"""Time for a replica to join, copy the state of a large fleet and become a voter."""

VOTER_POLL_SECONDS = 0.3
"""Interval at which the replica's role is polled."""


def _replicas(control: str, token: str) -> list[dict[str, Any]]:
    return call(control, token, "GET", "/v1/replicas")["replicas"]


@control_commands.command("list")
def list_replicas(control: Control, token: Token) -> None:
    """List the replicas of the control group."""
    for replica in _replicas(control, token):
        leads = "leads" if replica["leads"] else ""
        typer.echo(
            f"{replica['name']:<24} {replica['role']:<13} {leads:<6} {replica['address']:<22} "
            f"http {replica['http']:<22} identity {replica['identity']}"
        )


@control_commands.command()
def add(name: str, control: Control, token: Token) -> None:
    """Make a replica that has joined the group a voter; wait until it is one."""
    _make_voter(name, control, token)
    typer.echo(f"{name} votes")


def _make_voter(name: str, control: str, token: str) -> None:
    """Promote a replica to voter once it has joined, and wait for it.

    :raises typer.Exit: when it is not a voter after ``VOTER_TIMEOUT_SECONDS``.
    """
    deadline = time.monotonic() + VOTER_TIMEOUT_SECONDS
    promotion_requested = False
    while True:
        matching = [replica for replica in _replicas(control, token) if replica["name"] == name]
        if matching and matching[0]["role"] == "voter":
            return
        if matching and not promotion_requested:
            call(control, token, "PUT", f"/v1/replicas/{name}", {"voter": True})
            promotion_requested = True
        if time.monotonic() >= deadline:
            problem = (
                "has not caught up with the leader"
                if matching
                else "has not joined the group; start its process first"
            )
            raise fail([f"{name} {problem}"])
        time.sleep(VOTER_POLL_SECONDS)


@control_commands.command()
def remove(name: str, control: Control, token: Token) -> None:
    """Remove a replica, unless too few responding voters would remain."""
    call(control, token, "DELETE", f"/v1/replicas/{name}")
    typer.echo(f"{name} removed")


@control_commands.command()
def replace(old: str, new: str, control: Control, token: Token) -> None:
    """Make NEW a voter, then remove OLD; keeps a quorum at every step."""
    _make_voter(new, control, token)
    call(control, token, "DELETE", f"/v1/replicas/{old}")
    typer.echo(f"{new} votes, {old} removed")


@control_commands.command()
def snapshot(path: Path, control: Control, token: Token) -> None:
    """Write a backup of the current configuration to a new file."""
    if path.exists():
        raise fail([f"{path}: file already exists"])
    data = base64.b64decode(call(control, token, "GET", "/v1/snapshot")["snapshot"])
    FileStorage(path.parent).replace(path.name, data)
    typer.echo(f"{path}: {len(data)} bytes, {_summary(backup.inspect_backup(data))}")


@control_commands.command()
def restore(path: Path, data: Annotated[Path, typer.Option(help="an empty data folder")]) -> None:
    """Restore a backup into an empty data folder, for a process started as the founder."""
    try:
        restored = backup.restore(FileStorage(data), path.read_bytes())
    except (OSError, CorruptedLogError) as error:
        raise fail([f"{path}: {error}"]) from error
    typer.echo(f"{data}: holds the state after entry {restored.index}; start it with --founder yes")


@control_commands.command()
def inspect(path: Path) -> None:
    """Summarize a backup or the data folder of a stopped process."""
    inspection = _inspect(path)
    typer.echo(_summary(inspection))
    if inspection.torn_bytes:
        typer.echo(f"discarded a torn tail of {inspection.torn_bytes} bytes")
    for name, version in inspection.documents:
        typer.echo(f"{version:>8}  {name}")


@control_commands.command()
def verify(path: Path) -> None:
    """Verify a backup or the data folder of a stopped process; exit with 1 if corrupted."""
    typer.echo(f"{path}: sound; {_summary(_inspect(path))}")


def _inspect(path: Path) -> backup.Inspection:
    try:
        if path.is_dir():
            return backup.inspect_folder(FileStorage(path))
        return backup.inspect_backup(path.read_bytes())
    except (OSError, CorruptedLogError) as error:
        raise fail([f"{path}: {error}"]) from error


def _summary(inspection: backup.Inspection) -> str:
    return (
        f"snapshot after entry {inspection.snapshot_index} of term {inspection.term} "
        f"with revision {inspection.revision}, {inspection.entries} entries after it "
        f"with {inspection.edits} edits"
    )
