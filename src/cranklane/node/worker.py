"""HTTP client for the node's worker.

The sidecar's worker client is :mod:`~cranklane.sidecar.worker.exchange`.
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
"""Most concurrent connections to the worker. More than any worker has slots, so that only
admission limits the calls."""


@dataclass(frozen=True, slots=True)
class WorkerFailure:
    """A call without an answer from the worker.

    :ivar outcome: NOT_RUN only if the worker certainly did not start the call.
    """

    outcome: Outcome
    reason: Reason


class WorkerClient:
    """Sends calls to the worker over pooled HTTP connections."""

    def __init__(self, runtime: Runtime, address: Address) -> None:
        self._client = HttpClient(runtime, address, concurrency=MAX_CONNECTIONS)

    def run(
        self,
        call: CallOpen,
        token: str,
        timeout: float,
        may_start: Callable[[Any], bool],
    ) -> Result[HttpResponse, WorkerFailure]:
        """Send a call to the worker and return the answer once its head has arrived.

        :param token: context token for the worker's child calls.
        :param timeout: seconds to wait for the answer's head.
        :param may_start: called with the connection just before the first byte is sent; if it
            returns False, the call is not sent.
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
        request_headers = [
            (headers.CONTEXT, token),
            (headers.DEADLINE_MS, str(max(1, int(timeout * MILLISECONDS)))),
        ]
        if call.key:
            request_headers.append((headers.IDEMPOTENCY_KEY, call.key))
        return request_headers + call.headers


def failure_of(error: HttpRequestError) -> WorkerFailure:
    """Return the failure for an HTTP request without an answer."""
    if not error.sent:
        # The request could not be encoded as HTTP, so nothing was sent.
        return WorkerFailure(Outcome.NOT_RUN, Reason.BAD_REQUEST)
    if error.timed_out:
        # The worker may still be running the call.
        return WorkerFailure(Outcome.UNKNOWN, Reason.DEADLINE_PASSED)
    # The connection was lost: the worker may have run the call.
    return WorkerFailure(Outcome.UNKNOWN, Reason.WORKER_FAILED)


def _shed(response: HttpResponse) -> bool:
    """Return whether the worker refused the call, stating that it has not run."""
    if response.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    wanted = headers.OUTCOME.lower()
    return any(
        name.lower() == wanted and value == Outcome.NOT_RUN.label
        for name, value in response.headers
    )
