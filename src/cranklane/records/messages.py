"""Record classes generated from schema.py by generate.py; do not edit."""

# ruff: noqa
from __future__ import annotations

from struct import Struct
from struct import error as StructError
from typing import ClassVar

from cranklane.errors import MalformedRecordError
from cranklane.records.lists import (
    pack_pairs,
    pack_records,
    pack_strings,
    unpack_pairs,
    unpack_records,
    unpack_strings,
)
from cranklane.records.record import Record

Message = Record
"""Any record."""

class Hello(Record):
    """First record in each direction on a connection; identifies the sender."""

    KIND: ClassVar[int] = 1
    LAYOUT: ClassVar[Struct] = Struct("!HQQHHHH")
    __slots__ = ('protocol', 'incarnation', 'version', 'node', 'tenant', 'service', 'zone',)

    def __init__(
        self,
        protocol: int = 0,
        incarnation: int = 0,
        version: int = 0,
        node: str = "",
        tenant: str = "",
        service: str = "",
        zone: str = "",
    ) -> None:
        self.protocol: int = protocol
        self.incarnation: int = incarnation
        self.version: int = version
        self.node: str = node
        self.tenant: str = tenant
        self.service: str = service
        self.zone: str = zone

    def pack(self) -> bytes:
        try:
            node = self.node.encode()
            tenant = self.tenant.encode()
            service = self.service.encode()
            zone = self.zone.encode()
            head = self.LAYOUT.pack(self.protocol, self.incarnation, self.version, len(node), len(tenant), len(service), len(zone))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, node, tenant, service, zone))

    @classmethod
    def unpack(cls, payload: bytes) -> Hello:
        try:
            protocol, incarnation, version, node_size, tenant_size, service_size, zone_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + node_size
            node = payload[start:end].decode()
            start = end
            end = start + tenant_size
            tenant = payload[start:end].decode()
            start = end
            end = start + service_size
            service = payload[start:end].decode()
            start = end
            end = start + zone_size
            zone = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"Hello of {len(payload)} bytes, not {start}")
        return cls(protocol, incarnation, version, node, tenant, service, zone)


class Ping(Record):
    """Liveness probe of a connection; a node replies with a LoadReport."""

    KIND: ClassVar[int] = 2
    LAYOUT: ClassVar[Struct] = Struct("!Q")
    __slots__ = ('version',)

    def __init__(
        self,
        version: int = 0,
    ) -> None:
        self.version: int = version

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.version)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> Ping:
        try:
            version, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"Ping of {len(payload)} bytes, not {start}")
        return cls(version)


class LoadReport(Record):
    """Load of a node's worker; ``wait_us`` is the expected queue wait in microseconds."""

    KIND: ClassVar[int] = 3
    LAYOUT: ClassVar[Struct] = Struct("!IIII?Q")
    __slots__ = ('in_flight', 'queued', 'limit', 'wait_us', 'draining', 'version',)

    def __init__(
        self,
        in_flight: int = 0,
        queued: int = 0,
        limit: int = 0,
        wait_us: int = 0,
        draining: bool = False,
        version: int = 0,
    ) -> None:
        self.in_flight: int = in_flight
        self.queued: int = queued
        self.limit: int = limit
        self.wait_us: int = wait_us
        self.draining: bool = draining
        self.version: int = version

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.in_flight, self.queued, self.limit, self.wait_us, self.draining, self.version)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> LoadReport:
        try:
            in_flight, queued, limit, wait_us, draining, version, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"LoadReport of {len(payload)} bytes, not {start}")
        return cls(in_flight, queued, limit, wait_us, draining, version)


class GoingAway(Record):
    """The sender accepts no new calls on this connection."""

    KIND: ClassVar[int] = 4
    LAYOUT: ClassVar[Struct] = Struct("!B")
    __slots__ = ('reason',)

    def __init__(
        self,
        reason: int = 0,
    ) -> None:
        self.reason: int = reason

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.reason)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> GoingAway:
        try:
            reason, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"GoingAway of {len(payload)} bytes, not {start}")
        return cls(reason)


class CallOpen(Record):
    """Opens a call. ``deadline_ms`` is the time until the root request's deadline; ``allowance`` is the number of retries that this call may spend."""

    KIND: ClassVar[int] = 10
    LAYOUT: ClassVar[Struct] = Struct("!IHBBBQIHHHHHHII")
    __slots__ = ('deadline_ms', 'allowance', 'criticality', 'depth', 'attempt', 'root', 'window', 'tenant', 'caller', 'service', 'method', 'path', 'key', 'headers', 'body',)

    def __init__(
        self,
        deadline_ms: int = 0,
        allowance: int = 0,
        criticality: int = 0,
        depth: int = 0,
        attempt: int = 0,
        root: int = 0,
        window: int = 0,
        tenant: str = "",
        caller: str = "",
        service: str = "",
        method: str = "",
        path: str = "",
        key: str = "",
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> None:
        self.deadline_ms: int = deadline_ms
        self.allowance: int = allowance
        self.criticality: int = criticality
        self.depth: int = depth
        self.attempt: int = attempt
        self.root: int = root
        self.window: int = window
        self.tenant: str = tenant
        self.caller: str = caller
        self.service: str = service
        self.method: str = method
        self.path: str = path
        self.key: str = key
        self.headers: list[tuple[str, str]] = headers if headers is not None else []
        self.body: bytes = body

    def pack(self) -> bytes:
        try:
            tenant = self.tenant.encode()
            caller = self.caller.encode()
            service = self.service.encode()
            method = self.method.encode()
            path = self.path.encode()
            key = self.key.encode()
            headers = pack_pairs(self.headers)
            body = self.body
            head = self.LAYOUT.pack(self.deadline_ms, self.allowance, self.criticality, self.depth, self.attempt, self.root, self.window, len(tenant), len(caller), len(service), len(method), len(path), len(key), len(headers), len(body))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, tenant, caller, service, method, path, key, headers, body))

    @classmethod
    def unpack(cls, payload: bytes) -> CallOpen:
        try:
            deadline_ms, allowance, criticality, depth, attempt, root, window, tenant_size, caller_size, service_size, method_size, path_size, key_size, headers_size, body_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + tenant_size
            tenant = payload[start:end].decode()
            start = end
            end = start + caller_size
            caller = payload[start:end].decode()
            start = end
            end = start + service_size
            service = payload[start:end].decode()
            start = end
            end = start + method_size
            method = payload[start:end].decode()
            start = end
            end = start + path_size
            path = payload[start:end].decode()
            start = end
            end = start + key_size
            key = payload[start:end].decode()
            start = end
            end = start + headers_size
            headers = unpack_pairs(payload[start:end])
            start = end
            end = start + body_size
            body = payload[start:end]
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"CallOpen of {len(payload)} bytes, not {start}")
        return cls(deadline_ms, allowance, criticality, depth, attempt, root, window, tenant, caller, service, method, path, key, headers, body)


class CallCancel(Record):
    """Cancels a call whose caller no longer waits."""

    KIND: ClassVar[int] = 11
    LAYOUT: ClassVar[Struct] = Struct("!B")
    __slots__ = ('reason',)

    def __init__(
        self,
        reason: int = 0,
    ) -> None:
        self.reason: int = reason

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.reason)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> CallCancel:
        try:
            reason, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"CallCancel of {len(payload)} bytes, not {start}")
        return cls(reason)


class AnswerHead(Record):
    """First record of a response. ``refused_below`` is one more than the highest criticality recently refused for the call's tenant, 0 for none."""

    KIND: ClassVar[int] = 12
    LAYOUT: ClassVar[Struct] = Struct("!BBHIHIIIB??I")
    __slots__ = ('outcome', 'reason', 'status', 'retry_after_ms', 'allowance', 'in_flight', 'limit', 'wait_us', 'refused_below', 'draining', 'final', 'headers',)

    def __init__(
        self,
        outcome: int = 0,
        reason: int = 0,
        status: int = 0,
        retry_after_ms: int = 0,
        allowance: int = 0,
        in_flight: int = 0,
        limit: int = 0,
        wait_us: int = 0,
        refused_below: int = 0,
        draining: bool = False,
        final: bool = False,
        headers: list[tuple[str, str]] | None = None,
    ) -> None:
        self.outcome: int = outcome
        self.reason: int = reason
        self.status: int = status
        self.retry_after_ms: int = retry_after_ms
        self.allowance: int = allowance
        self.in_flight: int = in_flight
        self.limit: int = limit
        self.wait_us: int = wait_us
        self.refused_below: int = refused_below
        self.draining: bool = draining
        self.final: bool = final
        self.headers: list[tuple[str, str]] = headers if headers is not None else []

    def pack(self) -> bytes:
        try:
            headers = pack_pairs(self.headers)
            head = self.LAYOUT.pack(self.outcome, self.reason, self.status, self.retry_after_ms, self.allowance, self.in_flight, self.limit, self.wait_us, self.refused_below, self.draining, self.final, len(headers))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, headers))

    @classmethod
    def unpack(cls, payload: bytes) -> AnswerHead:
        try:
            outcome, reason, status, retry_after_ms, allowance, in_flight, limit, wait_us, refused_below, draining, final, headers_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + headers_size
            headers = unpack_pairs(payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"AnswerHead of {len(payload)} bytes, not {start}")
        return cls(outcome, reason, status, retry_after_ms, allowance, in_flight, limit, wait_us, refused_below, draining, final, headers)


class AnswerBody(Record):
    """A piece of a response body."""

    KIND: ClassVar[int] = 13
    LAYOUT: ClassVar[Struct] = Struct("!II")
    __slots__ = ('sequence', 'data',)

    def __init__(
        self,
        sequence: int = 0,
        data: bytes = b"",
    ) -> None:
        self.sequence: int = sequence
        self.data: bytes = data

    def pack(self) -> bytes:
        try:
            data = self.data
            head = self.LAYOUT.pack(self.sequence, len(data))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, data))

    @classmethod
    def unpack(cls, payload: bytes) -> AnswerBody:
        try:
            sequence, data_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + data_size
            data = payload[start:end]
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"AnswerBody of {len(payload)} bytes, not {start}")
        return cls(sequence, data)


class AnswerEnd(Record):
    """Ends a complete response: size and CRC-32 of its body, and the unspent allowance."""

    KIND: ClassVar[int] = 14
    LAYOUT: ClassVar[Struct] = Struct("!QIH")
    __slots__ = ('length', 'checksum', 'allowance',)

    def __init__(
        self,
        length: int = 0,
        checksum: int = 0,
        allowance: int = 0,
    ) -> None:
        self.length: int = length
        self.checksum: int = checksum
        self.allowance: int = allowance

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.length, self.checksum, self.allowance)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> AnswerEnd:
        try:
            length, checksum, allowance, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"AnswerEnd of {len(payload)} bytes, not {start}")
        return cls(length, checksum, allowance)


class AnswerAbort(Record):
    """Ends a truncated response."""

    KIND: ClassVar[int] = 15
    LAYOUT: ClassVar[Struct] = Struct("!BH")
    __slots__ = ('reason', 'allowance',)

    def __init__(
        self,
        reason: int = 0,
        allowance: int = 0,
    ) -> None:
        self.reason: int = reason
        self.allowance: int = allowance

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.reason, self.allowance)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> AnswerAbort:
        try:
            reason, allowance, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"AnswerAbort of {len(payload)} bytes, not {start}")
        return cls(reason, allowance)


class Credit(Record):
    """Flow control: permits ``size`` further bytes of the body."""

    KIND: ClassVar[int] = 16
    LAYOUT: ClassVar[Struct] = Struct("!I")
    __slots__ = ('size',)

    def __init__(
        self,
        size: int = 0,
    ) -> None:
        self.size: int = size

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.size)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> Credit:
        try:
            size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"Credit of {len(payload)} bytes, not {start}")
        return cls(size)


