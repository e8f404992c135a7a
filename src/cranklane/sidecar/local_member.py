"""Builds the records in which a sidecar describes itself to routing, other sidecars and control."""

from __future__ import annotations

from cranklane.distribution.member_state import MemberState
from cranklane.records.messages import Heartbeat, Hello, Member, Subscribe
from cranklane.sidecar.settings import SidecarSettings
from cranklane.sidecar.worker.condition import WorkerCondition
from cranklane.sidecar.worker.registry import WorkerRegistry


class LocalMember:
    """This sidecar as a member of the fleet.

    :param incarnation: distinguishes this process from earlier ones of the same name.
    :ivar stopping: whether a planned stop has begun.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        incarnation: int,
        worker: WorkerRegistry,
        condition: WorkerCondition,
    ) -> None:
        self._name = settings.name
        self._zone = settings.zone
        self._service = settings.service
        self._address = settings.advertise or settings.listen
        self._worker = worker
        self._condition = condition
        self._sequence = 0
        self.incarnation = incarnation
        self.stopping = False

    @property
    def state(self) -> MemberState:
        """State to announce: DRAINING during a planned stop, otherwise the worker's."""
        if self.stopping:
            return MemberState.DRAINING
        return self._worker.member_state

    def hello(self, version: int) -> Hello:
        """Return the first record of a connection to another sidecar.

        :param version: revision of the route table in force.
        """
        return Hello(incarnation=self.incarnation, version=version, node=self._name)

    def subscription(self) -> Subscribe:
        """Return the request to subscribe to control's updates."""
        return Subscribe(
            incarnation=self.incarnation,
            everything=True,
            node=self._name,
            service=self._service,
            zone=self._zone,
            address=self._address,
        )

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the current state."""
        worker = self._worker
        reported = self._condition.reported
        return Heartbeat(
            state=self.state,
            slots=worker.slots,
            service=worker.service,
            instance=worker.instance.label,
            faults=reported.wire_faults,
            slowness=reported.wire_slowness,
        )

    def next_member(self) -> Member:
        """Return the member entry for this sidecar's routing, with the next sequence number."""
        self._sequence += 1
        return Member(
            incarnation=self.incarnation,
            sequence=self._sequence,
            state=self.state,
            slots=self._worker.slots,
            node=self._name,
            service=self._worker.service,
            zone=self._zone,
            address=self._address,
            instance=self._worker.instance.label,
        )
