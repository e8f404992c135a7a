"""The tree a policy text is read into: root, tenants, services and routes.

Each branch holds only what its own text sets; :mod:`cranklane.policy.compiler`
works out what is inherited.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, fields
from typing import Generic, TypeVar

from cranklane.outcome import Criticality, Repeat

_Value = TypeVar("_Value")


@dataclass(frozen=True)
class Position:
    """Where something stands in a text; both count from 1."""

    line: int
    column: int


@dataclass(frozen=True)
class Stated(Generic[_Value]):
    """A value that a text states, and where."""

    value: _Value
    position: Position


@dataclass
class Branch:
    """Settings that any branch may set and its children inherit.

    :ivar deadline_ms: time a root request has, in milliseconds.
    :ivar retries: retries that one root request may cause in its whole tree.
    :ivar ledger: ledger groups that once-calls are spread over.
    """

    criticality: Stated[Criticality] | None = None
    repeat: Stated[Repeat] | None = None
    deadline_ms: Stated[int] | None = None
    retries: Stated[int] | None = None
    ledger: Stated[tuple[str, ...]] | None = None


@dataclass(frozen=True)
class ServiceName:
    """A service's full name; names of tenants never collide."""

    tenant: str
    service: str

    def __str__(self) -> str:
        return f"{self.tenant}.{self.service}"


@dataclass
class Route(Branch):
    """One route of a service."""

    name: str = ""
    method: str = ""
    pattern: str = ""
    position: Position = Position(1, 1)


@dataclass
class Service(Branch):
    """A service, the services it calls, and those whose calls it accepts.

    :ivar slots: calls one worker runs at once.
    :ivar queue: calls one node lets wait.
    :ivar retry_ratio_permille: retries allowed per 1,000 calls to this service.
    """

    name: str = ""
    position: Position = Position(1, 1)
    slots: Stated[int] | None = None
    queue: Stated[int] | None = None
    retry_ratio_permille: Stated[int] | None = None
    calls: list[Stated[ServiceName]] = field(default_factory=list)
    callers: list[Stated[ServiceName]] = field(default_factory=list)
    routes: list[Route] = field(default_factory=list)


@dataclass
class Tenant(Branch):
    """A tenant, its weight against other tenants, and its hashed tokens."""

    name: str = ""
    position: Position = Position(1, 1)
    share: Stated[int] | None = None
    tokens: list[str] = field(default_factory=list)
    services: list[Service] = field(default_factory=list)
    source: str = ""


@dataclass
class Policy(Branch):
    """The root of the tree.

    :ivar source: the root's own text, without its tenants.
    """

    tenants: list[Tenant] = field(default_factory=list)
    source: str = ""

    def services(self) -> Iterator[tuple[Tenant, Service]]:
        """Yield every service with its tenant, in the text's order."""
        for tenant in self.tenants:
            for service in tenant.services:
                yield tenant, service


def states_anything(branch: Branch) -> bool:
    """Return whether a branch sets anything itself, tenants and services aside."""
    return any(getattr(branch, item.name) is not None for item in fields(Branch))
