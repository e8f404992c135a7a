"""Client for join requests."""

from __future__ import annotations

from cranklane.records.messages import JoinReply, JoinRequest
from cranklane.replication.link import ReplicaLink
from cranklane.replication.state import ReplicaState


def send_join_request(
    state: ReplicaState, address: str, voter: bool, timeout: float
) -> JoinReply | None:
    """Send a join request; return the reply, or None on a failure or timeout.

    :param address: address of a member of the group.
    :param voter: whether this replica is to become a voter.
    :param timeout: in seconds.
    """
    info = state.info
    link = ReplicaLink(state.runtime, address, state.hello())
    request = JoinRequest(state.identity, voter, info.name, info.address, info.http)
    try:
        return link.call(request, JoinReply, timeout)
    finally:
        link.close()
