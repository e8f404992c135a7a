"""Slow start: limits the concurrent runs of a worker that has just started or recovered.

For services whose workers take 2 to 4 times as long as usual for some seconds after their start,
with 4 to 60 slots each. The window, a number of slots, starts as a fraction of the worker's slots.
It grows with each run in the usual time, and with slower ones that are acceptable while it is full;
it shrinks with late ones. Late depends on the caller: a run is late if its wait and its excess over
the usual run time exceed the time that its caller would have waited for a slot.

The usual run time is the callers' average over all workers of the service, so it follows if all of
them are cold. Until it has, no request is refused because of the window: ``Slots`` asks for a wider
one instead, since callers send a request to a full window only if they know no better worker.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from cranklane.common.units import MILLISECONDS
from cranklane.sidecar.worker.load_header import USUAL_RUN_TIME_PERCENT
from cranklane.sidecar.worker.slowness import TOLERATED_SLOWNESS

START_FRACTION = 0.25
"""Window at the start, as a fraction of the slots: the share of the usual throughput that a worker
has whose runs take four times as long."""

WARM_START_FRACTION = 0.5
"""Window at the start if the worker states that it is not cold."""

GROWTH_PER_RUN = 1.0
"""Slots by which a run in the usual time widens the window; doubles it in the duration of a run."""

LATE_DECREASE_FRACTION = 0.1
"""Relative decrease of the window with each late run. All runs of one window, if late, reduce it to
about a third."""

USUAL_RUNS_TO_END = 3
"""Consecutive runs in the usual time at the full window that end the slow start; more than one, as
single requests take less than the usual time of their route."""

QUIET_SECONDS = 3.0
"""Time without a slow run that ends the slow start; the usual duration of a cold phase."""

MAX_SECONDS = 10.0
"""Longest slow start. A worker that is still slow has another fault than a cold start; afterwards
its slowness counts in the choice of workers."""

MAX_STATED_SECONDS = 60.0
"""Longest slow start if the worker states that it remains cold; bounds false statements."""

COLD_RUN_TIME_FACTOR = 4.0
"""Run time of a cold worker as a multiple of the usual one, until its own runs show it. Expecting
less lets more requests queue at the worker than it can start in time."""

NO_WINDOW = -1.0
"""Value of the gauge without a slow start."""


def start_window(slots: int, fraction: float = START_FRACTION) -> float:
    """Return the window at the start.

    >>> start_window(28), start_window(3)
    (7.0, 1.0)
    """
    return max(1.0, slots * fraction)


class StartCause(Enum):
    """Why a slow start begins."""

    NEW_INSTANCE = "new_instance"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    SUSPENDED = "suspended"
    STATED_COLD = "stated_cold"


class EndCause(Enum):
    """Why a slow start ends."""

    USUAL_RUNS = "usual_runs"
    QUIET = "quiet"
    TIME_LIMIT = "time_limit"
    STARTED_AGAIN = "started_again"


class FinishedRun(NamedTuple):
    """A run at the worker, as the slow start judges it.

    :ivar started_at: monotonic second of its start.
    :ivar ratio: run time as a multiple of the usual run time of its route.
    :ivar run_seconds: run time.
    :ivar waited_seconds: time in the queue for a slot.
    :ivar acceptable_wait_seconds: longest wait for a slot that its caller accepted.
    :ivar filled_window: whether all slots of the window were in use at its end.
    :ivar run_time_percent: relative run time of the worker, which explains a part of ``ratio``.
    """

    started_at: float
    ratio: float
    run_seconds: float
    waited_seconds: float
    acceptable_wait_seconds: float
    filled_window: bool = False
    run_time_percent: int = USUAL_RUN_TIME_PERCENT

    @property
    def cold_ratio(self) -> float:
        """Run time as a multiple of the usual one, without the effect of a slow period."""
        return self.ratio * USUAL_RUN_TIME_PERCENT / self.run_time_percent

    @property
    def is_usual(self) -> bool:
        """Whether the run took the usual time.

        >>> FinishedRun(0.0, 4.0, 0.2, 0.0, 0.3).is_usual
        False
        >>> FinishedRun(0.0, 4.0, 0.2, 0.0, 0.3, run_time_percent=250).is_usual
        True
        """
        return self.cold_ratio <= TOLERATED_SLOWNESS

    @property
    def is_late(self) -> bool:
        """Whether wait and excess run time exceed the wait that the caller accepted.

        >>> [FinishedRun(0.0, 4.0, 0.2, waited, 0.3).is_late for waited in (0.1, 0.2)]
        [False, True]
        """
        if self.is_usual:
            return False
        excess = self.run_seconds * (1.0 - 1.0 / self.cold_ratio)
        return self.waited_seconds + excess > self.acceptable_wait_seconds


class SlowStartChange(NamedTuple):
    """The beginning or end of a slow start.

    :ivar cause: why it began.
    :ivar ended_by: why it ended; None at the beginning.
    :ivar window: slots in use.
    :ivar slots: slots that the worker states.
    :ivar seconds: its duration so far.
    :ivar runs: runs that were judged, ``slow_runs`` of them not in the usual time.
    """

    cause: StartCause
    ended_by: EndCause | None
    window: int
    slots: int
    seconds: float
    runs: int
    slow_runs: int


@dataclass(slots=True)
class _State:
    """A slow start in progress.

    :ivar ends_at: monotonic second at which it ends at the latest.
    :ivar slow_at: monotonic second of its beginning or its last slow run.
    :ivar usual_runs: consecutive runs in the usual time at the full window.
    """

    cause: StartCause
    began_at: float
    ends_at: float
    slow_at: float
    window: float
    usual_runs: int = 0
    runs: int = 0
    slow_runs: int = 0


class SlowStart:
    """The slow start of the local worker.

    :param clock: returns monotonic seconds.
    :param on_change: called at the beginning and at the end of each slow start.
    :ivar slots: slots that the worker states, of which the window is a part.
    :ivar on_window: called with each new window; None for no limit.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        on_window: Callable[[int | None], None],
        on_change: Callable[[SlowStartChange], None],
    ) -> None:
        self._clock = clock
        self._on_window = on_window
        self._on_change = on_change
        self._state: _State | None = None
        self.slots = 0

    @property
    def is_active(self) -> bool:
        """Whether a slow start is in progress."""
        return self._state is not None

    @property
    def window(self) -> int | None:
        """Slots that may be used; None without a slow start."""
        return max(1, int(self._state.window)) if self._state is not None else None

    def begin(self, cause: StartCause, slots: int, cold_ms: int | None = None) -> None:
        """Begin a slow start; one in progress starts anew.

        :param slots: slots that the worker states.
        :param cold_ms: for how long the worker states to remain slow; None if not stated.
        """
        if self._state is not None:
            self._report(self._state, EndCause.STARTED_AGAIN)
            self._state = None
        self.slots = slots
        if slots <= 1:
            self._on_window(None)
            return
        now = self._clock()
        fraction = WARM_START_FRACTION if cold_ms == 0 else START_FRACTION
        stated_seconds = min(MAX_STATED_SECONDS, (cold_ms or 0) / MILLISECONDS)
        ends_at = now + max(MAX_SECONDS, stated_seconds + QUIET_SECONDS)
        self._state = _State(cause, now, ends_at, now, start_window(slots, fraction))
        self._on_window(self.window)
        self._report(self._state, None)

    def resize(self, slots: int) -> None:
        """Apply a change of the slots that the worker states."""
        self.slots = slots
        if self._state is not None:
            self._set_window(self._state, self._state.window)

    def run_ended(self, run: FinishedRun) -> float | None:
        """Adapt the window to a run; runs that began before the slow start are ignored.

        :returns: run time as a multiple of the usual one, as far as it counts for the worker's
            condition. A slow run of a slow start does not: the window limits the worker's requests,
            and callers that avoided it would leave it idle.
        """
        state = self._state
        if state is None or run.started_at < state.began_at:
            return run.ratio
        state.runs += 1
        if run.is_usual:
            self._usual_run_ended(state)
        else:
            self._slow_run_ended(state, run)
        self.end_if_due()
        return run.ratio if run.is_usual else None

    def _usual_run_ended(self, state: _State) -> None:
        if state.window >= self.slots:
            state.usual_runs += 1
            return
        self._set_window(state, state.window + GROWTH_PER_RUN)

    def _slow_run_ended(self, state: _State, run: FinishedRun) -> None:
        state.slow_at = self._clock()
        state.slow_runs += 1
        state.usual_runs = 0
        window = state.window
        if run.is_late:
            window *= 1.0 - LATE_DECREASE_FRACTION
        elif run.filled_window:
            window += GROWTH_PER_RUN
        # A slot less than stated shows callers that the slow start continues.
        self._set_window(state, min(window, self.slots - 1.0))

    def widen(self) -> None:
        """Widen the window by a slot, because a request could not wait for the present one."""
        if self._state is not None:
            self._set_window(self._state, int(self._state.window) + 1.0)

    def _set_window(self, state: _State, window: float) -> None:
        former = self.window
        state.window = max(1.0, min(window, float(self.slots)))
        if self.window != former:
            self._on_window(self.window)

    def end_if_due(self) -> None:
        """End the slow start if the worker runs as usual, or its time is over."""
        state = self._state
        if state is None:
            return
        now = self._clock()
        if state.usual_runs >= USUAL_RUNS_TO_END:
            self._end(EndCause.USUAL_RUNS)
        elif now - state.slow_at >= QUIET_SECONDS:
            self._end(EndCause.QUIET)
        elif now >= state.ends_at:
            self._end(EndCause.TIME_LIMIT)

    def _end(self, cause: EndCause) -> None:
        state = self._state
        if state is not None:
            self._report(state, cause)
            self._state = None
            self._on_window(None)

    def _report(self, state: _State, ended_by: EndCause | None) -> None:
        self._on_change(
            SlowStartChange(
                state.cause,
                ended_by,
                max(1, int(state.window)),
                self.slots,
                self._clock() - state.began_at,
                state.runs,
                state.slow_runs,
            )
        )
