"""Commands that list and change quarantined requests: those that crash their workers.

The command line and the sidecar's JSON say "held" for quarantined and "ends" for crashes.
"""

from __future__ import annotations

from typing import Annotated

import typer

from cranklane.cli.common import Token, call
from cranklane.sidecar.quarantine.api import QUARANTINE_PATH

quarantine_commands = typer.Typer(
    no_args_is_help=True, help="List and change quarantined requests, which crash workers."
)

Sidecar = Annotated[
    str, typer.Option(envvar="CRANKLANE_SIDECAR", help="host:port of any sidecar's metrics server")
]


@quarantine_commands.command("list")
def list_quarantined(sidecar: Sidecar) -> None:
    """List the quarantined requests."""
    for entry in call(sidecar, "", "GET", QUARANTINE_PATH)["held"]:
        seconds_left = entry["seconds_left"]
        remaining = f"for {seconds_left:.0f} s more" if seconds_left else "until a trial"
        typer.echo(f"{entry['identity']} {entry['service']} {remaining}, {entry['ends']} ends")


@quarantine_commands.command()
def lift(identity: str, sidecar: Sidecar, token: Token) -> None:
    """Release a request from quarantine on all sidecars."""
    media = {"identity": identity, "token": token}
    call(sidecar, "", "POST", f"{QUARANTINE_PATH}/lift", media)
    typer.echo(f"{identity} is lifted")


@quarantine_commands.command("hold")
def quarantine(identity: str, service: str, seconds: float, sidecar: Sidecar, token: Token) -> None:
    """Quarantine a request on all sidecars; its identity is in the sidecar logs."""
    media = {"identity": identity, "service": service, "seconds": seconds, "token": token}
    call(sidecar, "", "POST", f"{QUARANTINE_PATH}/hold", media)
    typer.echo(f"{identity} is held")
