"""HTTP client of the operator API; tries control processes until one responds as leader."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import urlsplit

import gevent
from result import Err, Ok, Result

from cranklane.common.http_client import HttpClient, HttpRequestError, HttpResponse
from cranklane.common.strict_json import read_json_text
from cranklane.errors import TruncatedAnswerError
from cranklane.runtime.interface import parse_address
from cranklane.runtime.real import RealRuntime

CALL_TIMEOUT_SECONDS = 75.0
"""Timeout of one call; longer than any wait inside control."""

MAX_ROUNDS = 5
"""Rounds of calls to all control processes before giving up; with the delay between rounds, they
last longer than an election."""

ROUND_DELAY_SECONDS = 0.6
"""Delay between two rounds."""

MAX_REDIRECTS = 2
"""Redirects to a leader that are followed in one round; a second one follows an election."""


@dataclass(frozen=True)
class OperatorProblem:
    """Error of a failed call to the operator API.

    :ivar status: HTTP status, or 0 without a valid response.
    :ivar lines: error messages for the operator.
    :ivar leader: ``host:port`` that a redirect names; empty without one.
    """

    status: int
    lines: list[str] = field(default_factory=list)
    leader: str = ""

    @property
    def another_may_answer(self) -> bool:
        """Whether another control process, or a later attempt, may succeed."""
        unavailable = self.status in (0, HTTPStatus.SERVICE_UNAVAILABLE)
        return unavailable or bool(self.leader)


class OperatorClient:
    """Calls whichever of the given control processes is the leader.

    :param controls: their addresses as ``host:port``.
    :param timeout: maximum seconds without a byte of a response.
    """

    def __init__(
        self, controls: list[str], token: str, timeout: float = CALL_TIMEOUT_SECONDS
    ) -> None:
        self._runtime = RealRuntime()
        self._controls = controls
        self._token = token
        self._timeout = timeout

    def call(self, method: str, path: str, media: Any = None) -> Result[dict, OperatorProblem]:
        """Call the leader and return the response's JSON.

        :param media: JSON value of the request body; None for no body.
        """
        problem = OperatorProblem(0, ["expected at least one control address, found none"])
        for round_number in range(MAX_ROUNDS):
            if round_number:
                gevent.sleep(ROUND_DELAY_SECONDS)
            for control in self._controls:
                result = self._call_following_redirects(control, method, path, media)
                if not isinstance(result, Err):
                    return result
                problem = result.err_value
                if not problem.another_may_answer:
                    return result
        return Err(problem)

    def _call_following_redirects(
        self, control: str, method: str, path: str, media: Any
    ) -> Result[dict, OperatorProblem]:
        """Call one process, and the leader to which it redirects.

        The token is not sent to an address that the operator has not named.
        """
        result = self._call_one(control, method, path, media, self._token)
        for _ in range(MAX_REDIRECTS):
            if not isinstance(result, Err) or not result.err_value.leader:
                break
            leader = result.err_value.leader
            token = self._token if leader in self._controls else ""
            result = self._call_one(leader, method, path, media, token)
        return result

    def _call_one(
        self, control: str, method: str, path: str, media: Any, token: str
    ) -> Result[dict, OperatorProblem]:
        try:
            address = parse_address(control)
        except ValueError as error:
            return Err(OperatorProblem(0, [f"--control: {error}"]))
        headers = [
            ("Authorization", f"Bearer {token}"),
            ("Content-Type", "application/json"),
        ]
        body = json.dumps(media).encode() if media is not None else b""
        client = HttpClient(self._runtime, address)
        try:
            response = client.request(method, path, headers, body, self._timeout)
            answer = read_json_text(response.read() or b"{}")
        except (HttpRequestError, TruncatedAnswerError, ValueError) as error:
            return Err(OperatorProblem(0, [f"{control}: {error}"]))
        finally:
            client.close()
        if response.status >= HTTPStatus.MULTIPLE_CHOICES:
            lines = _error_lines(response.status, answer)
            return Err(OperatorProblem(response.status, lines, _redirect_address(response)))
        return Ok(answer)


def _redirect_address(response: HttpResponse) -> str:
    """Return the ``host:port`` to which a response redirects; empty if it does not."""
    if response.status != HTTPStatus.TEMPORARY_REDIRECT:
        return ""
    locations = [value for name, value in response.headers if name.lower() == "location"]
    return urlsplit(locations[0]).netloc if locations else ""


def _error_lines(status: int, answer: dict[str, Any]) -> list[str]:
    if answer.get("problems"):
        return list(answer["problems"])
    if answer.get("result") == "conflict":
        return [
            f"conflict: the document is at version {answer['version']} now; its text is:",
            answer["text"],
        ]
    return [f"{status}: {answer.get('description') or answer.get('title') or answer}"]
