"""Runs a stand-in worker as a process.

Arguments: deployment, service, worker name, worker address, node address.
"""

from __future__ import annotations

import sys

from gevent.event import Event

from cranklane.runtime.interface import parse_address
from cranklane.runtime.real import RealRuntime
from cranklane_lab.deployments import find_deployment
from cranklane_lab.standins.worker import Worker


def main(arguments: list[str]) -> None:
    """Serve until the process is killed."""
    deployment, service, name, address, node = arguments
    plan = find_deployment(deployment).service(service)
    worker = Worker(
        RealRuntime(), name, deployment, plan, parse_address(address), parse_address(node)
    )
    Event().wait()
    worker.server.stop_accepting()


if __name__ == "__main__":
    main(sys.argv[1:])
