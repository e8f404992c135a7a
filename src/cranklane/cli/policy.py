"""Commands on policy texts."""

from __future__ import annotations

import difflib
import hashlib
from pathlib import Path

import typer

from cranklane.cli.common import fail
from cranklane.cli.explain import explain_target, show_policy
from cranklane.errors import PolicyError
from cranklane.policy.compiler import compile_policy
from cranklane.policy.model import Policy
from cranklane.policy.syntax import parse

DIGEST_DIGITS = 16
"""Hexadecimal digits printed of a row's SHA-256. A choice: enough to compare by eye."""

policy_commands = typer.Typer(no_args_is_help=True, help="Work on policy texts.")


def read_policy(path: Path) -> Policy:
    """Return a policy that compiles; print every problem and end the command otherwise."""
    try:
        policy = parse(path.read_text())
        compile_policy(policy)
    except OSError as error:
        raise fail([f"{path}: cannot be read: {error.strerror}"]) from error
    except PolicyError as error:
        raise fail([f"{path}: {problem}" for problem in error.problems]) from error
    return policy


@policy_commands.command("check")
def policy_check(path: Path) -> None:
    """Check a policy text; print every problem with its line and column."""
    policy = read_policy(path)
    services = list(policy.services())
    typer.echo(f"{path}: {len(policy.tenants)} tenants, {len(services)} services: no problems")


@policy_commands.command("compile")
def policy_compile(path: Path) -> None:
    """Print the compiled rows: key, size in bytes and SHA-256."""
    for key, value in compile_policy(read_policy(path)).items():
        typer.echo(f"{key}  {len(value)}  {hashlib.sha256(value).hexdigest()[:DIGEST_DIGITS]}")


@policy_commands.command("show")
def policy_show(path: Path) -> None:
    """Print every route with the values in force."""
    for line in show_policy(read_policy(path)):
        typer.echo(line)


@policy_commands.command("explain")
def policy_explain(path: Path, target: str) -> None:
    """Print which branch sets each value of TENANT.SERVICE or TENANT.SERVICE.ROUTE."""
    lines = explain_target(read_policy(path), target)
    if not lines:
        raise fail([f"{path}: no {target}"])
    for line in lines:
        typer.echo(line)


@policy_commands.command("diff")
def policy_diff(old: Path, new: Path) -> None:
    """Print what a new text changes in force, line by line."""
    changes = difflib.unified_diff(
        show_policy(read_policy(old)),
        show_policy(read_policy(new)),
        str(old),
        str(new),
        lineterm="",
        n=0,
    )
    for line in changes:
        typer.echo(line)
