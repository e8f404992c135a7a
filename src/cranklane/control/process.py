"""Control process: a replica of the configuration that serves nodes and operators.

Owns the components and the order in which they start and stop.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from cranklane.common.http_server import HttpServer
from cranklane.common.logs import logger
from cranklane.common.planned_stop import PlannedStop
from cranklane.control.editor import Editor
from cranklane.control.operator_api import OperatorApi
from cranklane.control.operators import Operators
from cranklane.control.status import ControlStatus
from cranklane.control.store import ConfigurationStore
from cranklane.distribution.group_contact import NodeServiceTiming
from cranklane.distribution.node_service import NodeService
from cranklane.distribution.publisher import IDLE_TIMEOUT_SECONDS
from cranklane.records.messages import Hello
from cranklane.replication.joining import Joining
from cranklane.replication.membership_change import MembershipChange
from cranklane.replication.peer_service import PeerService
from cranklane.replication.port_dispatcher import PortDispatcher
from cranklane.replication.replica import Replica
from cranklane.replication.state import ReplicaInfo
from cranklane.replication.timing import STOP_SECONDS
from cranklane.runtime.interface import Runtime, parse_address
from cranklane.settings import (
    ADDRESS,
    ADDRESSES_OR_NONE,
    NAME,
    TEXT,
    YES_OR_NO,
    Check,
    setting,
)

GROUP = "control"
"""Name of the replication group of the configuration."""

OUT_OF_TOUCH_SECONDS = 3.0
"""Time without contact to the group after which subscriptions are ended. Above the longest
election timeout (2 s), so that an ordinary election ends none."""

TIMING = NodeServiceTiming(
    out_of_touch_after=OUT_OF_TOUCH_SECONDS,
    last_resort_stay=10.0,
    contact_check=0.5,
    expiry_check=1.0,
)
"""A node in a last-resort subscription looks for a process in touch every 10 s. The checks run
several times within a member lease (6 s) and ``OUT_OF_TOUCH_SECONDS``."""


def _are_operator_entries(value: Any) -> bool:
    return isinstance(value, list) and all(
        isinstance(entry, str) and len(entry.split(":")) == 3 and len(entry.split(":")[2]) == 64
        for entry in value
    )


OPERATORS = Check(
    "a list of name:scope:sha256, the scope a tenant or *",
    _are_operator_entries,
    lambda text: text.split(","),
)


@dataclass
class ControlSettings:
    """Settings of a control process."""

    name: str = setting(NAME, help="name of this process, unique in the fleet")
    zone: str = setting(NAME, help="zone of this machine")
    listen: str = setting(ADDRESS, help="address for nodes and other control processes")
    http: str = setting(ADDRESS, help="address for operators")
    data: str = setting(TEXT, help="data folder")
    operators: list[str] = setting(OPERATORS, help="name:scope:sha256 of each token")
    replicas: list[str] = setting(
        ADDRESSES_OR_NONE, [], help="listen addresses of the other control processes"
    )
    founder: bool = setting(
        YES_OR_NO, False, help="create the group if all replicas report that it does not exist"
    )
    voter: bool = setting(YES_OR_NO, True, help="join as a voter; otherwise as a learner")


class ControlProcess:
    """One replica of the configuration that serves nodes and operators."""

    def __init__(self, runtime: Runtime, settings: ControlSettings) -> None:
        self.runtime = runtime
        self.settings = settings
        self._log = logger(process="control", node=settings.name)
        self.store = ConfigurationStore()
        self._nodes = NodeService(
            runtime, settings.name, self.store, self._make_hello, self._log, TIMING
        )
        self.membership = self._nodes.membership
        self.publisher = self._nodes.publisher
        info = ReplicaInfo(GROUP, settings.name, settings.listen, settings.http)
        storage = runtime.storage(settings.data)
        self.replica = Replica(
            runtime, storage, self.store, info, self.publisher.changed, self._log
        )
        self.changes = MembershipChange(self.replica)
        peers = PeerService(self.replica, self.changes.join)
        self._port = PortDispatcher(
            peers, self._make_hello, self._nodes.serve, IDLE_TIMEOUT_SECONDS
        )
        self.editor = Editor(runtime, self.store, self.replica)

    def start(self) -> None:
        """Load the stored state, open the ports and join or form the group."""
        settings = self.settings
        self.replica.open()
        self._listener = self.runtime.listen(parse_address(settings.listen), self._port.accept)
        status = ControlStatus(settings.name, self.store, self.replica, self._nodes)
        api = OperatorApi(
            status=status,
            store=self.store,
            replica=self.replica,
            editor=self.editor,
            changes=self.changes,
            clock=self.runtime.monotonic,
            operators=Operators(settings.operators),
        )
        self.http = HttpServer(self.runtime, parse_address(settings.http), api.application)
        joining = Joining(self.replica, settings.replicas, settings.founder, settings.voter)
        self.runtime.spawn_restarting(joining.run)
        self._nodes.start(self.replica)
        self._log.info("started", revision=self.store.revision)

    def stop(self, signalled_at: float | None = None) -> bool:
        """Finish the operators' requests in flight; acknowledged entries are already on disk.

        :param signalled_at: monotonic second of the signal; None: now.
        :returns: whether all of them have been answered.
        """
        stop = PlannedStop(self.runtime.monotonic)
        stop.begin((signalled_at or self.runtime.monotonic()) + STOP_SECONDS)
        finished = self.http.finish(stop)
        self._listener.close()
        self._log.info("stopped", revision=self.store.revision)
        return finished

    def _make_hello(self) -> Hello:
        return Hello(version=self.store.revision, node=self.settings.name)

    @property
    def in_touch(self) -> bool:
        """Whether this process was recently in touch with its group's leader."""
        return self._nodes.in_touch
