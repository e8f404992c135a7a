"""The service of a node's worker, as the configuration in force describes it.

Owns nothing; each answer is read from the configuration of that moment.
"""

from __future__ import annotations

from collections.abc import Sequence

from cranklane.outcome import Reason
from cranklane.policy.adopted_policy import AdoptedPolicy, Route, Service
from cranklane.records.messages import CallOpen


class OwnService:
    """Answers for one service from whatever configuration is in force.

    :param full_name: ``tenant.service``.
    """

    def __init__(self, full_name: str, configuration: AdoptedPolicy) -> None:
        self._full_name = full_name
        self._configuration = configuration

    def _service(self) -> Service | None:
        tenant, _, name = self._full_name.partition(".")
        return self._configuration.service(tenant, name)

    def misdirected(self, call: CallOpen) -> Reason | None:
        """Return why a call does not belong here, or None."""
        service = self._service()
        if service is None or call.service != self._full_name:
            return Reason.UNKNOWN_ROUTE
        if call.caller not in service.callers:
            return Reason.NOT_GRANTED
        return None

    def route(self, call: CallOpen) -> Route | None:
        """Return the route of a call, or None when the configuration has none for it."""
        service = self._service()
        return service.route(call.method, call.path.partition("?")[0]) if service else None

    @property
    def ledgers(self) -> Sequence[str]:
        """Ledger groups of the service's once-calls."""
        service = self._service()
        return service.ledgers if service else ()
