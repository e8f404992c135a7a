"""HTTP API by which the worker sends heartbeats and deregisters.

``POST /v1/instances/ID/heartbeat`` with a JSON body of ``service``, ``slots``, ``phase``
(``ready`` or ``draining``), ``sequence`` and ``cold_remaining_ms``, and
``POST /v1/instances/ID/deregister``. ID identifies the instance: one start of the worker's process.
"""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from cranklane.common.small_http import SmallAnswer
from cranklane.sidecar.worker.registry import WorkerHeartbeat, WorkerPhase, WorkerRegistry

INSTANCES_PATH = "/v1/instances/"

_OK = SmallAnswer(HTTPStatus.OK, b"{}")
_NOT_FOUND = SmallAnswer(HTTPStatus.NOT_FOUND, b'{"problem":"no such call"}')


class WorkerApi:
    """Handles calls of the worker and updates the registry."""

    def __init__(self, worker: WorkerRegistry, log: Any) -> None:
        self._worker = worker
        self._log = log

    def handle(self, method: str, path: str, body: bytes) -> SmallAnswer:
        """Return the answer to a call; 404 for unknown paths and methods."""
        if method != "POST" or not path.startswith(INSTANCES_PATH):
            return _NOT_FOUND
        instance, _, action = path[len(INSTANCES_PATH) :].partition("/")
        if action == "heartbeat":
            return self._heartbeat(instance, body)
        if action == "deregister":
            self._log.info("worker_deregistered", instance=instance)
            self._worker.deregister(instance)
            return _OK
        return _NOT_FOUND

    def _heartbeat(self, instance: str, body: bytes) -> SmallAnswer:
        parsed = parse_heartbeat(instance, body)
        if isinstance(parsed, Err):
            self._log.warning("heartbeat_refused", instance=instance, problem=parsed.err_value)
            problem = json.dumps({"problem": parsed.err_value})
            return SmallAnswer(HTTPStatus.BAD_REQUEST, problem.encode())
        self._worker.heartbeat(parsed.ok_value)
        return _OK


def parse_heartbeat(instance: str, body: bytes) -> Result[WorkerHeartbeat, str]:
    """Parse a heartbeat's JSON body; return the heartbeat or a description of the error."""
    try:
        fields = json.loads(body)
    except ValueError as error:
        return Err(f"the body cannot be read: {error}")
    if not isinstance(fields, dict):
        return Err("the body is not an object")
    try:
        heartbeat = WorkerHeartbeat(
            instance=instance,
            service=_text_field(fields, "service"),
            slots=_number_field(fields, "slots"),
            phase=WorkerPhase(fields.get("phase", "ready")),
            sequence=_number_field(fields, "sequence"),
        )
        # Validated as part of the API, but not used.
        _number_field(fields, "cold_remaining_ms", 0)
    except ValueError as error:
        return Err(str(error))
    return Ok(heartbeat)


def _text_field(fields: dict[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name}: found {value!r}; expected a text")
    return value


def _number_field(fields: dict[str, Any], name: str, default: int | None = None) -> int:
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError(f"{name}: found {value!r}; expected a number")
    return int(value)