class Subscribe(Record):
    """Subscribes a node to the configuration and members of its service and of the services that it calls, or to ``everything``. ``session`` counts the node's connections; ``last_resort`` also accepts a control process that has lost contact with the others."""

    KIND: ClassVar[int] = 20
    LAYOUT: ClassVar[Struct] = Struct("!QQI??IBHHHHHH")
    __slots__ = ('incarnation', 'version', 'session', 'everything', 'last_resort', 'node', 'tenant', 'service', 'zone', 'address', 'instance', 'slots', 'state',)

    def __init__(
        self,
        incarnation: int = 0,
        version: int = 0,
        session: int = 0,
        everything: bool = False,
        last_resort: bool = False,
        node: str = "",
        tenant: str = "",
        service: str = "",
        zone: str = "",
        address: str = "",
        instance: str = "",
        slots: int = 0,
        state: int = 0,
    ) -> None:
        self.incarnation: int = incarnation
        self.version: int = version
        self.session: int = session
        self.everything: bool = everything
        self.last_resort: bool = last_resort
        self.node: str = node
        self.tenant: str = tenant
        self.service: str = service
        self.zone: str = zone
        self.address: str = address
        self.instance: str = instance
        self.slots: int = slots
        self.state: int = state

    def pack(self) -> bytes:
        try:
            node = self.node.encode()
            tenant = self.tenant.encode()
            service = self.service.encode()
            zone = self.zone.encode()
            address = self.address.encode()
            instance = self.instance.encode()
            head = self.LAYOUT.pack(self.incarnation, self.version, self.session, self.everything, self.last_resort, self.slots, self.state, len(node), len(tenant), len(service), len(zone), len(address), len(instance))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, node, tenant, service, zone, address, instance))

    @classmethod
    def unpack(cls, payload: bytes) -> Subscribe:
        try:
            incarnation, version, session, everything, last_resort, slots, state, node_size, tenant_size, service_size, zone_size, address_size, instance_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + node_size
            node = payload[start:end].decode()
            start = end
            end = start + tenant_size
            tenant = payload[start:end].decode()
            start = end
            end = start + service_size
            service = payload[start:end].decode()
            start = end
            end = start + zone_size
            zone = payload[start:end].decode()
            start = end
            end = start + address_size
            address = payload[start:end].decode()
            start = end
            end = start + instance_size
            instance = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"Subscribe of {len(payload)} bytes, not {start}")
        return cls(incarnation, version, session, everything, last_resort, node, tenant, service, zone, address, instance, slots, state)


class ConfigRow(Record):
    """One row of compiled configuration; an empty value deletes the key."""

    KIND: ClassVar[int] = 21
    LAYOUT: ClassVar[Struct] = Struct("!QHI")
    __slots__ = ('revision', 'key', 'value',)

    def __init__(
        self,
        revision: int = 0,
        key: str = "",
        value: bytes = b"",
    ) -> None:
        self.revision: int = revision
        self.key: str = key
        self.value: bytes = value

    def pack(self) -> bytes:
        try:
            key = self.key.encode()
            value = self.value
            head = self.LAYOUT.pack(self.revision, len(key), len(value))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, key, value))

    @classmethod
    def unpack(cls, payload: bytes) -> ConfigRow:
        try:
            revision, key_size, value_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + key_size
            key = payload[start:end].decode()
            start = end
            end = start + value_size
            value = payload[start:end]
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"ConfigRow of {len(payload)} bytes, not {start}")
        return cls(revision, key, value)


class ConfigDelta(Record):
    """Rows that changed after ``base`` up to ``version``; ``whole``: they replace all rows."""

    KIND: ClassVar[int] = 22
    LAYOUT: ClassVar[Struct] = Struct("!QQ?I")
    __slots__ = ('base', 'version', 'whole', 'rows',)

    def __init__(
        self,
        base: int = 0,
        version: int = 0,
        whole: bool = False,
        rows: list[ConfigRow] | None = None,
    ) -> None:
        self.base: int = base
        self.version: int = version
        self.whole: bool = whole
        self.rows: list[ConfigRow] = rows if rows is not None else []

    def pack(self) -> bytes:
        try:
            rows = pack_records(self.rows)
            head = self.LAYOUT.pack(self.base, self.version, self.whole, len(rows))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, rows))

    @classmethod
    def unpack(cls, payload: bytes) -> ConfigDelta:
        try:
            base, version, whole, rows_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + rows_size
            rows = unpack_records(ConfigRow.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"ConfigDelta of {len(payload)} bytes, not {start}")
        return cls(base, version, whole, rows)


class Member(Record):
    """A node of a service. ``sequence`` orders the states of one incarnation. ``instance`` identifies the process start of the node's worker and ``slots`` is the worker's concurrency, if reported. ``faults`` is the percentage of failed runs and ``slowness`` the latency in tenths of the expected latency, both as seen by the local sidecar."""

    KIND: ClassVar[int] = 23
    LAYOUT: ClassVar[Struct] = Struct("!QIBIBBHHHHHH")
    __slots__ = ('incarnation', 'sequence', 'state', 'node', 'tenant', 'service', 'zone', 'address', 'slots', 'instance', 'faults', 'slowness',)

    def __init__(
        self,
        incarnation: int = 0,
        sequence: int = 0,
        state: int = 0,
        node: str = "",
        tenant: str = "",
        service: str = "",
        zone: str = "",
        address: str = "",
        slots: int = 0,
        instance: str = "",
        faults: int = 0,
        slowness: int = 0,
    ) -> None:
        self.incarnation: int = incarnation
        self.sequence: int = sequence
        self.state: int = state
        self.node: str = node
        self.tenant: str = tenant
        self.service: str = service
        self.zone: str = zone
        self.address: str = address
        self.slots: int = slots
        self.instance: str = instance
        self.faults: int = faults
        self.slowness: int = slowness

    def pack(self) -> bytes:
        try:
            node = self.node.encode()
            tenant = self.tenant.encode()
            service = self.service.encode()
            zone = self.zone.encode()
            address = self.address.encode()
            instance = self.instance.encode()
            head = self.LAYOUT.pack(self.incarnation, self.sequence, self.state, self.slots, self.faults, self.slowness, len(node), len(tenant), len(service), len(zone), len(address), len(instance))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, node, tenant, service, zone, address, instance))

    @classmethod
    def unpack(cls, payload: bytes) -> Member:
        try:
            incarnation, sequence, state, slots, faults, slowness, node_size, tenant_size, service_size, zone_size, address_size, instance_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + node_size
            node = payload[start:end].decode()
            start = end
            end = start + tenant_size
            tenant = payload[start:end].decode()
            start = end
            end = start + service_size
            service = payload[start:end].decode()
            start = end
            end = start + zone_size
            zone = payload[start:end].decode()
            start = end
            end = start + address_size
            address = payload[start:end].decode()
            start = end
            end = start + instance_size
            instance = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"Member of {len(payload)} bytes, not {start}")
        return cls(incarnation, sequence, state, node, tenant, service, zone, address, slots, instance, faults, slowness)


class MemberDelta(Record):
    """Changed members, or all members for a new subscriber."""

    KIND: ClassVar[int] = 24
    LAYOUT: ClassVar[Struct] = Struct("!?I")
    __slots__ = ('whole', 'members',)

    def __init__(
        self,
        whole: bool = False,
        members: list[Member] | None = None,
    ) -> None:
        self.whole: bool = whole
        self.members: list[Member] = members if members is not None else []

    def pack(self) -> bytes:
        try:
            members = pack_records(self.members)
            head = self.LAYOUT.pack(self.whole, len(members))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, members))

    @classmethod
    def unpack(cls, payload: bytes) -> MemberDelta:
        try:
            whole, members_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + members_size
            members = unpack_records(Member.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"MemberDelta of {len(payload)} bytes, not {start}")
        return cls(whole, members)


class Heartbeat(Record):
    """Renews a node's lease and reports its version in force and its worker; ``faults`` and ``slowness`` as in Member. ``asked_us`` is the sender's monotonic clock, repeated in the HeartbeatAnswer; 0 requests no answer."""

    KIND: ClassVar[int] = 25
    LAYOUT: ClassVar[Struct] = Struct("!QQBIBBQHH")
    __slots__ = ('incarnation', 'version', 'state', 'slots', 'service', 'instance', 'faults', 'slowness', 'asked_us',)

    def __init__(
        self,
        incarnation: int = 0,
        version: int = 0,
        state: int = 0,
        slots: int = 0,
        service: str = "",
        instance: str = "",
        faults: int = 0,
        slowness: int = 0,
        asked_us: int = 0,
    ) -> None:
        self.incarnation: int = incarnation
        self.version: int = version
        self.state: int = state
        self.slots: int = slots
        self.service: str = service
        self.instance: str = instance
        self.faults: int = faults
        self.slowness: int = slowness
        self.asked_us: int = asked_us

    def pack(self) -> bytes:
        try:
            service = self.service.encode()
            instance = self.instance.encode()
            head = self.LAYOUT.pack(self.incarnation, self.version, self.state, self.slots, self.faults, self.slowness, self.asked_us, len(service), len(instance))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, service, instance))

    @classmethod
    def unpack(cls, payload: bytes) -> Heartbeat:
        try:
            incarnation, version, state, slots, faults, slowness, asked_us, service_size, instance_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + service_size
            service = payload[start:end].decode()
            start = end
            end = start + instance_size
            instance = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"Heartbeat of {len(payload)} bytes, not {start}")
        return cls(incarnation, version, state, slots, service, instance, faults, slowness, asked_us)


class ControlReplicas(Record):
    """Current addresses at which nodes can subscribe to the control group."""

    KIND: ClassVar[int] = 26
    LAYOUT: ClassVar[Struct] = Struct("!I")
    __slots__ = ('addresses',)

    def __init__(
        self,
        addresses: list[str] | None = None,
    ) -> None:
        self.addresses: list[str] = addresses if addresses is not None else []

    def pack(self) -> bytes:
        try:
            addresses = pack_strings(self.addresses)
            head = self.LAYOUT.pack(len(addresses))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, addresses))

    @classmethod
    def unpack(cls, payload: bytes) -> ControlReplicas:
        try:
            addresses_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + addresses_size
            addresses = unpack_strings(payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"ControlReplicas of {len(payload)} bytes, not {start}")
        return cls(addresses)


class IncarnationKnown(Record):
    """Informs a subscriber of a newer incarnation of its node name: the clock was ahead at an earlier start, or is behind now."""

    KIND: ClassVar[int] = 27
    LAYOUT: ClassVar[Struct] = Struct("!Q")
    __slots__ = ('incarnation',)

    def __init__(
        self,
        incarnation: int = 0,
    ) -> None:
        self.incarnation: int = incarnation

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.incarnation)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> IncarnationKnown:
        try:
            incarnation, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"IncarnationKnown of {len(payload)} bytes, not {start}")
        return cls(incarnation)


class HeartbeatAnswer(Record):
    """Response to a Heartbeat with ``asked_us``. ``confirmed``: ``age_us`` before this response, ``revision`` was the group's newest, according to a leader that had a quorum at that moment."""

    KIND: ClassVar[int] = 28
    LAYOUT: ClassVar[Struct] = Struct("!Q?QQ")
    __slots__ = ('asked_us', 'confirmed', 'age_us', 'revision',)

    def __init__(
        self,
        asked_us: int = 0,
        confirmed: bool = False,
        age_us: int = 0,
        revision: int = 0,
    ) -> None:
        self.asked_us: int = asked_us
        self.confirmed: bool = confirmed
        self.age_us: int = age_us
        self.revision: int = revision

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.asked_us, self.confirmed, self.age_us, self.revision)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> HeartbeatAnswer:
        try:
            asked_us, confirmed, age_us, revision, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"HeartbeatAnswer of {len(payload)} bytes, not {start}")
        return cls(asked_us, confirmed, age_us, revision)


