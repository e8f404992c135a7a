"""Updates the load, slowness, state and failures of a destination from each reply.

Keeps the expected latency of each route at each service and probes unreachable destinations. The
ejection rules are in ``ejection``.
"""

from __future__ import annotations

import math

import gevent

from cranklane.common.run_times import RunTimes
from cranklane.common.units import MILLISECONDS
from cranklane.distribution.member_state import MemberState
from cranklane.outcome import Outcome, Reason
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.admission.run_outcome import measures_latency
from cranklane.sidecar.capacity.advertisement import MAX_ADMISSION_LEVEL
from cranklane.sidecar.capacity.destination_pace import DestinationPaces, usual_run_time
from cranklane.sidecar.request.attempt import Reply
from cranklane.sidecar.request.call import Call
from cranklane.sidecar.request.tree_ticket import rank_of_priority
from cranklane.sidecar.routing.destination import Destination
from cranklane.sidecar.routing.destinations import Destinations
from cranklane.sidecar.routing.ejection import PROBE_INTERVAL_SECONDS, Failure, failure_of
from cranklane.sidecar.routing.peer_client import PeerClient
from cranklane.sidecar.worker.slowness import TOLERATED_SLOWNESS, ExpectedLatencies


class DestinationFeedback:
    """Updates destinations from the replies to attempts.

    :param run_times: learns the times of attempts whose response was complete.
    :ivar latencies: expected latency of each route at each service over all workers.
    """

    def __init__(
        self,
        runtime: Runtime,
        destinations: Destinations,
        peers: PeerClient,
        run_times: RunTimes,
    ) -> None:
        self._runtime = runtime
        self._destinations = destinations
        self._peers = peers
        self._run_times = run_times
        self.latencies = ExpectedLatencies()
        self._paces = DestinationPaces()

    def record_reply(
        self, call: Call, destination: Destination, reply: Reply, seconds: float
    ) -> None:
        """Update the destination of an attempt from the reply.

        :param seconds: duration of the attempt.
        """
        now = self._runtime.monotonic()
        if reply.notice is not None or reply.outcome is Outcome.ANSWERED:
            self._destinations.record_notice(destination, reply.notice)
        if reply.load.slots:
            destination.record_advertisement(now, reply.advertised)
            destination.pace = self._paces.record(
                destination.service, destination.pace, now, reply.advertised
            )
        if reply.arrived and measures_latency(reply):
            if reply.rest is None:
                # The ingress records streamed responses once they are complete.
                self._run_times.record(call.run_key, seconds)
            run_time = reply.run_time_ms / MILLISECONDS or seconds
            usual = usual_run_time(run_time, reply.advertised)
            if usual is not None:
                ratio = self.latencies.ratio(call.run_key, usual)
                takes_full_load = reply.load.slots >= destination.listed_slots
                if takes_full_load or ratio <= TOLERATED_SLOWNESS:
                    destination.slowness.sample(now, ratio)
        if reply.outcome is Outcome.ANSWERED:
            destination.record_answer(now, reply.load)
            return
        destination.update_load(now, reply.load)
        if reply.reason is Reason.QUEUE_FULL:
            destination.record_capacity_refusal(now, _saturated_rank(call, reply))
        if reply.reason is Reason.WORKER_LIMIT:
            seconds = reply.retry_after_ms / MILLISECONDS
            rank = _saturated_rank(call, reply)
            destination.record_capacity_refusal(now, rank, reply.reason, seconds)
        if reply.reason is Reason.DRAINING:
            # The reply comes before control's update.
            destination.state = MemberState.DRAINING
        failure = failure_of(reply.outcome, reply.reason)
        if failure is Failure.SIDECAR_UNREACHABLE:
            self._eject_until_reached(destination, now)
        elif failure is not Failure.NONE:
            destination.record_failure(now, failure)

    def _eject_until_reached(self, destination: Destination, now: float) -> None:
        """Eject a destination until a connection succeeds, and start probing it."""
        is_ejected = destination.ejected_until > now
        destination.record_failure(now, Failure.SIDECAR_UNREACHABLE)
        if not is_ejected:
            destination.ejected_until = math.inf
            self._peers.forget(destination.address)
            self._runtime.spawn_restarting(self._probe, destination)

    def _probe(self, destination: Destination) -> None:
        """Probe a destination until a connection succeeds or the destination is removed."""
        while not destination.removed:
            gevent.sleep(PROBE_INTERVAL_SECONDS)
            self._destinations.drop_expired()
            if self._peers.can_connect(destination.address):
                destination.mark_reachable()
                return


def _saturated_rank(call: Call, reply: Reply) -> int:
    """Return the first rank for which a refusal shows a saturated worker.

    Trees of one priority are ordered by rank only while the worker states a level.
    """
    if reply.advertised.admission_level < MAX_ADMISSION_LEVEL:
        return call.root.rank
    return rank_of_priority(call.root.priority)
