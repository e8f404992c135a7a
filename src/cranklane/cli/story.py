"""Explains what happened to one request, from the logs of the processes that it passed.

Relies on the names and fields of log events; a test plays requests and reads them back.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from http import HTTPStatus
from typing import Any

from cranklane.common.units import MILLISECONDS

REQUEST_EVENTS = ("request", "attempt", "admission", "quarantine_refusal")
"""Log events about one request."""

STATE_EVENTS = frozenset(
    {
        "worker_state",
        "worker_instance",
        "worker_ended",
        "requests_held",
        "requests_cleared",
        "worker_replaced",
        "control_connected",
        "control_lost",
        "route_table_in_force",
        "started",
        "stopping",
        "stopped",
        "lines_left_out",
    }
)
"""Log events about changes of a process's state."""

AROUND_SECONDS = 3.0
"""Seconds before and after a request within which changes of state are shown with it. A
choice: failures are noticed within that time."""

_CAUSES = {
    "queue_full": "the worker's slots were taken and its queue longer than the request may wait",
    "deadline_too_near": "it waited for a slot longer than it may",
    "refused_early": "runs of this route fail because calls that they need are refused",
    "draining": "the worker is leaving",
    "no_members": "no worker of the service is known",
    "no_configuration": "this process has no route table yet",
    "unknown_route": "no route of the table in force fits its host and path",
    "worker_shed": "the worker refused it without running it",
    "worker_unreachable": "the worker took no connection",
    "worker_failed": "the worker's connection ended before its answer",
    "answer_cut": "the worker's answer was cut short, or was no answer to this request",
    "peer_unreachable": "the worker's sidecar took no connection",
    "peer_lost": "the connection to the worker's sidecar was lost",
    "deadline_passed": "its time was over before an answer came",
    "cancelled": "its caller left",
    "worker_ended": "the worker's process ended while it ran this request and maybe others",
    "worker_left": "the worker's process ended as it had told, while it ran this request",
    "quarantined": "workers that ran this very request before have ended: it is held for a while",
    "suspected": "a worker that ran this very request has ended: it runs at one worker only",
    "run_alone": "the same request is being run alone, to see whether it ends its worker",
}


@dataclass(frozen=True)
class LogLine:
    """One line of a log.

    :ivar at: seconds since 1970 by the clock of its process.
    """

    at: float
    node: str
    event: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Return the lines of a log that are JSON objects with a time and an event.

    Text before the object on a line, as log collectors add it, is skipped.
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            at = datetime.fromisoformat(fields.pop("timestamp")).timestamp()
            yield LogLine(at, str(fields.pop("node", "")), str(fields.pop("event")), fields)
        except (ValueError, KeyError, TypeError, AttributeError):
            # Not a line of a process of ours: logs are read as they were collected.
            continue


def story_of(request: str, lines: Iterable[LogLine]) -> list[str]:
    """Return the lines on a request in order, the cause of its end last; empty when unknown.

    :param request: the id that its caller gave it.
    """
    known = sorted(lines, key=lambda line: line.at)
    own = [
        line
        for line in known
        if line.event in REQUEST_EVENTS and line.fields.get("request") == request
    ]
    if not own:
        return []
    nodes = {line.node for line in own}
    nodes |= {str(line.fields["destination"]) for line in own if "destination" in line.fields}
    first, last = own[0].at - AROUND_SECONDS, own[-1].at + AROUND_SECONDS
    around = [
        line
        for line in known
        if line.event in STATE_EVENTS and line.node in nodes and first <= line.at <= last
    ]
    shown = sorted([*own, *around], key=lambda line: line.at)
    return [_format_line(line) for line in shown] + [f"cause: {cause_of(own)}"]


def _format_line(line: LogLine) -> str:
    time = datetime.fromtimestamp(line.at).strftime("%H:%M:%S.%f")[:-3]
    left_out = ("request", "level", "process")
    fields = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in left_out
    )
    return f"{time} {line.node} {line.event} {fields}"


def cause_of(lines: list[LogLine]) -> str:
    """Return a sentence on why a request ended as it did.

    :param lines: its own lines, in order.
    """
    ends = [line for line in lines if line.event == "request"]
    if not ends:
        return "no line states its end: its caller may still wait, or lines were left out"
    end = ends[-1].fields
    reason = str(end.get("reason", "none"))
    outcome = str(end.get("outcome", ""))
    if outcome == "answered":
        return _cause_of_answer(end)
    attempts = [line for line in lines if line.event == "attempt"]
    where = attempts[-1].fields.get("destination", "") if attempts else ""
    text = _CAUSES.get(reason, reason)
    at = f" (at {where})" if where else ""
    run = "it was not run" if outcome == "not_run" else "it may have run"
    return f"{text}{at}; {run}"


def _cause_of_answer(end: dict[str, Any]) -> str:
    status = int(end.get("status", 0))
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return f"the worker ran it and answered {status}"
    seconds, objective = float(end.get("seconds", 0)), float(end.get("objective_seconds", 0))
    if not seconds > objective > 0:
        return "none: it was answered in time"
    waited, ran = int(end.get("waited_ms", 0)), int(end.get("ran_ms", 0))
    other = max(0, int(seconds * MILLISECONDS) - waited - ran)
    times = {"its wait for a slot": waited, "the worker's own time": ran, "the way there": other}
    longest = max(times, key=lambda name: times[name])
    return (
        f"late, most of all by {longest}: {waited} ms waited, {ran} ms at the worker, "
        f"{other} ms otherwise, of {int(objective * MILLISECONDS)} ms it should take"
    )
