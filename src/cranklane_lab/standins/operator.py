"""An operator that calls the operator API of the control processes."""

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
_RETRY_PAUSE_SECONDS = 0.3


@dataclass(frozen=True)
class OperatorAnswer:
    """A response of the operator API.

    :ivar status: HTTP status; 0 without a valid response.
    :ivar media: decoded JSON body.
    """

    status: int
    media: dict[str, Any] = field(default_factory=dict)

    @property
    def accepted(self) -> bool:
        """Whether an edit was accepted."""
        return self.status == 200 and self.media.get("result") == "accepted"

    @property
    def is_final(self) -> bool:
        """Whether the response is final: the edit was accepted, or refused without effect."""
        return self.status not in (0, _UNAVAILABLE)


class SimulatedOperator:
    """An operator that tries control processes in turn until one gives a final response."""

    def __init__(
        self, runtime: Runtime, controls: list[Address], token: str = OPERATOR_TOKEN
    ) -> None:
        self._runtime = runtime
        self._controls = controls
        self._token = token

    def ask(self, control: Address, method: str, path: str, media: Any = None) -> OperatorAnswer:
        """Send one request to a control process.

        :param media: JSON body; None for no body.
        """
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
        """Send a request to the control processes in turn until a response is final.

        :param seconds: time after which the last response is returned even if not final.
        """
        deadline = self._runtime.monotonic() + seconds
        answer = OperatorAnswer(0)
        while self._runtime.monotonic() < deadline:
            for control in self._controls:
                answer = self.ask(control, method, path, media)
                if answer.is_final:
                    return answer
            gevent.sleep(_RETRY_PAUSE_SECONDS)
        return answer

    def edit(
        self, name: str, text: str, base: int, request: str, seconds: float = 20
    ) -> OperatorAnswer:
        """Edit a document, retrying with the same request id until a response is final.

        :param base: version that the edit is based on.
        :param request: request id.
        """
        media = {"text": text, "base": base, "request": request}
        return self.call("PUT", f"/v1/documents/{name}", media, seconds)
