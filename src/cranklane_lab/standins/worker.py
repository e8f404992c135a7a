"""A stand-in worker with slots, drain, cold start, shedding, cancellation and deadlines.

It serves the work of its :class:`~cranklane_lab.deployments.ServicePlan` and makes child
calls through its node.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import falcon
import gevent

from cranklane.common import headers as header_names
from cranklane.common.http_client import HttpClient, HttpRequestError, HttpResponse
from cranklane.common.http_server import CONNECTION_KEY, HttpServer
from cranklane.errors import TruncatedAnswerError
from cranklane.outcome import Outcome
from cranklane.runtime.interface import Address, Runtime
from cranklane_lab.deployments import ServicePlan, Work
from cranklane_lab.standins.content import body_chunks

CANCEL_POLL_SECONDS = 0.02
"""Interval of checks for a disconnected caller or a passed deadline."""

COLD_START_FACTOR = 3.0
"""Factor on the work time during a cold start."""

_NO_DEADLINE_MS = 3_600_000


@dataclass(frozen=True)
class WorkerRun:
    """A call that a worker started to run.

    :ivar at: the worker's monotonic second of the start.
    :ivar key: idempotency key; empty without one.
    """

    at: float
    nonce: str
    key: str
    service: str
    path: str
    worker: str


@dataclass
class WorkerState:
    """The behaviour, faults and counters of a worker.

    :ivar runs: nonce and idempotency key of each started call.
    :ivar finished: nonces of the completed calls.
    :ivar running: number of calls in flight.
    :ivar most_running: maximum of ``running`` so far.
    :ivar shed: number of refused calls.
    :ivar cancelled: number of calls ended by a deadline, a disconnect or a failed child call.
    :ivar slow_factor: factor on the work time.
    :ivar fail_fraction: fraction of calls that run and then get a 500.
    :ivar child_retries: number of immediate retries of a failed child call.
    :ivar cold_until: monotonic second at which the cold start ends.
    :ivar draining: whether it refuses all calls.
    """

    runs: list[tuple[str, str]] = field(default_factory=list)
    finished: list[str] = field(default_factory=list)
    running: int = 0
    most_running: int = 0
    shed: int = 0
    cancelled: int = 0
    slow_factor: float = 1.0
    fail_fraction: float = 0.0
    child_retries: int = 0
    cold_until: float = 0.0
    draining: bool = False


class Worker:
    """A stand-in worker.

    :param address: address to serve calls on.
    :param node: HTTP address of its node, for child calls.
    :param on_run: called for each call that the worker starts to run.
    """

    def __init__(
        self,
        runtime: Runtime,
        name: str,
        tenant: str,
        plan: ServicePlan,
        address: Address,
        node: Address,
        on_run: Callable[[WorkerRun], None] | None = None,
    ) -> None:
        self._runtime = runtime
        self._name = name
        self._tenant = tenant
        self._plan = plan
        self._on_run = on_run
        self._node = HttpClient(runtime, node, concurrency=256)
        self.state = WorkerState()
        application = falcon.App()
        application.add_sink(self._serve, "/")
        application.add_route("/_lab/state", self, suffix="state")
        self.server = HttpServer(runtime, address, application)

    def on_get_state(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return the started and the completed calls."""
        response.media = {"runs": self.state.runs, "finished": self.state.finished}

    def on_post_state(self, request: falcon.Request, response: falcon.Response) -> None:
        """Set attributes of :class:`WorkerState` from the JSON body."""
        for key, value in request.get_media().items():
            setattr(self.state, key, value)
        response.media = {}

    def _serve(self, req: falcon.Request, resp: falcon.Response, **_: Any) -> None:
        request, response = req, resp
        work = self._plan.work.get(request.path.split("/")[1])
        if work is None:
            response.status = falcon.HTTP_404
            return
        if self.state.draining or self.state.running >= self._plan.slots:
            self._shed(response)
            return
        self._run(request, response, work)

    def _shed(self, response: falcon.Response) -> None:
        self.state.shed += 1
        response.status = falcon.HTTP_503
        response.set_header(header_names.OUTCOME, Outcome.NOT_RUN.label)

    def _run(self, request: falcon.Request, response: falcon.Response, work: Work) -> None:
        state = self.state
        nonce = request.get_param("nonce") or ""
        key = request.get_header(header_names.IDEMPOTENCY_KEY) or ""
        state.running += 1
        state.most_running = max(state.most_running, state.running)
        state.runs.append((nonce, key))
        if self._on_run is not None:
            run = WorkerRun(
                self._runtime.monotonic(), nonce, key, self._plan.name, request.path, self._name
            )
            self._on_run(run)
        try:
            done = self._work(request, work) and self._call_children(request, work, nonce)
        finally:
            state.running -= 1
        if not done:
            state.cancelled += 1
            response.status = falcon.HTTP_504
            return
        if self._runtime.random.random() < state.fail_fraction:
            response.status = falcon.HTTP_500
            return
        state.finished.append(nonce)
        response.content_type = "application/octet-stream"
        response.stream = self._body(nonce, work)

    def _body(self, nonce: str, work: Work) -> Iterator[bytes]:
        self.state.running += 1
        try:
            yield from body_chunks(nonce, self._name, work.size)
        finally:
            self.state.running -= 1

    def _work(self, request: falcon.Request, work: Work) -> bool:
        """Spend the work time; return False at the deadline or if the caller disconnects."""
        now = self._runtime.monotonic()
        seconds = work.seconds * self.state.slow_factor
        if now < self.state.cold_until:
            seconds *= COLD_START_FACTOR
        ends_at = now + seconds
        deadline_ms = request.get_header(header_names.DEADLINE_MS) or _NO_DEADLINE_MS
        deadline = now + int(deadline_ms) / 1000
        connection = request.env.get(CONNECTION_KEY)
        while now < ends_at:
            gevent.sleep(min(CANCEL_POLL_SECONDS, ends_at - now))
            now = self._runtime.monotonic()
            if now >= deadline or self._runtime.closed_by_peer([connection]):
                return False
        return True

    def _call_children(self, request: falcon.Request, work: Work, nonce: str) -> bool:
        headers = [(header_names.CONTEXT, request.get_header(header_names.CONTEXT) or "")]
        if work.parallel:
            tasks = [
                self._runtime.spawn(self._call_child, service, path, nonce, headers)
                for service, path in work.children
            ]
            gevent.joinall(tasks)
            return all(task.value for task in tasks)
        return all(
            self._call_child(service, path, nonce, headers) for service, path in work.children
        )

    def _call_child(
        self, service: str, path: str, nonce: str, headers: list[tuple[str, str]]
    ) -> bool:
        attempts = 1 + self.state.child_retries
        return any(self._attempt_child(service, path, nonce, headers) for _ in range(attempts))

    def _request_with_stale_retry(
        self, target: str, headers: list[tuple[str, str]]
    ) -> HttpResponse:
        """Send a request; retry once, as HTTP clients do for a stale keep-alive connection."""
        try:
            return self._node.request("GET", target, headers)
        except HttpRequestError as error:
            if error.timed_out:
                raise
            return self._node.request("GET", target, headers)

    def _attempt_child(
        self, service: str, path: str, nonce: str, headers: list[tuple[str, str]]
    ) -> bool:
        target = f"/{self._tenant}/{service}{path}?nonce={nonce}"
        try:
            response = self._request_with_stale_retry(target, headers)
            response.read()
        except (HttpRequestError, TruncatedAnswerError):
            return False
        return response.status < 300
