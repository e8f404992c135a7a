"""The HTTP calls of the worker beside a sidecar.

``POST /v1/instances/ID/heartbeat`` with a JSON body of ``service``, ``slots``, ``phase``
(``ready`` or ``draining``), ``sequence`` and ``cold_remaining_ms``, and
``POST /v1/instances/ID/deregister``. ID names the worker's start.
"""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from cranklane.common.small_http import SmallAnswer
from cranklane.sidecar.worker.registry import WorkerHeartbeat, WorkerPhase, WorkerRegistry

INSTANCES_PATH = "/v1/instances/"

_TAKEN = SmallAnswer(HTTPStatus.OK, b"{}")
_NOT_FOUND = SmallAnswer(HTTPStatus.NOT_FOUND, b'{"problem":"no such call"}')


class WorkerApi:
    """Answers the worker and passes its heartbeats to the registry."""

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
            return _TAKEN
        return _NOT_FOUND

    def _heartbeat(self, instance: str, body: bytes) -> SmallAnswer:
        read = read_heartbeat(instance, body)
        if isinstance(read, Err):
            self._log.warning("heartbeat_refused", instance=instance, problem=read.err_value)
            problem = json.dumps({"problem": read.err_value})
            return SmallAnswer(HTTPStatus.BAD_REQUEST, problem.encode())
        self._worker.heartbeat(read.ok_value)
        return _TAKEN


def read_heartbeat(instance: str, body: bytes) -> Result[WorkerHeartbeat, str]:
    """Return the heartbeat of a JSON body, or what is wrong with it."""
    try:
        value = json.loads(body)
    except ValueError as error:
        return Err(f"the body cannot be read: {error}")
    if not isinstance(value, dict):
        return Err("the body is not an object")
    try:
        heartbeat = WorkerHeartbeat(
            instance=instance,
            service=_text(value, "service"),
            slots=_number(value, "slots"),
            phase=WorkerPhase(value.get("phase", "ready")),
            sequence=_number(value, "sequence"),
        )
        # Part of the call, so it is checked, though nothing here depends on it.
        _number(value, "cold_remaining_ms", 0)
    except ValueError as error:
        return Err(str(error))
    return Ok(heartbeat)


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
