"""Tree of a parsed policy: root, tenants, services and routes.

A branch holds only the settings in its own text; :mod:`cranklane.policy.compiler` resolves
inheritance.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, fields
from typing import Generic, TypeVar

from cranklane.outcome import Criticality, Repeat

_Value = TypeVar("_Value")


@dataclass(frozen=True)
class Position:
    """Position in a policy text; lines and columns count from 1."""

    line: int
    column: int


@dataclass(frozen=True)
class Located(Generic[_Value]):
    """A value with its position in the policy text."""

    value: _Value
    position: Position


@dataclass
class Branch:
    """Settings that every branch may set; its children inherit them.

    :ivar deadline_ms: deadline of a root request, in milliseconds.
    :ivar retries: retries that a root request may cause in its call tree.
    :ivar ledger: ledger groups of ``once`` calls.
    """

    criticality: Located[Criticality] | None = None
    repeat: Located[Repeat] | None = None
    deadline_ms: Located[int] | None = None
    retries: Located[int] | None = None
    ledger: Located[tuple[str, ...]] | None = None


@dataclass(frozen=True)
class ServiceName:
    """Full name of a service, unique across tenants."""

    tenant: str
    service: str

    def __str__(self) -> str:
        return f"{self.tenant}.{self.service}"


@dataclass
class Route(Branch):
    """A route of a service."""

    name: str = ""
    method: str = ""
    pattern: str = ""
    position: Position = Position(1, 1)


@dataclass
class Service(Branch):
    """A service with its limits, its downstream services and its permitted callers.

    :ivar slots: maximum number of concurrent calls of a worker.
    :ivar queue: maximum number of calls queued at a node.
    :ivar retry_ratio_permille: permitted retries per 1,000 calls to the service.
    """

    name: str = ""
    position: Position = Position(1, 1)
    slots: Located[int] | None = None
    queue: Located[int] | None = None
    retry_ratio_permille: Located[int] | None = None
    calls: list[Located[ServiceName]] = field(default_factory=list)
    callers: list[Located[ServiceName]] = field(default_factory=list)
    routes: list[Route] = field(default_factory=list)


@dataclass
class Tenant(Branch):
    """A tenant with its services.

    :ivar share: weight relative to other tenants.
    :ivar tokens: SHA-256 digests of its tokens.
    :ivar source: policy text of the tenant.
    """

    name: str = ""
    position: Position = Position(1, 1)
    share: Located[int] | None = None
    tokens: list[str] = field(default_factory=list)
    services: list[Service] = field(default_factory=list)
    source: str = ""


@dataclass
class Policy(Branch):
    """Root of the policy tree.

    :ivar source: policy text without the tenants.
    """

    tenants: list[Tenant] = field(default_factory=list)
    source: str = ""

    def services(self) -> Iterator[tuple[Tenant, Service]]:
        """Yield each service with its tenant, in the order of the text."""
        for tenant in self.tenants:
            for service in tenant.services:
                yield tenant, service


def has_settings(branch: Branch) -> bool:
    """Return whether a branch itself sets any inheritable setting."""
    return any(getattr(branch, setting.name) is not None for setting in fields(Branch))
