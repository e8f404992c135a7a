"""Isolates requests suspected of crashing workers.

The sender's immediate retry after a first crash runs normally. Any other suspected request runs in
isolation: at most one per worker, at a single gate that all senders choose alike, so that copies
of the request wait there for the result of the first. Other gates redirect the request to it.

This module manages the isolation slot of one worker; the quarantine table holds the suspicions.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

from gevent.event import Event

from cranklane.common.units import MILLISECONDS
from cranklane.outcome import Reason
from cranklane.records.messages import ForwardRequest
from cranklane.sidecar.admission import retry_after
from cranklane.sidecar.admission.slots import Slots, Waiter
from cranklane.sidecar.quarantine.rules import QuarantineState
from cranklane.sidecar.quarantine.table import Quarantine
from cranklane.sidecar.request.identity import Identity
from cranklane.sidecar.worker.exit import identity_of_request

INITIAL_SUSPICION_LEVEL = 1
"""Suspicion level of a request that was in flight during a single crash."""

ISOLATION_SLOTS = 1
"""Concurrent isolated runs per worker; with one, a crash identifies the request."""


class Treatment(Enum):
    """How a gate handles a request, based on its quarantine state."""

    RUN = auto()
    """Run without isolation."""
    REFUSE = auto()
    """Refuse as quarantined."""
    REDIRECT = auto()
    """Refuse, so that the sender retries at the gate that isolates the request."""
    ISOLATE = auto()
    """Run in the isolation slot."""


def treatment_of(
    state: QuarantineState, suspicion_level: int, is_known_retry: bool, is_isolation_gate: bool
) -> Treatment:
    """Return how to handle a request.

    :param is_known_retry: whether its sender retries it after a worker crash.
    :param is_isolation_gate: whether its sender chose this gate to isolate it.
    """
    if state is QuarantineState.CLEAR:
        return Treatment.RUN
    if state is QuarantineState.QUARANTINED:
        return Treatment.REFUSE
    is_on_probation = state is QuarantineState.ON_PROBATION
    if is_known_retry and suspicion_level == INITIAL_SUSPICION_LEVEL and not is_on_probation:
        return Treatment.RUN
    return Treatment.ISOLATE if is_isolation_gate else Treatment.REDIRECT


class SuspectAdmission(NamedTuple):
    """Admission decision based on a request's quarantine state.

    :ivar reason: reason for a refusal; NONE if the request may run.
    :ivar suspicion_level: its suspicion level at the start of the run.
    :ivar isolated: its identity if it holds the isolation slot.
    :ivar retry_after_ms: delay before a retry of a refused request, in milliseconds; 0 if unknown.
    """

    reason: Reason = Reason.NONE
    suspicion_level: int = 0
    isolated: Identity | None = None
    retry_after_ms: int = 0


_UNSUSPECTED = SuspectAdmission()


class IsolatedRuns:
    """The isolation slot of one worker, with its holder and queue.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float], quarantine: Quarantine) -> None:
        self._quarantine = quarantine
        self._slot = Slots(clock)
        self._slot.resize(ISOLATION_SLOTS)
        # By request that holds or awaits the slot; set at the end of its run.
        self._run_ended: dict[Identity, Event] = {}

    def admit(self, request: ForwardRequest, on_wait: Callable[[Waiter], None]) -> SuspectAdmission:
        """Decide on a request, acquiring the isolation slot if the request needs it.

        :param on_wait: receives the waiter before a wait for the slot, for cancellation.
        """
        if self._quarantine.is_empty and not request.suspected:
            return _UNSUSPECTED
        identity = identity_of_request(request)
        if request.suspected:
            self._quarantine.retried(request.service, identity)
        state = self._quarantine.state(identity)
        level = self._quarantine.suspicion_level(identity)
        treatment = treatment_of(state, level, request.suspected, request.isolated)
        match treatment:
            case Treatment.RUN:
                return SuspectAdmission(suspicion_level=level)
            case Treatment.REFUSE:
                return self._quarantined(identity)
            case Treatment.REDIRECT:
                return SuspectAdmission(Reason.SUSPECTED)
            case Treatment.ISOLATE:
                return self._isolate(request, identity, on_wait)

    def _quarantined(self, identity: Identity) -> SuspectAdmission:
        remaining_ms = retry_after.quarantined_ms(self._quarantine.seconds_left(identity))
        return SuspectAdmission(Reason.QUARANTINED, retry_after_ms=remaining_ms)

    def _admission_without_isolation(self, identity: Identity) -> SuspectAdmission | None:
        """Return the decision for a clear or quarantined request; None if it needs isolation."""
        state = self._quarantine.state(identity)
        if state is QuarantineState.CLEAR:
            return _UNSUSPECTED
        if state is QuarantineState.QUARANTINED:
            return self._quarantined(identity)
        return None

    def _isolate(
        self, request: ForwardRequest, identity: Identity, on_wait: Callable[[Waiter], None]
    ) -> SuspectAdmission:
        """Acquire the isolation slot, or wait for the result of an earlier copy."""
        wait_seconds = request.start_within_ms / MILLISECONDS
        copy_ended = self._run_ended.get(identity)
        if copy_ended is not None:
            copy_ended.wait(wait_seconds)
            return self._admission_without_isolation(identity) or SuspectAdmission(Reason.RUN_ALONE)
        self._run_ended[identity] = Event()
        root_age = request.root_age_ms / MILLISECONDS
        reason = self._slot.acquire(request.root_priority, wait_seconds, on_wait, root_age)
        if reason is not Reason.NONE:
            self._signal_run_ended(identity)
            return SuspectAdmission(reason)
        # Another gate may have cleared or quarantined the request during the wait.
        admission = self._admission_without_isolation(identity)
        if admission is not None:
            self.release(identity, 0.0)
            return admission
        level = self._quarantine.suspicion_level(identity)
        return SuspectAdmission(suspicion_level=level, isolated=identity)

    def run_started(self, identity: Identity) -> None:
        """Record the start of an isolated run; extend the quarantine of one on probation."""
        if self._quarantine.state(identity) is QuarantineState.ON_PROBATION:
            self._quarantine.probation_run_begins(identity)

    def release(self, identity: Identity, occupied_seconds: float) -> None:
        """Release the isolation slot and wake the waiting copies.

        The caller must record the run's result before it yields to other greenlets, because the
        copies read it when they resume.
        """
        self._slot.release(occupied_seconds)
        self._signal_run_ended(identity)

    def _signal_run_ended(self, identity: Identity) -> None:
        ended = self._run_ended.pop(identity, None)
        if ended is not None:
            ended.set()
