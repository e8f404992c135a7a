"""A back end behind a sidecar: runs, refuses, drains, and misbehaves when told to.

It speaks the product's own header names. Faults are set on its state, each as
the number of coming requests that it strikes.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gevent

from cranklane.common.header_names import HeaderNames
from cranklane.common.http1.message import MalformedMessageError, RequestHead, TruncatedMessageError
from cranklane.common.http1.reader import RequestReader
from cranklane.common.http1.writer import status_line
from cranklane.runtime.interface import Address, Runtime
from cranklane_lab.standins.raw_http import exchange

NAMES = HeaderNames()
HEARTBEAT_SECONDS = 1.5
HEALTH_PATH = "/healthz"
INTEGRITY = b"whole"
_LOOK_SECONDS = 0.02

CRASH_SECONDS = 0.05
"""A worker ends this long after it began to run a request that ends it."""


@dataclass
class RoutedRun:
    """One request that the worker has begun to run."""

    request: str
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    at: float
    cancelled: bool = False

    def value(self, name: bytes) -> bytes:
        """Return the first value of a header, or nothing."""
        return next((v for n, v in self.headers if n.lower() == name.lower()), b"")


@dataclass
class RoutedWorkerState:
    """What a test can see and change.

    :ivar seconds: time one request takes.
    :ivar lose_answers: requests to run whose connection is then reset.
    :ivar cut_answers: answers to break off in the middle.
    :ivar surplus_answers: answers that another one follows.
    :ivar late_answers: answers before which one to another request stands.
    :ivar garbage_answers: answers that are no HTTP.
    :ivar unframed_answers: answers without length, ended by their connection.
    :ivar refuse: requests to refuse as not run.
    :ivar fail: requests to run and answer with 500.
    :ivar body: of each answer.
    :ivar echoes: whether its answers name their request instead.
    :ivar work: does the work of a run and returns the status of its answer; it takes the
        place of ``seconds`` and ``status``.
    :ivar slower: factor on the time of its work, for ``work`` to heed.
    :ivar shed_part: part of the requests that it refuses as not run.
    :ivar crash_mark: requests whose target holds it end the worker; nothing: none do.
    :ivar on_crash: brings that end about.
    """

    seconds: float = 0.02
    status: int = 200
    lose_answers: int = 0
    cut_answers: int = 0
    surplus_answers: int = 0
    late_answers: int = 0
    garbage_answers: int = 0
    unframed_answers: int = 0
    unmarked_answers: int = 0
    refuse: int = 0
    fail: int = 0
    body: bytes = b"answer"
    echoes: bool = False
    work: Callable[[RoutedRun], int] | None = None
    slower: float = 1.0
    shed_part: float = 0.0
    crash_mark: bytes = b""
    on_crash: Callable[[RoutedRun], None] | None = None
    arrivals: int = 0
    connections: int = 0
    running: int = 0
    most_running: int = 0
    runs: list[RoutedRun] = field(default_factory=list)

    def strikes(self, fault: str) -> bool:
        """Return whether a fault strikes now, and count it."""
        left = getattr(self, fault)
        if left:
            setattr(self, fault, left - 1)
        return left > 0


class RoutedWorker:
    """One stand-in worker process.

    :param registry: where its heartbeats go.
    """

    def __init__(
        self,
        runtime: Runtime,
        service: str,
        instance: str,
        address: Address,
        registry: Address,
        slots: int = 4,
        heartbeat_seconds: float = HEARTBEAT_SECONDS,
    ) -> None:
        self._runtime = runtime
        self.service = service
        self.instance = instance
        self._registry = registry
        self.slots = slots
        self._heartbeat_seconds = heartbeat_seconds
        self._sequence = 0
        self.phase = "ready"
        self.ended = False
        self.state = RoutedWorkerState()
        self._streams: set[Any] = set()
        self._listener = runtime.listen(address, self._accept)

    # What it tells its sidecar.

    def beat(self) -> int:
        """Send one heartbeat; return the answer's status, 0 without one."""
        self._sequence += 1
        body = {
            "service": self.service,
            "slots": self.slots,
            "phase": self.phase,
            "sequence": self._sequence,
            "cold_remaining_ms": 0,
        }
        return self._tell("heartbeat", json.dumps(body).encode())

    def drain(self) -> int:
        """Tell that it takes no new work."""
        self.phase = "draining"
        return self.beat()

    def deregister(self) -> int:
        """Tell that it ends."""
        return self._tell("deregister", b"")

    def beat_on(self) -> None:
        """Send heartbeats for ever."""
        while not self.ended:
            self.beat()
            gevent.sleep(self._heartbeat_seconds)

    def _tell(self, call: str, body: bytes) -> int:
        path = f"/v1/instances/{self.instance}/{call}"
        answer = exchange(self._runtime, self._registry, "POST", path, {}, body)
        return answer.status if answer is not None else 0

    def close(self) -> None:
        """Take no more connections."""
        self._listener.close()

    def end(self) -> None:
        """End as a process does: its port and its connections close, and it says nothing."""
        self.ended = True
        self.close()
        for stream in list(self._streams):
            stream.close()

    # What it serves.

    def _accept(self, stream: Any, _address: Address) -> None:
        self.state.connections += 1
        self._streams.add(stream)
        reader = RequestReader(stream, 64 * 1024)
        try:
            while True:
                head = reader.next_head(30.0, 5.0, self._runtime.monotonic)
                if head is None or not self._serve(stream, reader, head):
                    return
        except (OSError, MalformedMessageError, TruncatedMessageError):
            # The sidecar has left; its own checks judge what it sent.
            pass
        finally:
            self._streams.discard(stream)
            stream.close()

    def _serve(self, stream: Any, reader: RequestReader, head: RequestHead) -> bool:
        if head.target == HEALTH_PATH.encode():
            reader.finish()
            return self._tell_health(stream)
        state = self.state
        state.arrivals += 1
        body = b""
        while piece := reader.next_piece():
            body += piece
        reader.finish()
        request = head.value(NAMES.request.lower()) or b""
        expected = head.value(NAMES.instance.lower())
        if expected is not None and expected != self.instance.encode():
            return self._answer(stream, request, 421, b"", not_run=True)
        sheds = state.shed_part and self._runtime.random.random() < state.shed_part
        if sheds or state.strikes("refuse"):
            return self._answer(stream, request, 503, b"", not_run=True)
        run = RoutedRun(
            request.decode(),
            head.method,
            head.target,
            head.headers,
            body,
            self._runtime.monotonic(),
        )
        state.runs.append(run)
        if state.crash_mark and state.crash_mark in run.target:
            gevent.sleep(CRASH_SECONDS)
            assert state.on_crash is not None
            state.on_crash(run)
            return False
        if state.work is not None:
            status = state.work(run)
            body = state.body if status == state.status else b"failed"
            return self._answer(stream, request, status, body)
        if not self._work(stream, run):
            return False
        return self._finish(stream, request)

    def _tell_health(self, stream: Any) -> bool:
        status = 200 if self.phase == "ready" else 503
        stream.sendall(
            b"%s%s: %s\r\n%s: %d,0,%d\r\nContent-Length: 0\r\n\r\n"
            % (
                status_line(status),
                NAMES.instance_answer,
                self.instance.encode(),
                NAMES.load,
                self.state.running,
                self.slots,
            )
        )
        return True

    def _work(self, stream: Any, run: RoutedRun) -> bool:
        """Run a request; return whether somebody still waits for its answer."""
        state = self.state
        state.running += 1
        state.most_running = max(state.most_running, state.running)
        ends_at = self._runtime.monotonic() + state.seconds
        try:
            while self._runtime.monotonic() < ends_at:
                gevent.sleep(min(_LOOK_SECONDS, max(0.0, ends_at - self._runtime.monotonic())))
                if self._runtime.closed_by_peer([stream]):
                    run.cancelled = True
                    return False
        finally:
            state.running -= 1
        return True

    def _finish(self, stream: Any, request: bytes) -> bool:
        state = self.state
        if state.strikes("fail"):
            return self._answer(stream, request, 500, b"failed")
        if state.strikes("lose_answers"):
            return False
        if state.strikes("garbage_answers"):
            stream.sendall(b"\x00\x01 no answer at all\r\n\r\n")
            return False
        if state.strikes("late_answers"):
            self._answer(stream, b"another-request", 200, b"of another request")
        if state.strikes("cut_answers"):
            whole = self._bytes(request, state.status, state.body)
            stream.sendall(whole[: len(whole) - max(1, len(state.body) // 2)])
            return False
        if state.strikes("unframed_answers"):
            whole = self._bytes(request, state.status, state.body, framed=False)
            stream.sendall(whole)
            return False
        if state.strikes("unmarked_answers"):
            return self._answer(stream, request, state.status, state.body, marked=False)
        body = b"ran " + request if state.echoes else state.body
        self._answer(stream, request, state.status, body)
        if state.strikes("surplus_answers"):
            self._answer(stream, request, 200, b"once more")
        return True

    def _answer(
        self,
        stream: Any,
        request: bytes,
        status: int,
        body: bytes,
        not_run: bool = False,
        marked: bool = True,
    ) -> bool:
        stream.sendall(self._bytes(request, status, body, not_run, marked))
        return True

    def _bytes(
        self,
        request: bytes,
        status: int,
        body: bytes,
        not_run: bool = False,
        marked: bool = True,
        framed: bool = True,
    ) -> bytes:
        lines = b"%s: %s\r\n" % (NAMES.request, request)
        if not_run:
            lines += b"%s: 1\r\n%s: %s\r\n" % (
                NAMES.not_run,
                NAMES.instance_answer,
                self.instance.encode(),
            )
        elif marked:
            lines += b"%s: %s\r\n" % (NAMES.integrity, INTEGRITY)
        if framed:
            lines += b"Content-Length: %d\r\n" % len(body)
        return status_line(status) + lines + b"\r\n" + body
