"""Configuration of the service that a node's worker belongs to."""

from __future__ import annotations

from collections.abc import Sequence

from cranklane.outcome import Reason
from cranklane.policy.adopted_policy import AdoptedPolicy, Route, Service
from cranklane.records.messages import CallOpen


class WorkerService:
    """Looks up one service in the active configuration.

    :param full_name: ``tenant.service``.
    """

    def __init__(self, full_name: str, configuration: AdoptedPolicy) -> None:
        self._full_name = full_name
        self._configuration = configuration

    def _service(self) -> Service | None:
        tenant, _, name = self._full_name.partition(".")
        return self._configuration.service(tenant, name)

    def rejection_reason(self, call: CallOpen) -> Reason | None:
        """Return the reason to reject a misdirected or forbidden call, or None."""
        service = self._service()
        if service is None or call.service != self._full_name:
            return Reason.UNKNOWN_ROUTE
        if call.caller not in service.callers:
            return Reason.NOT_GRANTED
        return None

    def route(self, call: CallOpen) -> Route | None:
        """Return the route of a call, or None if the configuration has none."""
        service = self._service()
        return service.route(call.method, call.path.partition("?")[0]) if service else None

    @property
    def ledgers(self) -> Sequence[str]:
        """Names of the ledger groups for the service's once-calls."""
        service = self._service()
        return service.ledgers if service else ()
