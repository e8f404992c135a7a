"""A stand-in worker: sound unless a case replaces ``handle``."""

from __future__ import annotations

import contextlib
import json
import socket
import struct
import threading
import time
from collections.abc import Callable

from deployment import Deployment, Machine
from http_messages import Reader, Record, post

HEARTBEAT_SECONDS = 1.5
WORK_SECONDS = 0.05


class Worker:
    """A worker beside one sidecar.

    :param handle: called with a connection's reader, start line and headers instead of the sound
        behaviour; returns None to let the sound behaviour follow, else whether to keep the
        connection.
    """

    def __init__(
        self,
        deployment: Deployment,
        machine: Machine,
        service: str,
        instance: str,
        record: Record,
        handle: Callable[[Reader, str, dict[str, str]], bool | None] | None = None,
        receive_buffer: int = 0,
    ) -> None:
        self.service, self.instance = service, instance
        self.record = record
        self._handle = handle
        self.leaving = False
        self.ended = False
        self.sequence = 0
        self.slots = 20
        self.born = int(time.time() * 1000)
        self._streams: set[socket.socket] = set()
        self._address = f"{machine.ip}:{deployment.app_port}"
        self._registry = machine.address("control-plane")
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self._listener.bind((machine.ip, deployment.app_port))
        self._listener.listen(256)
        threading.Thread(target=self._accept, daemon=True).start()

    def heartbeat(self, phase: str = "ready", sequence: int | None = None) -> int:
        """Send one heartbeat; return the status of its answer."""
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        body = {
            "service": self.service,
            "address": self._address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "phase": phase,
            "cold_remaining_ms": 0,
            "sequence": sequence,
            "born": self.born,
        }
        path = f"/v1/instances/{self.instance}/heartbeat"
        return post(self._registry, path, json.dumps(body).encode())

    def deregister(self) -> int:
        """Send the deregistration; return the status of its answer."""
        body = json.dumps({"born": self.born}).encode()
        return post(self._registry, f"/v1/instances/{self.instance}/deregister", body)

    def beat(self) -> None:
        """Send heartbeats in the background until the worker leaves."""

        def run() -> None:
            while not (self.leaving or self.ended):
                self.heartbeat()
                time.sleep(HEARTBEAT_SECONDS)

        threading.Thread(target=run, daemon=True).start()

    def end(self) -> None:
        """Close the port."""
        self.ended = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)  # Wakes the thread that accepts.
        self._listener.close()

    def crash(self) -> None:
        """Close the port and all connections, as the end of the process does."""
        self.end()
        for stream in list(self._streams):
            # A process that ends with unread bytes resets its connections.
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            stream.close()

    def _accept(self) -> None:
        while True:
            try:
                stream, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(stream,), daemon=True).start()

    def _serve(self, stream: socket.socket) -> None:
        reader = Reader(stream)
        self._streams.add(stream)
        try:
            while True:
                message = reader.head()
                if message is None or not self._serve_request(reader, *message):
                    return
        except (OSError, ValueError):
            return  # The sidecar has closed the connection.
        finally:
            self._streams.discard(stream)
            stream.close()

    def _serve_request(self, reader: Reader, line: str, headers: dict[str, str]) -> bool:
        if line.split()[1] == "/healthz":
            self.answer(reader, headers, 503 if self.leaving else 200)
            return True
        if self._handle is not None:
            keeps = self._handle(reader, line, headers)
            if keeps is not None:
                return keeps
        expected = headers.get("x-expected-instance", self.instance)
        body = reader.body(headers)
        if body is None:
            return False
        if expected != self.instance:
            self.answer(reader, headers, 421, not_run=True)
            return True
        request_id = headers.get("x-attempt-id", "")
        self.record(f"worker {self.instance} runs {request_id} {line.rsplit(' ', 1)[0]}")
        time.sleep(WORK_SECONDS)
        self.answer(reader, headers, 200, b"ran " + request_id.encode())
        return True

    def answer(
        self,
        reader: Reader,
        headers: dict[str, str],
        status: int,
        body: bytes = b"",
        not_run: bool = False,
    ) -> None:
        """Send an answer with the headers that the protocol asks for."""
        lines = [
            f"HTTP/1.1 {status} Status",
            f"X-Attempt-Id: {headers.get('x-attempt-id', '')}",
            f"X-Instance-Id: {self.instance}",
            f"X-Server-Load: 0,0,{self.slots}",
            f"Content-Length: {len(body)}",
        ]
        lines.append("X-Not-Executed: 1" if not_run else f"X-Response-Seal: seal.{len(body)}")
        reader.stream.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
