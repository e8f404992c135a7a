"""Registry of the destinations of each service.

Updated from control's member updates and, for the local worker, by this sidecar.
``worker_choice`` selects the destination for a request.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence

from gevent.event import Event

from cranklane.distribution.member_state import MemberState
from cranklane.records.messages import Member, MemberDelta, WorkerNotice
from cranklane.runtime.interface import parse_address
from cranklane.sidecar.capacity.slow_start import start_window
from cranklane.sidecar.routing.destination import Destination
from cranklane.sidecar.routing.retry_budget import FleetSize
from cranklane.sidecar.worker.condition import Condition
from cranklane.sidecar.worker.instances import WorkerInstance

MAX_NOTICES = 4096
"""Limit on the remembered notices of workers; bounds memory."""


class Destinations:
    """Destinations by node and by service.

    :param clock: returns monotonic time in seconds.
    :param node_name: name of the local node; its worker is set with :meth:`set_local_member`, and
        updates of it from control are ignored.
    """

    def __init__(self, clock: Callable[[], float], node_name: str) -> None:
        self._clock = clock
        self._node_name = node_name
        self._by_node: dict[str, Destination] = {}
        # Lists are replaced, never modified: callers of members() compare them by identity.
        self._by_service: dict[str, list[Destination]] = {}
        # What workers were last heard to state, by the id of the instance. Outlives destinations,
        # which are replaced when a sidecar restarts.
        self._notices: OrderedDict[str, WorkerNotice] = OrderedDict()
        self._updated = Event()
        self._max_size = 0
        self._grown_at = clock()

    def apply(self, delta: MemberDelta) -> None:
        """Apply a member update from control and wake the callers of ``wait_for_update``."""
        if delta.whole:
            self._apply_full_list({member.node for member in delta.members})
        for member in delta.members:
            if member.node != self._node_name:
                self._apply(member, has_just_appeared=not delta.whole)
        self.drop_expired()
        self._updated.set()
        self._updated.clear()

    def wait_for_update(self, seconds: float) -> bool:
        """Wait for the next member update; return False on timeout.

        :param seconds: timeout.
        """
        return bool(self._updated.wait(seconds))

    def _apply_full_list(self, listed_nodes: set[str]) -> None:
        """Apply the node names of a full list; omitted destinations expire after a delay.

        The delay is needed as a control process that has just started knows few members.
        """
        now = self._clock()
        for node, destination in self._by_node.items():
            if node in listed_nodes or node == self._node_name:
                destination.confirmed_at = None
            else:
                destination.mark_unconfirmed(now)

    def drop_expired(self) -> None:
        """Remove the destinations whose confirmation has expired."""
        now = self._clock()
        for node, destination in list(self._by_node.items()):
            if destination.is_expired(now):
                self._remove(node)

    def set_local_member(self, member: Member) -> None:
        """Set the state of the local worker."""
        self._apply(member)

    def _apply(self, member: Member, has_just_appeared: bool = False) -> None:
        """Apply an entry of a member update.

        :param has_just_appeared: whether the worker is new if it is not known here yet.
        """
        existing = self._by_node.get(member.node)
        if existing is not None:
            order = (existing.incarnation, existing.sequence)
            if (member.incarnation, member.sequence) < order:
                return
        if member.state == MemberState.SILENT:
            if existing is not None:
                existing.sequence = member.sequence
                existing.mark_unconfirmed(self._clock())
            return
        if member.state == MemberState.GONE or not member.service:
            self._remove(member.node)
            return
        same_instance = existing is not None and (
            existing.service,
            existing.address,
            existing.instance,
        ) == (
            member.service,
            parse_address(member.address),
            member.instance,
        )
        if existing is None or not same_instance:
            self._remove(member.node)
            self._add(member, in_slow_start=has_just_appeared)
            return
        existing.confirmed_at = None
        existing.incarnation = member.incarnation
        existing.sequence = member.sequence
        existing.set_state(MemberState(member.state))
        existing.set_listed_slots(member.slots)
        existing.update_control_condition(self._clock(), _condition_of(member))

    def _add(self, member: Member, in_slow_start: bool) -> None:
        destination = Destination(
            node=member.node,
            incarnation=member.incarnation,
            sequence=member.sequence,
            service=member.service,
            zone=member.zone,
            address=parse_address(member.address),
            instance=member.instance,
            state=MemberState(member.state),
            # Its first reply states the window; until then, few requests are sent to it.
            slots=int(start_window(member.slots)) if in_slow_start else member.slots,
            listed_slots=member.slots,
        )
        destination.update_control_condition(self._clock(), _condition_of(member))
        destination.notice = self._known_notice(member.instance)
        destination.set_state(destination.state)
        self._by_node[member.node] = destination
        self._by_service[member.service] = [*self._by_service.get(member.service, ()), destination]
        if len(self._by_node) > self._max_size:
            self._max_size = len(self._by_node)
            self._grown_at = self._clock()

    def _remove(self, node: str) -> None:
        destination = self._by_node.pop(node, None)
        if destination is not None:
            destination.removed = True
            remaining = [
                worker
                for worker in self._by_service[destination.service]
                if worker is not destination
            ]
            self._by_service[destination.service] = remaining

    def record_notice(self, destination: Destination, notice: WorkerNotice | None) -> None:
        """Record what the worker of a destination states of itself; None if nothing."""
        former = destination.notice
        if former is not None and former.leaving:
            # A departure is final for its instance.
            return
        if notice is None and former is None:
            return
        if notice is not None and not _may_be_same(notice.instance, destination.instance):
            return
        destination.record_notice(self._clock(), notice)
        instance_id = WorkerInstance.from_label(destination.instance).id
        if notice is None:
            self._notices.pop(instance_id, None)
            return
        self._notices[instance_id] = notice
        self._notices.move_to_end(instance_id)
        while len(self._notices) > MAX_NOTICES:
            self._notices.popitem(last=False)

    def _known_notice(self, label: str) -> WorkerNotice | None:
        """Return what an instance was last heard to state, or None."""
        notice = self._notices.get(WorkerInstance.from_label(label).id)
        if notice is not None and _may_be_same(notice.instance, label):
            return notice
        return None

    def members(self, service: str) -> Sequence[Destination]:
        """Return the workers of a service; a new object after each addition or removal."""
        return self._by_service.get(service, ())

    def fleet_size(self) -> FleetSize:
        """Return the number of known sidecars, including this one."""
        local_missing = self._node_name not in self._by_node
        return FleetSize(len(self._by_node) + local_missing, self._grown_at)

    def count(self, service: str) -> int:
        """Return the number of live workers of a service."""
        return sum(worker.state is MemberState.LIVE for worker in self._by_service.get(service, ()))


def _may_be_same(label: str, other: str) -> bool:
    """Return whether two labels may belong to the same instance of a worker."""
    return WorkerInstance.from_label(label).may_be(WorkerInstance.from_label(other))


def _condition_of(member: Member) -> Condition:
    return Condition.from_wire(member.faults, member.slowness)
