"""Tests that fail for a known fault, as ``KNOWN-RED.txt`` at the root lists them.

A line names a test, the cause and the issue, separated by ``|``. Such a test is run like all
others and may fail, and it is printed. The run fails when a listed test passes, or when the
list names none, so that the list stays true.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MOST_LINES = 3
"""More faults at a time would not be known, but got used to."""


@dataclass(frozen=True)
class KnownRed:
    """One line of the list."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """Return the lines of a list.

    :raises ValueError: when a line is no such line, or there are too many.

    >>> parse("tests/test_a.py::test_b | the clock stands still | 30")
    [KnownRed(test='tests/test_a.py::test_b', cause='the clock stands still', issue='30')]
    """
    listed = []
    for line in filter(str.strip, text.splitlines()):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{FILE_NAME}: not 'test | cause | issue': {line!r}")
        listed.append(KnownRed(*parts))
    if len(listed) > MOST_LINES:
        raise ValueError(f"{FILE_NAME}: {len(listed)} lines, at most {MOST_LINES} are allowed")
    return listed


def read(root: Path) -> list[KnownRed]:
    """Return the list at a root; nothing where there is no file."""
    path = root / FILE_NAME
    return parse(path.read_text()) if path.exists() else []


class MissingTest(pytest.Item):
    """Stands for a listed test that does not exist, and fails."""

    def runtest(self) -> None:
        """Fail."""
        pytest.fail(f"{FILE_NAME} lists {self.name}, and there is no such test", pytrace=False)


def pytest_collection_modifyitems(
    session: pytest.Session, config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Let listed tests fail, and only fail; a run of whole files must find each of them."""
    listed = {known.test: known for known in read(config.rootpath)}
    for item in items:
        known = listed.pop(item.nodeid, None)
        if known is not None:
            reason = f"known red, issue {known.issue}: {known.cause}"
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))
    whole_run = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    if whole_run and not config.option.keyword:
        items.extend(MissingTest.from_parent(session, name=test) for test in listed)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print the list."""
    listed = read(config.rootpath)
    if listed:
        terminalreporter.section(f"known red ({FILE_NAME})")
    for known in listed:
        terminalreporter.write_line(f"{known.test}: {known.cause} (issue {known.issue})")
