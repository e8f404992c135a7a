"""A client that sends requests to an edge and verifies the responses."""

from __future__ import annotations

from dataclasses import dataclass

from cranklane.common import headers as header_names
from cranklane.common.http_client import HttpClient, HttpRequestError, HttpResponse
from cranklane.errors import TruncatedAnswerError
from cranklane.runtime.interface import Address, Runtime
from cranklane_lab.deployments import RequestKind
from cranklane_lab.standins.content import body_defect

CLIENT_TIMEOUT_SECONDS = 15.0
"""Timeout of a client's wait for the next bytes."""


@dataclass(frozen=True)
class ClientResult:
    """The result of one request.

    :ivar kind: name of the request kind.
    :ivar key: idempotency key.
    :ivar outcome: ``answered``, ``not_run`` or ``unknown`` as reported by the edge; ``cut``
        when the response broke off; ``lost`` when there was no response.
    :ivar status: HTTP status; 0 without a complete response.
    :ivar wrong: defect of a response that was reported as complete; empty if there is none.
    :ivar seconds: time from sending to the last byte.
    :ivar retry_after_ms: delay before a retry that the response asks for; 0 for none.
    """

    kind: str
    nonce: str
    key: str
    outcome: str
    status: int
    reason: str
    wrong: str
    seconds: float
    retry_after_ms: int = 0

    @property
    def good(self) -> bool:
        """Whether the response is successful, complete and correct."""
        return self.outcome == "answered" and self.status < 300 and not self.wrong


class Client:
    """Sends requests of one tenant to an edge."""

    def __init__(self, runtime: Runtime, edge: Address, tenant: str, token: str) -> None:
        self._runtime = runtime
        self._tenant = tenant
        self._token = token
        self._http = HttpClient(runtime, edge, concurrency=4096)

    def send(
        self, kind: RequestKind, nonce: str, key: str = "", deadline_ms: int = 0
    ) -> ClientResult:
        """Send one request and return its result.

        :param deadline_ms: a deadline shorter than the route's; 0 for none.
        """
        started = self._runtime.monotonic()
        path = f"/{self._tenant}/{kind.service}{kind.path.format(n=nonce)}?nonce={nonce}"
        headers = [("Authorization", f"Bearer {self._token}")]
        if deadline_ms:
            headers.append((header_names.DEADLINE_MS, str(deadline_ms)))
        if kind.once:
            headers.append((header_names.IDEMPOTENCY_KEY, key))
        response: HttpResponse | None = None
        try:
            response = self._http.request(
                kind.method, path, headers, timeout=CLIENT_TIMEOUT_SECONDS
            )
            body = response.read()
        except (HttpRequestError, TruncatedAnswerError) as error:
            outcome = "cut" if isinstance(error, TruncatedAnswerError) else "lost"
            return ClientResult(
                kind.name, nonce, key, outcome, 0, str(error), "", self._since(started)
            )
        finally:
            if response is not None:
                response.close()
        fields = {name.lower(): value for name, value in response.headers}
        outcome = fields.get(header_names.OUTCOME.lower(), "lost")
        wrong = ""
        if outcome == "answered" and response.status < 300:
            wrong = body_defect(body, nonce)
        return ClientResult(
            kind=kind.name,
            nonce=nonce,
            key=key,
            outcome=outcome,
            status=response.status,
            reason=fields.get(header_names.REASON.lower(), ""),
            wrong=wrong,
            seconds=self._since(started),
            retry_after_ms=int(fields.get(header_names.RETRY_AFTER_MS.lower(), 0)),
        )

    def _since(self, started: float) -> float:
        return self._runtime.monotonic() - started

    def close(self) -> None:
        """Close idle connections."""
        self._http.close()
