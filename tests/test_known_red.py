"""The list of tests that are known to fail: what it lets pass, and what it does not."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from known_red import parse

TESTS = """
def test_fails():
    assert False

def test_passes():
    pass
"""


def run_with(folder: Path, listed: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the two tests above with a list."""
    (folder / "tests").mkdir()
    (folder / "tests" / "test_two.py").write_text(TESTS)
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (folder / "KNOWN-RED.txt").write_text(listed)
    here = str(Path(__file__).parent)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "known_red", "-p", "no:cacheprovider"]
    environment = {**os.environ, "PYTHONPATH": here}
    return subprocess.run(
        [*command, *arguments], cwd=folder, env=environment, capture_output=True, text=True
    )


def line(test: str) -> str:
    return f"tests/test_two.py::{test} | a cause | 7\n"


def test_a_listed_test_may_fail_and_is_printed(tmp_path):
    done = run_with(tmp_path, line("test_fails"))
    assert done.returncode == 0
    assert "1 passed, 1 xfailed" in done.stdout
    assert "tests/test_two.py::test_fails: a cause (issue 7)" in done.stdout


def test_a_test_that_is_not_listed_may_not_fail(tmp_path):
    assert run_with(tmp_path, "").returncode == 1


def test_a_listed_test_that_passes_fails_the_run(tmp_path):
    done = run_with(tmp_path, line("test_fails") + line("test_passes"))
    assert done.returncode == 1
    assert "XPASS(strict)" in done.stdout


@pytest.mark.parametrize("arguments", [(), ("-n", "2")])
def test_a_listed_test_that_does_not_exist_fails_the_run(tmp_path, arguments):
    done = run_with(tmp_path, line("test_fails") + line("test_gone"), *arguments)
    assert done.returncode == 1
    assert "there is no such test" in done.stdout


def test_a_run_of_one_test_does_not_ask_for_the_others(tmp_path):
    listed = line("test_fails") + line("test_gone")
    assert run_with(tmp_path, listed, "tests/test_two.py::test_fails").returncode == 0


@pytest.mark.parametrize("text", ["a test", "a | b", "a | b | ", "a | b | 1\n" * 4])
def test_a_list_that_cannot_be_read_is_refused(text):
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt"):
        parse(text)
