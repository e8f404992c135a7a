"""Accepts connections from other nodes and spawns a task for each call on them.

:mod:`~cranklane.node.call_runner` runs the calls.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent

from cranklane.common.units import MILLISECONDS
from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.node.admission import Admission
from cranklane.node.allowance import Allowance
from cranklane.node.call_runner import CallRunner
from cranklane.node.context import CallContext
from cranklane.node.inbound_call import InboundCall
from cranklane.node.load import load_report
from cranklane.node.metrics import NodeMetrics
from cranklane.node.peer_connection import IDLE_TIMEOUT_SECONDS, PING_INTERVAL_SECONDS
from cranklane.outcome import Criticality, Reason
from cranklane.policy.adopted_policy import AdoptedPolicy
from cranklane.records.connection import CONNECTION_CALL, IdleMonitor, RecordConnection
from cranklane.records.messages import (
    CallCancel,
    CallOpen,
    Credit,
    GoingAway,
    Hello,
    Message,
    Ping,
)
from cranklane.runtime.interface import Address, Runtime


class Inbound:
    """Server for calls from other nodes.

    :param hello: returns this node's Hello record.
    :param on_newer_version: called when a caller reports a newer configuration version.
    :ivar calls: number of inbound calls in flight.
    """

    def __init__(
        self,
        runtime: Runtime,
        configuration: AdoptedPolicy,
        admission: Admission,
        runner: CallRunner,
        metrics: NodeMetrics,
        hello: Callable[[], Hello],
        on_newer_version: Callable[[], None],
    ) -> None:
        self._runtime = runtime
        self._configuration = configuration
        self._admission = admission
        self._runner = runner
        self._metrics = metrics
        self._hello = hello
        self._on_newer_version = on_newer_version
        self._connections: dict[int, RecordConnection] = {}
        self._idle_monitors: dict[int, IdleMonitor] = {}
        self._next_connection = 0
        self.calls = 0
        runtime.spawn_restarting(self._close_idle_connections)

    def _close_idle_connections(self) -> None:
        while True:
            gevent.sleep(PING_INTERVAL_SECONDS)
            now = self._runtime.monotonic()
            for monitor in list(self._idle_monitors.values()):
                monitor.close_if_idle(now)

    def serve_connection(self, connection: Any, _address: Address) -> None:
        """Serve one node's connection until it ends."""
        records = RecordConnection(connection, IDLE_TIMEOUT_SECONDS)
        self._next_connection += 1
        number = self._next_connection
        self._connections[number] = records
        self._idle_monitors[number] = IdleMonitor(
            records, IDLE_TIMEOUT_SECONDS, self._runtime.monotonic()
        )
        calls: dict[int, InboundCall] = {}
        try:
            records.handshake(self._hello())
            records.set_idle_timeout(None)
            while True:
                call_number, message = records.receive()
                self._handle_record(records, calls, call_number, message)
        except ConnectionLostError:
            # Calling nodes may disconnect at any time; their calls are cancelled below.
            pass
        except MalformedRecordError:
            self._metrics.event("malformed_record")
        finally:
            records.close()
            del self._connections[number]
            del self._idle_monitors[number]
            for call in list(calls.values()):
                call.cancel(Reason.CANCELLED)

    def _handle_record(
        self,
        records: RecordConnection,
        calls: dict[int, InboundCall],
        number: int,
        message: Message,
    ) -> None:
        match message:
            case CallOpen():
                if number == CONNECTION_CALL or number in calls:
                    raise MalformedRecordError(
                        f"CallOpen has number {number}, which is reserved or in use"
                    )
                call = InboundCall(records, number, message, self._context(message))
                calls[number] = call
                self._runtime.spawn(self._run, call, calls)
            case Credit() if number in calls:
                calls[number].credit(message.size)
            case CallCancel() if number in calls:
                calls[number].cancel(Reason.CANCELLED)
            case Ping():
                if message.version > self._configuration.version:
                    self._on_newer_version()
                records.send(load_report(self._admission, self._configuration.version))
            case _:
                self._metrics.event("late_record")

    def _context(self, message: CallOpen) -> CallContext:
        try:
            criticality = Criticality(message.criticality)
        except ValueError as error:
            raise MalformedRecordError(f"unknown criticality {message.criticality}") from error
        return CallContext(
            root=message.root,
            tenant=message.tenant,
            criticality=criticality,
            deadline=self._runtime.monotonic() + message.deadline_ms / MILLISECONDS,
            allowance=Allowance(message.allowance),
            depth=message.depth,
        )

    def _run(self, call: InboundCall, calls: dict[int, InboundCall]) -> None:
        self.calls += 1
        try:
            self._runner.run(call)
        except ConnectionLostError:
            # The calling node has disconnected, so there is no one to send the answer to.
            pass
        finally:
            self.calls -= 1
            calls.pop(call.number, None)

    def announce_stop(self) -> None:
        """Announce to every calling node that this node accepts no new calls."""
        for records in list(self._connections.values()):
            try:
                records.send(GoingAway(Reason.STOPPING))
            except ConnectionLostError:
                # A lost connection carries no new calls.
                pass
