"""The laboratory's command line."""

from __future__ import annotations

import typer

application = typer.Typer(no_args_is_help=True, help="Fleets, load, simulation, measurements.")


@application.callback()
def _group() -> None:
    """Fleets, load, simulation, measurements."""


@application.command()
def demo() -> None:
    """Start both deployments, send every kind of request, break something, check."""
    from cranklane_lab.demo import run_demo

    raise typer.Exit(run_demo())


def main() -> None:
    """Run the command line."""
    application()
