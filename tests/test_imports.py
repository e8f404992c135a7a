"""Modules have no import cycles, and packages do not import the packages built on them.

Imports only for type hints (under ``TYPE_CHECKING``) count as well, because they are
dependencies too.
"""

from __future__ import annotations

import ast
from pathlib import Path

SOURCES = Path(__file__).parent.parent / "src"

PROGRAMS = frozenset({"cli", "control", "controller", "ledger", "node", "sidecar"})
"""Packages of the processes and of the command line that starts them."""

FORBIDDEN = {
    "distribution": PROGRAMS,
    "replication": PROGRAMS,
    "control": frozenset({"node"}),
    "controller": frozenset({"node"}),
    "ledger": frozenset({"node"}),
    "sidecar": frozenset({"node"}),
}
"""Packages from which each package must not import."""


def modules():
    """Return the path of each module by its dotted name."""
    found = {}
    for path in sorted(SOURCES.glob("cranklane*/**/*.py")):
        parts = path.relative_to(SOURCES).with_suffix("").parts
        if parts[-1] == "__init__":
            parts = parts[:-1]
        found[".".join(parts)] = path
    return found


def imports_in(tree):
    """Yield all import statements, including those in conditions and functions."""
    for statement in ast.walk(tree):
        if isinstance(statement, ast.Import | ast.ImportFrom):
            yield statement


def imports_at_load(body):
    """Yield import statements that are executed on import or only used for type hints."""
    for statement in body:
        if isinstance(statement, ast.Import | ast.ImportFrom):
            yield statement
        elif isinstance(statement, ast.If):
            yield from imports_at_load(statement.body)
            yield from imports_at_load(statement.orelse)
        elif isinstance(statement, ast.Try):
            yield from imports_at_load(statement.body)
            for handler in statement.handlers:
                yield from imports_at_load(handler.body)


def names_imported(statements, known):
    """Return the known modules named in import statements."""
    names = set()
    for statement in statements:
        if isinstance(statement, ast.Import):
            names |= {alias.name for alias in statement.names}
        elif statement.module:
            names |= {f"{statement.module}.{alias.name}" for alias in statement.names}
            names.add(statement.module)
    return names & known.keys()


def imported_at_load(path, known):
    """Return the known modules that a module imports on import."""
    return names_imported(imports_at_load(ast.parse(path.read_text()).body), known)


def imported_anywhere(path, known):
    """Return the known modules that a module imports anywhere, including in functions."""
    return names_imported(imports_in(ast.parse(path.read_text())), known)


def forbidden_imports(imports):
    """Return (importing module, imported module) for each forbidden import."""
    return [
        (name, other)
        for name, others in sorted(imports.items())
        for other in sorted(others)
        if package_of(other) in FORBIDDEN.get(package_of(name), ())
    ]


def package_of(name):
    """Return the package of cranklane that contains a module, or an empty string."""
    root, _, rest = name.partition(".")
    return rest.partition(".")[0] if root == "cranklane" else ""


def cycle_in(imports):
    """Return the modules of one import cycle; empty without a cycle."""
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


def test_an_import_for_type_hints_counts():
    source = "if TYPE_CHECKING:\n    from b import c\nelse:\n    import d\n"
    statements = imports_at_load(ast.parse(source).body)
    assert names_imported(statements, {"b": 0, "b.c": 0, "d": 0}) == {"b", "b.c", "d"}


def test_a_forbidden_import_is_found():
    imports = {
        "cranklane.sidecar.a": {"cranklane.node.b", "cranklane.common.c"},
        "cranklane.distribution.d": {"cranklane.controller"},
    }
    assert forbidden_imports(imports) == [
        ("cranklane.distribution.d", "cranklane.controller"),
        ("cranklane.sidecar.a", "cranklane.node.b"),
    ]


def test_no_modules_import_each_other():
    known = modules()
    assert len(known) > 100
    assert cycle_in({name: imported_at_load(path, known) for name, path in known.items()}) == []


def test_no_package_imports_what_builds_on_it():
    known = modules()
    imports = {name: imported_anywhere(path, known) for name, path in known.items()}
    assert {package_of(name) for name in imports} >= FORBIDDEN.keys()
    assert forbidden_imports(imports) == []
