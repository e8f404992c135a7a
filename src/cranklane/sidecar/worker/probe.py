"""Asks a worker's health address which start it is, and how many slots it has.

A worker that answers as healthy is not leaving, so it may get requests at once.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple

import gevent

from cranklane.common.header_names import HeaderNames
from cranklane.common.http1.message import AnswerHead, MalformedMessageError, TruncatedMessageError
from cranklane.common.http1.reader import AnswerReader
from cranklane.runtime.interface import Address, Runtime, format_address
from cranklane.sidecar.worker.pool import MAX_HEAD_BYTES

PROBE_SECONDS = 0.5
"""Seconds for a connection, and for an answer. A choice: a healthy worker on the same machine
needs milliseconds."""

MAX_TRIES = 3
"""Tries to get an answer. A choice: a worker that has not answered by then sends heartbeats."""

PAUSE_SECONDS = 0.2
"""Seconds between two tries. A choice, as above."""

_LOAD_FIELDS = 3
"""Numbers in the header that states a worker's load: running, waiting, slots."""


class ProbedWorker(NamedTuple):
    """What a healthy worker says of itself.

    :ivar instance: names its start.
    :ivar slots: requests that it can run at once.
    """

    instance: str
    slots: int


class WorkerProbe:
    """Asks one worker, at its address."""

    def __init__(self, runtime: Runtime, address: Address, names: HeaderNames) -> None:
        self._runtime = runtime
        self._address = address
        self._instance_name = names.instance_answer.lower()
        self._load_name = names.load.lower()

    def find(self, path: str) -> ProbedWorker | None:
        """Return what the worker says, after a few tries; None if it is not healthy.

        :param path: of its health address.
        """
        for attempt in range(MAX_TRIES):
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
            # Not up yet, perhaps: another try or its heartbeat follows.
            return None
        try:
            stream.settimeout(PROBE_SECONDS)
            stream.sendall(request.encode("latin-1") + b"Connection: close\r\n\r\n")
            return AnswerReader(stream, MAX_HEAD_BYTES).next_head()
        except (OSError, MalformedMessageError, TruncatedMessageError):
            # As good as no answer.
            return None
        finally:
            stream.close()

    def _read(self, head: AnswerHead) -> ProbedWorker | None:
        """Return what an answer's headers state, None where it is not a healthy worker's."""
        instance = head.value(self._instance_name)
        load = (head.value(self._load_name) or b"").split(b",")
        if head.status != HTTPStatus.OK or not instance or len(load) != _LOAD_FIELDS:
            return None
        slots = load[2].strip()
        if not slots.isdigit() or int(slots) == 0:
            return None
        return ProbedWorker(instance.decode("latin-1"), int(slots))
