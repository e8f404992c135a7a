"""The HTTP calls of the worker beside a sidecar, and the readiness look.

``POST /v1/instances/ID/heartbeat`` with a JSON body of ``service``, ``slots``,
``phase`` (``ready`` or ``draining``), ``sequence`` and ``cold_remaining_ms``;
``POST /v1/instances/ID/deregister``; ``GET /v1/ready``.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from cranklane.common.small_http import SmallAnswer
from cranklane.sidecar.worker.registry import WorkerHeartbeat, WorkerPhase, WorkerRegistry

READY_PATH = "/v1/ready"
INSTANCES_PATH = "/v1/instances/"

_NOT_FOUND = SmallAnswer(404, b'{"problem":"no such call"}')


class WorkerApi:
    """Answers the worker."""

    def __init__(self, worker: WorkerRegistry, log: Any) -> None:
        self._worker = worker
        self._log = log

    def handle(self, method: str, path: str, body: bytes) -> SmallAnswer:
        """Answer one call."""
        if method != "POST" or not path.startswith(INSTANCES_PATH):
            return _NOT_FOUND
        instance, _, call = path[len(INSTANCES_PATH) :].partition("/")
        if call == "heartbeat":
            return self._heartbeat(instance, body)
        if call == "deregister":
            self._log.info("worker_deregistered", instance=instance)
            self._worker.deregister(instance)
            return SmallAnswer(200, b"{}")
        return _NOT_FOUND

    def _heartbeat(self, instance: str, body: bytes) -> SmallAnswer:
        read = read_heartbeat(instance, body)
        if isinstance(read, Err):
            self._log.warning("heartbeat_refused", instance=instance, problem=read.err_value)
            return SmallAnswer(400, json.dumps({"problem": read.err_value}).encode())
        self._worker.heartbeat(read.ok_value)
        return SmallAnswer(200, b"{}")


def read_heartbeat(instance: str, body: bytes) -> Result[WorkerHeartbeat, str]:
    """Return the heartbeat of a JSON body, or what is wrong with it."""
    try:
        value = json.loads(body)
    except ValueError as error:
        return Err(f"the body cannot be read: {error}")
    if not isinstance(value, dict):
        return Err("the body is not an object")
    try:
        return Ok(
            WorkerHeartbeat(
                instance=instance,
                service=_text(value, "service"),
                slots=_number(value, "slots"),
                phase=WorkerPhase(value.get("phase", "ready")),
                sequence=_number(value, "sequence"),
                cold_seconds=_number(value, "cold_remaining_ms", 0) / 1000,
            )
        )
    except ValueError as error:
        return Err(str(error))


def _text(value: dict[str, Any], name: str) -> str:
    found = value.get(name)
    if not isinstance(found, str) or not found:
        raise ValueError(f"{name}: found {found!r}; expected a text")
    return found


def _number(value: dict[str, Any], name: str, default: int | None = None) -> int:
    found = value.get(name, default)
    if isinstance(found, bool) or not isinstance(found, int | float) or found < 0:
        raise ValueError(f"{name}: found {found!r}; expected a number")
    return int(found)


class ReadinessApi:
    """Answers whether this process takes requests, and its counters.

    :param ready: returns whether it does.
    :param metrics: returns the counters in the Prometheus text format.
    """

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def handle(self, method: str, path: str, _body: bytes) -> SmallAnswer:
        """Answer one call."""
        if method != "GET" or path != READY_PATH:
            return _NOT_FOUND
        if self._ready():
            return SmallAnswer(200, b'{"ready":true}')
        return SmallAnswer(503, b'{"ready":false}')
