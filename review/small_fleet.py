"""A small deployment on loopback: the project's programs as processes, and stand-ins around them.

Each machine has a loopback address of its own; ports are alike on all machines. Controllers and
sidecars are started with the commands of the deploy file and with settings that its templates give.
Workers, clients and the operator are stand-ins of this module, with the names of deploy/wire.toml.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_SECONDS = 1.5
GRACE_SECONDS = 6.0
CONFIG_APPLY_SECONDS = 2.0

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
"""Exit statuses of a case."""


class SetupError(Exception):
    """The deployment did not come up, so the case could not run."""


class Record:
    """Writes what was sent, answered and run to record.txt, one line for each event."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._began_at = time.monotonic()

    def __call__(self, event: str, **fields: object) -> None:
        seconds = time.monotonic() - self._began_at
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{seconds:8.3f} {event} {text}\n")
            self._file.flush()


@dataclass
class Ports:
    """Ports of a deployment, alike on all machines."""

    outbound: int
    readiness: int
    registry: int
    peers: int
    worker: int


@dataclass
class Answer:
    """An answer as a client reads it.

    :ivar complete: whether the whole body has arrived.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    seconds: float = 0.0

    @property
    def closes(self) -> bool:
        return self.headers.get("connection", "").lower() == "close"


class Fleet:
    """Starts and ends the processes of one deployment."""

    def __init__(self, record: Record, controllers: int) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="cranklane-review-"))
        network = 1 + os.getpid() % 250
        self._network = f"127.{network}"
        self.ports = self._free_ports()
        self.controllers = [f"{self._network}.1.{1 + index}" for index in range(controllers)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.workers: list[Worker] = []
        self.proxies: list[Proxy] = []
        self._machines = 0

    def _free_ports(self) -> Ports:
        base = 20000 + os.getpid() * 7 % 20000
        while True:
            ports = range(base, base + 5)
            if all(_is_free(port) for port in ports):
                return Ports(*ports)
            base += 5

    def new_machine(self) -> str:
        self._machines += 1
        return f"{self._network}.2.{self._machines}"

    # Processes.

    def add_proxies(self) -> None:
        """Put a proxy before the port of each controller for its peers and for sidecars."""
        for index, ip in enumerate(self.controllers):
            address = (f"{self._network}.3.{1 + index}", self.ports.peers)
            self.proxies.append(Proxy(address, (ip, self.ports.peers)))

    def start_controllers(self) -> None:
        for index, ip in enumerate(self.controllers):
            advertised = (
                [f'advertise = "{self.proxies[index].ip}:{self.ports.peers}"']
                if self.proxies
                else []
            )
            self._write_settings(
                f"controller-{index}",
                *advertised,
                f'name = "core-{index}"',
                'zone = "zone-a"',
                f'listen = "{ip}:{self.ports.peers}"',
                f'http = "{ip}:{self.ports.registry}"',
                f'data = "{self.folder / f"data-{index}"}"',
                f"seeds = {json.dumps(self.seeds())}",
                f"peer_port = {self.ports.peers}",
                "first_start = true",
                f"tolerated_losses = {(len(self.controllers) - 1) // 2}",
            )
            self.start(f"controller-{index}", "controller")

    def seeds(self) -> list[str]:
        ips = [proxy.ip for proxy in self.proxies] or self.controllers
        return [f"{ip}:{self.ports.registry}" for ip in ips[:3]]

    def start_sidecar(self, name: str, ip: str, service: str) -> None:
        self.write_sidecar_settings(name, ip, service)
        self.start(name, "sidecar")

    def write_sidecar_settings(self, name: str, ip: str, service: str) -> None:
        ports = self.ports
        self._write_settings(
            name,
            f'name = "{name}"',
            'zone = "zone-a"',
            f'service = "{service}"',
            f'callers = "{ip}:{ports.outbound}"',
            f'readiness = "{ip}:{ports.readiness}"',
            f'registry = "{ip}:{ports.registry}"',
            f'listen = "{ip}:{ports.peers}"',
            f'worker = "{ip}:{ports.worker}"',
            f"seeds = {json.dumps(self.seeds())}",
            f"peer_port = {ports.peers}",
            f"heartbeat_seconds = {HEARTBEAT_SECONDS}",
            "retry_ratio = 0.2",
            "retry_slack = 57",
            "retry_seconds = 10",
            "tree_admission = true",
            f"stop_seconds = {GRACE_SECONDS:g}",
        )

    def _write_settings(self, name: str, *lines: str) -> None:
        path = self.folder / f"{name}.toml"
        replacement = self.folder / f"{name}.toml.new"
        replacement.write_text("\n".join(lines) + "\n")
        replacement.replace(path)

    def start(self, name: str, role: str) -> None:
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CRANKLANE_BOOT"] = str(self.folder / f"{name}.toml")
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                ["python3", "-S", "platform/start.py", role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record("process_started", name=name)

    def signal(self, name: str, number: signal.Signals) -> None:
        self.record("signal", name=name, number=number.name)
        self.processes[name].send_signal(number)

    def log_lines(self, name: str, text: str) -> list[str]:
        """Return the lines of a process's log that contain a text."""
        lines = (self.folder / f"{name}.log").read_text(errors="replace").splitlines()
        return [line for line in lines if text in line]

    def wait_ready(self, ip: str, seconds: float = 20.0) -> None:
        """Wait until a sidecar says that it is ready."""
        address = (ip, self.ports.readiness)
        wait_for(lambda: _status_of_get(address, "/v1/ready") == 200, seconds, f"{ip} is ready")

    def end(self) -> None:
        """End all processes and stand-ins, and remove the folder."""
        for stand_in in (*self.workers, *self.proxies):
            stand_in.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print(f"kept {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Operator.

    def put_in_force(self, table: RouteTable) -> None:
        """Send a sound configuration.

        :raises SetupError: if it is not acknowledged.
        """
        status = self.order(table.document())
        require(status == 200, f"version {table.version} is acknowledged, found {status}")

    def order(self, document: bytes, seconds: float = 20.0) -> int:
        """Send a configuration until a clear answer arrives; return its status.

        The same bytes are sent again, to the next controller, without a clear answer.
        """
        deadline = time.monotonic() + seconds
        attempt = 0
        while time.monotonic() < deadline:
            ip = self.controllers[attempt % len(self.controllers)]
            attempt += 1
            status = self._order_at(ip, document)
            if status and status < 500 and status not in (408, 429):
                return status
            time.sleep(0.2)
        return 0

    def _order_at(self, ip: str, document: bytes) -> int:
        location: tuple[str, int] = (ip, self.ports.registry)
        for _ in range(3):
            try:
                answer = exchange(
                    location,
                    b"POST /v1/route-table HTTP/1.1\r\nHost: control\r\n"
                    b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                    % (len(document), document),
                    timeout=2.0,
                )
            except OSError:
                return 0
            self.record("operator_answer", controller=location[0], status=answer.status)
            if answer.status != 307:
                return answer.status
            host, port = answer.headers["location"].split("/")[2].split(":")
            location = (host, int(port))
        return 0


class Proxy:
    """Passes connections on; those that are open can be made silent for good."""

    def __init__(self, address: tuple[str, int], target: tuple[str, int]) -> None:
        self.ip = address[0]
        self._target = target
        self._silent_before = 0
        self._accepted = 0
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(address)
        self._listener.listen(512)
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        self._listener.close()

    def silence(self) -> int:
        """Pass nothing on any more, in either direction, on the connections that are open now.

        Their ends are not told: no bytes, no close and no reset. New connections work.
        """
        self._silent_before = self._accepted
        return self._accepted

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(self._target, timeout=1.0)
            except OSError:
                caller.close()
                continue
            self._accepted += 1
            for end in (caller, server):
                end.settimeout(None)
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for source, sink in ((caller, server), (server, caller)):
                arguments = (self._accepted, source, sink)
                threading.Thread(target=self._pass_on, args=arguments, daemon=True).start()

    def _pass_on(self, number: int, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65536):
                if number > self._silent_before:
                    sink.sendall(data)
        except OSError:
            pass
        if number > self._silent_before:
            # Closes both ends; a thread that reads from the other one ends as well.
            for end in (source, sink):
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


@dataclass
class WorkerRun:
    """A request that a worker has run."""

    request: str
    path: str
    caller: str
    instance: str
    service: str
    began_at: float
    ended_at: float = 0.0


@dataclass
class WorkerCall:
    """A call that a worker has made.

    :ivar complete: whether it got a complete answer.
    """

    request: str
    sent_at: float
    ended_at: float
    deadline: float
    complete: bool


class Worker:
    """A sound worker: answers requests, and tells its sidecar about itself.

    The path of a request may hold ``work-MS``, the milliseconds that it takes, and ``call-MS``,
    after which it calls ``call_path`` through its own machine's sidecar and waits for the answer.
    """

    def __init__(self, fleet: Fleet, ip: str, service: str, instance: str, slots: int) -> None:
        self.fleet = fleet
        self.ip = ip
        self.service = service
        self.instance = instance
        self.slots = slots
        self.runs: list[WorkerRun] = []
        self.call: tuple[str, str] = ("", "")
        self.calls: list[WorkerCall] = []
        self.on_run = lambda run: None
        self.leaving = False
        self._sequence = 0
        self._running = 0
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._connections: list[socket.socket] = []
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((ip, fleet.ports.worker))
        self._listener.listen(512)
        fleet.workers.append(self)
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def stop(self) -> None:
        """End the worker: its port and its connections are closed."""
        self._stopped.set()
        for item in (self._listener, *self._connections):
            try:
                item.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self._listener.close()

    def _accept(self) -> None:
        while not self._stopped.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._connections.append(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _beat(self) -> None:
        while not self._stopped.is_set():
            if not self.leaving:
                self.send_heartbeat()
            self._stopped.wait(HEARTBEAT_SECONDS)

    def depart(self) -> bool:
        """Say that this worker leaves; return whether that was acknowledged."""
        self.leaving = True
        acknowledged = self.send_heartbeat("draining") == 200
        self.fleet.record("departure", instance=self.instance, acknowledged=acknowledged)
        return acknowledged

    def send_heartbeat(self, phase: str = "ready") -> int:
        self._sequence += 1
        body = json.dumps(
            {
                "service": self.service,
                "address": f"{self.ip}:{self.fleet.ports.worker}",
                "zone": "zone-a",
                "version": "v1",
                "slots": self.slots,
                "phase": phase,
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
            }
        ).encode()
        path = f"/v1/instances/{self.instance}/heartbeat"
        request = (
            f"POST {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        try:
            address = (self.ip, self.fleet.ports.registry)
            return exchange(address, request.encode() + body, timeout=1.0).status
        except OSError:
            return 0

    def _serve(self, connection: socket.socket) -> None:
        stream = connection.makefile("rb")
        try:
            while not self._stopped.is_set():
                request = read_request(stream)
                if request is None:
                    return
                connection.sendall(self._answer(*request))
        except OSError:
            return
        finally:
            stream.close()
            connection.close()

    def _load(self) -> bytes:
        return b"X-Server-Load: %d,0,%d\r\n" % (self._running, self.slots)

    def _answer(self, method: str, path: str, headers: dict[str, str], body: bytes) -> bytes:
        if path == "/healthz":
            instance = self.instance.encode()
            return b"HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n%sContent-Length: 0\r\n\r\n" % (
                instance,
                self._load(),
            )
        request = headers.get("x-attempt-id", "")
        echo = f"X-Attempt-Id: {request}\r\n".encode()
        if not request:
            return b"HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        if headers.get("x-expected-instance", self.instance) != self.instance:
            self.fleet.record("misdirected", request=request, at=self.instance)
            return b"HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n" % echo
        status, content = self._run(request, path, headers)
        return b"HTTP/1.1 %d Status\r\n%sX-Response-Seal: %s\r\n%sContent-Length: %d\r\n\r\n%s" % (
            status,
            echo,
            f"seal-{request}".encode(),
            self._load(),
            len(content),
            content,
        )

    def _run(self, request: str, path: str, headers: dict[str, str]) -> tuple[int, bytes]:
        caller = headers.get("x-caller-service", "")
        run = WorkerRun(request, path, caller, self.instance, self.service, time.monotonic())
        with self._lock:
            self._running += 1
            self.runs.append(run)
        self.fleet.record(
            "run", request=request, path=path, caller=caller, at=self.instance, service=self.service
        )
        self.on_run(run)
        status = 200
        for step in path.split("/"):
            kind, _, value = step.partition("-")
            if kind == "work":
                time.sleep(int(value) / 1000)
            elif kind == "call":
                time.sleep(int(value) / 1000)
                status = self._make_call(run, headers)
        run.ended_at = time.monotonic()
        with self._lock:
            self._running -= 1
        self.fleet.record("run_ended", request=request, status=status)
        return status, f"{self.service} {request}".encode()

    def _make_call(self, run: WorkerRun, headers: dict[str, str]) -> int:
        """Make a call that ends at its parent's deadline; return the status of the run."""
        host, path = self.call
        client = Client(self.fleet, self.ip)
        deadline = run.began_at + int(headers["x-deadline-ms"]) / 1000
        sent_at = time.monotonic()
        call = f"{run.request}.1"
        answer = client.request(host, path, call, int((deadline - sent_at) * 1000))
        client.close()
        complete = answer is not None and answer.complete
        self.calls.append(WorkerCall(call, sent_at, time.monotonic(), deadline, complete))
        return 200 if answer is not None and answer.status == 200 else 500


class Client:
    """A client on one machine, with one connection that it keeps."""

    def __init__(self, fleet: Fleet, ip: str) -> None:
        self._fleet = fleet
        self._address = (ip, fleet.ports.outbound)
        self._connection: socket.socket | None = None

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def request(
        self,
        host: str,
        path: str,
        request: str,
        deadline_ms: int,
        method: str = "GET",
        headers: str = "",
        body: bytes = b"",
    ) -> Answer | None:
        """Send a request; return its answer, or None if the connection ended without one."""
        began_at = time.monotonic()
        self._fleet.record("sent", request=request, to=self._address[0], path=path)
        length = f"Content-Length: {len(body)}\r\n" if method != "GET" else ""
        text = (
            f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {request}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\n{length}{headers}\r\n"
        )
        try:
            if self._connection is None:
                self._connection = socket.create_connection(self._address, timeout=1.0)
            self._connection.settimeout(deadline_ms / 1000 + 1.0)
            self._connection.sendall(text.encode() + body)
            answer = read_answer(self._connection)
        except OSError as error:
            self._fleet.record("no_answer", request=request, error=type(error).__name__)
            self.close()
            return None
        answer.seconds = time.monotonic() - began_at
        self._fleet.record(
            "answered",
            request=request,
            status=answer.status,
            complete=answer.complete,
            seconds=round(answer.seconds, 3),
        )
        if answer.closes or not answer.complete:
            self.close()
        return answer


def exchange(address: tuple[str, int], data: bytes, timeout: float) -> Answer:
    """Send bytes on a new connection and return the answer."""
    with socket.create_connection(address, timeout=timeout) as connection:
        connection.settimeout(timeout)
        connection.sendall(data)
        return read_answer(connection)


def read_request(stream: object) -> tuple[str, str, dict[str, str], bytes] | None:
    """Read a request with a body of known length; None at the end of the connection."""
    first = stream.readline().decode("latin-1").split()
    if len(first) < 2:
        return None
    headers = _read_headers(stream)
    body = b""
    if headers.get("transfer-encoding"):
        while size := int(stream.readline() or b"0", 16):
            body += stream.read(size)
            stream.readline()
        stream.readline()
    elif int(headers.get("content-length", "0")):
        body = stream.read(int(headers["content-length"]))
    return first[0], first[1], headers, body


def read_answer(connection: socket.socket) -> Answer:
    """Read an answer.

    :raises ConnectionError: if the connection ends before the head does.
    """
    stream = connection.makefile("rb")
    try:
        first = stream.readline()
        if not first.endswith(b"\n"):
            raise ConnectionError("the connection ended without an answer")
        status = int(first.split()[1])
        headers = _read_headers(stream)
        if headers.get("transfer-encoding"):
            body, complete = _read_chunks(stream)
        else:
            length = int(headers.get("content-length", "0"))
            body = stream.read(length)
            complete = len(body) == length
        return Answer(status, headers, body, complete)
    finally:
        stream.close()


def _read_chunks(stream: object) -> tuple[bytes, bool]:
    body = b""
    while line := stream.readline():
        size = int(line, 16)
        data = stream.read(size + 2)
        if not size:
            return body, data == b"\r\n"
        body += data[:size]
    return body, False


def _read_headers(stream: object) -> dict[str, str]:
    headers = {}
    while (line := stream.readline().strip()) != b"":
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    return headers


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _status_of_get(address: tuple[str, int], path: str) -> int:
    try:
        return exchange(address, f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode(), 1.0).status
    except OSError:
        return 0


def require(condition: bool, what: str) -> None:
    """Check a condition without which a case says nothing about its rule.

    :raises SetupError: if it does not hold.
    """
    if not condition:
        raise SetupError(f"not so: {what}")


def wait_for(condition: object, seconds: float, what: str) -> None:
    """Wait until a condition holds.

    :raises SetupError: if it does not hold in time.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.1)
    raise SetupError(f"not within {seconds:g} s: {what}")


@dataclass
class RouteTable:
    """A configuration in the names of deploy/wire.toml."""

    version: int
    base: int
    services: tuple[str, ...]
    routes: dict[str, dict[str, object]] = field(default_factory=dict)
    limits: dict[str, int] = field(
        default_factory=lambda: {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
    )

    def route(self, name: str, prefix: str, service: str, **fields: object) -> RouteTable:
        self.routes[name] = {
            "host": "app.example",
            "prefix": prefix,
            "repeat": "safe",
            "timeout_ms": 6000,
            "objective_ms": 1500,
            "priority": 0,
            "service": service,
            "max_attempts": 2,
            **fields,
        }
        return self

    def document(self) -> bytes:
        services = {
            name: {
                "health_path": "/healthz",
                "max_connections": 400,
                "protocol": "h1",
                "tls": False,
            }
            for name in self.services
        }
        return json.dumps(
            {
                "version": self.version,
                "base": self.base,
                "routes": self.routes,
                "services": services,
                "limits": self.limits,
            }
        ).encode()


def run_case(folder: Path, case: object, controllers: int = 3, proxied: bool = False) -> int:
    """Run a case and return its exit status.

    :param case: called with the fleet and whether to cause the trouble; returns whether the rule
        held.
    :param proxied: whether controllers are reached through proxies.
    """
    record = Record(folder)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case", folder=folder.name, trouble=with_trouble)
    fleet = Fleet(record, controllers)
    try:
        if proxied:
            fleet.add_proxies()
        fleet.start_controllers()
        held = case(fleet, with_trouble)
    except Exception as error:  # A fault of the script must not pass for a broken rule.
        record("could_not_run", error=repr(error))
        print(f"could not run: {error!r}")
        return COULD_NOT_RUN
    finally:
        fleet.end()
    record("verdict", held=held)
    print("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