class TenantUsage(Record):
    """Request counts of a tenant: ``offered`` received, ``admitted`` of these admitted, ``returned`` of the admitted ones not run."""

    KIND: ClassVar[int] = 29
    LAYOUT: ClassVar[Struct] = Struct("!IIIH")
    __slots__ = ('offered', 'admitted', 'returned', 'tenant',)

    def __init__(
        self,
        offered: int = 0,
        admitted: int = 0,
        returned: int = 0,
        tenant: str = "",
    ) -> None:
        self.offered: int = offered
        self.admitted: int = admitted
        self.returned: int = returned
        self.tenant: str = tenant

    def pack(self) -> bytes:
        try:
            tenant = self.tenant.encode()
            head = self.LAYOUT.pack(self.offered, self.admitted, self.returned, len(tenant))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, tenant))

    @classmethod
    def unpack(cls, payload: bytes) -> TenantUsage:
        try:
            offered, admitted, returned, tenant_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + tenant_size
            tenant = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"TenantUsage of {len(payload)} bytes, not {start}")
        return cls(offered, admitted, returned, tenant)


class UsageReport(Record):
    """Requests at a sidecar since its last report to control."""

    KIND: ClassVar[int] = 38
    LAYOUT: ClassVar[Struct] = Struct("!I")
    __slots__ = ('usage',)

    def __init__(
        self,
        usage: list[TenantUsage] | None = None,
    ) -> None:
        self.usage: list[TenantUsage] = usage if usage is not None else []

    def pack(self) -> bytes:
        try:
            usage = pack_records(self.usage)
            head = self.LAYOUT.pack(len(usage))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, usage))

    @classmethod
    def unpack(cls, payload: bytes) -> UsageReport:
        try:
            usage_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + usage_size
            usage = unpack_records(TenantUsage.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"UsageReport of {len(payload)} bytes, not {start}")
        return cls(usage)


class UsageTotals(Record):
    """Usage reported to one control process by its subscribers, sent to another one: counts since ``began_us``, the start of the sender by its monotonic clock, of the tenants with changed counts. ``nodes`` is the sender's current number of reporting subscribers."""

    KIND: ClassVar[int] = 39
    LAYOUT: ClassVar[Struct] = Struct("!QIHI")
    __slots__ = ('began_us', 'nodes', 'owner', 'totals',)

    def __init__(
        self,
        began_us: int = 0,
        nodes: int = 0,
        owner: str = "",
        totals: list[TenantUsage] | None = None,
    ) -> None:
        self.began_us: int = began_us
        self.nodes: int = nodes
        self.owner: str = owner
        self.totals: list[TenantUsage] = totals if totals is not None else []

    def pack(self) -> bytes:
        try:
            owner = self.owner.encode()
            totals = pack_records(self.totals)
            head = self.LAYOUT.pack(self.began_us, self.nodes, len(owner), len(totals))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, owner, totals))

    @classmethod
    def unpack(cls, payload: bytes) -> UsageTotals:
        try:
            began_us, nodes, owner_size, totals_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + owner_size
            owner = payload[start:end].decode()
            start = end
            end = start + totals_size
            totals = unpack_records(TenantUsage.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"UsageTotals of {len(payload)} bytes, not {start}")
        return cls(began_us, nodes, owner, totals)


class TenantShare(Record):
    """Fraction of a tenant's requests that a sidecar admits, in permille."""

    KIND: ClassVar[int] = 43
    LAYOUT: ClassVar[Struct] = Struct("!HH")
    __slots__ = ('permille', 'tenant',)

    def __init__(
        self,
        permille: int = 0,
        tenant: str = "",
    ) -> None:
        self.permille: int = permille
        self.tenant: str = tenant

    def pack(self) -> bytes:
        try:
            tenant = self.tenant.encode()
            head = self.LAYOUT.pack(self.permille, len(tenant))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, tenant))

    @classmethod
    def unpack(cls, payload: bytes) -> TenantShare:
        try:
            permille, tenant_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + tenant_size
            tenant = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"TenantShare of {len(payload)} bytes, not {start}")
        return cls(permille, tenant)


class TenantShares(Record):
    """Fractions that changed since the last TenantShares on this connection; ``whole``: all others are 1000."""

    KIND: ClassVar[int] = 44
    LAYOUT: ClassVar[Struct] = Struct("!?I")
    __slots__ = ('whole', 'shares',)

    def __init__(
        self,
        whole: bool = False,
        shares: list[TenantShare] | None = None,
    ) -> None:
        self.whole: bool = whole
        self.shares: list[TenantShare] = shares if shares is not None else []

    def pack(self) -> bytes:
        try:
            shares = pack_records(self.shares)
            head = self.LAYOUT.pack(self.whole, len(shares))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, shares))

    @classmethod
    def unpack(cls, payload: bytes) -> TenantShares:
        try:
            whole, shares_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + shares_size
            shares = unpack_records(TenantShare.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"TenantShares of {len(payload)} bytes, not {start}")
        return cls(whole, shares)


class LedgerBegin(Record):
    """Requests a ledger entry for the start of a ``once`` call. ``lease_ms`` is the maximum time from this request to the first byte sent to the worker, ``run_ms`` the maximum run time after that."""

    KIND: ClassVar[int] = 30
    LAYOUT: ClassVar[Struct] = Struct("!QIIIHHH")
    __slots__ = ('attempt', 'lease_ms', 'run_ms', 'digest', 'tenant', 'service', 'key',)

    def __init__(
        self,
        attempt: int = 0,
        lease_ms: int = 0,
        run_ms: int = 0,
        digest: bytes = b"",
        tenant: str = "",
        service: str = "",
        key: str = "",
    ) -> None:
        self.attempt: int = attempt
        self.lease_ms: int = lease_ms
        self.run_ms: int = run_ms
        self.digest: bytes = digest
        self.tenant: str = tenant
        self.service: str = service
        self.key: str = key

    def pack(self) -> bytes:
        try:
            digest = self.digest
            tenant = self.tenant.encode()
            service = self.service.encode()
            key = self.key.encode()
            head = self.LAYOUT.pack(self.attempt, self.lease_ms, self.run_ms, len(digest), len(tenant), len(service), len(key))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, digest, tenant, service, key))

    @classmethod
    def unpack(cls, payload: bytes) -> LedgerBegin:
        try:
            attempt, lease_ms, run_ms, digest_size, tenant_size, service_size, key_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + digest_size
            digest = payload[start:end]
            start = end
            end = start + tenant_size
            tenant = payload[start:end].decode()
            start = end
            end = start + service_size
            service = payload[start:end].decode()
            start = end
            end = start + key_size
            key = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"LedgerBegin of {len(payload)} bytes, not {start}")
        return cls(attempt, lease_ms, run_ms, digest, tenant, service, key)


class LedgerGrant(Record):
    """Response to LedgerBegin. ``decision`` is a LedgerDecision; the other fields hold a stored response."""

    KIND: ClassVar[int] = 31
    LAYOUT: ClassVar[Struct] = Struct("!BHII")
    __slots__ = ('decision', 'status', 'headers', 'body',)

    def __init__(
        self,
        decision: int = 0,
        status: int = 0,
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> None:
        self.decision: int = decision
        self.status: int = status
        self.headers: list[tuple[str, str]] = headers if headers is not None else []
        self.body: bytes = body

    def pack(self) -> bytes:
        try:
            headers = pack_pairs(self.headers)
            body = self.body
            head = self.LAYOUT.pack(self.decision, self.status, len(headers), len(body))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, headers, body))

    @classmethod
    def unpack(cls, payload: bytes) -> LedgerGrant:
        try:
            decision, status, headers_size, body_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + headers_size
            headers = unpack_pairs(payload[start:end])
            start = end
            end = start + body_size
            body = payload[start:end]
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"LedgerGrant of {len(payload)} bytes, not {start}")
        return cls(decision, status, headers, body)


class LedgerFinish(Record):
    """Stores the result of a started entry. ``outcome`` is an Outcome."""

    KIND: ClassVar[int] = 32
    LAYOUT: ClassVar[Struct] = Struct("!QBHHHHII")
    __slots__ = ('attempt', 'outcome', 'status', 'tenant', 'service', 'key', 'headers', 'body',)

    def __init__(
        self,
        attempt: int = 0,
        outcome: int = 0,
        status: int = 0,
        tenant: str = "",
        service: str = "",
        key: str = "",
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> None:
        self.attempt: int = attempt
        self.outcome: int = outcome
        self.status: int = status
        self.tenant: str = tenant
        self.service: str = service
        self.key: str = key
        self.headers: list[tuple[str, str]] = headers if headers is not None else []
        self.body: bytes = body

    def pack(self) -> bytes:
        try:
            tenant = self.tenant.encode()
            service = self.service.encode()
            key = self.key.encode()
            headers = pack_pairs(self.headers)
            body = self.body
            head = self.LAYOUT.pack(self.attempt, self.outcome, self.status, len(tenant), len(service), len(key), len(headers), len(body))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, tenant, service, key, headers, body))

    @classmethod
    def unpack(cls, payload: bytes) -> LedgerFinish:
        try:
            attempt, outcome, status, tenant_size, service_size, key_size, headers_size, body_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + tenant_size
            tenant = payload[start:end].decode()
            start = end
            end = start + service_size
            service = payload[start:end].decode()
            start = end
            end = start + key_size
            key = payload[start:end].decode()
            start = end
            end = start + headers_size
            headers = unpack_pairs(payload[start:end])
            start = end
            end = start + body_size
            body = payload[start:end]
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"LedgerFinish of {len(payload)} bytes, not {start}")
        return cls(attempt, outcome, status, tenant, service, key, headers, body)


class LedgerDone(Record):
    """Response to LedgerFinish."""

    KIND: ClassVar[int] = 33
    LAYOUT: ClassVar[Struct] = Struct("!?")
    __slots__ = ('stored',)

    def __init__(
        self,
        stored: bool = False,
    ) -> None:
        self.stored: bool = stored

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.stored)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> LedgerDone:
        try:
            stored, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"LedgerDone of {len(payload)} bytes, not {start}")
        return cls(stored)


class LedgerUnavailable(Record):
    """Response of a process that cannot handle a ledger request. ``not_run``: the request certainly changed nothing; ``leader`` names the process to ask instead, if known."""

    KIND: ClassVar[int] = 34
    LAYOUT: ClassVar[Struct] = Struct("!?H")
    __slots__ = ('not_run', 'leader',)

    def __init__(
        self,
        not_run: bool = False,
        leader: str = "",
    ) -> None:
        self.not_run: bool = not_run
        self.leader: str = leader

    def pack(self) -> bytes:
        try:
            leader = self.leader.encode()
            head = self.LAYOUT.pack(self.not_run, len(leader))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, leader))

    @classmethod
    def unpack(cls, payload: bytes) -> LedgerUnavailable:
        try:
            not_run, leader_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + leader_size
            leader = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"LedgerUnavailable of {len(payload)} bytes, not {start}")
        return cls(not_run, leader)


class LedgerEntry(Record):
    """An entry of the ledger. ``started``, ``running_until`` and ``expires`` are seconds since 1970; ``outcome`` is valid only if ``finished``."""

    KIND: ClassVar[int] = 35
    LAYOUT: ClassVar[Struct] = Struct("!QB?dddHIHHHII")
    __slots__ = ('attempt', 'outcome', 'finished', 'started', 'running_until', 'expires', 'status', 'digest', 'tenant', 'service', 'key', 'headers', 'body',)

    def __init__(
        self,
        attempt: int = 0,
        outcome: int = 0,
        finished: bool = False,
        started: float = 0.0,
        running_until: float = 0.0,
        expires: float = 0.0,
        status: int = 0,
        digest: bytes = b"",
        tenant: str = "",
        service: str = "",
        key: str = "",
        headers: list[tuple[str, str]] | None = None,
        body: bytes = b"",
    ) -> None:
        self.attempt: int = attempt
        self.outcome: int = outcome
        self.finished: bool = finished
        self.started: float = started
        self.running_until: float = running_until
        self.expires: float = expires
        self.status: int = status
        self.digest: bytes = digest
        self.tenant: str = tenant
        self.service: str = service
        self.key: str = key
        self.headers: list[tuple[str, str]] = headers if headers is not None else []
        self.body: bytes = body

    def pack(self) -> bytes:
        try:
            digest = self.digest
            tenant = self.tenant.encode()
            service = self.service.encode()
            key = self.key.encode()
            headers = pack_pairs(self.headers)
            body = self.body
            head = self.LAYOUT.pack(self.attempt, self.outcome, self.finished, self.started, self.running_until, self.expires, self.status, len(digest), len(tenant), len(service), len(key), len(headers), len(body))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, digest, tenant, service, key, headers, body))

    @classmethod
    def unpack(cls, payload: bytes) -> LedgerEntry:
        try:
            attempt, outcome, finished, started, running_until, expires, status, digest_size, tenant_size, service_size, key_size, headers_size, body_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + digest_size
            digest = payload[start:end]
            start = end
            end = start + tenant_size
            tenant = payload[start:end].decode()
            start = end
            end = start + service_size
            service = payload[start:end].decode()
            start = end
            end = start + key_size
            key = payload[start:end].decode()
            start = end
            end = start + headers_size
            headers = unpack_pairs(payload[start:end])
            start = end
            end = start + body_size
            body = payload[start:end]
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"LedgerEntry of {len(payload)} bytes, not {start}")
        return cls(attempt, outcome, finished, started, running_until, expires, status, digest, tenant, service, key, headers, body)


