"""Case 1: a worker rejects a long request before it is in, and a sidecar ends itself.

Sidecar 1 takes uploads, whose clients send at the pace of a slow link, and small requests on kept
connections. One of the two workers that take the uploads rejects every third one before it is in.
The small requests go to a sound worker of another service.

VARIANT chooses other troubles, for the report: ``timeout`` (the route's timeout passes while an
upload is on its way; nothing else happens), ``crash`` (a worker crashes), ``kill`` (SIGKILL of a
worker's sidecar) and ``answered`` (a worker answers 200 before the upload is in).
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
from http_messages import Reader, Record  # noqa: E402
from outcome import BROKEN, COULD_NOT_RUN, HELD, status_of  # noqa: E402
from worker import Worker  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VARIANT = os.environ.get("VARIANT", "early")

UPLOAD_BYTES = 512 * 1024
PIECE_BYTES, PIECE_SECONDS = 64 * 1024, 0.1
"""Pace of the uploads' clients: 5 Mbit/s."""

UPLOAD_CLIENTS = 2
REJECTED_OF = 3
"""The faulty worker rejects the first of each so many uploads."""

TROUBLE_SECONDS = 6.0
MAIL_SECONDS = 0.4
MAIL_CLIENTS = 8
ALLOWED = 3
"""Requests of kept connections that the rule allows to be cut, over the whole run."""


