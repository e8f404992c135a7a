"""Callers of a soak run: they keep their connections until the sidecar's process is gone."""

from __future__ import annotations

import gevent

from cranklane.runtime.interface import Runtime
from cranklane_lab.evidence.notice_rules import NoticeRules
from cranklane_lab.soak.loads import SIGNATURE_BODY, UPLOAD_ROUTE, SoakTenant, chunked, upload_body
from cranklane_lab.soak.site import SoakSite
from cranklane_lab.standins.raw_http import RawAnswer, RawConnection, request_bytes
from cranklane_lab.standins.route_tables import HOST
from cranklane_lab.standins.routed_answers import NAMES

REQUEST_TIMEOUT_SECONDS = 5.0
DEADLINE_MS = 4000

PIECE_BYTES = 64 * 1024
"""Size of the pieces in which a request is sent."""


class Caller:
    """One caller, with one open connection to each machine that it has used.

    A connection is used until it fails or the sidecar announces that it closes it.

    :param tenant: tenant whose key it sends.
    """

    def __init__(
        self, runtime: Runtime, site: SoakSite, rules: NoticeRules, tenant: SoakTenant
    ) -> None:
        self._runtime = runtime
        self._site = site
        self._rules = rules
        self._tenant = tenant
        self._connections: dict[int, RawConnection] = {}

    def send(
        self, machine: int, route: str, request_id: str, path_suffix: str = "x"
    ) -> RawAnswer | None:
        """Send one request to a machine's sidecar; return None without a response."""
        body = SIGNATURE_BODY if route == "sign" else b""
        method = "POST" if body else "GET"
        headers = self._headers(request_id)
        encoded = request_bytes(method, f"/{route}/{path_suffix}", headers, body)
        return self._send(machine, request_id, encoded)

    def upload(
        self, machine: int, request_id: str, size: int, is_chunked: bool, pause: float
    ) -> RawAnswer | None:
        """Send one upload to a machine's sidecar; return None without a response.

        :param pause: seconds between the pieces of the body.
        """
        path = f"/{UPLOAD_ROUTE}/{size}"
        body = upload_body(request_id, size)
        headers = self._headers(request_id)
        if is_chunked:
            headers["Transfer-Encoding"] = "chunked"
            encoded = request_bytes("POST", path, headers) + b"".join(chunked(body))
        else:
            encoded = request_bytes("POST", path, headers, body)
        return self._send(machine, request_id, encoded, pause)

    def _headers(self, request_id: str) -> dict[str, str]:
        return {
            "Host": HOST,
            NAMES.request.decode(): request_id,
            NAMES.deadline.decode(): str(DEADLINE_MS),
            NAMES.key.decode(): self._tenant.key,
        }

    def _send(
        self, machine: int, request_id: str, encoded: bytes, pause: float = 0.0
    ) -> RawAnswer | None:
        self._site.record_origin(request_id, machine, self._tenant.name)
        answer = self._exchange(machine, encoded, pause)
        if answer is not None:
            now = self._runtime.monotonic()
            self._rules.passed_on(f"sidecar-{machine}", answer.headers, now)
        return answer

    def _exchange(self, machine: int, encoded: bytes, pause: float) -> RawAnswer | None:
        connection = self._connections.pop(machine, None)
        answer = None
        sent = False
        try:
            if connection is None:
                address = self._site.callers_address(machine)
                connection = RawConnection(self._runtime, address, REQUEST_TIMEOUT_SECONDS)
            sent = self._send_all(connection, encoded, pause)
            answer = connection.answer()
        except OSError:
            # The process is gone; the request has no answer.
            pass
        reusable = sent and answer is not None and answer.whole and not answer.closes
        if connection is not None and reusable:
            self._connections[machine] = connection
        elif connection is not None:
            connection.close()
        return answer

    def _send_all(self, connection: RawConnection, encoded: bytes, pause: float) -> bool:
        """Send a request; return False if the sidecar answered or closed before its end."""
        try:
            for start in range(0, len(encoded), PIECE_BYTES):
                if start and self._runtime.has_input(connection.stream):
                    return False
                connection.send(encoded[start : start + PIECE_BYTES])
                if pause:
                    gevent.sleep(pause)
        except OSError:
            return False
        return True