class LedgerBatch(Record):
    """Command of the ledger's log: a batch of requests, applied in order. ``when`` is the leader's wall clock in seconds since 1970."""

    KIND: ClassVar[int] = 36
    LAYOUT: ClassVar[Struct] = Struct("!dII")
    __slots__ = ('when', 'begins', 'finishes',)

    def __init__(
        self,
        when: float = 0.0,
        begins: list[LedgerBegin] | None = None,
        finishes: list[LedgerFinish] | None = None,
    ) -> None:
        self.when: float = when
        self.begins: list[LedgerBegin] = begins if begins is not None else []
        self.finishes: list[LedgerFinish] = finishes if finishes is not None else []

    def pack(self) -> bytes:
        try:
            begins = pack_records(self.begins)
            finishes = pack_records(self.finishes)
            head = self.LAYOUT.pack(self.when, len(begins), len(finishes))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, begins, finishes))

    @classmethod
    def unpack(cls, payload: bytes) -> LedgerBatch:
        try:
            when, begins_size, finishes_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + begins_size
            begins = unpack_records(LedgerBegin.unpack, payload[start:end])
            start = end
            end = start + finishes_size
            finishes = unpack_records(LedgerFinish.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"LedgerBatch of {len(payload)} bytes, not {start}")
        return cls(when, begins, finishes)


class LedgerState(Record):
    """Complete state of a ledger group. ``entries`` holds packed LedgerEntry records, each preceded by its name and size."""

    KIND: ClassVar[int] = 37
    LAYOUT: ClassVar[Struct] = Struct("!dI")
    __slots__ = ('now', 'entries',)

    def __init__(
        self,
        now: float = 0.0,
        entries: bytes = b"",
    ) -> None:
        self.now: float = now
        self.entries: bytes = entries

    def pack(self) -> bytes:
        try:
            entries = self.entries
            head = self.LAYOUT.pack(self.now, len(entries))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, entries))

    @classmethod
    def unpack(cls, payload: bytes) -> LedgerState:
        try:
            now, entries_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + entries_size
            entries = payload[start:end]
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"LedgerState of {len(payload)} bytes, not {start}")
        return cls(now, entries)


class TenantRow(Record):
    """Compiled tenant with its share and the digests of its tokens."""

    KIND: ClassVar[int] = 40
    LAYOUT: ClassVar[Struct] = Struct("!IHI")
    __slots__ = ('share', 'name', 'tokens',)

    def __init__(
        self,
        share: int = 0,
        name: str = "",
        tokens: list[str] | None = None,
    ) -> None:
        self.share: int = share
        self.name: str = name
        self.tokens: list[str] = tokens if tokens is not None else []

    def pack(self) -> bytes:
        try:
            name = self.name.encode()
            tokens = pack_strings(self.tokens)
            head = self.LAYOUT.pack(self.share, len(name), len(tokens))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, name, tokens))

    @classmethod
    def unpack(cls, payload: bytes) -> TenantRow:
        try:
            share, name_size, tokens_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + name_size
            name = payload[start:end].decode()
            start = end
            end = start + tokens_size
            tokens = unpack_strings(payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"TenantRow of {len(payload)} bytes, not {start}")
        return cls(share, name, tokens)


class RouteRow(Record):
    """Compiled route with all inherited values resolved. ``caps``: the policy sets ``criticality``, which therefore also limits calls made for a more critical request."""

    KIND: ClassVar[int] = 41
    LAYOUT: ClassVar[Struct] = Struct("!B?BIHHHH")
    __slots__ = ('criticality', 'caps', 'repeat', 'deadline_ms', 'allowance', 'name', 'method', 'pattern',)

    def __init__(
        self,
        criticality: int = 0,
        caps: bool = False,
        repeat: int = 0,
        deadline_ms: int = 0,
        allowance: int = 0,
        name: str = "",
        method: str = "",
        pattern: str = "",
    ) -> None:
        self.criticality: int = criticality
        self.caps: bool = caps
        self.repeat: int = repeat
        self.deadline_ms: int = deadline_ms
        self.allowance: int = allowance
        self.name: str = name
        self.method: str = method
        self.pattern: str = pattern

    def pack(self) -> bytes:
        try:
            name = self.name.encode()
            method = self.method.encode()
            pattern = self.pattern.encode()
            head = self.LAYOUT.pack(self.criticality, self.caps, self.repeat, self.deadline_ms, self.allowance, len(name), len(method), len(pattern))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, name, method, pattern))

    @classmethod
    def unpack(cls, payload: bytes) -> RouteRow:
        try:
            criticality, caps, repeat, deadline_ms, allowance, name_size, method_size, pattern_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + name_size
            name = payload[start:end].decode()
            start = end
            end = start + method_size
            method = payload[start:end].decode()
            start = end
            end = start + pattern_size
            pattern = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"RouteRow of {len(payload)} bytes, not {start}")
        return cls(criticality, caps, repeat, deadline_ms, allowance, name, method, pattern)


class ServiceRow(Record):
    """Compiled service. ``slots`` is the configured concurrency of a worker; ``depth_below`` is 0 for a service without downstream calls; ``ledgers`` are the ledger groups of its ``once`` calls."""

    KIND: ClassVar[int] = 42
    LAYOUT: ClassVar[Struct] = Struct("!IIBHHHIIII")
    __slots__ = ('slots', 'queue', 'depth_below', 'retry_ratio_permille', 'tenant', 'name', 'calls', 'callers', 'ledgers', 'routes',)

    def __init__(
        self,
        slots: int = 0,
        queue: int = 0,
        depth_below: int = 0,
        retry_ratio_permille: int = 0,
        tenant: str = "",
        name: str = "",
        calls: list[str] | None = None,
        callers: list[str] | None = None,
        ledgers: list[str] | None = None,
        routes: list[RouteRow] | None = None,
    ) -> None:
        self.slots: int = slots
        self.queue: int = queue
        self.depth_below: int = depth_below
        self.retry_ratio_permille: int = retry_ratio_permille
        self.tenant: str = tenant
        self.name: str = name
        self.calls: list[str] = calls if calls is not None else []
        self.callers: list[str] = callers if callers is not None else []
        self.ledgers: list[str] = ledgers if ledgers is not None else []
        self.routes: list[RouteRow] = routes if routes is not None else []

    def pack(self) -> bytes:
        try:
            tenant = self.tenant.encode()
            name = self.name.encode()
            calls = pack_strings(self.calls)
            callers = pack_strings(self.callers)
            ledgers = pack_strings(self.ledgers)
            routes = pack_records(self.routes)
            head = self.LAYOUT.pack(self.slots, self.queue, self.depth_below, self.retry_ratio_permille, len(tenant), len(name), len(calls), len(callers), len(ledgers), len(routes))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, tenant, name, calls, callers, ledgers, routes))

    @classmethod
    def unpack(cls, payload: bytes) -> ServiceRow:
        try:
            slots, queue, depth_below, retry_ratio_permille, tenant_size, name_size, calls_size, callers_size, ledgers_size, routes_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + tenant_size
            tenant = payload[start:end].decode()
            start = end
            end = start + name_size
            name = payload[start:end].decode()
            start = end
            end = start + calls_size
            calls = unpack_strings(payload[start:end])
            start = end
            end = start + callers_size
            callers = unpack_strings(payload[start:end])
            start = end
            end = start + ledgers_size
            ledgers = unpack_strings(payload[start:end])
            start = end
            end = start + routes_size
            routes = unpack_records(RouteRow.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"ServiceRow of {len(payload)} bytes, not {start}")
        return cls(slots, queue, depth_below, retry_ratio_permille, tenant, name, calls, callers, ledgers, routes)


class LogEntry(Record):
    """An entry of a replicated log."""

    KIND: ClassVar[int] = 50
    LAYOUT: ClassVar[Struct] = Struct("!QQBI")
    __slots__ = ('term', 'index', 'kind', 'data',)

    def __init__(
        self,
        term: int = 0,
        index: int = 0,
        kind: int = 0,
        data: bytes = b"",
    ) -> None:
        self.term: int = term
        self.index: int = index
        self.kind: int = kind
        self.data: bytes = data

    def pack(self) -> bytes:
        try:
            data = self.data
            head = self.LAYOUT.pack(self.term, self.index, self.kind, len(data))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, data))

    @classmethod
    def unpack(cls, payload: bytes) -> LogEntry:
        try:
            term, index, kind, data_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + data_size
            data = payload[start:end]
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"LogEntry of {len(payload)} bytes, not {start}")
        return cls(term, index, kind, data)


class ReplicaMember(Record):
    """A replica of a group. ``identity`` belongs to its data folder: with an emptied folder, it becomes a new replica. ``promote``: a learner that becomes a voter after catching up."""

    KIND: ClassVar[int] = 51
    LAYOUT: ClassVar[Struct] = Struct("!Q??HHH")
    __slots__ = ('identity', 'voter', 'promote', 'name', 'address', 'http',)

    def __init__(
        self,
        identity: int = 0,
        voter: bool = False,
        promote: bool = False,
        name: str = "",
        address: str = "",
        http: str = "",
    ) -> None:
        self.identity: int = identity
        self.voter: bool = voter
        self.promote: bool = promote
        self.name: str = name
        self.address: str = address
        self.http: str = http

    def pack(self) -> bytes:
        try:
            name = self.name.encode()
            address = self.address.encode()
            http = self.http.encode()
            head = self.LAYOUT.pack(self.identity, self.voter, self.promote, len(name), len(address), len(http))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, name, address, http))

    @classmethod
    def unpack(cls, payload: bytes) -> ReplicaMember:
        try:
            identity, voter, promote, name_size, address_size, http_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + name_size
            name = payload[start:end].decode()
            start = end
            end = start + address_size
            address = payload[start:end].decode()
            start = end
            end = start + http_size
            http = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"ReplicaMember of {len(payload)} bytes, not {start}")
        return cls(identity, voter, promote, name, address, http)


class ReplicaSet(Record):
    """The replicas of a group."""

    KIND: ClassVar[int] = 52
    LAYOUT: ClassVar[Struct] = Struct("!I")
    __slots__ = ('members',)

    def __init__(
        self,
        members: list[ReplicaMember] | None = None,
    ) -> None:
        self.members: list[ReplicaMember] = members if members is not None else []

    def pack(self) -> bytes:
        try:
            members = pack_records(self.members)
            head = self.LAYOUT.pack(len(members))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, members))

    @classmethod
    def unpack(cls, payload: bytes) -> ReplicaSet:
        try:
            members_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + members_size
            members = unpack_records(ReplicaMember.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"ReplicaSet of {len(payload)} bytes, not {start}")
        return cls(members)


