"""Command line of operators: registers all command groups."""

from __future__ import annotations

import secrets

import typer

from cranklane.cli.common import Control, Token, call
from cranklane.cli.configuration import config_commands
from cranklane.cli.control import control_commands
from cranklane.cli.log_analysis import explain_losses, explain_request
from cranklane.cli.policy import policy_commands
from cranklane.cli.quarantine import quarantine_commands
from cranklane.cli.route_table import route_table_commands
from cranklane.common.secret_digest import secret_digest

TOKEN_BYTES = 24
"""Random bytes in a token; 192 bits rule out guessing."""

application = typer.Typer(no_args_is_help=True, help="Overload control for service call graphs.")
application.add_typer(policy_commands, name="policy")
application.add_typer(config_commands, name="config")
application.add_typer(control_commands, name="control")
application.add_typer(route_table_commands, name="route-table")
application.add_typer(quarantine_commands, name="quarantine")
application.command("explain-request")(explain_request)
application.command("explain-losses")(explain_losses)


@application.command("status")
def status(control: Control, token: Token) -> None:
    """Print the revision of control and the state of each member."""
    answer = call(control, token, "GET", "/v1/status")
    typer.echo(f"{answer['name']}: revision {answer['revision']}")
    for member in answer["members"]:
        typer.echo(
            f"  {member['node']:<28} {member['service']:<28} {member['zone']:<12} "
            f"{member['state']:<9} version {member['version']}"
        )


@application.command("token")
def token_command() -> None:
    """Generate a token; print it with its hash for a policy or the control settings."""
    token = secrets.token_urlsafe(TOKEN_BYTES)
    typer.echo(f"token  {token}")
    typer.echo(f"hash   sha256:{secret_digest(token.encode())}")
