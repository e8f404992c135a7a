"""A stand-in worker behind a sidecar, with fault injection.

It uses the product's header names. A test injects a fault by setting the number of
requests that it affects in :class:`RoutedWorkerState`.
"""

from __future__ import annotations

import json
from typing import Any

import gevent

from cranklane.common.http1.message import (
    Framing,
    MalformedMessageError,
    RequestHead,
    TruncatedMessageError,
)
from cranklane.common.http1.reader import RequestReader
from cranklane.common.http1.writer import status_line
from cranklane.common.units import MILLISECONDS
from cranklane.runtime.interface import Address, Runtime
from cranklane_lab.standins.raw_http import exchange
from cranklane_lab.standins.routed_answers import NAMES, AnswerEncoder
from cranklane_lab.standins.routed_worker_state import (
    LateBody,
    RoutedRun,
    RoutedWorkerState,
)

HEARTBEAT_SECONDS = 1.5
HEALTH_PATH = "/healthz"
_POLL_SECONDS = 0.02

_NEGLIGIBLE_SECONDS = 1e-6
"""Remaining work that counts as done; absorbs rounding."""

DEPARTED = "departed"
"""Phase of a worker that has deregistered and still serves; no heartbeat states it."""

CRASH_SECONDS = 0.05
"""Delay between the start of a crashing request and the crash."""


