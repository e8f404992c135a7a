"""Case 2: after an early rejection, a worker gets other bytes where the rest of a body is due.

Sidecar 1 takes long uploads and small requests. One of the two workers that take both rejects
every third upload before it is in, after some time in its queue. It keeps the connection and reads
the rest of the body later.
"""

from __future__ import annotations

import os
import socket
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
sys.dont_write_bytecode = True

from deployment import Deployment, route, route_table  # noqa: E402
from http_messages import Reader, Record, request  # noqa: E402
from outcome import BROKEN, COULD_NOT_RUN, HELD, status_of  # noqa: E402
from worker import Worker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

UPLOAD_BYTES = 32 * 1024 * 1024
"""More than the buffers of the connections on the way hold; half of max-body-bytes."""

PATTERN = b"0123456789abcdef"
"""Content of the uploads; no request line contains it."""

REJECTED_OF = 3
"""The faulty worker rejects the first of each so many uploads."""

QUEUE_SECONDS = 1.0
"""Time that an upload spends in the worker's queue before it is rejected."""

PAUSE_SECONDS = 0.5
"""Time after an early answer before the worker reads on."""

READ_BYTES, READ_PAUSE_SECONDS = 32 * 1024, 0.02
"""Speed of a worker that reads on."""

RECEIVE_BUFFER_BYTES = 64 * 1024

TROUBLE_SECONDS = 6.0
TROUBLES = 2
SMALL_CLIENTS = 16


