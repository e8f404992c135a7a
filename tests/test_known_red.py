"""Known-red tests: tolerated failures and errors in the list."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from known_red import parse_list

TEST_MODULE = """
def test_fails():
    assert False

def test_passes():
    pass
"""


def run_pytest(
    folder: Path, known_red_text: str, *arguments: str
) -> subprocess.CompletedProcess[str]:
    """Run ``TEST_MODULE`` in a project with the given known-red list."""
    (folder / "tests").mkdir()
    (folder / "tests" / "test_two.py").write_text(TEST_MODULE)
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (folder / "KNOWN-RED.txt").write_text(known_red_text)
    tests_folder = str(Path(__file__).parent)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "known_red", "-p", "no:cacheprovider"]
    environment = {**os.environ, "PYTHONPATH": tests_folder}
    return subprocess.run(
        [*command, *arguments], cwd=folder, env=environment, capture_output=True, text=True
    )


def list_line(test: str) -> str:
    return f"tests/test_two.py::{test} | a cause | 7\n"


def test_a_listed_test_may_fail_and_is_printed(tmp_path):
    completed = run_pytest(tmp_path, list_line("test_fails"))
    assert completed.returncode == 0
    assert "1 passed, 1 xfailed" in completed.stdout
    assert "tests/test_two.py::test_fails: a cause (issue 7)" in completed.stdout


def test_an_unlisted_test_that_fails_fails_the_run(tmp_path):
    assert run_pytest(tmp_path, "").returncode == 1


def test_a_listed_test_that_passes_fails_the_run(tmp_path):
    completed = run_pytest(tmp_path, list_line("test_fails") + list_line("test_passes"))
    assert completed.returncode == 1
    assert "XPASS(strict)" in completed.stdout


@pytest.mark.parametrize("arguments", [(), ("-n", "2")])
def test_a_listed_test_that_does_not_exist_fails_the_run(tmp_path, arguments):
    completed = run_pytest(tmp_path, list_line("test_fails") + list_line("test_gone"), *arguments)
    assert completed.returncode == 1
    assert "there is no such test" in completed.stdout


def test_a_run_of_one_test_ignores_missing_listed_tests(tmp_path):
    known_red_text = list_line("test_fails") + list_line("test_gone")
    assert run_pytest(tmp_path, known_red_text, "tests/test_two.py::test_fails").returncode == 0


def test_lines_on_crowds_do_not_count_against_the_limit():
    line = "tests/test_crowd.py::test_a | b | 1\n"
    assert len(parse_list(line * 4 + "a | b | 1\n" * 3)) == 7


@pytest.mark.parametrize("text", ["a test", "a | b", "a | b | ", "a | b | 1\n" * 4])
def test_a_malformed_list_is_refused(text):
    with pytest.raises(ValueError, match=r"KNOWN-RED\.txt"):
        parse_list(text)