class RoutedWorker:
    """A stand-in worker.

    :param address: address to serve requests on.
    :param registry: address of the sidecar's registry, which receives its heartbeats.
    :param slots: concurrency that it announces.
    :param states_start_time: whether its messages state when it started.
    :ivar started_at_ms: Unix time of its start in milliseconds; None if not stated.
    :ivar phase: ``ready``, ``draining`` or :data:`DEPARTED`.
    :ivar ended: whether it has exited.
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
        states_start_time: bool = True,
    ) -> None:
        self._runtime = runtime
        self.service = service
        self.instance = instance
        self._registry = registry
        self.slots = slots
        self._heartbeat_seconds = heartbeat_seconds
        self._sequence = 0
        self.started_at_ms = int(runtime.wall() * MILLISECONDS) if states_start_time else None
        self.phase = "ready"
        self.ended = False
        self.state = RoutedWorkerState()
        self._answers = AnswerEncoder(self)
        self._streams: set[Any] = set()
        self._listener = runtime.listen(address, self._accept)

    @property
    def label(self) -> str:
        """Text that differs between the starts of a worker."""
        return f"{self.instance}@{self.started_at_ms}"

    def send_heartbeat(self) -> int:
        """Send one heartbeat; return the response's status, 0 without a response."""
        return self.deliver_heartbeat(self.next_heartbeat())

    def next_heartbeat(self) -> bytes:
        """Return the body of the next heartbeat, to be delivered now or late."""
        self._sequence += 1
        cold_seconds = max(0.0, self.state.cold_until - self._runtime.monotonic())
        body = {
            "service": self.service,
            "slots": self.slots,
            "phase": self.phase,
            "sequence": self._sequence,
            "cold_remaining_ms": int(cold_seconds * MILLISECONDS),
            **self._start_time(),
        }
        return json.dumps(body).encode()

    def deliver_heartbeat(self, body: bytes) -> int:
        """Send a heartbeat made earlier; return the response's status, 0 without a response."""
        return self._post("heartbeat", body)

    def _start_time(self) -> dict[str, int]:
        return {} if self.started_at_ms is None else {"born": self.started_at_ms}

    def drain(self) -> int:
        """Announce that it takes no new requests; return the response's status."""
        self.phase = "draining"
        return self.send_heartbeat()

    def deregister(self) -> int:
        """Deregister from the sidecar; return the response's status."""
        start_time = self._start_time()
        return self._post("deregister", json.dumps(start_time).encode() if start_time else b"")

    def depart(self) -> int:
        """Deregister, send no further heartbeats and keep serving; return the response's status."""
        self.phase = DEPARTED
        return self.deregister()

    def send_heartbeats(self) -> None:
        """Send heartbeats until the worker exits or departs."""
        while not self.ended and self.phase != DEPARTED:
            self.send_heartbeat()
            gevent.sleep(self._heartbeat_seconds)

    def _post(self, call: str, body: bytes) -> int:
        path = f"/v1/instances/{self.instance}/{call}"
        answer = exchange(self._runtime, self._registry, "POST", path, {}, body)
        return answer.status if answer is not None else 0

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def end(self) -> None:
        """Simulate a process exit: close the port and all connections, without deregistering."""
        self.ended = True
        self.close()
        for stream in list(self._streams):
            stream.close()

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
            # The sidecar disconnected or sent an invalid request: either ends the connection.
            pass
        finally:
            self._streams.discard(stream)
            stream.close()

    def _serve(self, stream: Any, reader: RequestReader, head: RequestHead) -> bool:
        """Serve one request; return whether the connection stays open."""
        if head.target == HEALTH_PATH.encode():
            reader.finish()
            stream.sendall(self._answers.health(self.phase == "ready"))
            return True
        state = self.state
        state.arrivals += 1
        request = head.value(NAMES.request.lower()) or b""
        if state.consume_fault("refuse_unread"):
            self._answer(stream, request, 503, b"", not_run=True)
            return False
        has_body = head.framing is not Framing.NONE
        if has_body and state.consume_fault("refuse_early"):
            gevent.sleep(state.early_answer_delay)
            self._answer(stream, request, 503, b"", not_run=True)
            return self._read_late(reader, head)
        if has_body and state.consume_fault("answer_early"):
            return self._answer_early(stream, reader, head)
        expected = head.value(NAMES.instance.lower())
        is_misdirected = expected is not None and expected != self.instance.encode()
        if state.on_arrival is not None:
            state.on_arrival(request.decode(), is_misdirected)
        body = self._read_body(reader)
        if is_misdirected:
            return self._answer(stream, request, 421, b"", not_run=True)
        if self._refuses():
            return self._refuse(stream, request)
        if state.endless_part == "refusal" and state.consume_fault("endless_answers"):
            return self._send_without_end(stream, request)
        return self._run(stream, head, body)

    def _read_body(self, reader: RequestReader) -> bytes:
        while not self.state.reads_body:
            gevent.sleep(_POLL_SECONDS)
        body = b""
        while chunk := reader.next_piece():
            body += chunk
        reader.finish()
        return body

    def _refuses(self) -> bool:
        shed_fraction = self.state.shed_fraction
        is_shed = shed_fraction and self._runtime.random.random() < shed_fraction
        return bool(is_shed) or self.state.consume_fault("refuse")

    def _refuse(self, stream: Any, request: bytes) -> bool:
        answer = self._answers.encode(request, 503, b"", not_run=True)
        if self.state.consume_fault("surplus_refusals"):
            answer += status_line(200) + b"Content-Length: 0\r\n\r\n"
        stream.sendall(answer)
        return True

    def _run(self, stream: Any, head: RequestHead, body: bytes) -> bool:
        """Run a request and answer it; return whether the connection stays open."""
        state = self.state
        request = head.value(NAMES.request.lower()) or b""
        run = self._start_run(head, body)
        if state.crash_mark and state.crash_mark in run.target:
            gevent.sleep(CRASH_SECONDS)
            assert state.on_crash is not None
            state.on_crash(run)
            return False
        if state.work is not None:
            status = state.work(run)
            answer_body = state.body if status == state.status else b"failed"
            return self._answer(stream, request, status, answer_body)
        if not self._work(stream, run):
            return False
        return self._finish(stream, request)

    def _start_run(self, head: RequestHead, body: bytes, answered_early: bool = False) -> RoutedRun:
        """Record that a request starts to run."""
        state = self.state
        run = RoutedRun(
            (head.value(NAMES.request.lower()) or b"").decode(),
            head.method,
            head.target,
            list(head.headers),
            body,
            self._runtime.monotonic(),
            state.work_time_factor,
            answered_early=answered_early,
        )
        state.runs.append(run)
        if state.on_run is not None:
            state.on_run(run)
        return run

    def _answer_early(self, stream: Any, reader: RequestReader, head: RequestHead) -> bool:
        """Answer a request as run before its body is read; return whether the body was whole."""
        gevent.sleep(self.state.early_answer_delay)
        self._start_run(head, b"", answered_early=True)
        request = head.value(NAMES.request.lower()) or b""
        body = b"ran " + request if self.state.echoes else self.state.body
        self._answer(stream, request, 200, body)
        return self._read_late(reader, head)

    def _read_late(self, reader: RequestReader, head: RequestHead) -> bool:
        """Read the body of a request that is already answered; return whether it was whole."""
        gevent.sleep(self.state.late_read_pause)
        data = b""
        whole = malformed = False
        try:
            while chunk := reader.next_piece():
                data += chunk
            reader.finish()
            whole = True
        except MalformedMessageError:
            malformed = True
        except (OSError, TruncatedMessageError):
            # The sidecar has closed the connection in place of sending the rest.
            pass
        request = (head.value(NAMES.request.lower()) or b"").decode()
        late_body = LateBody(request, head.target, data, malformed)
        if self.state.keeps_late_bodies:
            self.state.late_bodies.append(late_body)
        if self.state.on_late_body is not None:
            self.state.on_late_body(late_body)
        return whole

    def _work(self, stream: Any, run: RoutedRun) -> bool:
        """Spend the work time of a request; return False if the caller disconnects."""
        state = self.state
        state.running += 1
        state.most_running = max(state.most_running, state.running)
        remaining = state.seconds
        now = self._runtime.monotonic()
        try:
            while remaining > _NEGLIGIBLE_SECONDS:
                factor, began_at = state.work_time_factor, now
                gevent.sleep(min(_POLL_SECONDS, remaining * factor))
                now = self._runtime.monotonic()
                remaining -= (now - began_at) / factor
                if self._runtime.closed_by_peer([stream]):
                    run.cancelled = True
                    return False
        finally:
            state.running -= 1
        return True

    def _finish(self, stream: Any, request: bytes) -> bool:
        raw_answer = self.state.raw_answer
        if raw_answer is not None:
            answer = raw_answer(request)
            stream.sendall(answer)
            return b"Connection: close" not in answer
        if self.state.invalid_statuses:
            stream.sendall(
                self._answers.with_status_text(request, self.state.invalid_statuses.pop())
            )
            return True
        return self._finish_properly(stream, request)

    def _finish_properly(self, stream: Any, request: bytes) -> bool:
        state = self.state
        if state.consume_fault("fail"):
            return self._answer(stream, request, 500, b"failed")
        if state.consume_fault("lose_answers"):
            return False
        if state.consume_fault("garbage_answers"):
            stream.sendall(b"\x00\x01 no answer at all\r\n\r\n")
            return False
        # A request that has run must not be refused as not run.
        if state.endless_part != "refusal" and state.consume_fault("endless_answers"):
            return self._send_without_end(stream, request)
        if state.consume_fault("late_answers"):
            self._answer(stream, b"another-request", 200, b"of another request")
        if state.consume_fault("cut_answers"):
            encoded = self._answers.encode(request, state.status, state.body)
            stream.sendall(encoded[: len(encoded) - max(1, len(state.body) // 2)])
            return False
        if state.consume_fault("unframed_answers"):
            encoded = self._answers.encode(request, state.status, state.body, framed=False)
            stream.sendall(encoded)
            return False
        if state.consume_fault("unmarked_answers"):
            return self._answer(stream, request, state.status, state.body, marked=False)
        body = b"ran " + request if state.echoes else state.body
        self._answer(stream, request, state.status, body)
        if state.consume_fault("surplus_answers"):
            self._answer(stream, request, 200, b"once more")
        return True

    def _send_without_end(self, stream: Any, request: bytes) -> bool:
        part = self.state.endless_part
        if part == "body":
            stream.sendall(self._answers.encode(request, 200, b"", framed=False))
        elif part == "refusal":
            stream.sendall(self._answers.encode(request, 503, b"", not_run=True, framed=False))
        elif part == "head":
            stream.sendall(status_line(200))
        piece = (
            status_line(100) + b"\r\n" if part == "interim" else b"X-Noise: %s\r\n" % (b"x" * 999)
        )
        while True:
            stream.sendall(piece)
            gevent.sleep(self.state.endless_pause)

    def _answer(
        self,
        stream: Any,
        request: bytes,
        status: int,
        body: bytes,
        not_run: bool = False,
        marked: bool = True,
    ) -> bool:
        stream.sendall(self._answers.encode(request, status, body, not_run, marked))
        return True
