"""Authentication and scopes of operators.

Owns the digests of their tokens, from the settings; the tokens themselves are not stored.
"""

from __future__ import annotations

from dataclasses import dataclass

from cranklane.common.secret_digest import secret_digest

ALL_TENANTS = "*"
"""Scope that covers all tenants and the root document."""

_BEARER = "bearer "


@dataclass(frozen=True)
class Operator:
    """An authenticated operator.

    :ivar scope: the tenant that the operator may read and edit, or ``ALL_TENANTS``.
    """

    name: str
    scope: str

    def may_access(self, document: str) -> bool:
        """Return whether a document is within the operator's scope."""
        return self.scope in (ALL_TENANTS, document)


class Operators:
    """Operators by the digests of their tokens.

    :param entries: ``name:scope:sha256`` for each token.
    """

    def __init__(self, entries: list[str]) -> None:
        self._by_digest: dict[str, Operator] = {}
        for entry in entries:
            name, scope, digest = entry.split(":")
            self._by_digest[digest] = Operator(name, scope)

    def authenticate(self, credentials: str | None) -> Operator | None:
        """Return the operator of a bearer token, or None.

        :param credentials: value of the Authorization header.
        """
        if credentials is None or not credentials.lower().startswith(_BEARER):
            return None
        token = credentials[len(_BEARER) :].strip()
        return self._by_digest.get(secret_digest(token.encode()))