class LogSnapshot(Record):
    """Snapshot of the state after the entry ``index``; replaces all entries up to it."""

    KIND: ClassVar[int] = 53
    LAYOUT: ClassVar[Struct] = Struct("!QQII")
    __slots__ = ('term', 'index', 'members', 'state',)

    def __init__(
        self,
        term: int = 0,
        index: int = 0,
        members: list[ReplicaMember] | None = None,
        state: bytes = b"",
    ) -> None:
        self.term: int = term
        self.index: int = index
        self.members: list[ReplicaMember] = members if members is not None else []
        self.state: bytes = state

    def pack(self) -> bytes:
        try:
            members = pack_records(self.members)
            state = self.state
            head = self.LAYOUT.pack(self.term, self.index, len(members), len(state))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, members, state))

    @classmethod
    def unpack(cls, payload: bytes) -> LogSnapshot:
        try:
            term, index, members_size, state_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + members_size
            members = unpack_records(ReplicaMember.unpack, payload[start:end])
            start = end
            end = start + state_size
            state = payload[start:end]
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"LogSnapshot of {len(payload)} bytes, not {start}")
        return cls(term, index, members, state)


class VoteState(Record):
    """Durable state of a replica besides its log: term, identity and vote."""

    KIND: ClassVar[int] = 54
    LAYOUT: ClassVar[Struct] = Struct("!QQQ")
    __slots__ = ('term', 'identity', 'voted_for',)

    def __init__(
        self,
        term: int = 0,
        identity: int = 0,
        voted_for: int = 0,
    ) -> None:
        self.term: int = term
        self.identity: int = identity
        self.voted_for: int = voted_for

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.term, self.identity, self.voted_for)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> VoteState:
        try:
            term, identity, voted_for, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"VoteState of {len(payload)} bytes, not {start}")
        return cls(term, identity, voted_for)


class ReplicaHello(Record):
    """First record in each direction between replicas; identifies the group and the sender."""

    KIND: ClassVar[int] = 55
    LAYOUT: ClassVar[Struct] = Struct("!QHH")
    __slots__ = ('identity', 'group', 'name',)

    def __init__(
        self,
        identity: int = 0,
        group: str = "",
        name: str = "",
    ) -> None:
        self.identity: int = identity
        self.group: str = group
        self.name: str = name

    def pack(self) -> bytes:
        try:
            group = self.group.encode()
            name = self.name.encode()
            head = self.LAYOUT.pack(self.identity, len(group), len(name))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, group, name))

    @classmethod
    def unpack(cls, payload: bytes) -> ReplicaHello:
        try:
            identity, group_size, name_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + group_size
            group = payload[start:end].decode()
            start = end
            end = start + name_size
            name = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"ReplicaHello of {len(payload)} bytes, not {start}")
        return cls(identity, group, name)


class VoteRequest(Record):
    """Requests a vote; ``trial``: a pre-vote. ``lost`` is a former leader whose disk was lost, 0 for none: another replica now uses its address."""

    KIND: ClassVar[int] = 56
    LAYOUT: ClassVar[Struct] = Struct("!QQQQ?Q")
    __slots__ = ('term', 'candidate', 'last_index', 'last_term', 'trial', 'lost',)

    def __init__(
        self,
        term: int = 0,
        candidate: int = 0,
        last_index: int = 0,
        last_term: int = 0,
        trial: bool = False,
        lost: int = 0,
    ) -> None:
        self.term: int = term
        self.candidate: int = candidate
        self.last_index: int = last_index
        self.last_term: int = last_term
        self.trial: bool = trial
        self.lost: int = lost

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.term, self.candidate, self.last_index, self.last_term, self.trial, self.lost)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> VoteRequest:
        try:
            term, candidate, last_index, last_term, trial, lost, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"VoteRequest of {len(payload)} bytes, not {start}")
        return cls(term, candidate, last_index, last_term, trial, lost)


class VoteReply(Record):
    """Response to VoteRequest."""

    KIND: ClassVar[int] = 57
    LAYOUT: ClassVar[Struct] = Struct("!Q?")
    __slots__ = ('term', 'granted',)

    def __init__(
        self,
        term: int = 0,
        granted: bool = False,
    ) -> None:
        self.term: int = term
        self.granted: bool = granted

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.term, self.granted)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> VoteReply:
        try:
            term, granted, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"VoteReply of {len(payload)} bytes, not {start}")
        return cls(term, granted)


class AppendRequest(Record):
    """Log entries after ``previous_index`` and the commit index of the leader. ``leased``: a quorum has recently confirmed the leader."""

    KIND: ClassVar[int] = 58
    LAYOUT: ClassVar[Struct] = Struct("!QQQQQ?I")
    __slots__ = ('term', 'leader', 'previous_index', 'previous_term', 'commit', 'entries', 'leased',)

    def __init__(
        self,
        term: int = 0,
        leader: int = 0,
        previous_index: int = 0,
        previous_term: int = 0,
        commit: int = 0,
        entries: list[LogEntry] | None = None,
        leased: bool = False,
    ) -> None:
        self.term: int = term
        self.leader: int = leader
        self.previous_index: int = previous_index
        self.previous_term: int = previous_term
        self.commit: int = commit
        self.entries: list[LogEntry] = entries if entries is not None else []
        self.leased: bool = leased

    def pack(self) -> bytes:
        try:
            entries = pack_records(self.entries)
            head = self.LAYOUT.pack(self.term, self.leader, self.previous_index, self.previous_term, self.commit, self.leased, len(entries))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, entries))

    @classmethod
    def unpack(cls, payload: bytes) -> AppendRequest:
        try:
            term, leader, previous_index, previous_term, commit, leased, entries_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + entries_size
            entries = unpack_records(LogEntry.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"AppendRequest of {len(payload)} bytes, not {start}")
        return cls(term, leader, previous_index, previous_term, commit, entries, leased)


class AppendReply(Record):
    """Response to AppendRequest. ``match`` is the last durable entry that matches the leader's log; after a failure, ``last`` is the newest entry of the replica's log."""

    KIND: ClassVar[int] = 59
    LAYOUT: ClassVar[Struct] = Struct("!Q?QQ")
    __slots__ = ('term', 'success', 'match', 'last',)

    def __init__(
        self,
        term: int = 0,
        success: bool = False,
        match: int = 0,
        last: int = 0,
    ) -> None:
        self.term: int = term
        self.success: bool = success
        self.match: int = match
        self.last: int = last

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.term, self.success, self.match, self.last)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> AppendReply:
        try:
            term, success, match, last, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"AppendReply of {len(payload)} bytes, not {start}")
        return cls(term, success, match, last)


class SnapshotChunk(Record):
    """Piece of a snapshot, sent to a replica that needs entries no longer in the log."""

    KIND: ClassVar[int] = 70
    LAYOUT: ClassVar[Struct] = Struct("!QQQQQI")
    __slots__ = ('term', 'leader', 'index', 'offset', 'total', 'data',)

    def __init__(
        self,
        term: int = 0,
        leader: int = 0,
        index: int = 0,
        offset: int = 0,
        total: int = 0,
        data: bytes = b"",
    ) -> None:
        self.term: int = term
        self.leader: int = leader
        self.index: int = index
        self.offset: int = offset
        self.total: int = total
        self.data: bytes = data

    def pack(self) -> bytes:
        try:
            data = self.data
            head = self.LAYOUT.pack(self.term, self.leader, self.index, self.offset, self.total, len(data))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, data))

    @classmethod
    def unpack(cls, payload: bytes) -> SnapshotChunk:
        try:
            term, leader, index, offset, total, data_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + data_size
            data = payload[start:end]
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"SnapshotChunk of {len(payload)} bytes, not {start}")
        return cls(term, leader, index, offset, total, data)


class ConfirmRequest(Record):
    """Asks a leader to confirm its leadership."""

    KIND: ClassVar[int] = 76
    LAYOUT: ClassVar[Struct] = Struct("!Q")
    __slots__ = ('term',)

    def __init__(
        self,
        term: int = 0,
    ) -> None:
        self.term: int = term

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.term)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> ConfirmRequest:
        try:
            term, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"ConfirmRequest of {len(payload)} bytes, not {start}")
        return cls(term)


class ConfirmReply(Record):
    """Response to ConfirmRequest. If ``leads``, the log up to the entry ``commit`` contains everything that was acknowledged before the request."""

    KIND: ClassVar[int] = 77
    LAYOUT: ClassVar[Struct] = Struct("!Q?Q")
    __slots__ = ('term', 'leads', 'commit',)

    def __init__(
        self,
        term: int = 0,
        leads: bool = False,
        commit: int = 0,
    ) -> None:
        self.term: int = term
        self.leads: bool = leads
        self.commit: int = commit

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.term, self.leads, self.commit)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> ConfirmReply:
        try:
            term, leads, commit, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"ConfirmReply of {len(payload)} bytes, not {start}")
        return cls(term, leads, commit)


class SnapshotReply(Record):
    """Response to SnapshotChunk."""

    KIND: ClassVar[int] = 71
    LAYOUT: ClassVar[Struct] = Struct("!QQ")
    __slots__ = ('term', 'received',)

    def __init__(
        self,
        term: int = 0,
        received: int = 0,
    ) -> None:
        self.term: int = term
        self.received: int = received

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.term, self.received)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> SnapshotReply:
        try:
            term, received, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"SnapshotReply of {len(payload)} bytes, not {start}")
        return cls(term, received)


class MemberReport(Record):
    """Changes of the nodes subscribed to one control process, sent to another: changed members and the versions in force that changed."""

    KIND: ClassVar[int] = 72
    LAYOUT: ClassVar[Struct] = Struct("!?HII")
    __slots__ = ('whole', 'owner', 'members', 'versions',)

    def __init__(
        self,
        whole: bool = False,
        owner: str = "",
        members: list[Member] | None = None,
        versions: list[NodeVersion] | None = None,
    ) -> None:
        self.whole: bool = whole
        self.owner: str = owner
        self.members: list[Member] = members if members is not None else []
        self.versions: list[NodeVersion] = versions if versions is not None else []

    def pack(self) -> bytes:
        try:
            owner = self.owner.encode()
            members = pack_records(self.members)
            versions = pack_records(self.versions)
            head = self.LAYOUT.pack(self.whole, len(owner), len(members), len(versions))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, owner, members, versions))

    @classmethod
    def unpack(cls, payload: bytes) -> MemberReport:
        try:
            whole, owner_size, members_size, versions_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + owner_size
            owner = payload[start:end].decode()
            start = end
            end = start + members_size
            members = unpack_records(Member.unpack, payload[start:end])
            start = end
            end = start + versions_size
            versions = unpack_records(NodeVersion.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"MemberReport of {len(payload)} bytes, not {start}")
        return cls(whole, owner, members, versions)


class JoinRequest(Record):
    """Request of a replica to join its group, also after its removal."""

    KIND: ClassVar[int] = 74
    LAYOUT: ClassVar[Struct] = Struct("!Q?HHH")
    __slots__ = ('identity', 'voter', 'name', 'address', 'http',)

    def __init__(
        self,
        identity: int = 0,
        voter: bool = False,
        name: str = "",
        address: str = "",
        http: str = "",
    ) -> None:
        self.identity: int = identity
        self.voter: bool = voter
        self.name: str = name
        self.address: str = address
        self.http: str = http

    def pack(self) -> bytes:
        try:
            name = self.name.encode()
            address = self.address.encode()
            http = self.http.encode()
            head = self.LAYOUT.pack(self.identity, self.voter, len(name), len(address), len(http))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, name, address, http))

    @classmethod
    def unpack(cls, payload: bytes) -> JoinRequest:
        try:
            identity, voter, name_size, address_size, http_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + name_size
            name = payload[start:end].decode()
            start = end
            end = start + address_size
            address = payload[start:end].decode()
            start = end
            end = start + http_size
            http = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"JoinRequest of {len(payload)} bytes, not {start}")
        return cls(identity, voter, name, address, http)


class JoinReply(Record):
    """Response to JoinRequest. ``status`` is a JoinStatus; ``leader`` is the replica to ask."""

    KIND: ClassVar[int] = 75
    LAYOUT: ClassVar[Struct] = Struct("!BH")
    __slots__ = ('status', 'leader',)

    def __init__(
        self,
        status: int = 0,
        leader: str = "",
    ) -> None:
        self.status: int = status
        self.leader: str = leader

    def pack(self) -> bytes:
        try:
            leader = self.leader.encode()
            head = self.LAYOUT.pack(self.status, len(leader))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, leader))

    @classmethod
    def unpack(cls, payload: bytes) -> JoinReply:
        try:
            status, leader_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + leader_size
            leader = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"JoinReply of {len(payload)} bytes, not {start}")
        return cls(status, leader)


