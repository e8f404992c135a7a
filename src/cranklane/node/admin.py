"""The node's own HTTP address for operators: metrics, status and drain."""

from __future__ import annotations

from typing import TYPE_CHECKING

import falcon

if TYPE_CHECKING:
    from cranklane.node.process import NodeProcess


class Admin:
    """The WSGI application; to be bound to an address that only operators reach."""

    def __init__(self, process: NodeProcess) -> None:
        self._process = process
        self.application = falcon.App()
        self.application.add_route("/metrics", self, suffix="metrics")
        self.application.add_route("/status", self, suffix="status")
        self.application.add_route("/drain", self, suffix="drain")

    def on_get_metrics(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return the metrics in the Prometheus text format."""
        response.content_type = "text/plain; version=0.0.4"
        response.data = self._process.metrics.text()

    def on_get_status(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return the node's state as JSON."""
        process = self._process
        admission = process.admission
        response.media = {
            "service": process.full_service,
            "state": process.state().name.lower(),
            "version": process.configuration.version,
            "control_connected": process.subscription.connected,
            "in_flight": admission.in_flight,
            "queued": admission.queued,
            "limit": admission.concurrency.limit,
            "service_time_seconds": round(admission.concurrency.service_time, 4),
            "members": [
                {
                    "node": member.node,
                    "service": service.full_name,
                    "zone": member.zone,
                    "state": member.state.name.lower(),
                    "load": round(member.load(), 3),
                    "failures": member.failures,
                }
                for service in process.configuration.services()
                for member in process.members.of(service.tenant, service.name)
            ],
        }

    def on_post_drain(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Take no new calls for the worker."""
        self._process.drain()
        response.media = {"state": self._process.state().name.lower()}
