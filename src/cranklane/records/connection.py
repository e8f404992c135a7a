"""Records over a stream connection.

A frame is a head of 16 bytes (payload length, record kind, call number)
followed by the record's bytes. Call 0 is the connection itself.
"""

from __future__ import annotations

from struct import Struct
from typing import Any, TypeVar

from cranklane.errors import ConnectionLostError, MalformedRecordError
from cranklane.records.messages import MESSAGES, Hello, Message

PROTOCOL_VERSION = 1
"""Version of the records; processes of different versions refuse each other."""

CONNECTION_CALL = 0
"""Call number of records that belong to no call."""

MAX_PAYLOAD = 16 * 1024 * 1024
"""Largest record taken, in bytes; a larger one ends the connection."""

_FRAME_HEAD = Struct("!IHHQ")
_FRAME_MARK = 0xC1A7
"""Constant in each head, by which a reader notices that it has lost the frames' borders."""

_RECEIVE_SIZE = 64 * 1024
"""Bytes asked of the socket at once. A choice: a small body and its head come in two reads."""

_Expected = TypeVar("_Expected")


def encode_frame(call: int, message: Message) -> bytes:
    """Return the bytes of one frame."""
    payload = message.pack()
    return _FRAME_HEAD.pack(len(payload), message.KIND, _FRAME_MARK, call) + payload


class RecordConnection:
    """Sends and receives records on one connection; many tasks may send at once.

    :ivar silent_after: seconds without a byte after which the peer counts as lost.
    """

    def __init__(self, connection: Any, silent_after: float | None = None) -> None:
        self.silent_after = silent_after
        self.closed = False
        self._connection = connection
        self._received = bytearray()
        self._outgoing: list[bytes] = []
        self._sending = False
        self.bytes_received = 0
        connection.settimeout(silent_after)

    def send(self, message: Message, call: int = CONNECTION_CALL) -> None:
        """Send a record; returns when it, or the task that took it over, is writing.

        :raises ConnectionLostError: when the connection is gone.
        """
        self.queue(message, call)
        self.flush()

    def send_frame(self, frame: bytes) -> None:
        """Send a frame that is encoded already.

        :raises ConnectionLostError: when the connection is gone.
        """
        self._queue_frame(frame)
        self.flush()

    def queue(self, message: Message, call: int = CONNECTION_CALL) -> None:
        """Add a record that leaves with the next flush.

        :raises ConnectionLostError: when the connection is gone.
        """
        self._queue_frame(encode_frame(call, message))

    def _queue_frame(self, frame: bytes) -> None:
        if self.closed:
            raise ConnectionLostError("connection is closed")
        self._outgoing.append(frame)

    def flush(self) -> None:
        """Write what is queued, unless another task is writing it already.

        :raises ConnectionLostError: when the connection is gone.
        """
        if not self._sending:
            self._flush()

    def _flush(self) -> None:
        # The first sender writes for all that come while it waits for the kernel.
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

        :raises ConnectionLostError: at the end, or after silence.
        :raises MalformedRecordError: when the bytes are no record of the schema.
        """
        head = self._take(_FRAME_HEAD.size)
        size, kind, mark, call = _FRAME_HEAD.unpack(head)
        if mark != _FRAME_MARK or size > MAX_PAYLOAD:
            raise MalformedRecordError(f"frame of kind {kind} with {size} bytes")
        message = MESSAGES.get(kind)
        if message is None:
            raise MalformedRecordError(f"unknown record kind {kind}")
        return call, message.unpack(self._take(size))  # type: ignore[attr-defined]

    def _take(self, size: int) -> bytes:
        while len(self._received) < size:
            try:
                data = self._connection.recv(_RECEIVE_SIZE)
            except OSError as error:
                self.close()
                raise ConnectionLostError(str(error)) from error
            if not data:
                self.close()
                raise ConnectionLostError("the peer closed the connection")
            self._received += data
            self.bytes_received += len(data)
        taken = bytes(self._received[:size])
        del self._received[:size]
        return taken

    def expect(self, kind: type[_Expected]) -> _Expected:
        """Return the next record, which must be of one kind.

        :raises MalformedRecordError: when it is of another kind.
        """
        _, message = self.receive()
        if not isinstance(message, kind):
            raise MalformedRecordError(f"{kind.__name__} expected, {type(message).__name__} came")
        return message

    def set_silent_after(self, seconds: float | None) -> None:
        """Change how long the peer may be silent; None for no limit here."""
        if seconds != self.silent_after:
            self.silent_after = seconds
            self._connection.settimeout(seconds)

    def greet(self, own: Hello) -> Hello:
        """Exchange greetings and return the peer's.

        :raises MalformedRecordError: when the peer speaks another protocol version.
        """
        own.protocol = PROTOCOL_VERSION
        self.send(own)
        peer = self.expect(Hello)
        _check_protocol(peer)
        return peer

    def welcome(self, peer: Hello, own: Hello) -> None:
        """Answer a greeting that has come already.

        :raises MalformedRecordError: when the peer speaks another protocol version.
        """
        own.protocol = PROTOCOL_VERSION
        self.send(own)
        _check_protocol(peer)

    def close(self) -> None:
        """Close the connection; safe to call again."""
        if not self.closed:
            self.closed = True
            self._connection.close()


def _check_protocol(peer: Hello) -> None:
    if peer.protocol != PROTOCOL_VERSION:
        raise MalformedRecordError(f"protocol {peer.protocol}, not {PROTOCOL_VERSION}")


class SilenceWatch:
    """Closes a connection on which nothing has come for too long.

    Looking now and then costs a busy connection far less than a timer for each
    of its waits.

    :param seconds: silence after which the peer counts as lost.
    """

    def __init__(self, records: RecordConnection, seconds: float, now: float) -> None:
        self._records = records
        self._seconds = seconds
        self._bytes = records.bytes_received
        self._changed_at = now

    def look(self, now: float) -> None:
        """Close the connection if it has been silent for too long."""
        if self._records.bytes_received != self._bytes:
            self._bytes = self._records.bytes_received
            self._changed_at = now
        elif now - self._changed_at >= self._seconds:
            self._records.close()
