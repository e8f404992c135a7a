"""HTTP endpoint for operators: metrics, status and drain."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import falcon

from cranklane.distribution.member_state import MemberState
from cranklane.node.admission import Admission
from cranklane.node.members import MemberTable, MemberView
from cranklane.node.metrics import NodeMetrics
from cranklane.policy.adopted_policy import AdoptedPolicy


@dataclass(frozen=True)
class AdminView:
    """The parts of a node that operators can inspect or control.

    :ivar service: full name of the worker's service; empty at an edge.
    :ivar state: returns the node's member state.
    :ivar control_connected: returns whether a control process is connected.
    :ivar drain: makes the node refuse new calls for its worker.
    """

    service: str
    configuration: AdoptedPolicy
    admission: Admission
    members: MemberTable
    metrics: NodeMetrics
    state: Callable[[], MemberState]
    control_connected: Callable[[], bool]
    drain: Callable[[], None]


class Admin:
    """WSGI application of the admin endpoint; bind it to an address only operators can reach."""

    def __init__(self, view: AdminView) -> None:
        self._view = view
        self.application = falcon.App()
        self.application.add_route("/metrics", self, suffix="metrics")
        self.application.add_route("/status", self, suffix="status")
        self.application.add_route("/drain", self, suffix="drain")

    def on_get_metrics(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return the metrics in the Prometheus text format."""
        response.content_type = "text/plain; version=0.0.4"
        response.data = self._view.metrics.text()

    def on_get_status(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return the node's state as JSON."""
        view = self._view
        concurrency = view.admission.concurrency
        response.media = {
            "service": view.service,
            "state": self._state_name(),
            "version": view.configuration.version,
            "control_connected": view.control_connected(),
            "in_flight": view.admission.in_flight,
            "queued": view.admission.queued,
            "limit": concurrency.limit,
            "service_time_seconds": round(concurrency.service_time, 4),
            "members": [
                _member_status(member, service.full_name)
                for service in view.configuration.services()
                for member in view.members.of(service.tenant, service.name)
            ],
        }

    def on_post_drain(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Start draining: refuse new calls for the worker."""
        self._view.drain()
        response.media = {"state": self._state_name()}

    def _state_name(self) -> str:
        return self._view.state().name.lower()


def _member_status(member: MemberView, service: str) -> dict[str, Any]:
    return {
        "node": member.node,
        "service": service,
        "zone": member.zone,
        "state": member.state.name.lower(),
        "load": round(member.load(), 3),
        "failures": member.failures,
    }
