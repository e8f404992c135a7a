"""Commands that check, compile, show and compare policy files."""

from __future__ import annotations

import difflib
import hashlib
from pathlib import Path

import typer

from cranklane.cli.common import fail, read_text_file
from cranklane.cli.explain import explain_target, show_policy
from cranklane.errors import PolicyError
from cranklane.policy.compiler import compile_policy
from cranklane.policy.model import Policy
from cranklane.policy.syntax import parse

DIGEST_HEX_DIGITS = 16
"""Hexadecimal digits of a row's SHA-256 to print; few enough to compare visually."""

policy_commands = typer.Typer(
    no_args_is_help=True, help="Check, compile, show and compare policy files."
)


def read_policy(path: Path) -> Policy:
    """Parse and compile a policy file; return the policy.

    :raises typer.Exit: when it cannot be read or does not compile; every problem is printed.
    """
    try:
        policy = parse(read_text_file(path))
        compile_policy(policy)
    except PolicyError as error:
        raise fail([f"{path}: {problem}" for problem in error.problems]) from error
    return policy


@policy_commands.command("check")
def policy_check(path: Path) -> None:
    """Check a policy file; print every problem with its line and column."""
    policy = read_policy(path)
    services = list(policy.services())
    typer.echo(f"{path}: {len(policy.tenants)} tenants, {len(services)} services: no problems")


@policy_commands.command("compile")
def policy_compile(path: Path) -> None:
    """Print the compiled rows: key, size in bytes and SHA-256."""
    for key, value in compile_policy(read_policy(path)).items():
        typer.echo(f"{key}  {len(value)}  {hashlib.sha256(value).hexdigest()[:DIGEST_HEX_DIGITS]}")


@policy_commands.command("show")
def policy_show(path: Path) -> None:
    """Print the effective values of every service and route."""
    for line in show_policy(read_policy(path)):
        typer.echo(line)


@policy_commands.command("explain")
def policy_explain(path: Path, target: str) -> None:
    """Print the values of TENANT.SERVICE or TENANT.SERVICE.ROUTE and the branch setting each."""
    lines = explain_target(read_policy(path), target)
    if not lines:
        raise fail([f"{path}: no service or route is named {target}"])
    for line in lines:
        typer.echo(line)


@policy_commands.command("diff")
def policy_diff(old: Path, new: Path) -> None:
    """Print the effective values that differ between two policy files."""
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
