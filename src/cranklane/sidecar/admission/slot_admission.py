"""Gives the worker's slots to requests in the order of their call trees.

For saturated workers and workers in a slow period: a call without a slot is reported to the
admission level, and a request whose caller did not know of a slow period is handed back.
"""

from __future__ import annotations

from collections.abc import Callable

from cranklane.common.units import MILLISECONDS
from cranklane.outcome import Reason
from cranklane.records.messages import ForwardRequest
from cranklane.sidecar.admission.slots import Slots, Waiter
from cranklane.sidecar.capacity.worker_capacity import WorkerCapacity
from cranklane.sidecar.request.attempt import WITHOUT_CAPACITY
from cranklane.sidecar.request.tree_ticket import rank_in_class, unpack_ticket
from cranklane.sidecar.tree_admission.level import AdmissionLevel


class SlotAdmission:
    """Acquires slots for requests.

    :param clock: returns monotonic seconds.
    :param on_level: called when the admission level begins or ends to be stated, or has changed.
    :ivar level: admission level of the worker.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        slots: Slots,
        capacity: WorkerCapacity,
        on_level: Callable[[int], None],
    ) -> None:
        self._clock = clock
        self._slots = slots
        self._capacity = capacity
        self.level = AdmissionLevel(clock, slots.starts_per_second, slots.idle_fraction, on_level)

    def is_handed_back(self, request: ForwardRequest) -> bool:
        """Return whether a request goes elsewhere because the worker is in a slow period."""
        return request.hand_back and self._capacity.is_better_elsewhere(request.expected_latency_us)

    def acquire(self, request: ForwardRequest, on_wait: Callable[[Waiter], None]) -> Reason:
        """Acquire a slot; return NONE, or the reason for the refusal.

        :param on_wait: receives the waiter before the wait, for cancellation.
        """
        reason = self._acquire_in_order(request, on_wait)
        if reason is Reason.NONE and self.is_handed_back(request):
            # The slow period began while the request waited.
            self._slots.release(self._slots.slot_seconds)
            return Reason.SLOW_PERIOD
        return reason

    def _acquire_in_order(
        self, request: ForwardRequest, on_wait: Callable[[Waiter], None]
    ) -> Reason:
        wait_seconds = request.start_within_ms / MILLISECONDS
        root_age = request.root_age_ms / MILLISECONDS
        if not request.tree:
            return self._slots.acquire(request.root_priority, wait_seconds, on_wait, root_age)
        rank = rank_in_class(unpack_ticket(request.tree), request.root_priority)
        tree_order = self.level.arrived(rank, root_age)
        arrived_at = self._clock()
        reason = self._slots.acquire(
            request.root_priority, wait_seconds, on_wait, root_age, tree_order
        )
        self.level.decided(reason in WITHOUT_CAPACITY, self._clock() - arrived_at, wait_seconds)
        return reason
