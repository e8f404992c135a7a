"""One attempt to have a worker run a request, and its outcome."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from cranklane.common.http1.message import Framing
from cranklane.outcome import Outcome, Reason
from cranklane.records.messages import ForwardRequest
from cranklane.sidecar.request.call_tree import CallFailure
from cranklane.sidecar.request.slot_work import SlotWork
from cranklane.sidecar.worker.condition import HEALTHY, Condition

BodyReader = Callable[[], bytes]
"""Returns the next piece of a request's body, nothing at its end."""

SMALL_BODY_BYTES = 64 * 1024
"""Bytes up to which a body is kept whole, so that it can be sent again. A choice: it bounds the
memory of a request under way."""

AT_CAPACITY = (Reason.QUEUE_FULL, Reason.DEADLINE_TOO_NEAR)
"""Why a sidecar refuses a request for lack of capacity at its worker."""


class Attempt:
    """A request on its way to one worker.

    :ivar request: what is asked.
    :ivar rest: reads what of the body has not been read yet; None when it is whole.
    :ivar cancelled: whether the caller has disconnected.
    """

    __slots__ = ("request", "rest", "cancelled", "_on_cancel")

    def __init__(self, request: ForwardRequest, rest: BodyReader | None = None) -> None:
        self.request = request
        self.rest = rest
        self.cancelled = False
        self._on_cancel: Callable[[], None] | None = None

    def when_cancelled(self, action: Callable[[], None] | None) -> None:
        """Set what cancels the present step; None when the step has ended.

        The action is called at once when the attempt is cancelled already.
        """
        self._on_cancel = action
        if self.cancelled and action is not None:
            action()

    def cancel(self) -> None:
        """End the attempt: its caller has disconnected."""
        self.cancelled = True
        if self._on_cancel is not None:
            self._on_cancel()


@dataclass(slots=True)
class Load:
    """Load and condition of a worker by its own sidecar's count."""

    running: int = 0
    queued: int = 0
    slots: int = 0
    condition: Condition = HEALTHY


@dataclass(slots=True)
class Reply:
    """What became of an attempt.

    :ivar arrived: whether the request reached a worker.
    :ivar retry_after_ms: when a refused request may come again; for how long a request is
        quarantined under which the worker crashed.
    :ivar lines: the answer's headers as they go to the caller, without framing.
    :ivar body: the body, or its first piece when ``rest`` is there.
    :ivar waited_ms: time it waited for a slot of the worker.
    :ivar run_time_ms: time until the worker had answered.
    :ivar downstream_starved: whether the run failed because a call below it found no
        capacity.
    :ivar failure: the call that failed, where the run failed because of one.
    :ivar downstream_cost: slot time of the run's calls; None: nothing is known.
    :ivar rest: the further pieces; raises AnswerCutError when they end too early.
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
    rest: Iterator[bytes] | None = None
    load: Load = field(default_factory=Load)
    waited_ms: int = 0
    run_time_ms: int = 0
    downstream_starved: bool = False
    failure: CallFailure | None = None
    downstream_cost: SlotWork | None = None


def refusal(reason: Reason, arrived: bool = False, retry_after_ms: int = 0) -> Reply:
    """Return the reply that says that the request has not run."""
    return Reply(Outcome.NOT_RUN, reason, arrived, retry_after_ms=retry_after_ms)


def unknown(reason: Reason) -> Reply:
    """Return the reply that says that the request may have run."""
    return Reply(Outcome.UNKNOWN, reason, arrived=True)
