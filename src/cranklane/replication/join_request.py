"""Asks another replica to be admitted to the group."""

from __future__ import annotations

from cranklane.records.messages import JoinReply, JoinRequest
from cranklane.replication.link import ReplicaLink
from cranklane.replication.state import ReplicaState


def ask_to_join(state: ReplicaState, address: str, voter: bool, timeout: float) -> JoinReply | None:
    """Return a replica's answer to a request to join, or None when none comes in time.

    :param address: of the replica that is asked.
    :param voter: whether the one that asks is to vote.
    :param timeout: in seconds.
    """
    own = state.own
    link = ReplicaLink(state.runtime, address, state.hello())
    request = JoinRequest(state.identity, voter, own.name, own.address, own.http)
    try:
        return link.call(request, JoinReply, timeout)
    finally:
        link.close()
