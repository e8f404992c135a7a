"""Behaviour, faults and counters of a stand-in worker behind a sidecar."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass
class RoutedRun:
    """A request that the worker started to run.

    :ivar request: request id.
    :ivar at: monotonic second at which it started.
    :ivar work_time_factor: the worker's factor on work times at the start.
    :ivar answered_early: whether it was answered before its body was read; ``body`` is empty then.
    """

    request: str
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    at: float
    work_time_factor: float = 1.0
    cancelled: bool = False
    answered_early: bool = False

    def value(self, name: bytes) -> bytes:
        """Return the first value of a header; empty if it is missing."""
        return next((v for n, v in self.headers if n.lower() == name.lower()), b"")


@dataclass(frozen=True)
class LateBody:
    """A body that the worker read after it had answered the request.

    :ivar data: the bytes received up to the end of the body or of the connection.
    :ivar malformed: whether the bytes do not have the framing that the request announced.
    """

    request: str
    target: bytes
    data: bytes
    malformed: bool


@dataclass
class RoutedWorkerState:
    """The behaviour, faults and counters of a worker.

    Faults are numbers of requests still to be affected.

    :ivar seconds: work time of a request.
    :ivar status: HTTP status of a response.
    :ivar lose_answers: fault: run the request, then close the connection.
    :ivar cut_answers: fault: break off the response in the middle of its body.
    :ivar surplus_answers: fault: send an extra response after the right one.
    :ivar late_answers: fault: send a response to another request before the right one.
    :ivar garbage_answers: fault: send bytes that aren't HTTP.
    :ivar unframed_answers: fault: send a response without length and close the connection.
    :ivar unmarked_answers: fault: send a response without the integrity header.
    :ivar refuse: fault: refuse the request as not run.
    :ivar surplus_refusals: fault: send an extra response, without a request id, after a refusal.
    :ivar refuse_unread: fault: refuse the request as not run before its body is read.
    :ivar refuse_early: fault: refuse a request with a body as not run, then read the body.
    :ivar answer_early: fault: answer a request with a body 200, then read the body.
    :ivar early_answer_delay: seconds from the head of a request to its early answer.
    :ivar late_read_pause: seconds between an early answer and the first read of the body.
    :ivar late_bodies: bodies read after an early answer.
    :ivar keeps_late_bodies: whether they are kept.
    :ivar on_late_body: called with each of them.
    :ivar invalid_statuses: fault: texts in place of the statuses of the next answers to runs.
    :ivar raw_answer: returns the bytes that answer a request in place of a proper response, from
        the request's id; None for proper responses.
    :ivar reads_body: whether it reads the bodies of requests.
    :ivar fail: fault: run the request and respond with 500.
    :ivar endless_answers: fault: send ``endless_part`` without end, until the caller closes.
    :ivar endless_part: ``head``, ``interim``, ``body`` or ``refusal``.
    :ivar endless_pause: seconds between the pieces of an endless response.
    :ivar run_time_percent: fourth field of the load header; empty for none.
    :ivar states_load: whether its answers have the load header also without that field.
    :ivar health_is_wrong: fault: the health check states the opposite of the truth.
    :ivar cold_until: monotonic second up to which its heartbeats state that it is slow.
    :ivar body: body of a response.
    :ivar echoes: whether a response body names its request instead.
    :ivar work: runs a request and returns its status; replaces ``seconds`` and ``status``.
    :ivar work_time_factor: factor on the work time, also of requests in flight; ``work`` has to
        apply it itself.
    :ivar shed_fraction: fraction of requests to refuse as not run.
    :ivar crash_mark: mark in the target of requests that crash the worker; empty for none.
    :ivar on_crash: called with a run that crashes the worker.
    :ivar rate_limit: text of the limit that its answers state; empty for none.
    :ivar leaving: whether its answers state that it is leaving.
    :ivar states_in_health: whether answers to health checks state the same.
    :ivar on_notice: called before each answer with the limit that it states, if any.
    :ivar on_arrival: called with the id of each request as its head arrives, and whether it is
        meant for another instance.
    :ivar on_run: called with each run as it starts.
    :ivar arrivals: number of received requests.
    :ivar connections: number of accepted connections.
    :ivar running: number of requests in flight.
    :ivar most_running: maximum of ``running`` so far.
    :ivar runs: all started runs.
    """

    seconds: float = 0.02
    status: int = 200
    lose_answers: int = 0
    cut_answers: int = 0
    surplus_answers: int = 0
    late_answers: int = 0
    garbage_answers: int = 0
    unframed_answers: int = 0
    unmarked_answers: int = 0
    refuse: int = 0
    surplus_refusals: int = 0
    refuse_unread: int = 0
    refuse_early: int = 0
    answer_early: int = 0
    early_answer_delay: float = 0.0
    late_read_pause: float = 0.0
    late_bodies: list[LateBody] = field(default_factory=list)
    keeps_late_bodies: bool = True
    on_late_body: Callable[[LateBody], None] | None = None
    reads_body: bool = True
    fail: int = 0
    endless_answers: int = 0
    endless_part: str = "head"
    endless_pause: float = 0.001
    run_time_percent: bytes = b""
    states_load: bool = False
    health_is_wrong: bool = False
    cold_until: float = 0.0
    body: bytes = b"answer"
    echoes: bool = False
    work: Callable[[RoutedRun], int] | None = None
    invalid_statuses: list[bytes] = field(default_factory=list)
    raw_answer: Callable[[bytes], bytes] | None = None
    work_time_factor: float = 1.0
    shed_fraction: float = 0.0
    crash_mark: bytes = b""
    on_crash: Callable[[RoutedRun], None] | None = None
    rate_limit: bytes = b""
    leaving: bool = False
    states_in_health: bool = False
    on_notice: Callable[[float | None], None] | None = None
    on_arrival: Callable[[str, bool], None] | None = None
    on_run: Callable[[RoutedRun], None] | None = None
    arrivals: int = 0
    connections: int = 0
    running: int = 0
    most_running: int = 0
    runs: list[RoutedRun] = field(default_factory=list)

    def consume_fault(self, fault: str) -> bool:
        """Return whether a fault applies to this request, and decrement its counter."""
        count = getattr(self, fault)
        if count:
            setattr(self, fault, count - 1)
        return count > 0
