"""HTTP API by which the worker sends heartbeats and deregisters.

``POST /v1/instances/ID/heartbeat`` with a JSON body of ``service``, ``slots``, ``phase``
(``ready`` or ``draining``), ``sequence`` and ``cold_remaining_ms``, and
``POST /v1/instances/ID/deregister``. Both may state ``born``, the Unix time of the worker's start
in milliseconds: ID and ``born`` identify the instance, one start of the worker's process.

A draining heartbeat and a deregistration are acknowledged once control has stored the departure;
until then the answer is 503, and the worker calls again. Requests for it are refused at once.
"""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from cranklane.common.small_http import SmallAnswer
from cranklane.common.strict_json import JsonTextError, read_json_text
from cranklane.sidecar.worker.departure_reports import DepartureReports
from cranklane.sidecar.worker.heartbeat import WorkerHeartbeat, WorkerPhase
from cranklane.sidecar.worker.instances import UNKNOWN_START, WorkerInstance
from cranklane.sidecar.worker.registry import WorkerRegistry

INSTANCES_PATH = "/v1/instances/"

MAX_SLOTS = 2**32 - 1
"""Largest number of slots that a record to control can hold."""

MAX_START_MS = 2**63 - 1
"""Latest start time of a worker, in Unix milliseconds; bounds the text that identifies it."""

MAX_TEXT_BYTES = 1024
"""Longest name of a service; a record to control holds less than 64 KiB."""

STORED_TIMEOUT_SECONDS = 0.8
"""Time for control to store a departure; a worker waits one second for the answer."""

_OK = SmallAnswer(HTTPStatus.OK, b"{}")
_NOT_FOUND = SmallAnswer(HTTPStatus.NOT_FOUND, b'{"problem":"no such call"}')
_NOT_STORED = SmallAnswer(
    HTTPStatus.SERVICE_UNAVAILABLE,
    b'{"problem":"the departure is not stored yet; requests are refused already; call again"}',
)


class WorkerApi:
    """Handles calls of the worker and updates the registry."""

    def __init__(self, worker: WorkerRegistry, departures: DepartureReports, log: Any) -> None:
        self._worker = worker
        self._departures = departures
        self._log = log

    def handle(self, method: str, path: str, body: bytes) -> SmallAnswer:
        """Return the response to a call; 404 for unknown paths and methods."""
        if method != "POST" or not path.startswith(INSTANCES_PATH):
            return _NOT_FOUND
        instance, _, action = path[len(INSTANCES_PATH) :].partition("/")
        if action == "heartbeat":
            return self._heartbeat(instance, body)
        if action == "deregister":
            return self._deregister(instance, body)
        return _NOT_FOUND

    def _heartbeat(self, instance_id: str, body: bytes) -> SmallAnswer:
        parsed = parse_heartbeat(instance_id, body)
        if isinstance(parsed, Err):
            return self._refuse("heartbeat_refused", instance_id, parsed.err_value)
        heartbeat = parsed.ok_value
        self._worker.heartbeat(heartbeat)
        if heartbeat.phase is WorkerPhase.DRAINING:
            return self._acknowledge_departure(heartbeat.instance)
        return _OK

    def _deregister(self, instance_id: str, body: bytes) -> SmallAnswer:
        parsed = parse_deregistration(instance_id, body)
        if isinstance(parsed, Err):
            return self._refuse("deregistration_refused", instance_id, parsed.err_value)
        instance = parsed.ok_value
        self._log.info("worker_deregistered", instance=instance.label)
        self._worker.deregister(instance)
        return self._acknowledge_departure(instance)

    def _acknowledge_departure(self, instance: WorkerInstance) -> SmallAnswer:
        """Return the acknowledgement of a departure once it is stored, else a refusal."""
        if self._departures.wait_until_stored(STORED_TIMEOUT_SECONDS):
            return _OK
        self._log.warning("departure_not_stored", instance=instance.label)
        return _NOT_STORED

    def _refuse(self, event: str, instance_id: str, problem: str) -> SmallAnswer:
        """Log a message of the worker that cannot be used, and return the response to it."""
        self._log.warning(event, instance=instance_id, problem=problem)
        return SmallAnswer(HTTPStatus.BAD_REQUEST, json.dumps({"problem": problem}).encode())


def parse_heartbeat(instance_id: str, body: bytes) -> Result[WorkerHeartbeat, str]:
    """Parse a heartbeat's JSON body; return the heartbeat or a description of the error."""
    try:
        fields = _object_of(body)
        cold_ms = _number_field(fields, "cold_remaining_ms", 0)
        heartbeat = WorkerHeartbeat(
            instance=_instance_of(instance_id, fields),
            service=_text_field(fields, "service"),
            slots=_slots_of(fields),
            phase=WorkerPhase(fields.get("phase", "ready")),
            sequence=_number_field(fields, "sequence"),
            cold_ms=cold_ms if "cold_remaining_ms" in fields else None,
        )
    except (ValueError, OverflowError) as error:
        return Err(str(error))
    return Ok(heartbeat)


def parse_deregistration(instance_id: str, body: bytes) -> Result[WorkerInstance, str]:
    """Parse a deregistration; return the instance or a description of the error.

    The body may be empty, or an object that states the start time of the instance.
    """
    try:
        fields = _object_of(body) if body.strip() else {}
        return Ok(_instance_of(instance_id, fields))
    except ValueError as error:
        return Err(str(error))


def _object_of(body: bytes) -> dict[str, Any]:
    try:
        fields = read_json_text(body)
    except JsonTextError as error:
        raise ValueError(f"the body cannot be read: {error}") from error
    if not isinstance(fields, dict):
        raise ValueError("the body is not an object")
    return fields


def _instance_of(instance_id: str, fields: dict[str, Any]) -> WorkerInstance:
    started_at_ms = fields.get("born", UNKNOWN_START)
    is_number = isinstance(started_at_ms, int) and not isinstance(started_at_ms, bool)
    if not is_number or not 0 <= started_at_ms <= MAX_START_MS:
        raise ValueError("born: expected a whole number of milliseconds, at most 2**63 - 1")
    return WorkerInstance(instance_id, started_at_ms)


def _text_field(fields: dict[str, Any], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name}: found {value!r}; expected a text")
    size = len(value.encode())
    if size > MAX_TEXT_BYTES:
        raise ValueError(f"{name}: found {size} bytes; expected at most {MAX_TEXT_BYTES}")
    return value


def _slots_of(fields: dict[str, Any]) -> int:
    slots = _number_field(fields, "slots")
    if slots > MAX_SLOTS:
        raise ValueError(f"slots: found {slots:.3g}; expected at most {MAX_SLOTS}")
    return slots


def _number_field(fields: dict[str, Any], name: str, default: int | None = None) -> int:
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError(f"{name}: found {value!r}; expected a number")
    return int(value)
