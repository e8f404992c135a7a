"""Guards against import cycles and imports of higher layers.

Imports for type hints alone (under ``TYPE_CHECKING``) count, since they are dependencies too.
"""

from __future__ import annotations

import ast
from pathlib import Path

SOURCES = Path(__file__).parent.parent / "src"

PROGRAMS = frozenset({"cli", "control", "controller", "ledger", "node", "sidecar"})
"""Packages of the programs and of the command line that starts them."""

FORBIDDEN_IMPORTS = {
    "distribution": PROGRAMS,
    "replication": PROGRAMS,
    "control": frozenset({"node"}),
    "controller": frozenset({"node"}),
    "ledger": frozenset({"node"}),
    "sidecar": frozenset({"node"}),
}
"""Packages that each package must not import from."""


def module_paths():
    """Return the path of each module by its dotted name."""
    paths = {}
    for path in sorted(SOURCES.glob("cranklane*/**/*.py")):
        names = path.relative_to(SOURCES).with_suffix("").parts
        if names[-1] == "__init__":
            names = names[:-1]
        paths[".".join(names)] = path
    return paths


def all_imports(tree):
    """Yield all import statements, including those in conditions and functions."""
    for statement in ast.walk(tree):
        if isinstance(statement, ast.Import | ast.ImportFrom):
            yield statement


def imports_at_load(body):
    """Yield module-level import statements, including those in conditions."""
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


def imported_modules(statements, paths):
    """Return the modules in ``paths`` that import statements name."""
    names = set()
    for statement in statements:
        if isinstance(statement, ast.Import):
            names |= {alias.name for alias in statement.names}
        elif statement.module:
            names |= {f"{statement.module}.{alias.name}" for alias in statement.names}
            names.add(statement.module)
    return names & paths.keys()


def imported_at_load(path, paths):
    """Return the modules in ``paths`` that a module imports at module level."""
    return imported_modules(imports_at_load(ast.parse(path.read_text()).body), paths)


def imported_anywhere(path, paths):
    """Return the modules in ``paths`` that a module imports, including in functions."""
    return imported_modules(all_imports(ast.parse(path.read_text())), paths)


def forbidden_imports(imports):
    """Return each forbidden import as a pair of importing and imported module."""
    return [
        (name, imported_name)
        for name, imported_names in sorted(imports.items())
        for imported_name in sorted(imported_names)
        if package_of(imported_name) in FORBIDDEN_IMPORTS.get(package_of(name), ())
    ]


def package_of(name):
    """Return the package below ``cranklane`` that contains a module, or an empty string."""
    root, _, subpath = name.partition(".")
    return subpath.partition(".")[0] if root == "cranklane" else ""


def find_cycle(imports):
    """Return the modules of one import cycle, or an empty list."""
    visited = set()

    def visit(name, path):
        if name in path:
            return [*path[path.index(name) :], name]
        if name in visited:
            return []
        for imported_name in sorted(imports[name]):
            cycle = visit(imported_name, [*path, name])
            if cycle:
                return cycle
        visited.add(name)
        return []

    for name in imports:
        cycle = visit(name, [])
        if cycle:
            return cycle
    return []


def test_a_cycle_is_found():
    assert find_cycle({"a": {"b"}, "b": {"c"}, "c": {"b"}}) == ["b", "c", "b"]


def test_an_import_for_type_hints_counts():
    source = "if TYPE_CHECKING:\n    from b import c\nelse:\n    import d\n"
    statements = imports_at_load(ast.parse(source).body)
    assert imported_modules(statements, {"b": 0, "b.c": 0, "d": 0}) == {"b", "b.c", "d"}


def test_a_forbidden_import_is_found():
    imports = {
        "cranklane.sidecar.a": {"cranklane.node.b", "cranklane.common.c"},
        "cranklane.distribution.d": {"cranklane.controller"},
    }
    assert forbidden_imports(imports) == [
        ("cranklane.distribution.d", "cranklane.controller"),
        ("cranklane.sidecar.a", "cranklane.node.b"),
    ]


def test_no_import_cycles():
    paths = module_paths()
    assert len(paths) > 100
    assert find_cycle({name: imported_at_load(path, paths) for name, path in paths.items()}) == []


def test_no_package_imports_a_higher_layer():
    paths = module_paths()
    imports = {name: imported_anywhere(path, paths) for name, path in paths.items()}
    assert {package_of(name) for name in imports} >= FORBIDDEN_IMPORTS.keys()
    assert forbidden_imports(imports) == []
