"""What a process that follows control provides to its subscription."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from cranklane.distribution.reconnect import MAX_BACKOFF_SECONDS
from cranklane.records.messages import ConfigDelta, Heartbeat, MemberDelta, Message

HEARTBEAT_SECONDS = 2.0
"""Between heartbeats to control. A choice: three in the lease that control keeps
(``membership.LEASE_SECONDS``)."""

CONTROL_SILENT_SECONDS = 5.0
"""Time without a byte from control after which another control process is tried. A choice:
two pings (``publisher.PING_SECONDS``) may be late."""


class AdoptedConfiguration(Protocol):
    """What a subscription brings up to date."""

    version: int

    def adopt(self, delta: ConfigDelta) -> bool:
        """Apply a delta; return False when it does not follow what is in force."""


class FollowTiming(NamedTuple):
    """Times of a subscription, in seconds.

    :ivar heartbeat: between heartbeats to control.
    :ivar raises_incarnation: whether no other process of this name can be alive, so
        that one that seems newer is an earlier one whose clock was ahead.
    :ivar silent: without a byte from control after which another one is tried.
    """

    heartbeat: float = HEARTBEAT_SECONDS
    silent: float = CONTROL_SILENT_SECONDS
    max_backoff: float = MAX_BACKOFF_SECONDS
    raises_incarnation: bool = False


def _ignore(*_arguments: Any) -> None:
    """Do nothing."""


class Follower(NamedTuple):
    """What a subscription calls in the process that follows control.

    :ivar heartbeat: returns the process's own state for its heartbeats; who it is
        and the version in force are filled in by the subscription.
    :ivar on_members: given changes of the members.
    :ivar on_change: called after a change of configuration is in force.
    :ivar on_answer: given answers to heartbeats and shares of tenants; None asks for none.
    """

    heartbeat: Callable[[], Heartbeat]
    on_members: Callable[[MemberDelta], None] = _ignore
    on_change: Callable[[], None] = _ignore
    on_answer: Callable[[Message], None] | None = None
