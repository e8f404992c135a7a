"""Guards against pages that name modules, functions or tests that do not exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE_FOLDER = ROOT / "src" / "cranklane"
PAGES = sorted((ROOT / "docs").rglob("*.md"))


def decision_rows():
    """Return the table cells of each rule in DECISIONS.md."""
    lines = (ROOT / "docs" / "DECISIONS.md").read_text().splitlines()
    rows = [line.strip("|").split(" | ") for line in lines if line.startswith("| ")]
    return [row for row in rows if row[0].strip() != "rule"]


def test_modules_and_functions_named_by_a_rule_exist():
    missing = []
    for row in decision_rows():
        for reference in row[1].split("; "):
            names = re.findall(r"`([^`]+)`", reference)
            module = PACKAGE_FOLDER / f"{names[0]}.py"
            if not module.exists():
                missing.append(names[0])
                continue
            source = module.read_text()
            missing += [
                f"{names[0]}: {name}"
                for name in names[1:]
                if not re.search(rf"\b{re.escape(name.rpartition('.')[2])}\b", source)
            ]
    assert missing == []


def test_each_rule_has_five_cells():
    assert {len(row) for row in decision_rows()} == {5}


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
def test_tests_named_on_a_page_exist(page):
    test_sources = "\n".join(file.read_text() for file in (ROOT / "tests").glob("*.py"))
    modules = {file.stem for file in (ROOT / "tests").glob("*.py")}
    named_tests = set(re.findall(r"`(?:tests/)?(test_\w+)(?:\.py)?`", page.read_text()))
    assert {
        name for name in named_tests if name not in modules and f"def {name}(" not in test_sources
    } == set()
