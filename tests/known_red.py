"""Pytest hooks that tolerate failures of the tests listed in ``KNOWN-RED.txt``.

Each line of the file holds a test ID, the cause and the issue, separated by ``|``. Listed tests
run, may fail, and are printed. A listed test that passes or does not exist fails the run, which
keeps the list up to date.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3
"""Limit on tolerated failures, which keeps known faults from piling up."""

UNCOUNTED_FILE = "tests/test_crowd.py"
"""Tests of crowds of clients, each on a line of its own, are not counted against the limit."""


@dataclass(frozen=True)
class KnownRed:
    """An entry of the list."""

    test: str
    cause: str
    issue: str


def parse_list(text: str) -> list[KnownRed]:
    """Parse the text of a known-red list.

    :raises ValueError: if a line is malformed or there are more than ``MAX_ENTRIES``.

    >>> parse_list("tests/test_a.py::test_b | the clock stands still | 30")
    [KnownRed(test='tests/test_a.py::test_b', cause='the clock stands still', issue='30')]
    """
    entries = []
    for line in filter(str.strip, text.splitlines()):
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise ValueError(f"{FILE_NAME}: expected 'test | cause | issue', found {line!r}")
        entries.append(KnownRed(*fields))
    counted = [entry for entry in entries if not entry.test.startswith(f"{UNCOUNTED_FILE}::")]
    if len(counted) > MAX_ENTRIES:
        raise ValueError(
            f"{FILE_NAME}: found {len(counted)} entries, expected at most {MAX_ENTRIES} entries"
        )
    return entries


def read_list(root: Path) -> list[KnownRed]:
    """Read the list in the root folder; a missing file is an empty list."""
    path = root / FILE_NAME
    return parse_list(path.read_text()) if path.exists() else []


class MissingTest(pytest.Item):
    """Failing placeholder for a listed test that does not exist."""

    def runtest(self) -> None:
        """Fail with the name of the missing test."""
        pytest.fail(f"{FILE_NAME} lists {self.name}, and there is no such test", pytrace=False)


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(
    session: pytest.Session, config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Mark listed tests as strict expected failures and report listed tests that do not exist.

    Existence is checked only if the run collects the whole suite, before markers deselect tests.
    """
    entries = {entry.test: entry for entry in read_list(config.rootpath)}
    for item in items:
        entry = entries.pop(item.nodeid, None)
        if entry is not None:
            reason = f"known red, issue {entry.issue}: {entry.cause}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
    full_run = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    if full_run and not config.option.keyword:
        items.extend(MissingTest.from_parent(session, name=test) for test in entries)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print the listed tests with cause and issue."""
    entries = read_list(config.rootpath)
    if entries:
        terminalreporter.section(f"known red ({FILE_NAME})")
    for entry in entries:
        terminalreporter.write_line(f"{entry.test}: {entry.cause} (issue {entry.issue})")
