"""Sends and receives records on a stream connection.

A frame is a 16-byte head (payload size, record kind, magic number, call number) followed
by the encoded record. Call 0 is the connection itself.
"""

from __future__ import annotations

from struct import Struct
from typing import Any, TypeVar

from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.records.messages import MESSAGES, Hello, Message

PROTOCOL_VERSION = 1
"""Version of the record protocol; processes with different versions do not connect."""

CONNECTION_CALL = 0
"""Call number of records that concern the connection as a whole."""

MAX_PAYLOAD_BYTES = 16 * 1024 * 1024
"""Maximum size of a received record."""

_FRAME_HEAD = Struct("!IHHQ")
_FRAME_MAGIC = 0xC1A7
"""Magic number in each head; reveals lost frame boundaries to the receiver."""

_RECEIVE_BYTES = 64 * 1024
"""Buffer size of one receive call."""

_Expected = TypeVar("_Expected")


def encode_frame(call: int, message: Message) -> bytes:
    """Return the encoded frame of a record."""
    payload = message.pack()
    return _FRAME_HEAD.pack(len(payload), message.KIND, _FRAME_MAGIC, call) + payload


class RecordConnection:
    """Sends and receives records on a connection; several tasks may send concurrently.

    :ivar idle_timeout: seconds without a received byte after which the connection fails;
        None for no limit.
    :ivar bytes_received: total number of received bytes.
    """

    def __init__(self, connection: Any, idle_timeout: float | None = None) -> None:
        self.idle_timeout = idle_timeout
        self.closed = False
        self._connection = connection
        self._received = bytearray()
        self._outgoing: list[bytes] = []
        self._sending = False
        self.bytes_received = 0
        connection.settimeout(idle_timeout)

    def send(self, message: Message, call: int = CONNECTION_CALL) -> None:
        """Send a record, or leave it to the task that is already sending.

        :raises ConnectionLostError: if the connection is closed or fails.
        """
        self.queue(message, call)
        self.flush()

    def send_frame(self, frame: bytes) -> None:
        """Send an encoded frame.

        :raises ConnectionLostError: if the connection is closed or fails.
        """
        self._queue_frame(frame)
        self.flush()

    def queue(self, message: Message, call: int = CONNECTION_CALL) -> None:
        """Queue a record for the next flush.

        :raises ConnectionLostError: if the connection is closed.
        """
        self._queue_frame(encode_frame(call, message))

    def _queue_frame(self, frame: bytes) -> None:
        if self.closed:
            raise ConnectionLostError("the connection is closed")
        self._outgoing.append(frame)

    def flush(self) -> None:
        """Send the queued records, unless another task is already sending.

        :raises ConnectionLostError: if the connection fails.
        """
        if not self._sending:
            self._flush()

    def _flush(self) -> None:
        # The sending task also sends records that other tasks queue while it blocks.
        self._sending = True
        try:
            while self._outgoing:
                data = b"".join(self._outgoing)
                self._outgoing.clear()
                self._connection.sendall(data)
        except OSError as error:
            self.close()
            raise ConnectionLostError(str(error)) from error
        finally:
            self._sending = False

    def receive(self) -> tuple[int, Message]:
        """Return the next record and its call number.

        :raises ConnectionLostError: if the connection ends, fails or times out.
        :raises MalformedRecordError: if the bytes are not a record of the schema.
        """
        head = self._receive_bytes(_FRAME_HEAD.size)
        size, kind, magic, call = _FRAME_HEAD.unpack(head)
        if magic != _FRAME_MAGIC or size > MAX_PAYLOAD_BYTES:
            raise MalformedRecordError(f"invalid frame head of kind {kind} with {size} bytes")
        message = MESSAGES.get(kind)
        if message is None:
            raise MalformedRecordError(f"unknown record kind {kind}")
        return call, message.unpack(self._receive_bytes(size))  # type: ignore[attr-defined]

    def _receive_bytes(self, size: int) -> bytes:
        while len(self._received) < size:
            try:
                data = self._connection.recv(_RECEIVE_BYTES)
            except OSError as error:
                self.close()
                raise ConnectionLostError(str(error)) from error
            if not data:
                self.close()
                raise ConnectionLostError("the peer closed the connection")
            self._received += data
            self.bytes_received += len(data)
        payload = bytes(self._received[:size])
        del self._received[:size]
        return payload

    def expect(self, kind: type[_Expected]) -> _Expected:
        """Return the next record, which must be of class ``kind``.

        :raises ConnectionLostError: if the connection ends, fails or times out.
        :raises MalformedRecordError: if it is another record.
        """
        _, message = self.receive()
        if not isinstance(message, kind):
            raise MalformedRecordError(f"found {type(message).__name__}; expected {kind.__name__}")
        return message

    def set_idle_timeout(self, seconds: float | None) -> None:
        """Set the idle timeout in seconds; None disables it."""
        if seconds != self.idle_timeout:
            self.idle_timeout = seconds
            self._connection.settimeout(seconds)

    def handshake(self, local_hello: Hello) -> Hello:
        """Send a Hello first and return the peer's.

        :raises ConnectionLostError: if the connection ends, fails or times out.
        :raises MalformedRecordError: if the peer has another protocol version.
        """
        local_hello.protocol = PROTOCOL_VERSION
        self.send(local_hello)
        peer = self.expect(Hello)
        _check_protocol(peer)
        return peer

    def accept_handshake(self, peer: Hello, local_hello: Hello) -> None:
        """Reply to a Hello that was already received.

        :raises ConnectionLostError: if the connection is closed or fails.
        :raises MalformedRecordError: if the peer has another protocol version.
        """
        local_hello.protocol = PROTOCOL_VERSION
        self.send(local_hello)
        _check_protocol(peer)

    def close(self) -> None:
        """Close the connection; may be called more than once."""
        if not self.closed:
            self.closed = True
            self._connection.close()


def _check_protocol(peer: Hello) -> None:
    if peer.protocol != PROTOCOL_VERSION:
        raise MalformedRecordError(
            f"found protocol version {peer.protocol}; expected {PROTOCOL_VERSION}"
        )


class IdleMonitor:
    """Closes a connection that has received nothing for too long.

    Periodic checks are cheaper on a busy connection than a timer for each receive.

    :param seconds: seconds without a received byte after which the connection is closed.
    """

    def __init__(self, records: RecordConnection, seconds: float, now: float) -> None:
        self._records = records
        self._seconds = seconds
        self._bytes = records.bytes_received
        self._changed_at = now

    def close_if_idle(self, now: float) -> None:
        """Close the connection if its timeout has expired."""
        if self._records.bytes_received != self._bytes:
            self._bytes = self._records.bytes_received
            self._changed_at = now
        elif now - self._changed_at >= self._seconds:
            self._records.close()