class NodeVersion(Record):
    """A node and its version in force."""

    KIND: ClassVar[int] = 73
    LAYOUT: ClassVar[Struct] = Struct("!QH")
    __slots__ = ('version', 'node',)

    def __init__(
        self,
        version: int = 0,
        node: str = "",
    ) -> None:
        self.version: int = version
        self.node: str = node

    def pack(self) -> bytes:
        try:
            node = self.node.encode()
            head = self.LAYOUT.pack(self.version, len(node))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, node))

    @classmethod
    def unpack(cls, payload: bytes) -> NodeVersion:
        try:
            version, node_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + node_size
            node = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"NodeVersion of {len(payload)} bytes, not {start}")
        return cls(version, node)


class EditCommand(Record):
    """A validated edit of a document. ``base`` is the version of the document that was edited; ``compiled_at`` is the revision of the store at which ``rows`` were compiled."""

    KIND: ClassVar[int] = 60
    LAYOUT: ClassVar[Struct] = Struct("!QQdHHHII")
    __slots__ = ('base', 'compiled_at', 'when', 'document', 'operator', 'request', 'text', 'rows',)

    def __init__(
        self,
        base: int = 0,
        compiled_at: int = 0,
        when: float = 0.0,
        document: str = "",
        operator: str = "",
        request: str = "",
        text: str = "",
        rows: list[ConfigRow] | None = None,
    ) -> None:
        self.base: int = base
        self.compiled_at: int = compiled_at
        self.when: float = when
        self.document: str = document
        self.operator: str = operator
        self.request: str = request
        self.text: str = text
        self.rows: list[ConfigRow] = rows if rows is not None else []

    def pack(self) -> bytes:
        try:
            document = self.document.encode()
            operator = self.operator.encode()
            request = self.request.encode()
            text = self.text.encode()
            rows = pack_records(self.rows)
            head = self.LAYOUT.pack(self.base, self.compiled_at, self.when, len(document), len(operator), len(request), len(text), len(rows))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, document, operator, request, text, rows))

    @classmethod
    def unpack(cls, payload: bytes) -> EditCommand:
        try:
            base, compiled_at, when, document_size, operator_size, request_size, text_size, rows_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + document_size
            document = payload[start:end].decode()
            start = end
            end = start + operator_size
            operator = payload[start:end].decode()
            start = end
            end = start + request_size
            request = payload[start:end].decode()
            start = end
            end = start + text_size
            text = payload[start:end].decode()
            start = end
            end = start + rows_size
            rows = unpack_records(ConfigRow.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"EditCommand of {len(payload)} bytes, not {start}")
        return cls(base, compiled_at, when, document, operator, request, text, rows)


class Document(Record):
    """A policy document."""

    KIND: ClassVar[int] = 61
    LAYOUT: ClassVar[Struct] = Struct("!QHI")
    __slots__ = ('version', 'name', 'text',)

    def __init__(
        self,
        version: int = 0,
        name: str = "",
        text: str = "",
    ) -> None:
        self.version: int = version
        self.name: str = name
        self.text: str = text

    def pack(self) -> bytes:
        try:
            name = self.name.encode()
            text = self.text.encode()
            head = self.LAYOUT.pack(self.version, len(name), len(text))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, name, text))

    @classmethod
    def unpack(cls, payload: bytes) -> Document:
        try:
            version, name_size, text_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + name_size
            name = payload[start:end].decode()
            start = end
            end = start + text_size
            text = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"Document of {len(payload)} bytes, not {start}")
        return cls(version, name, text)


class HistoryEntry(Record):
    """An accepted edit of a document."""

    KIND: ClassVar[int] = 62
    LAYOUT: ClassVar[Struct] = Struct("!QQdHHHI")
    __slots__ = ('version', 'base', 'when', 'document', 'operator', 'request', 'text',)

    def __init__(
        self,
        version: int = 0,
        base: int = 0,
        when: float = 0.0,
        document: str = "",
        operator: str = "",
        request: str = "",
        text: str = "",
    ) -> None:
        self.version: int = version
        self.base: int = base
        self.when: float = when
        self.document: str = document
        self.operator: str = operator
        self.request: str = request
        self.text: str = text

    def pack(self) -> bytes:
        try:
            document = self.document.encode()
            operator = self.operator.encode()
            request = self.request.encode()
            text = self.text.encode()
            head = self.LAYOUT.pack(self.version, self.base, self.when, len(document), len(operator), len(request), len(text))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, document, operator, request, text))

    @classmethod
    def unpack(cls, payload: bytes) -> HistoryEntry:
        try:
            version, base, when, document_size, operator_size, request_size, text_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + document_size
            document = payload[start:end].decode()
            start = end
            end = start + operator_size
            operator = payload[start:end].decode()
            start = end
            end = start + request_size
            request = payload[start:end].decode()
            start = end
            end = start + text_size
            text = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"HistoryEntry of {len(payload)} bytes, not {start}")
        return cls(version, base, when, document, operator, request, text)


class RequestAnswer(Record):
    """Result of an operator's request, returned again if the request is repeated."""

    KIND: ClassVar[int] = 63
    LAYOUT: ClassVar[Struct] = Struct("!QBHH")
    __slots__ = ('version', 'result', 'operator', 'request',)

    def __init__(
        self,
        version: int = 0,
        result: int = 0,
        operator: str = "",
        request: str = "",
    ) -> None:
        self.version: int = version
        self.result: int = result
        self.operator: str = operator
        self.request: str = request

    def pack(self) -> bytes:
        try:
            operator = self.operator.encode()
            request = self.request.encode()
            head = self.LAYOUT.pack(self.version, self.result, len(operator), len(request))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, operator, request))

    @classmethod
    def unpack(cls, payload: bytes) -> RequestAnswer:
        try:
            version, result, operator_size, request_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + operator_size
            operator = payload[start:end].decode()
            start = end
            end = start + request_size
            request = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"RequestAnswer of {len(payload)} bytes, not {start}")
        return cls(version, result, operator, request)


class StoreState(Record):
    """Complete state of the configuration store. Subscribers with a version below ``whole_below`` need all rows: a restored backup may have replaced their history."""

    KIND: ClassVar[int] = 64
    LAYOUT: ClassVar[Struct] = Struct("!QQIIII")
    __slots__ = ('revision', 'whole_below', 'documents', 'rows', 'history', 'requests',)

    def __init__(
        self,
        revision: int = 0,
        whole_below: int = 0,
        documents: list[Document] | None = None,
        rows: list[ConfigRow] | None = None,
        history: list[HistoryEntry] | None = None,
        requests: list[RequestAnswer] | None = None,
    ) -> None:
        self.revision: int = revision
        self.whole_below: int = whole_below
        self.documents: list[Document] = documents if documents is not None else []
        self.rows: list[ConfigRow] = rows if rows is not None else []
        self.history: list[HistoryEntry] = history if history is not None else []
        self.requests: list[RequestAnswer] = requests if requests is not None else []

    def pack(self) -> bytes:
        try:
            documents = pack_records(self.documents)
            rows = pack_records(self.rows)
            history = pack_records(self.history)
            requests = pack_records(self.requests)
            head = self.LAYOUT.pack(self.revision, self.whole_below, len(documents), len(rows), len(history), len(requests))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, documents, rows, history, requests))

    @classmethod
    def unpack(cls, payload: bytes) -> StoreState:
        try:
            revision, whole_below, documents_size, rows_size, history_size, requests_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + documents_size
            documents = unpack_records(Document.unpack, payload[start:end])
            start = end
            end = start + rows_size
            rows = unpack_records(ConfigRow.unpack, payload[start:end])
            start = end
            end = start + history_size
            history = unpack_records(HistoryEntry.unpack, payload[start:end])
            start = end
            end = start + requests_size
            requests = unpack_records(RequestAnswer.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"StoreState of {len(payload)} bytes, not {start}")
        return cls(revision, whole_below, documents, rows, history, requests)


class RouteTableCommand(Record):
    """Puts a validated, complete route table in force. ``version`` is set by the operator, ``base`` is the version that it replaces, ``digest`` identifies repeated requests; ``document`` is compressed."""

    KIND: ClassVar[int] = 65
    LAYOUT: ClassVar[Struct] = Struct("!QQII")
    __slots__ = ('version', 'base', 'digest', 'document',)

    def __init__(
        self,
        version: int = 0,
        base: int = 0,
        digest: bytes = b"",
        document: bytes = b"",
    ) -> None:
        self.version: int = version
        self.base: int = base
        self.digest: bytes = digest
        self.document: bytes = document

    def pack(self) -> bytes:
        try:
            digest = self.digest
            document = self.document
            head = self.LAYOUT.pack(self.version, self.base, len(digest), len(document))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, digest, document))

    @classmethod
    def unpack(cls, payload: bytes) -> RouteTableCommand:
        try:
            version, base, digest_size, document_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + digest_size
            digest = payload[start:end]
            start = end
            end = start + document_size
            document = payload[start:end]
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"RouteTableCommand of {len(payload)} bytes, not {start}")
        return cls(version, base, digest, document)


class TakenTable(Record):
    """Version and digest of an accepted route table."""

    KIND: ClassVar[int] = 66
    LAYOUT: ClassVar[Struct] = Struct("!QI")
    __slots__ = ('version', 'digest',)

    def __init__(
        self,
        version: int = 0,
        digest: bytes = b"",
    ) -> None:
        self.version: int = version
        self.digest: bytes = digest

    def pack(self) -> bytes:
        try:
            digest = self.digest
            head = self.LAYOUT.pack(self.version, len(digest))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, digest))

    @classmethod
    def unpack(cls, payload: bytes) -> TakenTable:
        try:
            version, digest_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + digest_size
            digest = payload[start:end]
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"TakenTable of {len(payload)} bytes, not {start}")
        return cls(version, digest)


class RouteTableState(Record):
    """Complete state of a route table store; ``document`` is compressed."""

    KIND: ClassVar[int] = 67
    LAYOUT: ClassVar[Struct] = Struct("!QQII")
    __slots__ = ('revision', 'version', 'document', 'taken',)

    def __init__(
        self,
        revision: int = 0,
        version: int = 0,
        document: bytes = b"",
        taken: list[TakenTable] | None = None,
    ) -> None:
        self.revision: int = revision
        self.version: int = version
        self.document: bytes = document
        self.taken: list[TakenTable] = taken if taken is not None else []

    def pack(self) -> bytes:
        try:
            document = self.document
            taken = pack_records(self.taken)
            head = self.LAYOUT.pack(self.revision, self.version, len(document), len(taken))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, document, taken))

    @classmethod
    def unpack(cls, payload: bytes) -> RouteTableState:
        try:
            revision, version, document_size, taken_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + document_size
            document = payload[start:end]
            start = end
            end = start + taken_size
            taken = unpack_records(TakenTable.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"RouteTableState of {len(payload)} bytes, not {start}")
        return cls(revision, version, document, taken)


class Departure(Record):
    """The departure of a worker: ``instance`` identifies the start of the worker beside ``node`` that takes no new requests."""

    KIND: ClassVar[int] = 45
    LAYOUT: ClassVar[Struct] = Struct("!HH")
    __slots__ = ('node', 'instance',)

    def __init__(
        self,
        node: str = "",
        instance: str = "",
    ) -> None:
        self.node: str = node
        self.instance: str = instance

    def pack(self) -> bytes:
        try:
            node = self.node.encode()
            instance = self.instance.encode()
            head = self.LAYOUT.pack(len(node), len(instance))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, node, instance))

    @classmethod
    def unpack(cls, payload: bytes) -> Departure:
        try:
            node_size, instance_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + node_size
            node = payload[start:end].decode()
            start = end
            end = start + instance_size
            instance = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"Departure of {len(payload)} bytes, not {start}")
        return cls(node, instance)


