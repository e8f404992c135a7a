"""Plays day files one after the other with the platform's bench, an outside program."""

from __future__ import annotations

import re
import subprocess
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

_FIGURES = re.compile(
    r"^(?P<name>\S+)\s+\d+/\d+\s+(?P<score>[\d.]+)\s+(?P<worth>-?[\d.]+)\s+(?P<served>[\d.]+)"
)
_BROKEN = re.compile(r"BROKEN: (.*?)(?: \(else [^)]*\)?)?$")
_SHORT = "short of the gate: "


@dataclass(frozen=True)
class PlayedDay:
    """What the bench tells of one day.

    :ivar worth: as the bench reckons it; None when it told none.
    :ivar served: part of the requests that were served.
    :ivar problems: broken rules, and what was short of the gate.
    """

    name: str
    worth: float | None = None
    served: float | None = None
    problems: list[str] = field(default_factory=list)


def read_output(name: str, output: str) -> PlayedDay:
    """Return what the bench's output tells of a day.

    >>> read_output("d", "d   76/0   0.00  0.404  0.672   0.085  0.235  worst  BROKEN: QUOTA 1")
    PlayedDay(name='d', worth=0.404, served=0.672, problems=['QUOTA 1'])
    >>> read_output("d", "the build failed").problems
    ['the bench told no figures; its last line: the build failed']
    """
    figures = None
    problems = []
    lines = output.splitlines()
    for line in lines:
        found = _FIGURES.match(line)
        if found is not None and found["name"] == name:
            figures = found
            broken = _BROKEN.search(line)
            if broken is not None:
                problems.append(broken[1])
        elif line.startswith(_SHORT):
            problems.append(line.removeprefix(_SHORT))
    if figures is None:
        last = lines[-1] if lines else ""
        return PlayedDay(name, problems=[f"the bench told no figures; its last line: {last}"])
    return PlayedDay(name, float(figures["worth"]), float(figures["served"]), problems)


def name_of(file: Path) -> str:
    """Return the name of the day that a file holds.

    :raises ValueError: when it holds no day, or more than one.
    """
    days = tomllib.loads(file.read_text()).get("day", [])
    if len(days) != 1:
        raise ValueError(f"{file}: expected one [[day]], found {len(days)}")
    return str(days[0]["name"])


def play_day(bench: Path, site: Path, file: Path, why: str) -> PlayedDay:
    """Play one day file on a site; return what became of it."""
    command = [str(bench), "run", str(site), str(file), "--why", why]
    finished = subprocess.run(command, capture_output=True, text=True, check=False)
    return read_output(name_of(file), finished.stdout + finished.stderr)


def format_day(day: PlayedDay) -> str:
    """Return the line that tells of a day."""
    worth = "  none" if day.worth is None else f"{day.worth:6.3f}"
    served = "  none" if day.served is None else f"{day.served:6.3f}"
    problems = "; ".join(day.problems) or "nothing fell short"
    return f"{day.name:<44} worth {worth}  served {served}  {problems}"
