"""Directory of the peer sidecars, for quarantine updates.

Unlike request routing, it includes sidecars whose workers are down: they still accept requests
from callers, and their workers will restart. Control provides the membership.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from cranklane.distribution.member_state import MemberState
from cranklane.records.messages import Member, MemberDelta
from cranklane.runtime.interface import Address, parse_address

ABSENT_RETENTION_SECONDS = 30.0
"""Time for which absent sidecars are kept; longer than a worker takes to restart. An outdated
address costs one attempt."""


@dataclass(slots=True)
class PeerSidecar:
    """A peer sidecar.

    :ivar absent_since: monotonic time in seconds since which its worker is down or its heartbeats
        to control are missing; None if it is present.
    """

    node: str
    service: str
    address: Address
    absent_since: float | None = None


class SidecarDirectory:
    """The peer sidecars by node, as reported by control.

    :param clock: monotonic seconds.
    :param node_name: node name of this sidecar, which is excluded.
    """

    def __init__(self, clock: Callable[[], float], node_name: str) -> None:
        self._clock = clock
        self._node_name = node_name
        self._by_node: dict[str, PeerSidecar] = {}

    def apply(self, delta: MemberDelta) -> None:
        """Apply a membership update from control, and remove peers absent for too long."""
        now = self._clock()
        if delta.whole:
            named = {member.node for member in delta.members}
            for peer in self._by_node.values():
                if peer.node not in named and peer.absent_since is None:
                    peer.absent_since = now
        for member in delta.members:
            if member.node != self._node_name and member.service:
                self._apply(member, now)
        for peer in list(self._by_node.values()):
            if peer.absent_since is not None and now - peer.absent_since > ABSENT_RETENTION_SECONDS:
                del self._by_node[peer.node]

    def _apply(self, member: Member, now: float) -> None:
        peer = self._by_node.get(member.node)
        if MemberState(member.state).is_present:
            address = parse_address(member.address)
            self._by_node[member.node] = PeerSidecar(member.node, member.service, address)
        elif peer is not None and peer.absent_since is None:
            peer.absent_since = now

    def list_peers(self, service: str = "") -> list[PeerSidecar]:
        """Return the peers of a service, or all peers, sorted by node name."""
        peers = [entry for entry in self._by_node.values() if service in ("", entry.service)]
        return sorted(peers, key=lambda entry: entry.node)
