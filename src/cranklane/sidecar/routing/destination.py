"""One worker behind its sidecar, and what this process knows of it.

Owns the state of one destination: its load as last reported and as counted from here, lack of
capacity, condition, ejection, and whether it is still there. What these lead to is decided
in ``cost`` and ``ejection``.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from cranklane.distribution.member_state import MemberState
from cranklane.runtime.interface import Address
from cranklane.sidecar.request.attempt import Load
from cranklane.sidecar.routing.ejection import Failure, ejection_seconds
from cranklane.sidecar.worker.condition import HEALTHY, Condition
from cranklane.sidecar.worker.slowness import Slowness

SATURATED_SECONDS = 0.02
"""Seconds for which a destination that refused for lack of capacity gets no request of the same
or less importance. Under overload most requests would be sent only to be refused: without it
over 700 of the 1,000 requests of
``test_under_overload_few_requests_are_sent_only_to_be_refused`` were. The value is a choice:
short against a run, so that a slot that is released is soon used."""

UNCONFIRMED_SECONDS = 10.0
"""Seconds for which a destination is kept that control leaves out of a whole list, or reports as
silent; each answer of its own starts them anew. A choice: longer than control takes to start
and hear of everybody, and than the cut that made all others forget six of 18 sidecars that
they could reach."""


@dataclass(slots=True, eq=False)
class Destination:
    """One worker and what this process knows of it. Times are monotonic seconds.

    :ivar reported: requests running or waiting there, by its newest answer.
    :ivar opened_since: requests sent there from here since that answer.
    :ivar in_flight: requests sent there from here without an answer yet.
    :ivar condition: its own sidecar's judgement on the worker, as last received with an answer
        or from control, at ``condition_at``.
    :ivar condition_by_control: the last one that control has passed on.
    :ivar slowness: how the run times seen from here compare with the expected latency.
    :ivar failures: failures in a row.
    :ivar ejected_until: it gets no requests before that, unless all others are ejected too.
    :ivar saturated_until: it is taken to be at capacity until then, for requests of
        ``saturated_priority`` and less important ones.
    :ivar confirmed_at: since when only its own answers confirm that it is there, or the last of
        them; None while control confirms it.
    :ivar removed: whether it is a destination no more.
    """

    node: str
    incarnation: int
    sequence: int
    service: str
    zone: str
    address: Address
    instance: str
    state: MemberState
    slots: int
    reported: int = 0
    opened_since: int = 0
    in_flight: int = 0
    condition: Condition = HEALTHY
    condition_at: float = 0.0
    condition_by_control: Condition = HEALTHY
    slowness: Slowness = field(default_factory=Slowness)
    failures: int = 0
    ejected_until: float = 0.0
    saturated_until: float = 0.0
    saturated_priority: int = 0
    confirmed_at: float | None = None
    removed: bool = False

    # Load.

    def load(self) -> float:
        """Return the estimated requests there for each of its slots."""
        return max(self.in_flight, self.reported + self.opened_since) / max(1, self.slots)

    def opened(self) -> None:
        """Count a request sent there."""
        self.in_flight += 1
        self.opened_since += 1

    def closed(self) -> None:
        """Count a request that has ended."""
        self.in_flight -= 1
        self.opened_since = max(0, self.opened_since - 1)

    def answered(self, now: float, load: Load) -> None:
        """Take an answer of the worker."""
        self.failures = 0
        if self.confirmed_at is not None:
            self.confirmed_at = now
        self.take_load(now, load)

    def take_load(self, now: float, load: Load) -> None:
        """Take the load that its sidecar reports; one without slots says nothing."""
        if load.slots:
            self.take_condition(now, load.condition)
            self.slots = load.slots
            self.reported = load.running + load.queued
            self.opened_since = 0

    def take_condition(self, now: float, condition: Condition) -> None:
        """Take its own sidecar's judgement on the worker."""
        self.condition = condition
        self.condition_at = now

    def take_control_condition(self, now: float, condition: Condition) -> None:
        """Take a judgement from control, unless it is the one that control passed on before."""
        if condition != self.condition_by_control:
            self.condition_by_control = condition
            self.take_condition(now, condition)

    # Lack of capacity.

    def refused_at_capacity(self, now: float, priority: int) -> None:
        """Take that it had no capacity for a request.

        :param priority: of the root request; 0 is the most important.
        """
        known = self.saturated_until > now
        self.saturated_priority = min(self.saturated_priority, priority) if known else priority
        self.saturated_until = now + SATURATED_SECONDS

    def is_saturated(self, now: float, priority: int) -> bool:
        """Return whether it lately had no capacity for requests as important or more."""
        return self.saturated_until > now and priority >= self.saturated_priority

    # Ejection.

    def failed(self, now: float, failure: Failure) -> None:
        """Count a failure, and eject it where the rules say so."""
        self.failures += 1
        seconds = ejection_seconds(failure, self.failures)
        if seconds:
            self.ejected_until = now + seconds

    def reachable(self) -> None:
        """Take that a connection to it has succeeded."""
        self.failures = 0
        self.ejected_until = 0.0

    # Whether it is there.

    def unconfirmed(self, now: float) -> None:
        """Take that control does not confirm any more that it is there."""
        if self.confirmed_at is None:
            self.confirmed_at = now

    def is_expired(self, now: float) -> bool:
        """Return whether nothing has confirmed for too long that it is there."""
        return self.confirmed_at is not None and now - self.confirmed_at > UNCONFIRMED_SECONDS
