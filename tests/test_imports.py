"""No module of the product imports, by way of others, a module that imports it.

Imports for type hints alone (under ``TYPE_CHECKING``) run nothing and do not count.
"""

from __future__ import annotations

import ast
from pathlib import Path

SOURCES = Path(__file__).parent.parent / "src"


def modules():
    """Return the path of each module by its dotted name."""
    found = {}
    for path in sorted(SOURCES.glob("cranklane*/**/*.py")):
        parts = path.relative_to(SOURCES).with_suffix("").parts
        if parts[-1] == "__init__":
            parts = parts[:-1]
        found[".".join(parts)] = path
    return found


def statements_run(body):
    """Yield the statements that run when a module is imported."""
    for statement in body:
        if isinstance(statement, ast.If) and "TYPE_CHECKING" in ast.unparse(statement.test):
            continue
        yield statement
        if isinstance(statement, ast.If | ast.Try):
            yield from statements_run(statement.body)


def imported_by(path, known):
    """Return the known modules that a module imports when it is imported."""
    names = set()
    for statement in statements_run(ast.parse(path.read_text()).body):
        if isinstance(statement, ast.Import):
            names |= {alias.name for alias in statement.names}
        elif isinstance(statement, ast.ImportFrom) and statement.module:
            names |= {f"{statement.module}.{alias.name}" for alias in statement.names}
            names.add(statement.module)
    return names & known.keys()


def cycle_in(imports):
    """Return the modules of one cycle, or nothing."""
    done = set()

    def visit(name, path):
        if name in path:
            return [*path[path.index(name) :], name]
        if name in done:
            return []
        for other in sorted(imports[name]):
            cycle = visit(other, [*path, name])
            if cycle:
                return cycle
        done.add(name)
        return []

    for name in imports:
        cycle = visit(name, [])
        if cycle:
            return cycle
    return []


def test_a_cycle_is_found():
    assert cycle_in({"a": {"b"}, "b": {"c"}, "c": {"b"}}) == ["b", "c", "b"]


def test_no_modules_import_each_other():
    known = modules()
    assert len(known) > 100
    assert cycle_in({name: imported_by(path, known) for name, path in known.items()}) == []
