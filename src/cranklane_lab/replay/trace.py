"""The trace format: JSON lines, a header and then events in chronological order.

The header describes the fleet::

    {"trace": 1, "deployment": "songhan", "workers": 2, "controls": 1, "ledgers": 1,
     "seed": 7, "allowance": 3, "note": "why this trace is kept"}

Each event has ``at`` (seconds since the fleet is ready), ``do`` and arguments:

=============  ==========================================================
request        ``kind``, ``nonce``, ``key``; ``expect``: allowed outcomes
kill           ``process``: killed; its connections are reset
power          ``process``: its machine loses power and unsynced data
restart        ``process``: restarted on its machine
freeze         ``process``, ``seconds``
cut, heal      ``source``, ``target``: one direction of a link
slow           ``service``, ``factor``: factor on the work time
drain          ``process``: drain signal to a node
=============  ==========================================================

A process is named ``SERVICE-N-worker``, ``SERVICE-N-node``, ``control-N`` or
``ledger-N``. Outcomes are those of :class:`cranklane_lab.standins.client.ClientResult`.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field, fields
from pathlib import Path
from typing import Any

from cranklane.common.strict_json import read_json_text

FORMAT_VERSION = 1
OUTCOMES = frozenset({"answered", "not_run", "unknown", "cut", "lost"})
ACTIONS = frozenset(
    {"request", "kill", "power", "restart", "freeze", "cut", "heal", "slow", "drain"}
)


class TraceError(Exception):
    """A trace file is missing or invalid.

    :ivar problems: one message for each problem.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


@dataclass(frozen=True)
class Event:
    """A timed event; the module's documentation lists the arguments of each ``do``."""

    at: float
    do: str
    kind: str = ""
    nonce: str = ""
    key: str = ""
    expect: tuple[str, ...] = ()
    process: str = ""
    seconds: float = 0.0
    source: str = ""
    target: str = ""
    service: str = ""
    factor: float = 1.0

    def as_json(self) -> dict[str, Any]:
        """Return the event as a JSON object without default values."""
        empty = Event(self.at, self.do)
        return {
            key: value
            for key, value in asdict(self).items()
            if key in ("at", "do") or value != getattr(empty, key)
        }


@dataclass(frozen=True)
class Trace:
    """The parameters of a fleet and the events to execute.

    :ivar workers: workers per service.
    :ivar controls: number of control processes.
    :ivar ledgers: number of replicas in the ledger group.
    :ivar allowance: retries that a root request may cause.
    """

    deployment: str = "songhan"
    workers: int = 2
    controls: int = 1
    ledgers: int = 1
    seed: int = 1
    allowance: int = 3
    note: str = ""
    events: tuple[Event, ...] = field(default=())

    def write(self, path: Path) -> None:
        """Write the trace to a file."""
        head = {key: value for key, value in asdict(self).items() if key != "events"}
        lines = [json.dumps({"trace": FORMAT_VERSION, **head})]
        lines += [json.dumps(event.as_json()) for event in self.events]
        path.write_text("\n".join(lines) + "\n")


def read(path: Path) -> Trace:
    """Read a trace from a file.

    :raises TraceError: naming every invalid line.
    """
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        raise TraceError([f"{path}: cannot be read: {error.strerror}"]) from error
    problems: list[str] = []
    parsed = [_parse(path, number, line, problems) for number, line in enumerate(lines, 1)]
    if not parsed or parsed[0].pop("trace", None) != FORMAT_VERSION:
        problems.append(f"{path}: line 1: expected a header with trace {FORMAT_VERSION}")
    known_keys = {key.name for key in fields(Trace)} - {"events"}
    unknown = sorted(set(parsed[0] if parsed else {}) - known_keys)
    problems += [f"{path}: line 1: unknown key {key}" for key in unknown]
    events = [_event(path, number, media, problems) for number, media in enumerate(parsed[1:], 2)]
    if problems:
        raise TraceError(problems)
    return Trace(**parsed[0], events=tuple(events))


def _parse(path: Path, number: int, line: bytes, problems: list[str]) -> dict[str, Any]:
    try:
        media = read_json_text(line)
    except ValueError as error:
        problems.append(f"{path}: line {number}: invalid JSON: {error}")
        return {}
    if not isinstance(media, dict):
        problems.append(f"{path}: line {number}: expected a JSON object")
        return {}
    return media


def _event(path: Path, number: int, media: dict[str, Any], problems: list[str]) -> Event:
    known_keys = {key.name for key in fields(Event)}
    if media.get("do") not in ACTIONS:
        problems.append(f"{path}: line {number}: do: expected one of {', '.join(sorted(ACTIONS))}")
        return Event(0.0, "")
    unknown = sorted(set(media) - known_keys)
    problems += [f"{path}: line {number}: unknown key {key}" for key in unknown]
    if not isinstance(media.get("at"), int | float):
        problems.append(f"{path}: line {number}: at: expected a number of seconds")
    expect = media.get("expect", [])
    if not set(expect) <= OUTCOMES:
        problems.append(
            f"{path}: line {number}: expect: expected some of {', '.join(sorted(OUTCOMES))}"
        )
    arguments = {key: value for key, value in media.items() if key in known_keys}
    return Event(**{"at": 0.0, **arguments, "expect": tuple(expect)})
