"""An operator: calls the operator interface of whichever control process answers."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

import gevent

from cranklane.common.http_client import HttpClient, HttpRequestError
from cranklane.errors import TruncatedAnswerError
from cranklane.runtime.interface import Address, Runtime

OPERATOR_TOKEN = "lab-operator"
_UNAVAILABLE = 503
_TIMEOUT_SECONDS = 8.0
_PAUSE_SECONDS = 0.3


@dataclass(frozen=True)
class OperatorAnswer:
    """What an operator was told.

    :ivar status: HTTP status; 0 when no answer came.
    """

    status: int
    media: dict[str, Any] = field(default_factory=dict)

    @property
    def accepted(self) -> bool:
        """Whether an edit was accepted."""
        return self.status == 200 and self.media.get("result") == "accepted"

    @property
    def settled(self) -> bool:
        """Whether the answer is final: accepted, or refused without effect."""
        return self.status not in (0, _UNAVAILABLE)


class SimulatedOperator:
    """One operator; asks one control process after the other until one leads."""

    def __init__(
        self, runtime: Runtime, controls: list[Address], token: str = OPERATOR_TOKEN
    ) -> None:
        self._runtime = runtime
        self._controls = controls
        self._token = token

    def ask(self, control: Address, method: str, path: str, media: Any = None) -> OperatorAnswer:
        """Ask one control process once."""
        headers = [
            ("Authorization", f"Bearer {self._token}"),
            ("Content-Type", "application/json"),
        ]
        body = json.dumps(media).encode() if media is not None else b""
        http = HttpClient(self._runtime, control)
        try:
            response = http.request(method, path, headers, body, _TIMEOUT_SECONDS)
            return OperatorAnswer(response.status, json.loads(response.read()))
        except (HttpRequestError, TruncatedAnswerError, ValueError):
            return OperatorAnswer(0)
        finally:
            http.close()

    def call(
        self, method: str, path: str, media: Any = None, seconds: float = 20
    ) -> OperatorAnswer:
        """Ask until one control process gives a final answer, or the time is up."""
        until = self._runtime.monotonic() + seconds
        answer = OperatorAnswer(0)
        while self._runtime.monotonic() < until:
            for control in self._controls:
                answer = self.ask(control, method, path, media)
                if answer.settled:
                    return answer
            gevent.sleep(_PAUSE_SECONDS)
        return answer

    def edit(
        self, name: str, text: str, base: int, request: str, seconds: float = 20
    ) -> OperatorAnswer:
        """Edit a document, sending the same request again until it is answered."""
        media = {"text": text, "base": base, "request": request}
        return self.call("PUT", f"/v1/documents/{name}", media, seconds)
