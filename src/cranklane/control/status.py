"""Status of a control process, its group and its members for operators.

Holds no state: reads the store, the replica and the membership.
"""

from __future__ import annotations

from typing import Any

from cranklane.control.operators import ALL_TENANTS
from cranklane.control.store import ConfigurationStore
from cranklane.distribution.member_state import MemberState
from cranklane.distribution.node_service import NodeService
from cranklane.records.messages import Member, ReplicaMember
from cranklane.replication.replica import Replica


class ControlStatus:
    """Status reports of one control process.

    :param name: name of the process.
    """

    def __init__(
        self, name: str, store: ConfigurationStore, replica: Replica, nodes: NodeService
    ) -> None:
        self._name = name
        self._store = store
        self._replica = replica
        self._nodes = nodes

    def for_scope(self, scope: str) -> dict[str, Any]:
        """Return the status of the process and of the members in a scope.

        :param scope: name of a tenant, or ``ALL_TENANTS``.
        """
        leader = self._replica.leader_member()
        return {
            "name": self._name,
            "revision": self._store.revision,
            "leader": leader.name if leader is not None else "",
            "in_touch": self._nodes.in_touch,
            "subscribers": len(self._nodes.publisher.subscribers),
            "members": [
                self._member(member)
                for member in self._nodes.membership.members()
                if scope in (ALL_TENANTS, member.tenant)
            ],
        }

    def _member(self, member: Member) -> dict[str, Any]:
        return {
            "node": member.node,
            "service": f"{member.tenant}.{member.service}" if member.service else "",
            "zone": member.zone,
            "state": MemberState(member.state).name.lower(),
            "version": self._nodes.membership.version_of(member.node),
        }

    def group(self) -> dict[str, Any]:
        """Return the status of the replica and its group."""
        replica = self._replica
        return {
            "name": self._name,
            "identity": f"{replica.identity:016x}",
            "term": replica.term,
            "last_index": replica.log.last_index,
            "commit_index": replica.commit_index,
            "applied_index": replica.applied_index,
            "snapshot_index": replica.log.snapshot.index,
            "log_bytes": replica.log.size,
            "replicas": [self._replica_member(member) for member in replica.members.current],
        }

    def _replica_member(self, member: ReplicaMember) -> dict[str, Any]:
        leadership = self._replica.leadership
        return {
            "name": member.name,
            "identity": f"{member.identity:016x}",
            "role": _role(member),
            "leads": member.identity == self._replica.leader,
            "address": member.address,
            "http": member.http,
            "durable_index": leadership.match_index.get(member.identity) if leadership else None,
        }

    def nodes_behind(self, version: int) -> list[str]:
        """Return the names of present nodes with a version below the given one."""
        membership = self._nodes.membership
        return sorted(
            member.node
            for member in membership.members()
            if membership.version_of(member.node) < version
        )


def _role(member: ReplicaMember) -> str:
    if member.voter:
        return "voter"
    return "joining voter" if member.promote else "learner"