class DepartureReport(Record):
    """Departures of a sidecar's worker that control is asked to store."""

    KIND: ClassVar[int] = 46
    LAYOUT: ClassVar[Struct] = Struct("!I")
    __slots__ = ('instances',)

    def __init__(
        self,
        instances: list[str] | None = None,
    ) -> None:
        self.instances: list[str] = instances if instances is not None else []

    def pack(self) -> bytes:
        try:
            instances = pack_strings(self.instances)
            head = self.LAYOUT.pack(len(instances))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, instances))

    @classmethod
    def unpack(cls, payload: bytes) -> DepartureReport:
        try:
            instances_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + instances_size
            instances = unpack_strings(payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"DepartureReport of {len(payload)} bytes, not {start}")
        return cls(instances)


class Departures(Record):
    """Stored departures of the receiving sidecar's worker. First record of a subscription, response to a DepartureReport, and sent after each change."""

    KIND: ClassVar[int] = 47
    LAYOUT: ClassVar[Struct] = Struct("!I")
    __slots__ = ('instances',)

    def __init__(
        self,
        instances: list[str] | None = None,
    ) -> None:
        self.instances: list[str] = instances if instances is not None else []

    def pack(self) -> bytes:
        try:
            instances = pack_strings(self.instances)
            head = self.LAYOUT.pack(len(instances))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, instances))

    @classmethod
    def unpack(cls, payload: bytes) -> Departures:
        try:
            instances_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + instances_size
            instances = unpack_strings(payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"Departures of {len(payload)} bytes, not {start}")
        return cls(instances)


class DepartureCommand(Record):
    """Stores departures: a command of the controllers' log, and the request for it to the leader."""

    KIND: ClassVar[int] = 48
    LAYOUT: ClassVar[Struct] = Struct("!I")
    __slots__ = ('departures',)

    def __init__(
        self,
        departures: list[Departure] | None = None,
    ) -> None:
        self.departures: list[Departure] = departures if departures is not None else []

    def pack(self) -> bytes:
        try:
            departures = pack_records(self.departures)
            head = self.LAYOUT.pack(len(departures))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, departures))

    @classmethod
    def unpack(cls, payload: bytes) -> DepartureCommand:
        try:
            departures_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + departures_size
            departures = unpack_records(Departure.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"DepartureCommand of {len(payload)} bytes, not {start}")
        return cls(departures)


class DepartureReply(Record):
    """Response to a DepartureCommand."""

    KIND: ClassVar[int] = 49
    LAYOUT: ClassVar[Struct] = Struct("!?")
    __slots__ = ('stored',)

    def __init__(
        self,
        stored: bool = False,
    ) -> None:
        self.stored: bool = stored

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.stored)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> DepartureReply:
        try:
            stored, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"DepartureReply of {len(payload)} bytes, not {start}")
        return cls(stored)


class ControllerState(Record):
    """Complete state of a controller; ``table`` is a RouteTableState."""

    KIND: ClassVar[int] = 68
    LAYOUT: ClassVar[Struct] = Struct("!II")
    __slots__ = ('table', 'departures',)

    def __init__(
        self,
        table: bytes = b"",
        departures: list[Departure] | None = None,
    ) -> None:
        self.table: bytes = table
        self.departures: list[Departure] = departures if departures is not None else []

    def pack(self) -> bytes:
        try:
            table = self.table
            departures = pack_records(self.departures)
            head = self.LAYOUT.pack(len(table), len(departures))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, table, departures))

    @classmethod
    def unpack(cls, payload: bytes) -> ControllerState:
        try:
            table_size, departures_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + table_size
            table = payload[start:end]
            start = end
            end = start + departures_size
            departures = unpack_records(Departure.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"ControllerState of {len(payload)} bytes, not {start}")
        return cls(table, departures)


class ForwardRequest(Record):
    """Forwards a request to another sidecar, whose worker is to run it. Times in milliseconds count from the time of sending: ``deadline_ms`` until the caller gives up, ``start_within_ms`` until the latest useful start. ``expected_latency_us`` is the sender's estimate of the route's run time over all workers; 0: unknown. ``root_priority``, ``root_age_ms``, ``root_objective_ms`` and ``root_deadline_ms`` describe the root request of the call tree; the last two are the time left until its objective and its deadline. ``is_retry``: this run, or one above it in the tree, is a retry. ``suspected``: the worker that ran the request before crashed, possibly because of it. ``isolated``: all senders route this suspected request here, to run in isolation. ``hand_back``: refuse the request if the worker is in a slow period, which the sender does not know of. ``tenant`` owns the request; empty if requests need no key. ``lines`` holds the request line and the headers, ``body`` the part of the body read so far; ``whole``: that is all of it. ``tree`` describes the call tree (``sidecar/request/tree_ticket.py``). ``notice``: what this worker last stated to the sender; empty if nothing."""

    KIND: ClassVar[int] = 80
    LAYOUT: ClassVar[Struct] = Struct("!IIIBBIII???B????QHHHHHIIII")
    __slots__ = ('deadline_ms', 'start_within_ms', 'expected_latency_us', 'priority', 'root_priority', 'root_age_ms', 'root_objective_ms', 'root_deadline_ms', 'is_retry', 'idempotent', 'bodiless', 'framing', 'whole', 'suspected', 'isolated', 'hand_back', 'length', 'service', 'route', 'tenant', 'caller', 'request_id', 'lines', 'body', 'tree', 'notice',)

    def __init__(
        self,
        deadline_ms: int = 0,
        start_within_ms: int = 0,
        expected_latency_us: int = 0,
        priority: int = 0,
        root_priority: int = 0,
        root_age_ms: int = 0,
        root_objective_ms: int = 0,
        root_deadline_ms: int = 0,
        is_retry: bool = False,
        idempotent: bool = False,
        bodiless: bool = False,
        framing: int = 0,
        whole: bool = False,
        suspected: bool = False,
        isolated: bool = False,
        hand_back: bool = False,
        length: int = 0,
        service: str = "",
        route: str = "",
        tenant: str = "",
        caller: str = "",
        request_id: str = "",
        lines: bytes = b"",
        body: bytes = b"",
        tree: bytes = b"",
        notice: list[WorkerNotice] | None = None,
    ) -> None:
        self.deadline_ms: int = deadline_ms
        self.start_within_ms: int = start_within_ms
        self.expected_latency_us: int = expected_latency_us
        self.priority: int = priority
        self.root_priority: int = root_priority
        self.root_age_ms: int = root_age_ms
        self.root_objective_ms: int = root_objective_ms
        self.root_deadline_ms: int = root_deadline_ms
        self.is_retry: bool = is_retry
        self.idempotent: bool = idempotent
        self.bodiless: bool = bodiless
        self.framing: int = framing
        self.whole: bool = whole
        self.suspected: bool = suspected
        self.isolated: bool = isolated
        self.hand_back: bool = hand_back
        self.length: int = length
        self.service: str = service
        self.route: str = route
        self.tenant: str = tenant
        self.caller: str = caller
        self.request_id: str = request_id
        self.lines: bytes = lines
        self.body: bytes = body
        self.tree: bytes = tree
        self.notice: list[WorkerNotice] = notice if notice is not None else []

    def pack(self) -> bytes:
        try:
            service = self.service.encode()
            route = self.route.encode()
            tenant = self.tenant.encode()
            caller = self.caller.encode()
            request_id = self.request_id.encode()
            lines = self.lines
            body = self.body
            tree = self.tree
            notice = pack_records(self.notice)
            head = self.LAYOUT.pack(self.deadline_ms, self.start_within_ms, self.expected_latency_us, self.priority, self.root_priority, self.root_age_ms, self.root_objective_ms, self.root_deadline_ms, self.is_retry, self.idempotent, self.bodiless, self.framing, self.whole, self.suspected, self.isolated, self.hand_back, self.length, len(service), len(route), len(tenant), len(caller), len(request_id), len(lines), len(body), len(tree), len(notice))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, service, route, tenant, caller, request_id, lines, body, tree, notice))

    @classmethod
    def unpack(cls, payload: bytes) -> ForwardRequest:
        try:
            deadline_ms, start_within_ms, expected_latency_us, priority, root_priority, root_age_ms, root_objective_ms, root_deadline_ms, is_retry, idempotent, bodiless, framing, whole, suspected, isolated, hand_back, length, service_size, route_size, tenant_size, caller_size, request_id_size, lines_size, body_size, tree_size, notice_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + service_size
            service = payload[start:end].decode()
            start = end
            end = start + route_size
            route = payload[start:end].decode()
            start = end
            end = start + tenant_size
            tenant = payload[start:end].decode()
            start = end
            end = start + caller_size
            caller = payload[start:end].decode()
            start = end
            end = start + request_id_size
            request_id = payload[start:end].decode()
            start = end
            end = start + lines_size
            lines = payload[start:end]
            start = end
            end = start + body_size
            body = payload[start:end]
            start = end
            end = start + tree_size
            tree = payload[start:end]
            start = end
            end = start + notice_size
            notice = unpack_records(WorkerNotice.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"ForwardRequest of {len(payload)} bytes, not {start}")
        return cls(deadline_ms, start_within_ms, expected_latency_us, priority, root_priority, root_age_ms, root_objective_ms, root_deadline_ms, is_retry, idempotent, bodiless, framing, whole, suspected, isolated, hand_back, length, service, route, tenant, caller, request_id, lines, body, tree, notice)


class ForwardBody(Record):
    """A piece of a body; ``last``: the record after the final piece, without data."""

    KIND: ClassVar[int] = 81
    LAYOUT: ClassVar[Struct] = Struct("!?I")
    __slots__ = ('last', 'data',)

    def __init__(
        self,
        last: bool = False,
        data: bytes = b"",
    ) -> None:
        self.last: bool = last
        self.data: bytes = data

    def pack(self) -> bytes:
        try:
            data = self.data
            head = self.LAYOUT.pack(self.last, len(data))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, data))

    @classmethod
    def unpack(cls, payload: bytes) -> ForwardBody:
        try:
            last, data_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + data_size
            data = payload[start:end]
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"ForwardBody of {len(payload)} bytes, not {start}")
        return cls(last, data)


class ForwardContinue(Record):
    """Admits a request and asks for the rest of its body."""

    KIND: ClassVar[int] = 82
    LAYOUT: ClassVar[Struct] = Struct("!B")
    __slots__ = ('unused',)

    def __init__(
        self,
        unused: int = 0,
    ) -> None:
        self.unused: int = unused

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.unused)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> ForwardContinue:
        try:
            unused, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"ForwardContinue of {len(payload)} bytes, not {start}")
        return cls(unused)


