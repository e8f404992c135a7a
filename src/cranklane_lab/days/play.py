"""Runs day files with the platform's bench, an external program, and parses its output."""

from __future__ import annotations

import re
import subprocess
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

_DAY_LINE = re.compile(
    r"^(?P<name>\S+)\s+\d+/\d+\s+(?P<score>[\d.]+)\s+(?P<worth>-?[\d.]+)\s+(?P<served>[\d.]+)"
)
_BROKEN_RULE = re.compile(r"BROKEN: (.*?)(?: \(else [^)]*\)?)?$")
_GATE_PREFIX = "short of the gate: "


@dataclass(frozen=True)
class PlayedDay:
    """Result that the bench reports for one day.

    :ivar worth: value that the bench assigns to the day; None if it reported none.
    :ivar served: fraction of requests that were served; None if it reported none.
    :ivar problems: broken rules and results that miss the gate.
    """

    name: str
    worth: float | None = None
    served: float | None = None
    problems: list[str] = field(default_factory=list)


def read_output(name: str, output: str) -> PlayedDay:
    """Parse the bench's output for a day.

    >>> read_output("d", "d   76/0   0.00  0.404  0.672   0.085  0.235  worst  BROKEN: QUOTA 1")
    PlayedDay(name='d', worth=0.404, served=0.672, problems=['QUOTA 1'])
    >>> read_output("d", "the build failed").problems
    ['the bench told no figures; its last line: the build failed']
    """
    day_figures = None
    problems = []
    lines = output.splitlines()
    for line in lines:
        day_match = _DAY_LINE.match(line)
        if day_match is not None and day_match["name"] == name:
            day_figures = day_match
            rule_match = _BROKEN_RULE.search(line)
            if rule_match is not None:
                problems.append(rule_match[1])
        elif line.startswith(_GATE_PREFIX):
            problems.append(line.removeprefix(_GATE_PREFIX))
    if day_figures is None:
        last_line = lines[-1] if lines else ""
        return PlayedDay(name, problems=[f"the bench told no figures; its last line: {last_line}"])
    return PlayedDay(name, float(day_figures["worth"]), float(day_figures["served"]), problems)


def read_day_name(file: Path) -> str:
    """Return the name of the day in a day file.

    :raises ValueError: if the file does not contain exactly one day.
    """
    days = tomllib.loads(file.read_text()).get("day", [])
    if len(days) != 1:
        raise ValueError(f"{file}: expected one [[day]], found {len(days)}")
    return str(days[0]["name"])


def play_day(bench: Path, site: Path, file: Path, reason: str) -> PlayedDay:
    """Run a day file on a site.

    :param reason: reason for the run, passed to the bench.
    """
    command = [str(bench), "run", str(site), str(file), "--why", reason]
    finished = subprocess.run(command, capture_output=True, text=True, check=False)
    return read_output(read_day_name(file), finished.stdout + finished.stderr)


def format_day(day: PlayedDay) -> str:
    """Return a one-line summary of a day."""
    worth = "  none" if day.worth is None else f"{day.worth:6.3f}"
    served = "  none" if day.served is None else f"{day.served:6.3f}"
    problems = "; ".join(day.problems) or "no problems"
    return f"{day.name:<44} worth {worth}  served {served}  {problems}"
