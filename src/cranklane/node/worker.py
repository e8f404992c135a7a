"""Runs calls in the node's own worker over HTTP.

Owns the connections to the worker. The sidecar has a client of its own
(:mod:`~cranklane.sidecar.worker.exchange`): its worker states its instance and an integrity
mark with each answer, and a request's bytes are passed on as they came.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from cranklane.common import headers
from cranklane.common.http_client import HttpClient, HttpRequestError, HttpResponse
from cranklane.common.units import MILLISECONDS
from cranklane.outcome import Outcome, Reason
from cranklane.records.messages import CallOpen
from cranklane.runtime.interface import Address, Runtime

MAX_CONNECTIONS = 1024
"""Connections to the worker at once. A choice: more than any worker has slots, so that only
admission bounds the calls."""


@dataclass(frozen=True, slots=True)
class WorkerFailure:
    """Why the worker gave no answer.

    :ivar outcome: NOT_RUN only when it cannot have started the work.
    """

    outcome: Outcome
    reason: Reason


class WorkerClient:
    """The node's HTTP connections to its worker."""

    def __init__(self, runtime: Runtime, address: Address) -> None:
        self._client = HttpClient(runtime, address, concurrency=MAX_CONNECTIONS)

    def run(
        self,
        call: CallOpen,
        token: str,
        timeout: float,
        may_start: Callable[[Any], bool],
    ) -> Result[HttpResponse, WorkerFailure]:
        """Send a call to the worker and return when its answer begins.

        :param token: context token for the worker's child calls.
        :param timeout: seconds until the answer's head must be there.
        :param may_start: asked with the connection just before the first byte
            leaves; False ends the call as not run.
        """
        try:
            connection = self._client.connect()
        except HttpRequestError:
            return Err(WorkerFailure(Outcome.NOT_RUN, Reason.WORKER_UNREACHABLE))
        if not may_start(connection):
            self._client.give_back(connection)
            return Err(WorkerFailure(Outcome.NOT_RUN, Reason.CANCELLED))
        try:
            response = self._client.request(
                call.method,
                call.path,
                self._headers(call, token, timeout),
                call.body,
                timeout,
                connection,
            )
        except HttpRequestError as error:
            return Err(failure_of(error))
        if _shed(response):
            response.close()
            return Err(WorkerFailure(Outcome.NOT_RUN, Reason.WORKER_SHED))
        return Ok(response)

    @staticmethod
    def _headers(call: CallOpen, token: str, timeout: float) -> list[tuple[str, str]]:
        own = [
            (headers.CONTEXT, token),
            (headers.DEADLINE_MS, str(max(1, int(timeout * MILLISECONDS)))),
        ]
        if call.key:
            own.append((headers.IDEMPOTENCY_KEY, call.key))
        return own + call.headers


def failure_of(error: HttpRequestError) -> WorkerFailure:
    """Return what is known of a run on whose connection no answer came."""
    if not error.sent:
        # The request could not be written as HTTP, so no byte of it left.
        return WorkerFailure(Outcome.NOT_RUN, Reason.BAD_REQUEST)
    if error.timed_out:
        # The worker may still be running it.
        return WorkerFailure(Outcome.UNKNOWN, Reason.DEADLINE_PASSED)
    # The connection broke: the worker may have run it or not.
    return WorkerFailure(Outcome.UNKNOWN, Reason.WORKER_FAILED)


def _shed(response: HttpResponse) -> bool:
    """Return whether the worker states that it has not started the work."""
    if response.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    wanted = headers.OUTCOME.lower()
    return any(
        name.lower() == wanted and value == Outcome.NOT_RUN.label
        for name, value in response.headers
    )
