"""Runs a node, an edge, a control or a ledger process until it is told to stop."""

from __future__ import annotations

import argparse
import signal
import sys
from dataclasses import fields
from typing import Any, Protocol

import gevent
from gevent.event import Event

from cranklane.common.logs import configure_logs
from cranklane.errors import DamagedLogError, InvariantError, SettingsError
from cranklane.runtime.real import RealRuntime
from cranklane.settings import load

EXIT_SETTINGS = 2
"""Exit status for wrong settings or a port that is taken."""

EXIT_DAMAGED = 3
"""Exit status for a data folder that cannot be trusted."""


class Process(Protocol):
    """What every daemon can do."""

    def start(self) -> None:
        """Open the ports."""

    def stop(self) -> bool:
        """Stop as planned; return whether everything in flight was finished."""


def _kinds(command: str) -> tuple[Any, Any]:
    if command == "control":
        from cranklane.control.process import ControlProcess, ControlSettings

        return ControlProcess, ControlSettings
    if command == "ledger":
        from cranklane.ledger.process import LedgerProcess, LedgerSettings

        return LedgerProcess, LedgerSettings
    from cranklane.node.process import NodeProcess, NodeSettings

    return NodeProcess, NodeSettings


def _parse(command: str, kind: Any, arguments: list[str]) -> dict[str, str | None]:
    parser = argparse.ArgumentParser(prog=f"cranklane {command}")
    parser.add_argument("--settings", help="TOML file with settings; flags go before it")
    for item in fields(kind):
        parser.add_argument(f"--{item.name.replace('_', '-')}", help=item.metadata["help"])
    return vars(parser.parse_args(arguments))


def run(command: str, arguments: list[str]) -> int:
    """Run a daemon; return its exit status."""
    process_kind, settings_kind = _kinds(command)
    flags = _parse(command, settings_kind, arguments)
    path = flags.pop("settings")
    try:
        settings = load(settings_kind, path, flags)
    except SettingsError as error:
        print("\n".join(error.problems), file=sys.stderr)
        return EXIT_SETTINGS
    configure_logs()
    # An error of this kind in any task ends the process, not only the task.
    hub = gevent.get_hub()
    hub.SYSTEM_ERROR = (*hub.SYSTEM_ERROR, InvariantError)
    process: Process = process_kind(RealRuntime(), settings)
    try:
        process.start()
    except DamagedLogError as error:
        print(f"{settings.data}: {error}", file=sys.stderr)
        return EXIT_DAMAGED
    except OSError as error:
        print(f"cannot start: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    _wait_for_signal()
    return 0 if process.stop() else 1


def _wait_for_signal() -> None:
    told = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, told.set)
    told.wait()
