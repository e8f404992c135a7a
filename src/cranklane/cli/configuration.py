"""Commands that read and edit the configuration documents stored by control."""

from __future__ import annotations

import difflib
import secrets
from pathlib import Path
from typing import Annotated

import typer

from cranklane.cli.common import Control, Token, call, fail, read_text_file
from cranklane.cli.policy import read_policy
from cranklane.policy.model import has_settings

REQUEST_ID_BYTES = 8
"""Random bytes in the request id of an edit; makes collisions negligible."""

config_commands = typer.Typer(no_args_is_help=True, help="Read and edit the active configuration.")


@config_commands.command("list")
def config_list(control: Control, token: Token) -> None:
    """List all documents with their versions."""
    for document in call(control, token, "GET", "/v1/documents")["documents"]:
        typer.echo(f"{document['version']:>8}  {document['name']}")


@config_commands.command("get")
def config_get(name: str, control: Control, token: Token) -> None:
    """Print a document's text."""
    typer.echo(call(control, token, "GET", f"/v1/documents/{name}")["text"])


@config_commands.command("history")
def config_history(name: str, control: Control, token: Token) -> None:
    """List a document's accepted edits, newest first."""
    for entry in call(control, token, "GET", f"/v1/documents/{name}/history")["history"]:
        typer.echo(f"{entry['version']:>8}  from {entry['base']:>8}  by {entry['operator']}")


@config_commands.command("diff")
def config_diff(name: str, path: Path, control: Control, token: Token) -> None:
    """Print the difference between a document's text and a file."""
    current = call(control, token, "GET", f"/v1/documents/{name}")
    for line in difflib.unified_diff(
        current["text"].splitlines(),
        read_text_file(path).splitlines(),
        name,
        str(path),
        lineterm="",
    ):
        typer.echo(line)


@config_commands.command("apply")
def config_apply(
    path: Path,
    control: Control,
    token: Token,
    base: Annotated[
        int | None, typer.Option(help="version that the edit is based on; default: the current one")
    ] = None,
    request: Annotated[
        str | None, typer.Option(help="request id; reuse it to resend the same edit")
    ] = None,
    wait: Annotated[
        bool, typer.Option(help="wait until the edit is in force on all live nodes")
    ] = True,
) -> None:
    """Apply a policy file; stores each tenant in a separate document."""
    policy = read_policy(path)
    request = request or secrets.token_hex(REQUEST_ID_BYTES)
    documents = [(tenant.name, tenant.source) for tenant in policy.tenants]
    if has_settings(policy):
        documents.insert(0, ("root", policy.source))
    version = 0
    for name, text in documents:
        version = _apply_document(control, token, name, text, base, f"{request}-{name}")
    if wait and version:
        config_wait(version, control, token)


def _apply_document(
    control: str, token: str, name: str, text: str, base: int | None, request: str
) -> int:
    if base is None:
        documents = call(control, token, "GET", "/v1/documents")["documents"]
        base = next((document["version"] for document in documents if document["name"] == name), 0)
    media = {"text": text, "base": base, "request": request}
    answer = call(control, token, "PUT", f"/v1/documents/{name}", media)
    typer.echo(f"{name}: {answer['result']}, version {answer['version']}")
    return int(answer["version"])


@config_commands.command("wait")
def config_wait(version: int, control: Control, token: Token, seconds: float = 10.0) -> None:
    """Wait until a version is in force on all live nodes; on a timeout, list the others."""
    answer = call(control, token, "GET", f"/v1/wait?version={version}&seconds={seconds}")
    if not answer["in_force"]:
        raise fail([f"version {version} is not in force on: {', '.join(answer['behind'])}"])
    typer.echo(f"version {version} is in force everywhere")
