"""Compiles the documents of a store; parses again only those whose text has changed.

Owns the parsed trees; the documents and rows belong to the store.
"""

from __future__ import annotations

from dataclasses import replace

from result import Err, Ok, Result

from cranklane.control.store import ROOT, ConfigurationStore
from cranklane.errors import PolicyError
from cranklane.policy.compiler import compile_policy
from cranklane.policy.model import Policy, has_settings
from cranklane.policy.syntax import parse
from cranklane.records.messages import ConfigRow


class DocumentCompiler:
    """Turns a new text of a document into the rows that it changes.

    Parsing costs far more than compiling, so that each document's tree is kept
    beside the text it was read from.
    """

    def __init__(self, store: ConfigurationStore) -> None:
        self._store = store
        self._parsed: dict[str, tuple[str, Policy]] = {}

    def compile(self, name: str, text: str) -> Result[list[ConfigRow], PolicyError]:
        """Return the rows that a new text of a document changes.

        Nothing of the store changes. A row without a value is a deletion.
        """
        texts = {document.name: document.text for document in self._store.documents()}
        try:
            new = parse(text)
            _check_document(name, new)
            trees = {other: self._tree(other, texts[other]) for other in texts if other != name}
            compiled = compile_policy(_merge({**trees, name: new}))
        except PolicyError as error:
            return Err(error)
        self._parsed[name] = (text, new)
        return Ok(self._store.changed_rows(compiled))

    def _tree(self, name: str, text: str) -> Policy:
        known = self._parsed.get(name)
        if known is not None and known[0] == text:
            return known[1]
        tree = parse(text)
        self._parsed[name] = (text, tree)
        return tree


def _check_document(name: str, policy: Policy) -> None:
    names = [tenant.name for tenant in policy.tenants]
    if name == ROOT:
        if names:
            raise PolicyError(["the root document holds no tenants; each has a document"])
        return
    if names not in ([name], []) or has_settings(policy):
        raise PolicyError([f"document {name} holds the tenant {name} and nothing else"])


def _merge(trees: dict[str, Policy]) -> Policy:
    tenants = [tenant for name in sorted(trees) if name != ROOT for tenant in trees[name].tenants]
    return replace(trees.get(ROOT, Policy()), tenants=tenants)
