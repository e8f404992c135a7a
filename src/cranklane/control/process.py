"""A control process: its parts put together, started and stopped."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import gevent

from cranklane.common.http_server import HttpServer
from cranklane.common.logs import logger
from cranklane.control.editor import Editor
from cranklane.control.membership import Membership
from cranklane.control.operator_api import ALL_TENANTS, OperatorApi
from cranklane.control.publisher import Publisher
from cranklane.control.replica import Replica
from cranklane.control.store import ConfigurationStore
from cranklane.node.members import MemberState
from cranklane.records.messages import Hello
from cranklane.runtime.interface import Runtime, parse_address
from cranklane.settings import ADDRESS, NAME, TEXT, Check, setting

EXPIRY_SECONDS = 1.0
"""Seconds between looks for members whose lease has run out."""


def _are_operators(value: Any) -> bool:
    return isinstance(value, list) and all(
        isinstance(line, str) and len(line.split(":")) == 3 and len(line.split(":")[2]) == 64
        for line in value
    )


OPERATORS = Check(
    "a list of name:scope:sha256, the scope a tenant or *",
    _are_operators,
    lambda text: text.split(","),
)


@dataclass
class ControlSettings:
    """Settings of a control process."""

    name: str = setting(NAME, help="name of this process, unique in the fleet")
    zone: str = setting(NAME, help="zone this machine stands in")
    listen: str = setting(ADDRESS, help="address for nodes")
    http: str = setting(ADDRESS, help="address for operators")
    data: str = setting(TEXT, help="data folder")
    operators: list[str] = setting(OPERATORS, help="name:scope:sha256 of each token")


class ControlProcess:
    """One control process."""

    def __init__(self, runtime: Runtime, settings: ControlSettings) -> None:
        self.runtime = runtime
        self._settings = settings
        self._log = logger(process="control", node=settings.name)
        self.store = ConfigurationStore()
        self.membership = Membership(runtime.monotonic, self._changed)
        self.publisher = Publisher(runtime, self.store, self.membership, self._hello)
        self.replica = Replica(runtime.storage(settings.data), self.store, self._changed)
        self.editor = Editor(runtime, self.store, self.replica)

    def start(self) -> None:
        """Come back to the last state, then open the ports."""
        settings = self._settings
        self.replica.open()
        self._listener = self.runtime.listen(parse_address(settings.listen), self.publisher.serve)
        api = OperatorApi(self, settings.operators)
        self.http = HttpServer(self.runtime, parse_address(settings.http), api.application)
        self.runtime.spawn(self._expire)
        self._log.info("started", revision=self.store.revision)

    def stop(self) -> bool:
        """Stop; everything acknowledged is on disk already."""
        self.http.stop_accepting()
        self._listener.close()
        self._log.info("stopped", revision=self.store.revision)
        return True

    def _hello(self) -> Hello:
        return Hello(version=self.store.revision, node=self._settings.name)

    def _changed(self) -> None:
        self.publisher.changed()

    def _expire(self) -> None:
        while True:
            gevent.sleep(EXPIRY_SECONDS)
            for member in self.membership.expire():
                self._log.warning("member_gone", member=member.node)

    def behind(self, version: int) -> list[str]:
        """Return the live nodes where a version is not in force yet."""
        subscribers = self.publisher.subscribers
        late = {name for name, item in subscribers.items() if item.version < version}
        unheard = {
            member.node for member in self.membership.members() if member.node not in subscribers
        }
        return sorted(late | unheard)

    def status(self, scope: str) -> dict[str, Any]:
        """Return what operators may see of this process and its members."""
        return {
            "name": self._settings.name,
            "revision": self.store.revision,
            "subscribers": len(self.publisher.subscribers),
            "members": [
                {
                    "node": member.node,
                    "service": f"{member.tenant}.{member.service}",
                    "zone": member.zone,
                    "state": MemberState(member.state).name.lower(),
                    "version": self._version_of(member.node),
                }
                for member in self.membership.members()
                if scope in (ALL_TENANTS, member.tenant)
            ],
        }

    def _version_of(self, node: str) -> int | None:
        subscriber = self.publisher.subscribers.get(node)
        return subscriber.version if subscriber is not None else None
