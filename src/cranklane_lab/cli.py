"""The laboratory's command line."""

from __future__ import annotations

from typing import Annotated

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


@application.command()
def simulate(
    scenario: Annotated[str, typer.Option(help="the scenario's name")] = "",
    seeds: Annotated[str, typer.Option(help="first and last seed, as A-B")] = "1-10",
    without: Annotated[list[str], typer.Option(help="a mechanism to switch off")] = [],  # noqa: B006
    json: Annotated[bool, typer.Option("--json", help="print results as JSON")] = False,
    jobs: Annotated[int, typer.Option(help="processes at once; 0: one a core")] = 0,
    list_: Annotated[bool, typer.Option("--list", help="list the scenarios")] = False,
) -> None:
    """Run seeds of a scenario; exit 1 when a promise broke in any."""
    from cranklane_lab.scenarios.library import SCENARIOS
    from cranklane_lab.scenarios.mechanisms import MECHANISMS
    from cranklane_lab.simulate import report, run_seeds

    if list_:
        for item in SCENARIOS.values():
            typer.echo(f"{item.name:<24}{item.purpose}  without: {', '.join(item.mechanisms)}")
        raise typer.Exit
    if scenario not in SCENARIOS:
        raise typer.BadParameter(f"{scenario!r}: known are {', '.join(SCENARIOS)}")
    unknown = [name for name in without if name not in MECHANISMS]
    if unknown:
        raise typer.BadParameter(f"{unknown}: known are {', '.join(MECHANISMS)}")
    first, _, last = seeds.partition("-")
    if not first.isdigit() or not (last or first).isdigit():
        raise typer.BadParameter(f"--seeds {seeds!r}: expected A-B")
    chosen = range(int(first), int(last or first) + 1)
    raise typer.Exit(report(run_seeds(scenario, chosen, tuple(without), jobs), json))


@application.command()
def fleet() -> None:
    """Kill, freeze and empty control machines as processes, under edits."""
    from cranklane_lab.fleet.control_run import run_control

    raise typer.Exit(run_control())


@application.command()
def latency(
    calls: Annotated[int, typer.Option(min=100, help="pairs of calls")] = 4000,
    json: Annotated[bool, typer.Option("--json", help="print results as JSON")] = False,
) -> None:
    """Measure the time and processor time that two nodes add to a call."""
    from cranklane_lab.latency import run_latency

    raise typer.Exit(run_latency(calls, json))


@application.command()
def scale(
    steps: Annotated[str, typer.Option(help="numbers of hollow nodes")] = "50,200,800,2400",
    json: Annotated[bool, typer.Option("--json", help="print results as JSON")] = False,
) -> None:
    """Measure what control and nodes cost as the fleet grows."""
    from cranklane_lab.scale.run import run_scale

    numbers = steps.split(",")
    if not all(number.isdigit() and int(number) for number in numbers):
        raise typer.BadParameter(f"--steps {steps!r}: expected numbers like 50,200")
    raise typer.Exit(run_scale(sorted(int(number) for number in numbers), json))


def main() -> None:
    """Run the command line."""
    application()
