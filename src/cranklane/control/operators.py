"""Who may drive the system: operators by their tokens, each with a scope.

Owns the digests of the tokens, as the settings name them; the tokens themselves are not kept.
"""

from __future__ import annotations

from dataclasses import dataclass

from cranklane.common.secret_digest import secret_digest

ALL_TENANTS = "*"
"""Scope of an operator who may see and change every tenant."""

_BEARER = "bearer "


@dataclass(frozen=True)
class Operator:
    """Who drives the system.

    :ivar scope: the one tenant this operator may see and change, or ``ALL_TENANTS``.
    """

    name: str
    scope: str

    def may_use(self, document: str) -> bool:
        """Return whether a document is within the operator's scope."""
        return self.scope in (ALL_TENANTS, document)


class Operators:
    """The operators by their tokens.

    :param lines: ``name:scope:sha256`` for each token.
    """

    def __init__(self, lines: list[str]) -> None:
        self._by_digest: dict[str, Operator] = {}
        for line in lines:
            name, scope, digest = line.split(":")
            self._by_digest[digest] = Operator(name, scope)

    def authenticate(self, credentials: str | None) -> Operator | None:
        """Return whose token an Authorization header carries, or None."""
        if credentials is None or not credentials.lower().startswith(_BEARER):
            return None
        token = credentials[len(_BEARER) :].strip()
        return self._by_digest.get(secret_digest(token.encode()))
