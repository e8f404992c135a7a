"""Attempts to run a request at a worker, and the replies to them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from cranklane.common.http1.message import Framing
from cranklane.outcome import Outcome, Reason
from cranklane.records.messages import ForwardRequest, WorkerNotice
from cranklane.sidecar.capacity.advertisement import NO_ADVERTISEMENT, Advertisement
from cranklane.sidecar.request.call_tree import CallFailure
from cranklane.sidecar.request.slot_work import SlotWork
from cranklane.sidecar.request.streamed_answer import StreamedAnswer
from cranklane.sidecar.worker.condition import HEALTHY, Condition

BodyReader = Callable[[], bytes]
"""Returns the next chunk of a request body; empty at its end."""

MAX_BUFFERED_BODY_BYTES = 64 * 1024
"""Maximum size of a body that is buffered for retries; limits the memory per request."""

AT_CAPACITY = (Reason.QUEUE_FULL, Reason.DEADLINE_TOO_NEAR)
"""Reasons of refusals for lack of slots at the worker."""

WITHOUT_CAPACITY = (*AT_CAPACITY, Reason.WORKER_LIMIT)
"""Reasons of refusals for lack of capacity of any kind at the worker."""


class Attempt:
    """An attempt to run a request at one worker.

    :ivar request: the request as sent to the worker's sidecar.
    :ivar rest: reads the remaining chunks of the body; None if ``request`` has all of it.
    :ivar rest_started: whether any of the remaining chunks may have been read.
    :ivar cancelled: whether the caller has disconnected or its body could not be read.
    :ivar body_cut: whether the attempt ended before its body was sent whole.
    """

    __slots__ = ("request", "rest", "rest_started", "cancelled", "body_cut", "_on_cancel")

    def __init__(self, request: ForwardRequest, rest: BodyReader | None = None) -> None:
        self.request = request
        self.rest = rest
        self.rest_started = False
        self.cancelled = False
        self.body_cut = False
        self._on_cancel: Callable[[], None] | None = None

    def read_rest(self) -> bytes:
        """Return the next of the remaining chunks of the body; empty at its end.

        If the body cannot be read, the attempt is cancelled: not the worker, but the caller has
        ended it.
        """
        assert self.rest is not None
        self.rest_started = True
        try:
            return self.rest()
        except Exception:
            self.cancel()
            raise

    def when_cancelled(self, action: Callable[[], None] | None) -> None:
        """Set the action that cancels the current step, or None after the step.

        The action is called immediately if the attempt is already cancelled.
        """
        self._on_cancel = action
        if self.cancelled and action is not None:
            action()

    def cancel(self) -> None:
        """Cancel the attempt."""
        self.cancelled = True
        if self._on_cancel is not None:
            self._on_cancel()


@dataclass(slots=True)
class Load:
    """Load and condition of a worker as reported by its sidecar; no slots if not reported."""

    running: int = 0
    queued: int = 0
    slots: int = 0
    condition: Condition = HEALTHY


@dataclass(slots=True)
class Reply:
    """Outcome of an attempt, with the worker's response if there is one.

    :ivar arrived: whether the request reached a worker.
    :ivar retry_after_ms: delay before a refused request may be retried, or the remaining
        quarantine of a request during which the worker crashed.
    :ivar lines: the response's headers for the caller, without framing headers.
    :ivar body: the body, or its first chunk if ``rest`` is set.
    :ivar waited_ms: time in the queue for a slot.
    :ivar run_time_ms: time from the start of the run to the worker's response.
    :ivar downstream_starved: whether the run failed because a downstream call was refused
        for lack of capacity.
    :ivar failure: the downstream call that made the run fail, if any.
    :ivar downstream_cost: slot time used by the run's calls; None if unknown.
    :ivar rest: the remaining chunks of the body; raises TruncatedAnswerError if truncated.
    :ivar notice: what the worker states of itself; None if nothing.
    :ivar advertised: capacity of the worker as its sidecar states it.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    arrived: bool = False
    status: int = 0
    retry_after_ms: int = 0
    framing: Framing = Framing.LENGTH
    length: int = 0
    lines: bytes = b""
    body: bytes = b""
    rest: StreamedAnswer | None = None
    load: Load = field(default_factory=Load)
    waited_ms: int = 0
    run_time_ms: int = 0
    downstream_starved: bool = False
    failure: CallFailure | None = None
    downstream_cost: SlotWork | None = None
    notice: WorkerNotice | None = None
    advertised: Advertisement = NO_ADVERTISEMENT


def refusal(reason: Reason, arrived: bool = False, retry_after_ms: int = 0) -> Reply:
    """Return a reply with the outcome NOT_RUN."""
    return Reply(Outcome.NOT_RUN, reason, arrived, retry_after_ms=retry_after_ms)


def unknown(reason: Reason) -> Reply:
    """Return a reply with the outcome UNKNOWN: the request may have run."""
    return Reply(Outcome.UNKNOWN, reason, arrived=True)
