"""Reconstructs the timeline of one request, and the cause of its outcome, from JSON logs.

Depends on the names and fields of the log events.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from http import HTTPStatus
from typing import Any

from cranklane.common.strict_json import read_json_text
from cranklane.common.units import MILLISECONDS

REQUEST_EVENTS = ("request", "attempt", "admission", "quarantine_refusal")
"""Log events that concern a single request."""

STATE_EVENTS = frozenset(
    {
        "worker_state",
        "worker_instance",
        "worker_ended",
        "requests_held",
        "requests_cleared",
        "worker_replaced",
        "worker_limit",
        "admission_level",
        "worker_leaving",
        "control_connected",
        "control_lost",
        "route_table_in_force",
        "started",
        "stopping",
        "stopped",
        "lines_left_out",
    }
)
"""Log events that record a state change of a process."""

STATE_WINDOW_SECONDS = 3.0
"""Time before and after a request in which state changes are included; failures are detected
within it."""

_CAUSE_BY_REASON = {
    "queue_full": "all slots of the worker were in use and its queue too long for the request",
    "deadline_too_near": "its wait for a slot exceeded the permitted time",
    "worker_limit": "the worker accepts a limited number of requests per second, which was used up",
    "above_admission_level": "services of its call tree have no capacity for trees of its rank",
    "refused_early": "runs of this route fail because their downstream calls are refused",
    "draining": "the worker was draining",
    "no_members": "no worker of the service was known",
    "no_configuration": "the process had no route table yet",
    "unknown_route": "no route of the active route table matched its host and path",
    "worker_shed": "the worker refused it without running it",
    "worker_unreachable": "the worker accepted no connection",
    "worker_failed": "the connection to the worker ended before its response",
    "answer_cut": "the worker's response was truncated or did not belong to this request",
    "peer_unreachable": "the worker's sidecar accepted no connection",
    "peer_lost": "the connection to the worker's sidecar was lost",
    "deadline_passed": "its deadline passed before a response arrived",
    "cancelled": "its caller disconnected",
    "worker_ended": "the worker process crashed while it ran this request and possibly others",
    "worker_left": "the worker process exited after announcing its stop, while it ran this request",
    "quarantined": "workers that ran this very request before have ended: it is quarantined",
    "suspected": "a worker crashed while running it: it may run only isolated, at one worker",
    "run_alone": "the same request was running isolated, to check whether it crashes the worker",
}


@dataclass(frozen=True)
class LogLine:
    """One event of a JSON log.

    :ivar timestamp: Unix time in seconds, by the clock of the logging process.
    :ivar node: name of the logging process.
    :ivar fields: all other fields of the line.
    """

    timestamp: float
    node: str
    event: str
    fields: dict[str, Any]


def read_lines(lines: Iterable[bytes]) -> Iterator[LogLine]:
    """Yield the log lines that are JSON objects with a timestamp and an event.

    Skips a prefix before the object, as added by log collectors.
    """
    for line in lines:
        start = line.find(b"{")
        if start < 0:
            continue
        try:
            fields = read_json_text(line[start:])
            timestamp = datetime.fromisoformat(fields.pop("timestamp")).timestamp()
            yield LogLine(timestamp, str(fields.pop("node", "")), str(fields.pop("event")), fields)
        except (ValueError, KeyError, TypeError, AttributeError):
            # Collected logs may contain lines of other software.
            continue


def timeline_of(request: str, lines: Iterable[LogLine]) -> list[str]:
    """Return a request's events in order of time, then the cause of its outcome.

    Includes state changes of the processes involved. Empty without an event of the request.

    :param request: request id set by the caller.
    """
    sorted_lines = sorted(lines, key=lambda line: line.timestamp)
    request_lines = [
        line
        for line in sorted_lines
        if line.event in REQUEST_EVENTS and line.fields.get("request") == request
    ]
    if not request_lines:
        return []
    nodes = {line.node for line in request_lines}
    nodes |= {
        str(line.fields["destination"]) for line in request_lines if "destination" in line.fields
    }
    first, last = (
        request_lines[0].timestamp - STATE_WINDOW_SECONDS,
        request_lines[-1].timestamp + STATE_WINDOW_SECONDS,
    )
    state_lines = [
        line
        for line in sorted_lines
        if line.event in STATE_EVENTS and line.node in nodes and first <= line.timestamp <= last
    ]
    shown = sorted([*request_lines, *state_lines], key=lambda line: line.timestamp)
    return [_format_line(line) for line in shown] + [f"cause: {cause_of(request_lines)}"]


def _format_line(line: LogLine) -> str:
    time = datetime.fromtimestamp(line.timestamp).strftime("%H:%M:%S.%f")[:-3]
    hidden_fields = ("request", "level", "process")
    fields = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in hidden_fields
    )
    return f"{time} {line.node} {line.event} {fields}"


def cause_of(lines: list[LogLine]) -> str:
    """Return the cause of a request's outcome, for operators.

    :param lines: events of the request, in order of time.
    """
    ends = [line for line in lines if line.event == "request"]
    if not ends:
        return "no log line records its end: it may still be running, or lines were left out"
    end = ends[-1].fields
    reason = str(end.get("reason", "none"))
    outcome = str(end.get("outcome", ""))
    if outcome == "answered":
        return _cause_of_response(end)
    attempts = [line for line in lines if line.event == "attempt"]
    destination = attempts[-1].fields.get("destination", "") if attempts else ""
    text = _CAUSE_BY_REASON.get(reason, reason)
    at = f" (at {destination})" if destination else ""
    run = "it was not run" if outcome == "not_run" else "it may have run"
    return f"{text}{at}; {run}"


def _cause_of_response(end: dict[str, Any]) -> str:
    status = int(end.get("status", 0))
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return f"the worker ran it and responded with status {status}"
    seconds, objective = float(end.get("seconds", 0)), float(end.get("objective_seconds", 0))
    if not seconds > objective > 0:
        return "none: it was answered in time"
    waited_ms, run_time_ms = int(end.get("waited_ms", 0)), int(end.get("ran_ms", 0))
    other_ms = max(0, int(seconds * MILLISECONDS) - waited_ms - run_time_ms)
    times = {
        "the wait for a slot": waited_ms,
        "the worker's run time": run_time_ms,
        "time elsewhere": other_ms,
    }
    longest = max(times, key=lambda name: times[name])
    return (
        f"late, mainly due to {longest}: {waited_ms} ms waited, {run_time_ms} ms at the worker, "
        f"{other_ms} ms elsewhere, with an objective of {int(objective * MILLISECONDS)} ms"
    )
