"""The workers of every service, each behind its own sidecar: who is there.

Owns the list of destinations, kept current by control's updates and, for this machine's own
worker, by its sidecar. Which of them gets a request is decided in ``worker_choice``.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from gevent.event import Event

from cranklane.distribution.member_state import MemberState
from cranklane.records.messages import Member, MemberDelta
from cranklane.runtime.interface import parse_address
from cranklane.sidecar.routing.destination import Destination
from cranklane.sidecar.routing.retry_budget import FleetSize
from cranklane.sidecar.worker.condition import Condition


class Destinations:
    """The workers of every service.

    :param clock: monotonic seconds.
    :param own: name of this machine's node; its worker is stated by :meth:`set_own`, not by
        control.
    """

    def __init__(self, clock: Callable[[], float], own: str) -> None:
        self._clock = clock
        self._own = own
        self._by_node: dict[str, Destination] = {}
        # A list is replaced when it changes, never altered: see members().
        self._by_service: dict[str, list[Destination]] = {}
        self._updated = Event()
        self._max_known = 0
        self._grown_at = clock()

    def apply(self, delta: MemberDelta) -> None:
        """Take an update of the members from control."""
        if delta.whole:
            self._take_whole({member.node for member in delta.members})
        for member in delta.members:
            if member.node != self._own:
                self._apply(member)
        self.drop_expired()
        self._updated.set()
        self._updated.clear()

    def wait_for_update(self, seconds: float) -> bool:
        """Wait for the next update of the members; return whether it came in time.

        :param seconds: to wait at most.
        """
        return bool(self._updated.wait(seconds))

    def _take_whole(self, named: set[str]) -> None:
        """Take a whole list: those it leaves out stay for a while.

        A control process that has just started knows few members; the first request to one
        that is gone finds out.
        """
        now = self._clock()
        for node, known in self._by_node.items():
            if node in named or node == self._own:
                known.confirmed_at = None
            else:
                known.unconfirmed(now)

    def drop_expired(self) -> None:
        """Remove those that nothing has confirmed for too long."""
        now = self._clock()
        for node, known in list(self._by_node.items()):
            if known.is_expired(now):
                self._remove(node)

    def set_own(self, member: Member) -> None:
        """Take the state of the worker beside this process."""
        self._apply(member)

    def _apply(self, member: Member) -> None:
        known = self._by_node.get(member.node)
        if known is not None:
            order = (known.incarnation, known.sequence)
            if (member.incarnation, member.sequence) < order:
                return
        if member.state == MemberState.SILENT:
            if known is not None:
                known.sequence = member.sequence
                known.unconfirmed(self._clock())
            return
        if member.state == MemberState.GONE or not member.service:
            self._remove(member.node)
            return
        same = known is not None and (known.service, known.address, known.instance) == (
            member.service,
            parse_address(member.address),
            member.instance,
        )
        if known is None or not same:
            self._remove(member.node)
            self._add(member)
            return
        known.confirmed_at = None
        known.incarnation = member.incarnation
        known.sequence = member.sequence
        known.state = MemberState(member.state)
        known.slots = member.slots
        known.take_control_condition(self._clock(), _condition_of(member))

    def _add(self, member: Member) -> None:
        added = Destination(
            node=member.node,
            incarnation=member.incarnation,
            sequence=member.sequence,
            service=member.service,
            zone=member.zone,
            address=parse_address(member.address),
            instance=member.instance,
            state=MemberState(member.state),
            slots=member.slots,
        )
        added.take_control_condition(self._clock(), _condition_of(member))
        self._by_node[member.node] = added
        self._by_service[member.service] = [*self._by_service.get(member.service, ()), added]
        if len(self._by_node) > self._max_known:
            self._max_known = len(self._by_node)
            self._grown_at = self._clock()

    def _remove(self, node: str) -> None:
        known = self._by_node.pop(node, None)
        if known is not None:
            known.removed = True
            others = [item for item in self._by_service[known.service] if item is not known]
            self._by_service[known.service] = others

    def members(self, service: str) -> Sequence[Destination]:
        """Return the workers of a service; another object whenever one has come or gone."""
        return self._by_service.get(service, ())

    def fleet_size(self) -> FleetSize:
        """Return how many sidecars are known, this one included."""
        own_missing = self._own not in self._by_node
        return FleetSize(len(self._by_node) + own_missing, self._grown_at)

    def count(self, service: str) -> int:
        """Return how many live workers a service has."""
        return sum(item.state is MemberState.LIVE for item in self._by_service.get(service, ()))


def _condition_of(member: Member) -> Condition:
    return Condition.from_wire(member.faults, member.slowness)
