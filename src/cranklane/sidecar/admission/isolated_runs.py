"""Decides how a request runs that may be the cause of a worker's end.

A suspect that its sender repeats at once runs like any other request. One that speaks more
against, and one that comes in anew, runs with no other such suspect beside it, and at one
gate, the same for all senders, so that copies of it wait there for what becomes of the first. A
gate that gets it from a sender that does not know has it sent there.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

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
"""Level of a suspect that ran beside others at one worker that ended."""


@dataclass(frozen=True, slots=True)
class SuspectAdmission:
    """Whether a request may run as far as its past is concerned.

    :ivar reason: why it may not, NONE when it may.
    :ivar level: how strongly it is suspected as it begins.
    :ivar isolated: its identity where it has the one place for suspects that run alone.
    """

    reason: Reason = Reason.NONE
    level: int = 0
    isolated: Identity | None = None
    retry_after_ms: int = 0


_UNSUSPECTED = SuspectAdmission()


class IsolatedRuns:
    """The one place at a worker for suspects that run alone."""

    def __init__(self, clock: Callable[[], float], quarantine: Quarantine) -> None:
        self._quarantine = quarantine
        self._slot = Slots(clock)
        self._slot.resize(1)
        # Those that have the place or wait for it; set when the run of one has ended.
        self._ended: dict[Identity, Event] = {}

    def admit(self, request: ForwardRequest, on_wait: Callable[[Waiter], None]) -> SuspectAdmission:
        """Let a request run, alone where it must; refuse one that is held."""
        if self._quarantine.is_empty and not request.suspected:
            return _UNSUSPECTED
        identity = identity_of_request(request)
        if request.suspected:
            self._quarantine.retried(request.service, identity)
        admission = self._without_slot(identity)
        if admission is not None:
            return admission
        level = self._quarantine.suspicion_level(identity)
        on_probation = self._quarantine.state(identity) is QuarantineState.ON_PROBATION
        if request.suspected and level == SEEN_ONCE and not on_probation:
            return SuspectAdmission(level=level)
        if not request.isolated:
            return SuspectAdmission(Reason.SUSPECTED)
        ended = self._ended.get(identity)
        if ended is not None:
            return self._after_copy(request, identity, ended)
        return self._take_slot(request, identity, on_wait)

    def _without_slot(self, identity: Identity) -> SuspectAdmission | None:
        """Return the admission of a request that needs no place; None for one that does."""
        state = self._quarantine.state(identity)
        if state is QuarantineState.CLEAR:
            return _UNSUSPECTED
        if state is QuarantineState.QUARANTINED:
            left_ms = retry_after.quarantined_ms(self._quarantine.seconds_left(identity))
            return SuspectAdmission(Reason.QUARANTINED, retry_after_ms=left_ms)
        return None

    def _after_copy(
        self, request: ForwardRequest, identity: Identity, ended: Event
    ) -> SuspectAdmission:
        """Wait for what becomes of a copy of a request that was here before it."""
        ended.wait(request.start_within_ms / MILLISECONDS)
        return self._without_slot(identity) or SuspectAdmission(Reason.RUN_ALONE)

    def _take_slot(
        self, request: ForwardRequest, identity: Identity, on_wait: Callable[[Waiter], None]
    ) -> SuspectAdmission:
        self._ended[identity] = Event()
        reason = self._slot.acquire(
            request.root_priority,
            request.start_within_ms / MILLISECONDS,
            on_wait,
            request.root_age_ms / MILLISECONDS,
        )
        if reason is not Reason.NONE:
            self._end(identity)
            return SuspectAdmission(reason)
        admission = self._without_slot(identity)
        if admission is not None:
            # Another gate has found out meanwhile.
            self.release(identity, 0.0)
            return admission
        return SuspectAdmission(level=self._quarantine.suspicion_level(identity), isolated=identity)

    def begins(self, identity: Identity) -> None:
        """Take that the run of a suspect that has the place begins now."""
        if self._quarantine.state(identity) is QuarantineState.ON_PROBATION:
            self._quarantine.probation_run_begins(identity)

    def release(self, identity: Identity, held_seconds: float) -> None:
        """Give the place back, after all is known of the run."""
        self._slot.release(held_seconds)
        self._end(identity)

    def _end(self, identity: Identity) -> None:
        ended = self._ended.pop(identity, None)
        if ended is not None:
            ended.set()