class Case:
    """Uploads and small requests from one machine to the workers of two others."""

    def __init__(self) -> None:
        self.record = Record(HERE / "record.txt")
        self.deployment = Deployment(["desk", "store", "store"])
        self.uploads = 0
        self.rejected = 0
        self.broken = 0
        self.answered = 0
        self.troubled = threading.Event()
        self.done = threading.Event()

    # Workers.

    def handle_faulty(self, reader: Reader, line: str, headers: dict[str, str]) -> bool | None:
        """Reject every third upload early while there is trouble; check the bodies of all."""
        if not line.startswith("POST /file/"):
            return None
        request_id = headers["x-attempt-id"]
        self.uploads += 1
        is_rejected = self.troubled.is_set() and (self.uploads - 1) % REJECTED_OF == 0
        if is_rejected:
            time.sleep(QUEUE_SECONDS)
            self.rejected += 1
            self.record(f"worker i-store-1 rejects {request_id} early: 503, X-Not-Executed")
            self.faulty.answer(reader, headers, 503, not_run=True)
            time.sleep(PAUSE_SECONDS)
        size = int(headers["content-length"])
        if not self.read_body(reader, request_id, size, READ_PAUSE_SECONDS if is_rejected else 0):
            return False
        if is_rejected:
            self.record(f"worker i-store-1 has read the rest of {request_id}")
            return True
        self.record(f"worker i-store-1 runs {request_id}, {size} bytes as sent")
        self.faulty.answer(reader, headers, 200, b"ran " + request_id.encode())
        return True

    def read_body(self, reader: Reader, request_id: str, size: int, pause: float) -> bool:
        """Read a body; return whether it came whole and as it was sent."""
        received = 0
        while received < size:
            data = reader.receive(min(READ_BYTES, size - received))
            if not data:
                self.record(f"worker: the connection ends at byte {received} of {request_id}")
                return False
            offset = received % len(PATTERN)
            expected = (PATTERN * (len(data) // len(PATTERN) + 2))[offset : offset + len(data)]
            if data != expected:
                at = next(i for i in range(len(data)) if data[i] != expected[i])
                self.broken += 1
                self.record(
                    f"BROKEN: at byte {received + at} of the body of {request_id}, worker "
                    f"i-store-1 receives {data[at : at + 160]!r}"
                )
                return False
            received += len(data)
            time.sleep(pause)
        return True

    # Clients.

    def upload(self) -> None:
        """Send uploads, one after the other, until the end."""
        count = 0
        while not self.done.is_set():
            count += 1
            request_id = f"upload{count:06x}"
            try:
                self.send_upload(request_id)
            except OSError as error:
                self.record(f"client: {request_id} fails: {error}")
            time.sleep(0.3)

    def send_upload(self, request_id: str) -> None:
        """Send one upload; stop sending once there is an answer."""
        self.record(f"client sends {request_id}, {UPLOAD_BYTES} bytes")
        address = self.deployment.sidecars[0].address("outbound")
        with socket.create_connection(address, timeout=1.0) as stream:
            stream.settimeout(6.0)
            head = (
                f"POST /file/{request_id} HTTP/1.1\r\nHost: shop.example\r\n"
                f"X-Attempt-Id: {request_id}\r\nX-Deadline-Ms: 6000\r\n"
                f"Content-Length: {UPLOAD_BYTES}\r\n\r\n"
            )
            stream.sendall(head.encode())

            def send() -> None:
                try:
                    for _ in range(UPLOAD_BYTES // 65536):
                        stream.sendall(PATTERN * 4096)
                except OSError:
                    return  # Answered and closed.

            sender = threading.Thread(target=send, daemon=True)
            sender.start()
            try:
                answer = Reader(stream).head()
            except OSError:
                answer = None
            self.record(f"client gets {answer[0] if answer else 'no answer'} for {request_id}")

    def send_small(self, client: int) -> None:
        """Send small requests until the end."""
        address = self.deployment.sidecars[0].address("outbound")
        count = 0
        while not self.done.is_set():
            count += 1
            request_id = f"small{client:02x}{count:06x}"
            status, _, _ = request(address, "POST", f"/note/{count}", request_id, 2000, b"x" * 9)
            self.answered += status == 200
            self.record(f"client gets {status} for {request_id}")
            time.sleep(0.03)

    # The run.

    def run(self) -> int:
        """Return the exit status of the case."""
        deployment = self.deployment
        routes = {
            "file": route("/file/", "store", "upload"),
            "note": route("/note/", "store", "unsafe"),
        }
        try:
            deployment.start(route_table(1, 0, routes, ["desk", "store"]))
            deployment.supervise(self.record)
            desk, faulty, sound = deployment.sidecars
            self.faulty = Worker(
                deployment,
                faulty,
                "store",
                "i-store-1",
                self.record,
                self.handle_faulty,
                RECEIVE_BUFFER_BYTES,
            )
            workers = [
                self.faulty,
                Worker(deployment, desk, "desk", "i-desk", self.record),
                Worker(deployment, sound, "store", "i-store-2", self.record),
            ]
            for worker in workers:
                worker.beat()
            time.sleep(5.0)
            self.send_all()
        finally:
            self.done.set()
            deployment.stop()
        return self.judge()

    def send_all(self) -> None:
        """Send small requests and uploads during the troubles and a little longer."""
        threads = [
            threading.Thread(target=self.send_small, args=(number,), daemon=True)
            for number in range(SMALL_CLIENTS)
        ]
        threads.append(threading.Thread(target=self.upload, daemon=True))
        for thread in threads:
            thread.start()
        for _ in range(TROUBLES):
            time.sleep(1.5)
            if TROUBLE:
                self.troubled.set()
            time.sleep(TROUBLE_SECONDS)
            self.troubled.clear()
        time.sleep(3.0)
        self.done.set()
        for thread in threads:
            thread.join(10.0)

    def judge(self) -> int:
        """Check the rule: where the rest of a body is due, the worker gets no other bytes."""
        self.record(f"uploads at i-store-1: {self.uploads}, rejected early: {self.rejected}")
        self.record(f"small requests answered 200: {self.answered}")
        self.record(f"processes that ended by themselves: {self.deployment.own_ends()}")
        self.record(f"bodies in which i-store-1 received other bytes: {self.broken} (allowed: 0)")
        if not self.uploads or not self.answered or (TROUBLE and not self.rejected):
            self.record("the case could not run: a request did not reach its worker")
            return COULD_NOT_RUN
        return BROKEN if self.broken else HELD


if __name__ == "__main__":
    CASE = Case()
    sys.exit(status_of(CASE.run, CASE.record))
