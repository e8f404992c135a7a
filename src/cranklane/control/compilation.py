"""Compiles policy documents into rows, with a cache of parsed documents.

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
    """Compiles a new text of a document into the changed rows.

    Caches the parsed tree of each document, because parsing takes far longer than compiling.
    """

    def __init__(self, store: ConfigurationStore) -> None:
        self._store = store
        self._parsed: dict[str, tuple[str, Policy]] = {}

    def compile(self, name: str, text: str) -> Result[list[ConfigRow], PolicyError]:
        """Return the rows changed by a new text of a document; the store stays unchanged.

        A row without a value is a deletion.
        """
        texts = {document.name: document.text for document in self._store.documents()}
        try:
            new_tree = parse(text)
            _check_document(name, new_tree)
            trees = {
                other_name: self._parsed_tree(other_name, texts[other_name])
                for other_name in texts
                if other_name != name
            }
            compiled = compile_policy(_merge({**trees, name: new_tree}))
        except PolicyError as error:
            return Err(error)
        self._parsed[name] = (text, new_tree)
        return Ok(self._store.changed_rows(compiled))

    def _parsed_tree(self, name: str, text: str) -> Policy:
        cached = self._parsed.get(name)
        if cached is not None and cached[0] == text:
            return cached[1]
        tree = parse(text)
        self._parsed[name] = (text, tree)
        return tree


def _check_document(name: str, policy: Policy) -> None:
    names = [tenant.name for tenant in policy.tenants]
    if name == ROOT:
        if names:
            raise PolicyError(
                ["the root document must not contain tenants; each tenant has its own document"]
            )
        return
    if names not in ([name], []) or has_settings(policy):
        raise PolicyError([f"document {name} may only contain the tenant {name}"])


def _merge(trees: dict[str, Policy]) -> Policy:
    tenants = [tenant for name in sorted(trees) if name != ROOT for tenant in trees[name].tenants]
    return replace(trees.get(ROOT, Policy()), tenants=tenants)
