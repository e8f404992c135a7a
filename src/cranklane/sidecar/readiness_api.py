"""Readiness check ``GET /v1/ready``: 200 if callers may send requests, otherwise 503."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from cranklane.common.small_http import SmallAnswer

READY_PATH = "/v1/ready"

_READY = SmallAnswer(HTTPStatus.OK, b'{"ready":true}')
_NOT_READY = SmallAnswer(HTTPStatus.SERVICE_UNAVAILABLE, b'{"ready":false}')
_NOT_FOUND = SmallAnswer(HTTPStatus.NOT_FOUND, b'{"problem":"no such call"}')


class ReadinessApi:
    """Serves the readiness check.

    :param is_ready: returns whether callers may send requests.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def handle(self, method: str, path: str, _body: bytes) -> SmallAnswer:
        """Return the answer to a call; 404 for unknown paths and methods."""
        if method != "GET" or path != READY_PATH:
            return _NOT_FOUND
        return _READY if self._is_ready() else _NOT_READY
