"""Commands on quarantined requests: those that crash the workers that run them.

Operators' words stay as they are: a request in quarantine is held, and a crash is an end.
"""

from __future__ import annotations

from typing import Annotated

import typer

from cranklane.cli.common import Token, call
from cranklane.sidecar.quarantine.api import QUARANTINE_PATH

quarantine_commands = typer.Typer(
    no_args_is_help=True, help="Requests held since workers ended that ran them."
)

Sidecar = Annotated[
    str, typer.Option(envvar="CRANKLANE_SIDECAR", help="host:port of any sidecar's metrics")
]


@quarantine_commands.command("list")
def list_quarantined(sidecar: Sidecar) -> None:
    """List the held requests."""
    for item in call(sidecar, "", "GET", QUARANTINE_PATH)["held"]:
        left = item["seconds_left"]
        until = f"for {left:.0f} s more" if left else "until a trial"
        typer.echo(f"{item['identity']} {item['service']} {until}, {item['ends']} ends")


@quarantine_commands.command()
def lift(identity: str, sidecar: Sidecar, token: Token) -> None:
    """Let a request run again, everywhere."""
    media = {"identity": identity, "token": token}
    call(sidecar, "", "POST", f"{QUARANTINE_PATH}/lift", media)
    typer.echo(f"{identity} is lifted")


@quarantine_commands.command("hold")
def quarantine(identity: str, service: str, seconds: float, sidecar: Sidecar, token: Token) -> None:
    """Refuse a request everywhere for some seconds; a log tells its identity."""
    media = {"identity": identity, "service": service, "seconds": seconds, "token": token}
    call(sidecar, "", "POST", f"{QUARANTINE_PATH}/hold", media)
    typer.echo(f"{identity} is held")
