"""States of the local worker, and the rules by which its silence is judged."""

from __future__ import annotations

from enum import Enum

from cranklane.distribution.member_state import MemberState

USABLE_FRACTION = 0.95
"""Fraction of a worker's slots that is used; some workers slow down when nearly full."""

SMALL_WORKER_SLOTS = 10
"""Number of slots below which all are used: leaving one free would cost a large fraction."""

MISSED_HEARTBEATS = 3.5
"""Heartbeat intervals of silence after which the worker is lost; tolerates three missed ones."""

SUSPENSION_HEARTBEATS = 2.0
"""Heartbeat intervals between two checks from which the machine was presumably suspended. Below
:data:`MISSED_HEARTBEATS`, so that a suspension does not make the worker lost, but above the delay
of a busy process."""


class WorkerState(Enum):
    """State of the worker; requests are sent only in ``READY``."""

    UNKNOWN = "unheard"
    """No heartbeat since this process started or the instance changed."""
    READY = "ready"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    """It accepted no connection; its next heartbeat makes it ready again."""
    LOST = "lost"
    """Its heartbeats have stopped."""
    GONE = "gone"
    """It has deregistered."""


PLANNED_EXIT_STATES = (WorkerState.DRAINING, WorkerState.GONE)
"""States in which an exit of the worker is planned, not a crash. Only another start of the worker
ends them."""

_MEMBER_STATES = {
    WorkerState.READY: MemberState.LIVE,
    WorkerState.DRAINING: MemberState.DRAINING,
}


def member_state(state: WorkerState) -> MemberState:
    """Return the state to announce to control and other sidecars."""
    return _MEMBER_STATES.get(state, MemberState.GONE)


def was_suspended(seconds: float, heartbeat_seconds: float) -> bool:
    """Return whether this machine was suspended between two checks of the heartbeats.

    :param seconds: time between the checks, by a clock that also runs during a suspension.
    """
    return seconds > SUSPENSION_HEARTBEATS * heartbeat_seconds


def is_lost(state: WorkerState, silent_seconds: float, heartbeat_seconds: float) -> bool:
    """Return whether a worker's silence means that it is lost.

    Only workers in use are checked: draining and deregistered ones are expected to fall silent.
    """
    in_use = state in (WorkerState.READY, WorkerState.UNREACHABLE)
    return in_use and silent_seconds > MISSED_HEARTBEATS * heartbeat_seconds


def usable_slots(slots: int) -> int:
    """Return the number of a worker's slots that may be used.

    >>> usable_slots(4), usable_slots(14), usable_slots(44)
    (4, 13, 41)
    """
    return slots if slots < SMALL_WORKER_SLOTS else int(slots * USABLE_FRACTION)