class Case:
    """Uploads at sidecar 1, beside small requests on kept connections."""

    def __init__(self) -> None:
        self.record = Record(HERE / "record.txt")
        self.deployment = Deployment(["desk", "store", "store", "mail"])
        self.mail_runs: set[str] = set()
        self.cut: list[str] = []
        self.answered = 0
        self.uploads = 0
        self.rejected = 0
        self.troubled = threading.Event()
        self.done = threading.Event()

    # Workers.

    def handle_faulty(self, reader: Reader, line: str, headers: dict[str, str]) -> bool | None:
        """Reject every third upload on its head while there is trouble."""
        if not line.startswith("POST /file/"):
            return None
        self.uploads += 1
        if not self.troubled.is_set() or (self.uploads - 1) % REJECTED_OF:
            return None
        self.rejected += 1
        return self.trouble(reader, headers)

    def trouble(self, reader: Reader, headers: dict[str, str]) -> bool | None:
        """Make the trouble of the variant for one upload."""
        request_id = headers["x-attempt-id"]
        if VARIANT == "timeout":
            return None
        if VARIANT == "early":
            self.record(f"worker i-store-1 rejects {request_id} early: 503, X-Not-Executed")
            self.faulty.answer(reader, headers, 503, not_run=True)
            return reader.body(headers) is not None  # It keeps the connection and reads on.
        if VARIANT == "answered":
            self.record(f"worker i-store-1 runs {request_id}, answers 200 before its body is in")
            self.faulty.answer(reader, headers, 200, b"ran " + request_id.encode())
            return reader.body(headers) is not None
        time.sleep(0.3)
        self.troubled.clear()
        if VARIANT == "crash":
            self.record(f"worker i-store-1 crashes while it receives {request_id}")
            self.faulty.crash()
        else:
            self.record(f"sidecar-2 is killed while its worker receives {request_id}")
            self.deployment.sidecars[1].kill()
        return False

    def handle_mail(self, reader: Reader, line: str, headers: dict[str, str]) -> bool | None:
        """Run a small request for a while."""
        if not line.startswith("POST /mail/"):
            return None
        if reader.body(headers) is None:
            return False
        request_id = headers["x-attempt-id"]
        self.mail_runs.add(request_id)
        self.record(f"worker i-mail runs {request_id}")
        time.sleep(MAIL_SECONDS)
        self.mail.answer(reader, headers, 200, b"ran " + request_id.encode())
        return True

    # Clients.

    def send_mail(self, client: int) -> None:
        """Send small requests on a kept connection until the end; open another if it is cut."""
        address = self.deployment.sidecars[0].address("outbound")
        count = 0
        while not self.done.is_set():
            try:
                stream = socket.create_connection(address, timeout=1.0)
            except OSError:
                time.sleep(0.2)  # Sidecar 1 is down.
                continue
            stream.settimeout(3.0)
            with stream:
                count = self.send_on(stream, client, count)

    def send_on(self, stream: socket.socket, client: int, count: int) -> int:
        """Send small requests on one connection; return the number of the last one."""
        reader = Reader(stream)
        is_kept = False
        while not self.done.is_set():
            count += 1
            request_id = f"mail{client:02x}{count:06x}"
            head = (
                f"POST /mail/{count} HTTP/1.1\r\nHost: shop.example\r\n"
                f"X-Attempt-Id: {request_id}\r\nX-Deadline-Ms: 3000\r\nContent-Length: 4\r\n\r\n"
            )
            try:
                stream.sendall(head.encode() + b"mail")
                answer = reader.head()
                body = reader.body(answer[1]) if answer else None
            except OSError:
                answer, body = None, None
            if answer is None or body is None:
                connection = "kept" if is_kept else "new"
                self.record(f"client: {connection} connection closed, no answer to {request_id}")
                if is_kept:
                    self.cut.append(request_id)
                break
            self.answered += 1
            self.record(f"client gets {answer[0].split()[1]} for {request_id}")
            is_kept = True
        return count

    def upload(self, client: int) -> None:
        """Send uploads, one after the other, until the end."""
        count = 0
        while not self.done.is_set():
            count += 1
            request_id = f"upload{client:02x}{count:04x}"
            try:
                self.send_upload(request_id)
            except OSError as error:
                self.record(f"client: {request_id} fails: {error}")
            time.sleep(0.2)

    def send_upload(self, request_id: str) -> None:
        """Send one upload in pieces until it is answered."""
        address = self.deployment.sidecars[0].address("outbound")
        with socket.create_connection(address, timeout=1.0) as stream:
            stream.settimeout(8.0)
            self.record(f"client sends {request_id}: 512 KiB, 64 KiB each 0.1 s")
            head = (
                f"POST /file/{request_id} HTTP/1.1\r\nHost: shop.example\r\n"
                f"X-Attempt-Id: {request_id}\r\nX-Deadline-Ms: 6000\r\n"
                f"Content-Length: {UPLOAD_BYTES}\r\n\r\n"
            )
            stream.sendall(head.encode())
            answers: list[str] = []

            def read() -> None:
                try:
                    answer = Reader(stream).head()
                    answers.append(answer[0] if answer else "a closed connection")
                except OSError as error:
                    answers.append(f"a closed connection ({error})")

            reading = threading.Thread(target=read, daemon=True)
            reading.start()
            for _ in range(UPLOAD_BYTES // PIECE_BYTES):
                if answers:
                    break
                stream.sendall(b"u" * PIECE_BYTES)
                time.sleep(PIECE_SECONDS)
            reading.join(8.0)
            self.record(f"client gets {answers[0] if answers else 'nothing'} for {request_id}")

    # The run.

    def run(self) -> int:
        """Return the exit status of the case."""
        deployment = self.deployment
        is_short = VARIANT == "timeout" and TROUBLE
        routes = {
            "file": route("/file/", "store", "upload", timeout_ms=500 if is_short else 6000),
            "mail": route("/mail/", "mail", "unsafe"),
        }
        try:
            deployment.start(route_table(1, 0, routes, ["desk", "store", "mail"]))
            deployment.supervise(self.record)
            desk, faulty, sound, mail = deployment.sidecars
            self.faulty = Worker(
                deployment, faulty, "store", "i-store-1", self.record, self.handle_faulty
            )
            self.mail = Worker(deployment, mail, "mail", "i-mail", self.record, self.handle_mail)
            workers = [
                self.faulty,
                self.mail,
                Worker(deployment, desk, "desk", "i-desk", self.record),
                Worker(deployment, sound, "store", "i-store-2", self.record),
            ]
            for worker in workers:
                worker.beat()
            time.sleep(5.0)  # All machines are in touch: nothing has happened for contact-ms.
            self.send_all()
        finally:
            self.done.set()
            deployment.stop()
        return self.judge()

    def send_all(self) -> None:
        """Send mail and uploads for the time of the trouble and a little longer."""
        mail = [
            threading.Thread(target=self.send_mail, args=(number,), daemon=True)
            for number in range(MAIL_CLIENTS)
        ]
        uploads = [
            threading.Thread(target=self.upload, args=(number,), daemon=True)
            for number in range(UPLOAD_CLIENTS)
        ]
        for thread in mail:
            thread.start()
        time.sleep(2.0)
        if TROUBLE:
            self.troubled.set()
        for thread in uploads:
            thread.start()
        time.sleep(TROUBLE_SECONDS)
        self.troubled.clear()
        time.sleep(2.0)
        self.done.set()
        for thread in [*mail, *uploads]:
            thread.join(10.0)

    def judge(self) -> int:
        """Check the rule: more than three requests of kept connections were cut."""
        cut = [request_id for request_id in self.cut if request_id in self.mail_runs]
        self.record(f"uploads at i-store-1: {self.uploads}, of these in trouble: {self.rejected}")
        self.record(f"processes that ended by themselves: {self.deployment.own_ends()}")
        self.record(
            f"requests of kept connections: {self.answered} answered; passed on to the sound "
            f"worker and closed without an answer: {len(cut)} (allowed: {ALLOWED})"
        )
        if not self.uploads or not self.answered or (TROUBLE and not self.rejected):
            self.record("the case could not run: a request did not reach its worker")
            return COULD_NOT_RUN
        return BROKEN if len(cut) > ALLOWED else HELD


if __name__ == "__main__":
    CASE = Case()
    sys.exit(status_of(CASE.run, CASE.record))
