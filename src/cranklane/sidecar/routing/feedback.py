"""Takes from each reply what it says of its destination: load, run time, state, failures.

Owns the expected latency of each route and the tasks that probe unreachable destinations. The
rules of ejection stand in ``ejection``.
"""

from __future__ import annotations

import math

import gevent

from cranklane.common.units import MILLISECONDS
from cranklane.distribution.member_state import MemberState
from cranklane.outcome import Outcome, Reason
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.admission.run_outcome import measures_latency
from cranklane.sidecar.request.attempt import Reply
from cranklane.sidecar.request.call import Call
from cranklane.sidecar.routing.destination import Destination
from cranklane.sidecar.routing.destinations import Destinations
from cranklane.sidecar.routing.ejection import PROBE_SECONDS, Failure, failure_of
from cranklane.sidecar.routing.peer_client import PeerClient
from cranklane.sidecar.worker.slowness import ExpectedLatencies


class DestinationFeedback:
    """Keeps destinations current by the replies of attempts.

    :ivar latencies: the expected latency of each route over all workers.
    """

    def __init__(self, runtime: Runtime, destinations: Destinations, peers: PeerClient) -> None:
        self._runtime = runtime
        self._destinations = destinations
        self._peers = peers
        self.latencies = ExpectedLatencies()

    def take(self, call: Call, destination: Destination, reply: Reply, seconds: float) -> None:
        """Take the reply to an attempt.

        :param seconds: that the attempt took.
        """
        now = self._runtime.monotonic()
        if reply.arrived and measures_latency(reply):
            run_time = reply.run_time_ms / MILLISECONDS or seconds
            ratio = self.latencies.ratio(call.route.name, run_time)
            destination.slowness.sample(now, ratio)
        if reply.outcome is Outcome.ANSWERED:
            destination.answered(now, reply.load)
            return
        destination.take_load(now, reply.load)
        if reply.reason is Reason.QUEUE_FULL:
            destination.refused_at_capacity(now, call.root.priority)
        if reply.reason is Reason.DRAINING:
            # Its own sidecar knows first; control's update comes later.
            destination.state = MemberState.DRAINING
        failure = failure_of(reply.outcome, reply.reason)
        if failure is Failure.SIDECAR_UNREACHABLE:
            self._eject_until_reached(destination, now)
        elif failure is not Failure.NONE:
            destination.failed(now, failure)

    def _eject_until_reached(self, destination: Destination, now: float) -> None:
        """Send nothing there until a connection has succeeded."""
        is_ejected = destination.ejected_until > now
        destination.failed(now, Failure.SIDECAR_UNREACHABLE)
        if not is_ejected:
            destination.ejected_until = math.inf
            self._peers.forget(destination.address)
            self._runtime.spawn(self._probe, destination)

    def _probe(self, destination: Destination) -> None:
        """Try to connect until it succeeds or the destination is removed."""
        while not destination.removed:
            gevent.sleep(PROBE_SECONDS)
            self._destinations.drop_expired()
            if self._peers.reaches(destination.address):
                destination.reachable()
                return
