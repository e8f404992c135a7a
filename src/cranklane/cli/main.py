"""The operators' command line."""

from __future__ import annotations

import difflib
import hashlib
import secrets
from pathlib import Path
from typing import Annotated

import typer

from cranklane.cli.common import Control, Token, call, fail
from cranklane.cli.control import control_commands
from cranklane.cli.explain import explain_target, show_policy
from cranklane.cli.losses import losses_of, told
from cranklane.cli.quarantine import quarantine_commands
from cranklane.cli.route_table import route_table_commands
from cranklane.cli.story import LogLine, read_lines, story_of
from cranklane.common.secret_digest import secret_digest
from cranklane.errors import PolicyError
from cranklane.policy.compiler import compile_policy
from cranklane.policy.model import Policy, states_anything
from cranklane.policy.syntax import parse

application = typer.Typer(no_args_is_help=True, help="Overload control for service call graphs.")
policy_commands = typer.Typer(no_args_is_help=True, help="Work on policy texts.")
config_commands = typer.Typer(no_args_is_help=True, help="Read and change what is in force.")
application.add_typer(policy_commands, name="policy")
application.add_typer(config_commands, name="config")
application.add_typer(control_commands, name="control")
application.add_typer(route_table_commands, name="route-table")
application.add_typer(quarantine_commands, name="quarantine")


def _read(path: Path) -> Policy:
    try:
        policy = parse(path.read_text())
        compile_policy(policy)
    except OSError as error:
        raise fail([f"{path}: cannot be read: {error.strerror}"]) from error
    except PolicyError as error:
        raise fail([f"{path}: {problem}" for problem in error.problems]) from error
    return policy


@application.command("explain-request")
def explain_request(request: str, logs: list[Path]) -> None:
    """Tell what became of a request, from the logs of the processes that it passed."""
    story = story_of(request, _lines_of(logs))
    if not story:
        raise fail([f"no line tells of the request {request!r}"])
    for line in story:
        typer.echo(line)


@application.command("explain-losses")
def explain_losses(logs: list[Path]) -> None:
    """Tell where requests were lost and how much work was done in vain, from sidecars' logs."""
    losses = losses_of(_lines_of(logs))
    if not losses.routes:
        raise fail(["no line sums up ended requests: are these the logs of sidecars?"])
    for line in told(losses):
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


@policy_commands.command("check")
def policy_check(path: Path) -> None:
    """Check a policy text; print every problem with its line and column."""
    policy = _read(path)
    services = list(policy.services())
    typer.echo(f"{path}: {len(policy.tenants)} tenants, {len(services)} services: no problems")


@policy_commands.command("compile")
def policy_compile(path: Path) -> None:
    """Print the compiled rows: key, size in bytes and SHA-256."""
    for key, value in compile_policy(_read(path)).items():
        typer.echo(f"{key}  {len(value)}  {hashlib.sha256(value).hexdigest()[:16]}")


@policy_commands.command("show")
def policy_show(path: Path) -> None:
    """Print every route with the values in force."""
    for line in show_policy(_read(path)):
        typer.echo(line)


@policy_commands.command("explain")
def policy_explain(path: Path, target: str) -> None:
    """Print which branch sets each value of TENANT.SERVICE or TENANT.SERVICE.ROUTE."""
    lines = explain_target(_read(path), target)
    if not lines:
        raise fail([f"{path}: no {target}"])
    for line in lines:
        typer.echo(line)


@policy_commands.command("diff")
def policy_diff(old: Path, new: Path) -> None:
    """Print what a new text changes in force, line by line."""
    changes = difflib.unified_diff(
        show_policy(_read(old)), show_policy(_read(new)), str(old), str(new), lineterm="", n=0
    )
    for line in changes:
        typer.echo(line)


@config_commands.command("list")
def config_list(control: Control, token: Token) -> None:
    """List the documents and their versions."""
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
    """Print what a file would change in a document's text."""
    current = call(control, token, "GET", f"/v1/documents/{name}")
    for line in difflib.unified_diff(
        current["text"].splitlines(), path.read_text().splitlines(), name, str(path), lineterm=""
    ):
        typer.echo(line)


@config_commands.command("apply")
def config_apply(
    path: Path,
    control: Control,
    token: Token,
    base: Annotated[
        int | None, typer.Option(help="version the edit started from; default: the one in force")
    ] = None,
    request: Annotated[str | None, typer.Option(help="request id, to resend the same edit")] = None,
    wait: Annotated[bool, typer.Option(help="wait until it is in force on all nodes")] = True,
) -> None:
    """Put a policy text in force; each tenant in it is a document of its own."""
    policy = _read(path)
    request = request or secrets.token_hex(8)
    documents = [(tenant.name, tenant.source) for tenant in policy.tenants]
    if states_anything(policy):
        documents.insert(0, ("root", policy.source))
    version = 0
    for name, text in documents:
        version = _apply_one(control, token, name, text, base, f"{request}-{name}")
    if wait and version:
        config_wait(version, control, token)


def _apply_one(
    control: str, token: str, name: str, text: str, base: int | None, request: str
) -> int:
    if base is None:
        listed = call(control, token, "GET", "/v1/documents")["documents"]
        base = next((item["version"] for item in listed if item["name"] == name), 0)
    media = {"text": text, "base": base, "request": request}
    answer = call(control, token, "PUT", f"/v1/documents/{name}", media)
    typer.echo(f"{name}: {answer['result']}, version {answer['version']}")
    return int(answer["version"])


@config_commands.command("wait")
def config_wait(version: int, control: Control, token: Token, seconds: float = 10.0) -> None:
    """Wait until a version is in force on all live nodes; name those behind."""
    answer = call(control, token, "GET", f"/v1/wait?version={version}&seconds={seconds}")
    if not answer["in_force"]:
        raise fail([f"version {version} is not in force on: {', '.join(answer['behind'])}"])
    typer.echo(f"version {version} is in force everywhere")


@application.command("status")
def status(control: Control, token: Token) -> None:
    """Print the state of control and of the members it knows."""
    answer = call(control, token, "GET", "/v1/status")
    typer.echo(f"{answer['name']}: revision {answer['revision']}")
    for member in answer["members"]:
        typer.echo(
            f"  {member['node']:<28} {member['service']:<28} {member['zone']:<12} "
            f"{member['state']:<9} version {member['version']}"
        )


@application.command("token")
def token_command() -> None:
    """Print a new token, and its hash for a policy or the control settings."""
    token = secrets.token_urlsafe(24)
    typer.echo(f"token  {token}")
    typer.echo(f"hash   sha256:{secret_digest(token.encode())}")
