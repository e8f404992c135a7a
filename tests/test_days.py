"""The day files and the command that runs them with an external program."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest
from typer.testing import CliRunner

from cranklane_lab.cli import application
from cranklane_lab.days.play import read_day_name

DAYS_FOLDER = Path(__file__).parents[1] / "deploy" / "days"
DAYS = sorted(DAYS_FOLDER.glob("*.toml"))


@pytest.mark.parametrize("file", DAYS, ids=lambda file: file.stem)
def test_a_day_file_has_one_day_named_like_the_file_with_plans_or_faults(file):
    day = tomllib.loads(file.read_text())["day"][0]
    assert read_day_name(file) == file.stem
    entries = [*day.get("plan", []), *day.get("faults", [])]
    assert entries
    assert all(0 <= entry["at"] <= 20 and entry["kind"] for entry in entries)


def fake_bench(folder, line):
    """Return a program that prints a line in the format of the bench."""
    program = folder / "bench"
    program.write_text(f"#!/bin/sh\necho '{line}'\n")
    program.chmod(0o755)
    return program


@pytest.mark.parametrize(
    ("line_end", "status", "message"),
    [
        ("worst windows 0.99", 0, "no problems"),
        ("worst windows 0.99  BROKEN: QUOTA 3 (else 0.5)", 1, "QUOTA 3"),
    ],
)
def test_the_command_reports_the_problems_of_each_day(tmp_path, line_end, status, message):
    program = fake_bench(
        tmp_path, f"hot-tenant   76/0   0.54  0.540  0.994   0.001  0.003  {line_end}"
    )
    days = tmp_path / "days"
    days.mkdir()
    (days / "hot-tenant.toml").write_text(DAYS_FOLDER.joinpath("hot-tenant.toml").read_text())
    arguments = ["days", "site.toml", "--bench", str(program), "--folder", str(days)]
    result = CliRunner().invoke(application, arguments)
    assert result.exit_code == status
    assert message in result.output.splitlines()[0]
