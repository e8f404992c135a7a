"""Callbacks and timing that a process provides to its subscription to control."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from cranklane.distribution.reconnect import MAX_BACKOFF_SECONDS
from cranklane.records.messages import ConfigDelta, Heartbeat, MemberDelta, Message

HEARTBEAT_INTERVAL_SECONDS = 2.0
"""Interval of heartbeats to control; three fit into the member's lease
(``membership.LEASE_SECONDS``)."""

CONTROL_IDLE_TIMEOUT_SECONDS = 5.0
"""Time without received bytes after which a control process is lost; two pings
(``publisher.PING_INTERVAL_SECONDS``) may be late."""


class AdoptedConfiguration(Protocol):
    """The configuration that a subscription updates."""

    version: int

    def adopt(self, delta: ConfigDelta) -> bool:
        """Apply a delta; return False when its base is not the current version."""


class SubscriptionTiming(NamedTuple):
    """Timing of a subscription, in seconds, and its incarnation rule.

    :ivar heartbeat: interval of heartbeats to control.
    :ivar idle_timeout: time without received bytes after which a control process is lost.
    :ivar max_backoff: longest mean pause between rounds of connection attempts.
    :ivar raises_incarnation: whether the process raises its incarnation when control knows a newer
        one. Set where no other process of its name can be alive, so that the newer one is from
        an earlier process whose clock was ahead.
    """

    heartbeat: float = HEARTBEAT_INTERVAL_SECONDS
    idle_timeout: float = CONTROL_IDLE_TIMEOUT_SECONDS
    max_backoff: float = MAX_BACKOFF_SECONDS
    raises_incarnation: bool = False


def _ignore(*_arguments: Any) -> None:
    """Do nothing."""


class SubscriptionCallbacks(NamedTuple):
    """Callbacks of a subscription into its process.

    :ivar heartbeat: returns the process's state; the subscription fills in incarnation and
        configuration version.
    :ivar on_members: called with member changes.
    :ivar on_change: called after a configuration change was adopted.
    :ivar on_answer: called with heartbeat answers, tenant shares and departures; None requests no
        answers.
    """

    heartbeat: Callable[[], Heartbeat]
    on_members: Callable[[MemberDelta], None] = _ignore
    on_change: Callable[[], None] = _ignore
    on_answer: Callable[[Message], None] | None = None
