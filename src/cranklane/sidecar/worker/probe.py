"""Asks a worker's health address who it is.

A sidecar that was restarted knows nothing of its worker until the next heartbeat,
which may be more than a second away. A worker that answers well is not leaving, so
it may get requests at once.
"""

from __future__ import annotations

from dataclasses import dataclass

import gevent

from cranklane.common.header_names import HeaderNames
from cranklane.common.http1.message import AnswerHead, MalformedMessageError, MessageCutError
from cranklane.common.http1.reader import AnswerReader
from cranklane.runtime.interface import Address, Runtime, format_address
from cranklane.sidecar.worker.pool import MAX_HEAD_BYTES

PROBE_SECONDS = 0.5
"""Most seconds for a connection, and for an answer."""

TRIES = 3
PAUSE_SECONDS = 0.2
_OK = 200
_LOAD_FIELDS = 3


@dataclass(frozen=True)
class ProbedWorker:
    """What a healthy worker says of itself.

    :ivar instance: its start.
    :ivar slots: requests that it runs at once.
    """

    instance: str
    slots: int


class WorkerProbe:
    """Asks one worker."""

    def __init__(self, runtime: Runtime, address: Address, names: HeaderNames) -> None:
        self._runtime = runtime
        self._address = address
        self._instance_name = names.instance_answer.lower()
        self._load_name = names.load.lower()

    def find(self, path: str) -> ProbedWorker | None:
        """Return what the worker says, after a few tries; None if it is not well.

        :param path: of its health address.
        """
        for attempt in range(TRIES):
            if attempt:
                gevent.sleep(PAUSE_SECONDS)
            head = self._ask(path)
            if head is not None:
                return self._read(head)
        return None

    def _ask(self, path: str) -> AnswerHead | None:
        """Return the head of an answer, or None without one."""
        request = f"GET {path} HTTP/1.1\r\nHost: {format_address(self._address)}\r\n"
        try:
            stream = self._runtime.connect(self._address, PROBE_SECONDS)
        except OSError:
            return None
        try:
            stream.settimeout(PROBE_SECONDS)
            stream.sendall(request.encode("latin-1") + b"Connection: close\r\n\r\n")
            return AnswerReader(stream, MAX_HEAD_BYTES).next_head()
        except (OSError, MalformedMessageError, MessageCutError):
            return None
        finally:
            stream.close()

    def _read(self, head: AnswerHead) -> ProbedWorker | None:
        instance = head.value(self._instance_name)
        load = (head.value(self._load_name) or b"").split(b",")
        if head.status != _OK or not instance or len(load) != _LOAD_FIELDS:
            return None
        slots = load[2].strip()
        if not slots.isdigit() or int(slots) == 0:
            return None
        return ProbedWorker(instance.decode("latin-1"), int(slots))
