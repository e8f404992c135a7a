"""Queries a worker's health check for its instance and its number of slots.

A worker that reports itself healthy is not draining, so it can receive requests at once.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple

import gevent

from cranklane.common.header_names import HeaderNames
from cranklane.common.http1.message import (
    AnswerHead,
    HeadTooLargeError,
    MalformedMessageError,
    TruncatedMessageError,
)
from cranklane.common.http1.reader import AnswerReader
from cranklane.runtime.interface import Address, Runtime, format_address
from cranklane.sidecar.worker.answer_notice import NO_NOTICE, AnswerNotice, AnswerNoticeReader
from cranklane.sidecar.worker.load_header import parse_worker_load
from cranklane.sidecar.worker.pool import MAX_HEAD_BYTES

PROBE_TIMEOUT_SECONDS = 0.5
"""Timeout of the connection and of the response. A healthy worker on the same machine responds
within milliseconds."""

MAX_ATTEMPTS = 3
"""Attempts to get a response; after these, the worker becomes known by its heartbeats."""

RETRY_PAUSE_SECONDS = 0.2


class ProbedWorker(NamedTuple):
    """A healthy worker's response to a probe.

    :ivar instance: id of the worker's instance.
    :ivar slots: number of concurrent requests.
    :ivar notice: what the response states beside it.
    """

    instance: str
    slots: int
    notice: AnswerNotice = NO_NOTICE


class WorkerProbe:
    """Probes the worker at one address."""

    def __init__(self, runtime: Runtime, address: Address, names: HeaderNames) -> None:
        self._runtime = runtime
        self._address = address
        self._instance_name = names.instance_answer.lower()
        self._load_name = names.load.lower()
        self._notices = AnswerNoticeReader(names)

    def find(self, path: str) -> ProbedWorker | None:
        """Probe the worker, with retries; return None if it is not healthy.

        :param path: URL path of the health check.
        """
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                gevent.sleep(RETRY_PAUSE_SECONDS)
            head = self._request_head(path)
            if head is not None:
                return self._parse_answer(head)
        return None

    def _request_head(self, path: str) -> AnswerHead | None:
        """Request the health check once; return the response's head, or None if there is none."""
        request = f"GET {path} HTTP/1.1\r\nHost: {format_address(self._address)}\r\n"
        try:
            stream = self._runtime.connect(self._address, PROBE_TIMEOUT_SECONDS)
        except OSError:
            # The worker may still be starting; the next attempt or its heartbeat finds it.
            return None
        clock = self._runtime.monotonic
        reader = AnswerReader(stream, MAX_HEAD_BYTES)
        reader.receive_until(clock() + PROBE_TIMEOUT_SECONDS, clock)
        try:
            stream.settimeout(PROBE_TIMEOUT_SECONDS)
            stream.sendall(request.encode("latin-1") + b"Connection: close\r\n\r\n")
            return reader.next_head()
        except (OSError, HeadTooLargeError, MalformedMessageError, TruncatedMessageError):
            # An incomplete or malformed response counts as none.
            return None
        finally:
            stream.close()

    def _parse_answer(self, head: AnswerHead) -> ProbedWorker | None:
        """Parse a response's headers; return None unless they are those of a healthy worker."""
        instance = head.value(self._instance_name)
        load = parse_worker_load(head.value(self._load_name))
        if head.status != HTTPStatus.OK or not instance or load is None or not load.slots:
            return None
        return ProbedWorker(instance.decode("latin-1"), load.slots, self._notices.read(head))
