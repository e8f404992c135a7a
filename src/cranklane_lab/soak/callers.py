"""Callers of a soak run: they keep their connections until the sidecar's process is gone."""

from __future__ import annotations

from cranklane.runtime.interface import Runtime
from cranklane_lab.evidence.notice_rules import NoticeRules
from cranklane_lab.soak.site import SoakSite
from cranklane_lab.standins.raw_http import RawAnswer, RawConnection, request_bytes
from cranklane_lab.standins.route_tables import HOST
from cranklane_lab.standins.routed_worker import NAMES

REQUEST_TIMEOUT_SECONDS = 5.0
DEADLINE_MS = 4000


class Caller:
    """One caller, with one open connection to each machine that it has used.

    A connection is used until it fails or the sidecar announces that it closes it.
    """

    def __init__(self, runtime: Runtime, site: SoakSite, rules: NoticeRules) -> None:
        self._runtime = runtime
        self._site = site
        self._rules = rules
        self._connections: dict[int, RawConnection] = {}

    def send(
        self, machine: int, route: str, request_id: str, path_suffix: str = "x"
    ) -> RawAnswer | None:
        """Send one request to a machine's sidecar; return None without a response."""
        headers = {
            "Host": HOST,
            NAMES.request.decode(): request_id,
            NAMES.deadline.decode(): str(DEADLINE_MS),
        }
        body = b"x" * 500 if route == "sign" else b""
        method = "POST" if body else "GET"
        encoded = request_bytes(method, f"/{route}/{path_suffix}", headers, body)
        self._site.record_origin(request_id, machine)
        answer = self._exchange(machine, encoded)
        if answer is not None:
            now = self._runtime.monotonic()
            self._rules.passed_on(f"sidecar-{machine}", answer.headers, now)
        return answer

    def _exchange(self, machine: int, encoded: bytes) -> RawAnswer | None:
        connection = self._connections.pop(machine, None)
        answer = None
        try:
            if connection is None:
                address = self._site.callers_address(machine)
                connection = RawConnection(self._runtime, address, REQUEST_TIMEOUT_SECONDS)
            connection.send(encoded)
            answer = connection.answer()
        except OSError:
            # The process is gone; the request has no answer.
            pass
        if connection is not None and answer is not None and answer.whole and not answer.closes:
            self._connections[machine] = connection
        elif connection is not None:
            connection.close()
        return answer