class ForwardAnswer(Record):
    """First record of the response to a ForwardRequest. ``arrived``: the request reached the worker. ``running``, ``queued`` and ``slots`` are the counts of the responding sidecar. ``waited_ms`` is the time before the run, ``run_time_ms`` the time at the worker. ``faults`` is the percentage of runs that failed by the worker's fault; ``slowness`` is the run time in tenths of the expected latency. ``downstream_starved``: a call made by the run, or further downstream, found no capacity. ``failed_service`` and ``failed_reason`` describe the deepest failed call, ``downstream_cost`` the slot time of downstream calls. ``body`` is the first piece of the body; ``whole``: all of it. ``advertised``: capacity of the worker (``sidecar/capacity/advertisement.py``). ``notice``: what the worker states of itself; empty if nothing."""

    KIND: ClassVar[int] = 83
    LAYOUT: ClassVar[Struct] = Struct("!BB??BHIIIIBBII?BQHIIIII")
    __slots__ = ('outcome', 'reason', 'arrived', 'whole', 'framing', 'status', 'retry_after_ms', 'running', 'queued', 'slots', 'faults', 'slowness', 'waited_ms', 'run_time_ms', 'downstream_starved', 'failed_reason', 'length', 'failed_service', 'downstream_cost', 'lines', 'body', 'advertised', 'notice',)

    def __init__(
        self,
        outcome: int = 0,
        reason: int = 0,
        arrived: bool = False,
        whole: bool = False,
        framing: int = 0,
        status: int = 0,
        retry_after_ms: int = 0,
        running: int = 0,
        queued: int = 0,
        slots: int = 0,
        faults: int = 0,
        slowness: int = 0,
        waited_ms: int = 0,
        run_time_ms: int = 0,
        downstream_starved: bool = False,
        failed_reason: int = 0,
        length: int = 0,
        failed_service: str = "",
        downstream_cost: list[ServiceWork] | None = None,
        lines: bytes = b"",
        body: bytes = b"",
        advertised: bytes = b"",
        notice: list[WorkerNotice] | None = None,
    ) -> None:
        self.outcome: int = outcome
        self.reason: int = reason
        self.arrived: bool = arrived
        self.whole: bool = whole
        self.framing: int = framing
        self.status: int = status
        self.retry_after_ms: int = retry_after_ms
        self.running: int = running
        self.queued: int = queued
        self.slots: int = slots
        self.faults: int = faults
        self.slowness: int = slowness
        self.waited_ms: int = waited_ms
        self.run_time_ms: int = run_time_ms
        self.downstream_starved: bool = downstream_starved
        self.failed_reason: int = failed_reason
        self.length: int = length
        self.failed_service: str = failed_service
        self.downstream_cost: list[ServiceWork] = downstream_cost if downstream_cost is not None else []
        self.lines: bytes = lines
        self.body: bytes = body
        self.advertised: bytes = advertised
        self.notice: list[WorkerNotice] = notice if notice is not None else []

    def pack(self) -> bytes:
        try:
            failed_service = self.failed_service.encode()
            downstream_cost = pack_records(self.downstream_cost)
            lines = self.lines
            body = self.body
            advertised = self.advertised
            notice = pack_records(self.notice)
            head = self.LAYOUT.pack(self.outcome, self.reason, self.arrived, self.whole, self.framing, self.status, self.retry_after_ms, self.running, self.queued, self.slots, self.faults, self.slowness, self.waited_ms, self.run_time_ms, self.downstream_starved, self.failed_reason, self.length, len(failed_service), len(downstream_cost), len(lines), len(body), len(advertised), len(notice))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, failed_service, downstream_cost, lines, body, advertised, notice))

    @classmethod
    def unpack(cls, payload: bytes) -> ForwardAnswer:
        try:
            outcome, reason, arrived, whole, framing, status, retry_after_ms, running, queued, slots, faults, slowness, waited_ms, run_time_ms, downstream_starved, failed_reason, length, failed_service_size, downstream_cost_size, lines_size, body_size, advertised_size, notice_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + failed_service_size
            failed_service = payload[start:end].decode()
            start = end
            end = start + downstream_cost_size
            downstream_cost = unpack_records(ServiceWork.unpack, payload[start:end])
            start = end
            end = start + lines_size
            lines = payload[start:end]
            start = end
            end = start + body_size
            body = payload[start:end]
            start = end
            end = start + advertised_size
            advertised = payload[start:end]
            start = end
            end = start + notice_size
            notice = unpack_records(WorkerNotice.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"ForwardAnswer of {len(payload)} bytes, not {start}")
        return cls(outcome, reason, arrived, whole, framing, status, retry_after_ms, running, queued, slots, faults, slowness, waited_ms, run_time_ms, downstream_starved, failed_reason, length, failed_service, downstream_cost, lines, body, advertised, notice)


class WorkerNotice(Record):
    """What a worker states of itself in its answers. ``instance`` identifies its start. ``limited``: it accepts ``rate_limit`` requests per second from all callers together. ``leaving``: it is about to exit. ``pause_ms``, in replies, is the time until the receiver's turn to send it a request."""

    KIND: ClassVar[int] = 86
    LAYOUT: ClassVar[Struct] = Struct("!??dIH")
    __slots__ = ('leaving', 'limited', 'rate_limit', 'pause_ms', 'instance',)

    def __init__(
        self,
        leaving: bool = False,
        limited: bool = False,
        rate_limit: float = 0.0,
        pause_ms: int = 0,
        instance: str = "",
    ) -> None:
        self.leaving: bool = leaving
        self.limited: bool = limited
        self.rate_limit: float = rate_limit
        self.pause_ms: int = pause_ms
        self.instance: str = instance

    def pack(self) -> bytes:
        try:
            instance = self.instance.encode()
            head = self.LAYOUT.pack(self.leaving, self.limited, self.rate_limit, self.pause_ms, len(instance))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, instance))

    @classmethod
    def unpack(cls, payload: bytes) -> WorkerNotice:
        try:
            leaving, limited, rate_limit, pause_ms, instance_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + instance_size
            instance = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"WorkerNotice of {len(payload)} bytes, not {start}")
        return cls(leaving, limited, rate_limit, pause_ms, instance)


class ServiceWork(Record):
    """Slot time of a service used by one request."""

    KIND: ClassVar[int] = 85
    LAYOUT: ClassVar[Struct] = Struct("!IH")
    __slots__ = ('milliseconds', 'service',)

    def __init__(
        self,
        milliseconds: int = 0,
        service: str = "",
    ) -> None:
        self.milliseconds: int = milliseconds
        self.service: str = service

    def pack(self) -> bytes:
        try:
            service = self.service.encode()
            head = self.LAYOUT.pack(self.milliseconds, len(service))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, service))

    @classmethod
    def unpack(cls, payload: bytes) -> ServiceWork:
        try:
            milliseconds, service_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + service_size
            service = payload[start:end].decode()
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"ServiceWork of {len(payload)} bytes, not {start}")
        return cls(milliseconds, service)


class QuarantineEntry(Record):
    """A request suspected of crashing workers. ``held_ms`` is the remaining quarantine, 0 for a request that is only suspected; ``ends`` identifies the worker crashes attributed to it, 8 bytes each; ``cleared``: a worker has completed it, or an operator has lifted its quarantine."""

    KIND: ClassVar[int] = 90
    LAYOUT: ClassVar[Struct] = Struct("!I?HII")
    __slots__ = ('held_ms', 'cleared', 'service', 'ends', 'identity',)

    def __init__(
        self,
        held_ms: int = 0,
        cleared: bool = False,
        service: str = "",
        ends: bytes = b"",
        identity: bytes = b"",
    ) -> None:
        self.held_ms: int = held_ms
        self.cleared: bool = cleared
        self.service: str = service
        self.ends: bytes = ends
        self.identity: bytes = identity

    def pack(self) -> bytes:
        try:
            service = self.service.encode()
            ends = self.ends
            identity = self.identity
            head = self.LAYOUT.pack(self.held_ms, self.cleared, len(service), len(ends), len(identity))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, service, ends, identity))

    @classmethod
    def unpack(cls, payload: bytes) -> QuarantineEntry:
        try:
            held_ms, cleared, service_size, ends_size, identity_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + service_size
            service = payload[start:end].decode()
            start = end
            end = start + ends_size
            ends = payload[start:end]
            start = end
            end = start + identity_size
            identity = payload[start:end]
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"QuarantineEntry of {len(payload)} bytes, not {start}")
        return cls(held_ms, cleared, service, ends, identity)


class QuarantineNews(Record):
    """Quarantine entries sent between sidecars. ``digest`` is that of all requests quarantined by the sender; ``asks`` requests the receiver's entries if its digest differs; ``settled``: the sender has synchronized with others since its start. The receiver relays the record to the nodes of ``service`` (all if empty) whose names sort after its node name, up to ``relay_to``."""

    KIND: ClassVar[int] = 91
    LAYOUT: ClassVar[Struct] = Struct("!Q??HHI")
    __slots__ = ('digest', 'asks', 'settled', 'service', 'relay_to', 'entries',)

    def __init__(
        self,
        digest: int = 0,
        asks: bool = False,
        settled: bool = False,
        service: str = "",
        relay_to: str = "",
        entries: list[QuarantineEntry] | None = None,
    ) -> None:
        self.digest: int = digest
        self.asks: bool = asks
        self.settled: bool = settled
        self.service: str = service
        self.relay_to: str = relay_to
        self.entries: list[QuarantineEntry] = entries if entries is not None else []

    def pack(self) -> bytes:
        try:
            service = self.service.encode()
            relay_to = self.relay_to.encode()
            entries = pack_records(self.entries)
            head = self.LAYOUT.pack(self.digest, self.asks, self.settled, len(service), len(relay_to), len(entries))
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return b''.join((head, service, relay_to, entries))

    @classmethod
    def unpack(cls, payload: bytes) -> QuarantineNews:
        try:
            digest, asks, settled, service_size, relay_to_size, entries_size, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
            end = start + service_size
            service = payload[start:end].decode()
            start = end
            end = start + relay_to_size
            relay_to = payload[start:end].decode()
            start = end
            end = start + entries_size
            entries = unpack_records(QuarantineEntry.unpack, payload[start:end])
            start = end
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"QuarantineNews of {len(payload)} bytes, not {start}")
        return cls(digest, asks, settled, service, relay_to, entries)


class ForwardCut(Record):
    """Ends a truncated response."""

    KIND: ClassVar[int] = 84
    LAYOUT: ClassVar[Struct] = Struct("!B")
    __slots__ = ('reason',)

    def __init__(
        self,
        reason: int = 0,
    ) -> None:
        self.reason: int = reason

    def pack(self) -> bytes:
        try:
            head = self.LAYOUT.pack(self.reason)
        except (StructError, UnicodeEncodeError) as error:
            raise MalformedRecordError(f"cannot pack: {error}") from error
        return head

    @classmethod
    def unpack(cls, payload: bytes) -> ForwardCut:
        try:
            reason, = cls.LAYOUT.unpack_from(payload)
            start = cls.LAYOUT.size
        except (StructError, UnicodeDecodeError) as error:
            raise MalformedRecordError(f"cannot unpack: {error}") from error
        if start != len(payload):
            raise MalformedRecordError(f"ForwardCut of {len(payload)} bytes, not {start}")
        return cls(reason)


MESSAGES: dict[int, type] = {
    1: Hello,
    2: Ping,
    3: LoadReport,
    4: GoingAway,
    10: CallOpen,
    11: CallCancel,
    12: AnswerHead,
    13: AnswerBody,
    14: AnswerEnd,
    15: AnswerAbort,
    16: Credit,
    20: Subscribe,
    21: ConfigRow,
    22: ConfigDelta,
    23: Member,
    24: MemberDelta,
    25: Heartbeat,
    26: ControlReplicas,
    27: IncarnationKnown,
    28: HeartbeatAnswer,
    29: TenantUsage,
    38: UsageReport,
    39: UsageTotals,
    43: TenantShare,
    44: TenantShares,
    30: LedgerBegin,
    31: LedgerGrant,
    32: LedgerFinish,
    33: LedgerDone,
    34: LedgerUnavailable,
    35: LedgerEntry,
    36: LedgerBatch,
    37: LedgerState,
    40: TenantRow,
    41: RouteRow,
    42: ServiceRow,
    50: LogEntry,
    51: ReplicaMember,
    52: ReplicaSet,
    53: LogSnapshot,
    54: VoteState,
    55: ReplicaHello,
    56: VoteRequest,
    57: VoteReply,
    58: AppendRequest,
    59: AppendReply,
    70: SnapshotChunk,
    76: ConfirmRequest,
    77: ConfirmReply,
    71: SnapshotReply,
    72: MemberReport,
    74: JoinRequest,
    75: JoinReply,
    73: NodeVersion,
    60: EditCommand,
    61: Document,
    62: HistoryEntry,
    63: RequestAnswer,
    64: StoreState,
    65: RouteTableCommand,
    66: TakenTable,
    67: RouteTableState,
    45: Departure,
    46: DepartureReport,
    47: Departures,
    48: DepartureCommand,
    49: DepartureReply,
    68: ControllerState,
    80: ForwardRequest,
    81: ForwardBody,
    82: ForwardContinue,
    83: ForwardAnswer,
    86: WorkerNotice,
    85: ServiceWork,
    90: QuarantineEntry,
    91: QuarantineNews,
    84: ForwardCut,
}
