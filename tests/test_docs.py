"""The pages name modules, functions and tests that exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PRODUCT = ROOT / "src" / "cranklane"
PAGES = sorted((ROOT / "docs").rglob("*.md"))


def rows_of_decisions():
    """Return the cells of each rule in DECISIONS.md."""
    lines = (ROOT / "docs" / "DECISIONS.md").read_text().splitlines()
    rows = [line.strip("|").split(" | ") for line in lines if line.startswith("| ")]
    return [row for row in rows if row[0].strip() != "rule"]


def test_each_rule_names_a_module_and_functions_that_exist():
    missing = []
    for row in rows_of_decisions():
        for part in row[1].split("; "):
            names = re.findall(r"`([^`]+)`", part)
            module = PRODUCT / f"{names[0]}.py"
            if not module.exists():
                missing.append(names[0])
                continue
            text = module.read_text()
            missing += [
                f"{names[0]}: {name}"
                for name in names[1:]
                if not re.search(rf"\b{re.escape(name.rpartition('.')[2])}\b", text)
            ]
    assert missing == []


def test_each_rule_has_five_cells():
    assert {len(row) for row in rows_of_decisions()} == {5}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_tests_named_on_a_page_exist(page):
    tests = "\n".join(file.read_text() for file in (ROOT / "tests").glob("*.py"))
    modules = {file.stem for file in (ROOT / "tests").glob("*.py")}
    named = set(re.findall(r"`(?:tests/)?(test_\w+)(?:\.py)?`", page.read_text()))
    assert {name for name in named if name not in modules and f"def {name}(" not in tests} == set()
