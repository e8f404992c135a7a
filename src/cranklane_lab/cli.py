"""Command line of the test and measurement tools."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

application = typer.Typer(no_args_is_help=True, help="Fleets, load, simulation, measurements.")


@application.callback()
def _group() -> None:
    """Fleets, load, simulation, measurements."""


@application.command()
def demo() -> None:
    """Start both deployments, send all kinds of requests, inject faults and check the results."""
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
    """Run seeds of a scenario; exit 1 if any of them violates a promise."""
    from cranklane_lab.scenarios.library import SCENARIOS
    from cranklane_lab.simulate import report, run_seeds

    if list_:
        for entry in SCENARIOS.values():
            typer.echo(f"{entry.name:<24}{entry.purpose}  without: {', '.join(entry.mechanisms)}")
        raise typer.Exit
    if scenario not in SCENARIOS:
        raise typer.BadParameter(f"{scenario!r}: known are {', '.join(SCENARIOS)}")
    switched_off = _check_mechanisms(without)
    raise typer.Exit(report(run_seeds(scenario, _seeds(seeds), switched_off, jobs), json))


@application.command()
def soak(
    seeds: Annotated[str, typer.Option(help="first and last seed, as A-B")] = "1-1",
    seconds: Annotated[float, typer.Option(min=5, help="seconds of faults for each seed")] = 40.0,
    folder: Annotated[str, typer.Option(help="where logs are kept")] = "",
    machines: Annotated[int, typer.Option(min=5, max=200, help="sidecars of the site")] = 5,
) -> None:
    """Run the real programs under random faults; exit 1 if an invariant was violated."""
    import json
    from dataclasses import asdict

    from cranklane_lab.soak.run import run_soak

    results = run_soak(_seeds(seeds), seconds, folder, machines)
    for result in results:
        typer.echo(json.dumps(asdict(result)))
    raise typer.Exit(1 if any(result.broken for result in results) else 0)


@application.command()
def trees(
    seeds: Annotated[str, typer.Option(help="first and last seed, as A-B")] = "1-16",
    jobs: Annotated[int, typer.Option(help="processes at once; 0: one a core")] = 0,
) -> None:
    """Measure the value earned on random call trees that share one bottleneck service."""
    from cranklane_lab.trees.report import format_report, play_seeds

    for line in format_report(play_seeds(_seeds(seeds), jobs)):
        typer.echo(line)


@application.command()
def days(
    site: Annotated[Path, typer.Argument(help="the deployment's file")],
    bench: Annotated[Path, typer.Option(help="the platform's bench, a program")],
    folder: Annotated[Path, typer.Option(help="folder of day files")] = Path("deploy/days"),
    only: Annotated[str, typer.Option(help="play days whose names hold this text")] = "",
) -> None:
    """Run each day file on a deployment; exit 1 if one has problems."""
    from cranklane_lab.days.play import format_day, play_day

    files = sorted(file for file in folder.glob("*.toml") if only in file.stem)
    if not files:
        raise typer.BadParameter(f"no day file in {folder} has {only!r} in its name")
    days_with_problems = 0
    for file in files:
        day = play_day(bench, site, file, f"Day of its own: {file.stem}")
        days_with_problems += bool(day.problems)
        typer.echo(format_day(day))
    typer.echo(f"{len(files)} days, {days_with_problems} with problems")
    raise typer.Exit(1 if days_with_problems else 0)


@application.command()
def cost(
    against: Annotated[str, typer.Option(help="another source tree to compare with")] = "",
    requests: Annotated[int, typer.Option(min=80, help="requests of a window")] = 2000,
    rounds: Annotated[int, typer.Option(min=1, help="windows of each tree")] = 5,
    load: Annotated[int, typer.Option(help="which load, from 1; 0: all")] = 0,
) -> None:
    """Measure the CPU time that two sidecars spend on a request."""
    from cranklane_lab.cost.run import LOADS, measure_load

    sources: list[Path | None] = [None, *([Path(against)] if against else [])]
    for number, load_kind in enumerate(LOADS, 1):
        if load in (0, number):
            for line in measure_load(load_kind, sources, requests, rounds):
                typer.echo(line)


@application.command()
def latency(
    calls: Annotated[int, typer.Option(min=100, help="pairs of calls")] = 4000,
    json: Annotated[bool, typer.Option("--json", help="print results as JSON")] = False,
) -> None:
    """Measure the latency and CPU time that two nodes add to a call."""
    from cranklane_lab.latency import run_latency

    raise typer.Exit(run_latency(calls, json))


def _check_mechanisms(names: list[str]) -> tuple[str, ...]:
    from cranklane_lab.scenarios.mechanisms import MECHANISMS

    unknown = [name for name in names if name not in MECHANISMS]
    if unknown:
        raise typer.BadParameter(f"{unknown}: known are {', '.join(MECHANISMS)}")
    return tuple(names)


def _seeds(text: str) -> range:
    first, _, last = text.partition("-")
    if not first.isdigit() or not (last or first).isdigit():
        raise typer.BadParameter(f"--seeds {text!r}: expected A-B")
    return range(int(first), int(last or first) + 1)


@application.command()
def replay(
    trace: Path,
    without: Annotated[list[str], typer.Option(help="a mechanism to switch off")] = [],  # noqa: B006
) -> None:
    """Replay a recorded trace; exit 1 if a promise or an expected outcome is violated."""
    from cranklane_lab.replay.run import replay as play_file

    raise typer.Exit(play_file(trace, _check_mechanisms(without)))


@application.command()
def search(
    seeds: Annotated[str, typer.Option(help="first and last seed, as A-B")] = "1-10",
    without: Annotated[list[str], typer.Option(help="a mechanism to switch off")] = [],  # noqa: B006
    folder: Annotated[Path, typer.Option(help="where traces that break are written")] = Path(),
) -> None:
    """Run random traces of requests and failures; shrink those that violate a promise."""
    from cranklane_lab.replay.run import search as play_many

    raise typer.Exit(play_many(_seeds(seeds), _check_mechanisms(without), folder))


@application.command()
def evidence(
    callers: Annotated[int, typer.Option(min=1, help="callers of the service")] = 195,
    workers: Annotated[int, typer.Option(min=2, help="its workers")] = 93,
    slots: Annotated[int, typer.Option(min=1, help="requests that one worker runs at once")] = 14,
    work_ms: Annotated[float, typer.Option(min=1.0, help="mean time of a run")] = 160.0,
    load: Annotated[float, typer.Option(min=0.01, max=2.0, help="busy part of all slots")] = 0.08,
    seed: Annotated[int, typer.Option(help="of the trial")] = 1,
) -> None:
    """Measure the share of requests to unhealthy workers with and without shared reports."""
    from cranklane_lab.evidence.report import run_evidence
    from cranklane_lab.evidence.trial import Shape

    shape = Shape(callers, workers, slots, work_ms / 1000, load)
    for line in run_evidence(shape, seed):
        typer.echo(line)


def main() -> None:
    """Run the command line."""
    application()
