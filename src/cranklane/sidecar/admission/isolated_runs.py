"""Isolates requests suspected of crashing workers.

A suspected request that its sender retries at once runs like any other. One against which there is
evidence, and one that comes in anew, runs in isolation: with no other such request beside it, and
at one gate, the same for all senders, so that copies of it wait there for what becomes of the
first. A gate that gets it from a sender that does not know has it sent there.

Owns the isolation slot of one worker. What is known of a request is the quarantine's.
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

SEEN_ONCE = 1
"""Suspicion level of a request that ran beside others at one worker that crashed."""

ISOLATION_SLOTS = 1
"""Requests that run in isolation at a worker at a time: a crash then tells which one it was."""


class Treatment(Enum):
    """How a request is run or refused, as far as its past is concerned."""

    RUN = auto()
    """Like any other request."""
    REFUSE = auto()
    """It is quarantined."""
    REDIRECT = auto()
    """The sender is to send it to the gate that isolates it."""
    ISOLATE = auto()
    """It needs the isolation slot."""


def treatment_of(
    state: QuarantineState, suspicion_level: int, is_known_retry: bool, is_sent_here: bool
) -> Treatment:
    """Return how a request is treated.

    :param is_known_retry: whether its sender retries it since its last worker crashed.
    :param is_sent_here: whether its sender chose this gate to isolate it.
    """
    if state is QuarantineState.CLEAR:
        return Treatment.RUN
    if state is QuarantineState.QUARANTINED:
        return Treatment.REFUSE
    is_on_probation = state is QuarantineState.ON_PROBATION
    if is_known_retry and suspicion_level == SEEN_ONCE and not is_on_probation:
        return Treatment.RUN
    return Treatment.ISOLATE if is_sent_here else Treatment.REDIRECT


class SuspectAdmission(NamedTuple):
    """Whether a request may run as far as its past is concerned.

    :ivar reason: why it may not, NONE when it may.
    :ivar suspicion_level: how strongly it is suspected as it begins.
    :ivar isolated: its identity where it has the isolation slot.
    :ivar retry_after_ms: milliseconds until a refused request may come again; 0: not known.
    """

    reason: Reason = Reason.NONE
    suspicion_level: int = 0
    isolated: Identity | None = None
    retry_after_ms: int = 0


_UNSUSPECTED = SuspectAdmission()


class IsolatedRuns:
    """The isolation slot of one worker, and who has it or waits for it.

    :param clock: monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float], quarantine: Quarantine) -> None:
        self._quarantine = quarantine
        self._slot = Slots(clock)
        self._slot.resize(ISOLATION_SLOTS)
        # Those that have the slot or wait for it; set when the run of one has ended.
        self._ended: dict[Identity, Event] = {}

    def admit(self, request: ForwardRequest, on_wait: Callable[[Waiter], None]) -> SuspectAdmission:
        """Let a request run, isolated where it must be; refuse one that is quarantined.

        :param on_wait: given the waiter before a wait for the slot, so that it can be ended.
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
        left_ms = retry_after.quarantined_ms(self._quarantine.seconds_left(identity))
        return SuspectAdmission(Reason.QUARANTINED, retry_after_ms=left_ms)

    def _without_slot(self, identity: Identity) -> SuspectAdmission | None:
        """Return the admission of a request that needs no isolation; None for one that does."""
        state = self._quarantine.state(identity)
        if state is QuarantineState.CLEAR:
            return _UNSUSPECTED
        if state is QuarantineState.QUARANTINED:
            return self._quarantined(identity)
        return None

    def _isolate(
        self, request: ForwardRequest, identity: Identity, on_wait: Callable[[Waiter], None]
    ) -> SuspectAdmission:
        """Take the isolation slot, or wait for what becomes of a copy that came before."""
        wait_seconds = request.start_within_ms / MILLISECONDS
        copy_ended = self._ended.get(identity)
        if copy_ended is not None:
            copy_ended.wait(wait_seconds)
            return self._without_slot(identity) or SuspectAdmission(Reason.RUN_ALONE)
        self._ended[identity] = Event()
        root_age = request.root_age_ms / MILLISECONDS
        reason = self._slot.acquire(request.root_priority, wait_seconds, on_wait, root_age)
        if reason is not Reason.NONE:
            self._end(identity)
            return SuspectAdmission(reason)
        # Another gate may have found out meanwhile.
        admission = self._without_slot(identity)
        if admission is not None:
            self.release(identity, 0.0)
            return admission
        level = self._quarantine.suspicion_level(identity)
        return SuspectAdmission(suspicion_level=level, isolated=identity)

    def begins(self, identity: Identity) -> None:
        """Take that the run of a request that has the isolation slot begins now."""
        if self._quarantine.state(identity) is QuarantineState.ON_PROBATION:
            self._quarantine.probation_run_begins(identity)

    def release(self, identity: Identity, occupied_seconds: float) -> None:
        """Give the isolation slot back, after all is known of the run."""
        self._slot.release(occupied_seconds)
        self._end(identity)

    def _end(self, identity: Identity) -> None:
        ended = self._ended.pop(identity, None)
        if ended is not None:
            ended.set()
