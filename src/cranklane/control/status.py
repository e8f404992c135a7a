"""What operators may see of a control process, its group and its members."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from cranklane.distribution.member_state import MemberState
from cranklane.records.messages import Member, ReplicaMember

if TYPE_CHECKING:
    from cranklane.control.process import ControlProcess

ALL_TENANTS = "*"


def status_of(process: ControlProcess, scope: str) -> dict[str, Any]:
    """Return the status within a scope: a tenant's, or all.

    :param scope: a tenant's name or ``*``.
    """
    replica = process.replica
    leader = replica.leader_member()
    return {
        "name": process.settings.name,
        "revision": process.store.revision,
        "leader": leader.name if leader is not None else "",
        "in_touch": process.in_touch,
        "subscribers": len(process.publisher.subscribers),
        "members": [
            _member(process, member)
            for member in process.membership.members()
            if scope in (ALL_TENANTS, member.tenant)
        ],
    }


def _member(process: ControlProcess, member: Member) -> dict[str, Any]:
    return {
        "node": member.node,
        "service": f"{member.tenant}.{member.service}" if member.service else "",
        "zone": member.zone,
        "state": MemberState(member.state).name.lower(),
        "version": process.membership.version_of(member.node),
    }


def group_of(process: ControlProcess) -> dict[str, Any]:
    """Return the state of the process's replica and its group."""
    replica = process.replica
    return {
        "name": process.settings.name,
        "identity": f"{replica.identity:016x}",
        "term": replica.term,
        "last_index": replica.log.last_index,
        "commit_index": replica.commit_index,
        "applied_index": replica.applied_index,
        "snapshot_index": replica.log.snapshot.index,
        "log_bytes": replica.log.size,
        "replicas": [_replica(process, member) for member in replica.members.current],
    }


def _replica(process: ControlProcess, member: ReplicaMember) -> dict[str, Any]:
    replica = process.replica
    leadership = replica.leadership
    return {
        "name": member.name,
        "identity": f"{member.identity:016x}",
        "role": _role(member),
        "leads": member.identity == replica.leader,
        "address": member.address,
        "http": member.http,
        "durable_index": leadership.matched.get(member.identity) if leadership else None,
    }


def _role(member: ReplicaMember) -> str:
    if member.voter:
        return "voter"
    return "joining voter" if member.promote else "learner"
