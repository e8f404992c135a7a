"""Where the other sidecars are, also those whose workers are down.

Requests go only to sidecars whose workers run. Updates of the quarantine concern the others too:
callers send requests through them, and their workers come back. Owns that list, by node; relies on
control for who is a member.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cranklane.distribution.member_state import MemberState
from cranklane.records.messages import Member, MemberDelta
from cranklane.runtime.interface import Address, parse_address

KEPT_SECONDS = 30.0
"""A sidecar whose worker is down, or whose heartbeats control has lost, is kept for this long. A
choice: a worker that crashed is back within some seconds, and a wrong address costs one try."""


@dataclass(slots=True)
class OtherSidecar:
    """One sidecar.

    :ivar away_since: monotonic second since which its worker is down or control has lost its
        heartbeats; None: it is there.
    """

    node: str
    service: str
    address: Address
    away_since: float | None = None


class SidecarDirectory:
    """The other sidecars, as control reports them.

    :param clock: monotonic seconds.
    :param own: name of this machine's node.
    """

    def __init__(self, clock: Callable[[], float], own: str) -> None:
        self._clock = clock
        self._own = own
        self._by_node: dict[str, OtherSidecar] = {}

    def apply(self, delta: MemberDelta) -> None:
        """Take an update of members from control."""
        now = self._clock()
        if delta.whole:
            named = {member.node for member in delta.members}
            for other in self._by_node.values():
                if other.node not in named and other.away_since is None:
                    other.away_since = now
        for member in delta.members:
            if member.node != self._own and member.service:
                self._apply(member, now)
        for other in list(self._by_node.values()):
            if other.away_since is not None and now - other.away_since > KEPT_SECONDS:
                del self._by_node[other.node]

    def _apply(self, member: Member, now: float) -> None:
        known = self._by_node.get(member.node)
        if MemberState(member.state).is_present:
            address = parse_address(member.address)
            self._by_node[member.node] = OtherSidecar(member.node, member.service, address)
        elif known is not None and known.away_since is None:
            known.away_since = now

    def of(self, service: str = "") -> list[OtherSidecar]:
        """Return the sidecars of a service, or all, in the order of their names."""
        found = [item for item in self._by_node.values() if service in ("", item.service)]
        return sorted(found, key=lambda item: item.node)
