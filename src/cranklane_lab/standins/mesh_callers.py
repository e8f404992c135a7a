"""Callers at a sidecar of the simulated mesh that keep a connection for several sends."""

from __future__ import annotations

from dataclasses import dataclass

import gevent

from cranklane_lab.simulation.mesh import Mesh
from cranklane_lab.standins.raw_http import RawAnswer, RawConnection, request_bytes
from cranklane_lab.standins.route_tables import HOST
from cranklane_lab.standins.routed_answers import NAMES
from cranklane_lab.standins.routed_worker_state import LateBody

PATTERN = b"0123456789abcdef"
PIECE = PATTERN * 4096
"""Piece of an upload's body: 64 KiB."""

UPLOAD_DEADLINE_MS = 20_000
SMALL_DEADLINE_MS = 3000
SMALL_BODY = b"small"


@dataclass(frozen=True)
class UploadShape:
    """How a caller sends an upload.

    :ivar pieces: size of the body in pieces.
    :ivar interval: seconds between the pieces.
    :ivar chunked: whether the body comes in chunks; else with its length.
    """

    path: str = "/file/x"
    pieces: int = 10
    interval: float = 0.1
    chunked: bool = False


class Upload:
    """An upload whose body is sent piece by piece, while the response is awaited.

    :param machine: number of the machine at which it enters.
    :ivar answer: the response; None without one.
    """

    def __init__(self, mesh: Mesh, machine: int, shape: UploadShape, name: str = "upload") -> None:
        process = mesh.client_process(name, mesh.machines[machine].host)
        self._connection = RawConnection(process, mesh.machines[machine].callers)
        self._shape = shape
        self.answer: RawAnswer | None = None
        self._connection.send(request_bytes("POST", shape.path, self._headers(name)))
        self._sending = gevent.spawn(self._send)
        self._answering = gevent.spawn(self._receive)

    def _headers(self, name: str) -> dict[str, str]:
        headers = _caller_headers(name, UPLOAD_DEADLINE_MS)
        if self._shape.chunked:
            headers["Transfer-Encoding"] = "chunked"
        else:
            headers["Content-Length"] = str(self._shape.pieces * len(PIECE))
        return headers

    def _send(self) -> None:
        shape = self._shape
        piece = b"%x\r\n%s\r\n" % (len(PIECE), PIECE) if shape.chunked else PIECE
        try:
            for _ in range(shape.pieces):
                self._connection.send(piece)
                gevent.sleep(shape.interval)
            if shape.chunked:
                self._connection.send(b"0\r\n\r\n")
        except OSError:
            # The sidecar has closed the connection after its answer.
            pass

    def _receive(self) -> None:
        self.answer = self._connection.answer()

    def status(self) -> int:
        """Wait for the response and return its status; 0 without one."""
        self._answering.join()
        return self.answer.status if self.answer is not None else 0

    def leave(self) -> None:
        """Close the connection in the middle of the body."""
        self._sending.kill()
        self._connection.close()

    def join(self) -> None:
        """Wait until neither side sends any more."""
        gevent.joinall([self._answering, self._sending])


def send_small_requests(
    mesh: Mesh, machine: int, path: str, seconds: float, name: str = "small"
) -> set[int]:
    """Send small requests on one connection, one after the other; return their statuses.

    :param path: beginning of their paths.
    """
    process = mesh.client_process(name, mesh.machines[machine].host)
    connection = RawConnection(process, mesh.machines[machine].callers)
    statuses = set()
    ends_at = mesh.world.loop.now() + seconds
    number = 0
    while mesh.world.loop.now() < ends_at:
        number += 1
        headers = _caller_headers(f"{name}-{number}", SMALL_DEADLINE_MS)
        connection.send(request_bytes("POST", f"{path}{number}", headers, SMALL_BODY))
        answer = connection.answer()
        statuses.add(answer.status if answer is not None else 0)
    return statuses


def send_small_requests_at_once(
    mesh: Mesh, machine: int, path: str, seconds: float, connections: int = 4
) -> set[int]:
    """Like :func:`send_small_requests`, on several connections at once."""
    tasks = [
        gevent.spawn(send_small_requests, mesh, machine, path, seconds, f"small-{number}")
        for number in range(connections)
    ]
    return set().union(*(task.get() for task in tasks))


def is_beginning_of_upload(late_body: LateBody) -> bool:
    """Return whether a worker received bytes of an upload alone where its body was due."""
    size = len(late_body.data)
    expected = (PATTERN * (size // len(PATTERN) + 1))[:size]
    return not late_body.malformed and late_body.data == expected


def _caller_headers(request: str, deadline_ms: int) -> dict[str, str]:
    return {
        "Host": HOST,
        NAMES.request.decode(): request,
        NAMES.deadline.decode(): str(deadline_ms),
    }
