"""Calls the operator interface of control.

Owns nothing; asks each control process given until one that leads answers.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import gevent
from result import Err, Ok, Result

from cranklane.common.http_client import HttpClient, HttpRequestError
from cranklane.errors import TruncatedAnswerError
from cranklane.runtime.interface import parse_address
from cranklane.runtime.real import RealRuntime

TIMEOUT_SECONDS = 75.0
"""Seconds for one call. A choice: longer than control itself waits for anything."""

ROUNDS = 5
"""How often all control processes are asked while none of them leads. A choice: with
ROUND_SECONDS, longer than an election takes."""

ROUND_SECONDS = 0.6
"""Seconds between two rounds. A choice: one call a second and process is no load."""


@dataclass(frozen=True)
class OperatorProblem:
    """Why a call to control did not succeed.

    :ivar status: HTTP status, or 0 when no control process answered.
    """

    status: int
    lines: list[str] = field(default_factory=list)

    @property
    def another_may_answer(self) -> bool:
        """Whether it is worth asking another control process, or this one later."""
        return self.status in (0, HTTPStatus.SERVICE_UNAVAILABLE)


class OperatorClient:
    """Calls the control process that leads, whichever of those given it is."""

    def __init__(self, controls: list[str], token: str) -> None:
        self._runtime = RealRuntime()
        self._controls = controls
        self._token = token

    def call(self, method: str, path: str, media: Any = None) -> Result[dict, OperatorProblem]:
        """Make one call and return the answer's JSON.

        :param media: the body, as JSON; None sends none.
        """
        problem = OperatorProblem(0, ["no control address is given"])
        for round_number in range(ROUNDS):
            if round_number:
                gevent.sleep(ROUND_SECONDS)
            for control in self._controls:
                result = self._call_one(control, method, path, media)
                if not isinstance(result, Err):
                    return result
                problem = result.err_value
                if not problem.another_may_answer:
                    return result
        return Err(problem)

    def _call_one(
        self, control: str, method: str, path: str, media: Any
    ) -> Result[dict, OperatorProblem]:
        try:
            address = parse_address(control)
        except ValueError as error:
            return Err(OperatorProblem(0, [f"--control: {error}"]))
        headers = [
            ("Authorization", f"Bearer {self._token}"),
            ("Content-Type", "application/json"),
        ]
        body = json.dumps(media).encode() if media is not None else b""
        client = HttpClient(self._runtime, address)
        try:
            response = client.request(method, path, headers, body, TIMEOUT_SECONDS)
            answer = json.loads(response.read() or b"{}")
        except (HttpRequestError, TruncatedAnswerError, ValueError) as error:
            return Err(OperatorProblem(0, [f"{control}: {error}"]))
        finally:
            client.close()
        if response.status >= HTTPStatus.MULTIPLE_CHOICES:
            return Err(OperatorProblem(response.status, _lines(response.status, answer)))
        return Ok(answer)


def _lines(status: int, answer: dict[str, Any]) -> list[str]:
    if answer.get("problems"):
        return list(answer["problems"])
    if answer.get("result") == "conflict":
        return [
            f"conflict: the document is at version {answer['version']} now; its text is:",
            answer["text"],
        ]
    return [f"{status}: {answer.get('description') or answer.get('title') or answer}"]
