"""State of one destination: a worker, reached through its sidecar.

Holds its load, saturation, condition, ejection and membership. The rules that use this state
are in ``cost`` and ``ejection``.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from cranklane.common.units import MILLISECONDS
from cranklane.distribution.member_state import MemberState
from cranklane.outcome import Reason
from cranklane.records.messages import WorkerNotice
from cranklane.runtime.interface import Address
from cranklane.sidecar.capacity.advertisement import NO_ADVERTISEMENT, Advertisement
from cranklane.sidecar.capacity.pace import Pace
from cranklane.sidecar.request.attempt import Load
from cranklane.sidecar.routing.ejection import Failure, ejection_seconds
from cranklane.sidecar.worker.condition import HEALTHY, Condition
from cranklane.sidecar.worker.slowness import Slowness

SATURATED_SECONDS = 0.02
"""Seconds for which a destination gets no requests of equal or later rank after it refused one
for lack of capacity. Shorter than a typical run, so that freed slots are soon used. Without it,
most requests under overload are sent to a gate that refuses them."""

UNCONFIRMED_EXPIRY_SECONDS = 10.0
"""Seconds until a destination expires after control omits it from a full list or reports it as
silent. Each response from it restarts the expiry. Longer than a restarted control process takes to
learn of all members, and than a brief partition between control and reachable sidecars."""


@dataclass(slots=True, eq=False)
class Destination:
    """A worker as seen from this sidecar. Times are monotonic seconds.

    :ivar slots: slots in use, from the last reply or as listed.
    :ivar listed_slots: slots of the worker as listed by control; ``slots`` is lower during a slow
        start of the worker.
    :ivar reported_requests: requests running or queued at the worker, as last reported.
    :ivar sent_since_report: requests in flight that this sidecar sent after that report.
    :ivar in_flight: requests in flight that this sidecar sent.
    :ivar condition: worker condition as judged by the worker's sidecar, received at
        ``condition_at`` with a reply or from control.
    :ivar control_condition: condition last received from control.
    :ivar slowness: ratio of run times observed by this sidecar to the expected latency.
    :ivar consecutive_failures: failures since the last response or successful connection.
    :ivar ejected_until: end of the ejection; an ejected destination gets requests only if all
        candidates are ejected.
    :ivar saturated_until: end of the saturation, which applies to call trees
        of ``saturated_rank`` and later ranks.
    :ivar saturated_reason: reason of the refusal that began the saturation.
    :ivar paused_until: until then, other workers are preferred: this one accepts a limited number
        of requests per second, and the next turn of this sidecar comes then.
    :ivar notice: what the worker was last heard to state of itself; None if nothing.
    :ivar advertised: capacity stated with the last reply, received at ``advertised_at``.
    :ivar pace: relative run time that its sidecar states; None if it never did.
    :ivar confirmed_at: None while control lists the destination; otherwise the time at which
        control stopped listing it, or of the last response after that.
    :ivar removed: True once the destination has been removed from ``Destinations``.
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
    listed_slots: int = 0
    reported_requests: int = 0
    sent_since_report: int = 0
    in_flight: int = 0
    condition: Condition = HEALTHY
    condition_at: float = 0.0
    control_condition: Condition = HEALTHY
    slowness: Slowness = field(default_factory=Slowness)
    consecutive_failures: int = 0
    ejected_until: float = 0.0
    saturated_until: float = 0.0
    saturated_rank: int = 0
    saturated_reason: Reason = Reason.QUEUE_FULL
    paused_until: float = 0.0
    notice: WorkerNotice | None = None
    advertised: Advertisement = NO_ADVERTISEMENT
    advertised_at: float = 0.0
    pace: Pace | None = None
    confirmed_at: float | None = None
    removed: bool = False

    def load(self) -> float:
        """Return the estimated number of requests per slot."""
        return max(self.in_flight, self.reported_requests + self.sent_since_report) / max(
            1, self.slots
        )

    def record_sent(self) -> None:
        """Count a request sent to the destination."""
        self.in_flight += 1
        self.sent_since_report += 1

    def record_finished(self) -> None:
        """Remove a finished request from the counts."""
        self.in_flight -= 1
        self.sent_since_report = max(0, self.sent_since_report - 1)

    def record_answer(self, now: float, load: Load) -> None:
        """Record a response of the worker and the load reported with it."""
        self.consecutive_failures = 0
        if self.confirmed_at is not None:
            self.confirmed_at = now
        self.update_load(now, load)

    def update_load(self, now: float, load: Load) -> None:
        """Set the load and condition reported by the sidecar; ignored if it has no slots."""
        if load.slots:
            self.update_condition(now, load.condition)
            self.slots = load.slots
            self.reported_requests = load.running + load.queued
            self.sent_since_report = 0

    @property
    def in_slow_start(self) -> bool:
        """Whether the last reply states fewer slots than control lists."""
        return self.slots < self.listed_slots

    def set_listed_slots(self, slots: int) -> None:
        """Set the slots that control lists; a repeated value does not replace that of a reply."""
        if slots != self.listed_slots:
            self.slots = self.listed_slots = slots

    def update_condition(self, now: float, condition: Condition) -> None:
        """Set the worker condition as judged by the worker's sidecar."""
        self.condition = condition
        self.condition_at = now

    def update_control_condition(self, now: float, condition: Condition) -> None:
        """Set the condition received from control; a repeated value is ignored.

        A repetition is no new observation, so it must not reset ``condition_at``.
        """
        if condition != self.control_condition:
            self.control_condition = condition
            self.update_condition(now, condition)

    def record_notice(self, now: float, notice: WorkerNotice | None) -> None:
        """Set what the worker states of itself, and the next turn of this sidecar."""
        self.notice = notice
        self.paused_until = now + notice.pause_ms / MILLISECONDS if notice is not None else 0.0
        if notice is not None and notice.leaving:
            self.state = MemberState.DRAINING

    def record_advertisement(self, now: float, advertised: Advertisement) -> None:
        """Set the capacity stated with a reply."""
        self.advertised = advertised
        self.advertised_at = now

    def is_believed_usual(self, now: float) -> bool:
        """Return whether its worker states its relative run time and no slow period is known."""
        return self.pace is not None and self.pace.at(now) <= 1.0

    def set_state(self, state: MemberState) -> None:
        """Set the state that control lists; a worker that stated its departure stays draining."""
        leaving = self.notice is not None and self.notice.leaving
        self.state = MemberState.DRAINING if leaving else state

    def record_capacity_refusal(
        self,
        now: float,
        rank: int,
        reason: Reason = Reason.QUEUE_FULL,
        seconds: float = SATURATED_SECONDS,
    ) -> None:
        """Mark the destination as saturated after it refused a request for lack of capacity.

        :param rank: first rank of call trees that it is saturated for.
        :param reason: reason of the refusal.
        :param seconds: duration of the saturation.
        """
        already_saturated = self.saturated_until > now
        self.saturated_rank = min(self.saturated_rank, rank) if already_saturated else rank
        self.saturated_reason = reason
        self.saturated_until = now + seconds

    def is_saturated(self, now: float, rank: int) -> bool:
        """Return whether it recently refused a request of this or an earlier rank."""
        return self.saturated_until > now and rank >= self.saturated_rank

    def record_failure(self, now: float, failure: Failure) -> None:
        """Count a failure and eject the destination if ``ejection_seconds`` requires it."""
        self.consecutive_failures += 1
        seconds = ejection_seconds(failure, self.consecutive_failures)
        if seconds:
            self.ejected_until = now + seconds

    def mark_reachable(self) -> None:
        """End the ejection after a connection has succeeded."""
        self.consecutive_failures = 0
        self.ejected_until = 0.0

    def mark_unconfirmed(self, now: float) -> None:
        """Start the expiry of a destination that control no longer lists as present."""
        if self.confirmed_at is None:
            self.confirmed_at = now

    def is_expired(self, now: float) -> bool:
        """Return whether neither control nor a response has confirmed it for too long."""
        return (
            self.confirmed_at is not None and now - self.confirmed_at > UNCONFIRMED_EXPIRY_SECONDS
        )
