"""Encodes the answers of a stand-in worker behind a sidecar."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from cranklane.common.header_names import HeaderNames
from cranklane.common.http1.writer import status_line
from cranklane_lab.standins.routed_worker_state import RoutedWorkerState

NAMES = HeaderNames()
INTEGRITY = b"whole"

START_HEADER = b"Stand-In-Start"
"""Header of answers with a notice: the label of the worker's start."""


class AnsweringWorker(Protocol):
    """The attributes of a worker that its answers state.

    :ivar label: text that differs between the starts of a worker.
    """

    instance: str
    slots: int
    state: RoutedWorkerState

    @property
    def label(self) -> str:
        """Text that differs between the starts of a worker."""


class AnswerEncoder:
    """Encodes the answers of one worker."""

    def __init__(self, worker: AnsweringWorker) -> None:
        self._worker = worker

    def encode(
        self,
        request: bytes,
        status: int,
        body: bytes,
        not_run: bool = False,
        marked: bool = True,
        framed: bool = True,
    ) -> bytes:
        """Return the encoded answer to a request.

        :param not_run: whether it states that the request was not run.
        :param marked: whether an answer to a run has the integrity header.
        :param framed: whether the length of the body is stated.
        """
        state = self._worker.state
        lines = b"%s: %s\r\n" % (NAMES.request, request) + self._notices()
        if state.states_load or state.run_time_percent:
            lines += self._load_line()
        if not_run:
            lines += b"%s: 1\r\n%s" % (NAMES.not_run, self._instance_line())
        elif marked:
            lines += b"%s: %s\r\n" % (NAMES.integrity, INTEGRITY)
        if framed:
            lines += b"Content-Length: %d\r\n" % len(body)
        return status_line(status) + lines + b"\r\n" + body

    def with_status_text(self, request: bytes, status: bytes) -> bytes:
        """Return an encoded answer to a run with any text in place of its status."""
        proper = self.encode(request, HTTPStatus.OK, self._worker.state.body)
        return proper.replace(b" 200 ", b" %s " % status, 1)

    def health(self, is_ready: bool) -> bytes:
        """Return the encoded answer to a health check.

        :param is_ready: whether the worker's phase is ready.
        """
        state = self._worker.state
        is_well = (is_ready and not state.leaving) is not state.health_is_wrong
        status = HTTPStatus.OK if is_well else HTTPStatus.SERVICE_UNAVAILABLE
        notices = self._notices() if state.states_in_health else b""
        lines = notices + self._instance_line() + self._load_line()
        return status_line(status) + lines + b"Content-Length: 0\r\n\r\n"

    def _instance_line(self) -> bytes:
        return b"%s: %s\r\n" % (NAMES.instance_answer, self._worker.instance.encode())

    def _load_line(self) -> bytes:
        state = self._worker.state
        percent = state.run_time_percent
        fields = b"%d,0,%d%s" % (
            state.running,
            self._worker.slots,
            b"," + percent if percent else b"",
        )
        return b"%s: %s\r\n" % (NAMES.load, fields)

    def _notices(self) -> bytes:
        """Return the headers in which an answer states a limit or that the worker is leaving."""
        state = self._worker.state
        lines = b""
        if state.on_notice is not None:
            state.on_notice(float(state.rate_limit) if state.rate_limit else None)
        if state.rate_limit:
            lines += b"%s: %s\r\n" % (NAMES.rate_limit, state.rate_limit)
        if state.leaving:
            lines += b"%s: 1\r\n" % NAMES.leaving
        if lines:
            lines += b"%s: %s\r\n" % (START_HEADER, self._worker.label.encode())
        return lines
