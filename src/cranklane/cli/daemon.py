"""Runs one of the daemons until a signal stops it.

Owns what all daemons share: flags and settings, signals, reloading, the exit status, and how
the garbage collector runs.
"""

from __future__ import annotations

import argparse
import gc
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import fields
from typing import Any, Protocol

import gevent
from gevent.event import Event

from cranklane.common.logs import configure_logs, logger
from cranklane.errors import CorruptedLogError, InvariantError, SettingsError
from cranklane.runtime.real import RealRuntime
from cranklane.settings import load

COLLECTOR_THRESHOLDS = (10_000, 20, 20)
"""Allocations between two collections of the youngest objects, and of these between those of
older ones. The default of 700 runs one for each five requests or so."""

EXIT_UNFINISHED = 1
"""Exit status when a planned stop has cut what was in flight."""

EXIT_SETTINGS = 2
"""Exit status for wrong settings or a port that is taken."""

EXIT_DAMAGED = 3
"""Exit status for a data folder that cannot be trusted."""

SETTINGS_CHECK_SECONDS = 2.0
"""Seconds between looks at whether the settings file has changed. A choice: soon enough for an
operator who watches."""


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
    if command == "controller":
        from cranklane.controller.process import Controller, ControllerSettings

        return Controller, ControllerSettings
    if command == "sidecar":
        from cranklane.sidecar.process import Sidecar
        from cranklane.sidecar.settings import SidecarSettings

        return Sidecar, SidecarSettings
    if command == "ledger":
        from cranklane.ledger.process import LedgerProcess, LedgerSettings

        return LedgerProcess, LedgerSettings
    from cranklane.node.process import NodeProcess
    from cranklane.node.settings import NodeSettings

    return NodeProcess, NodeSettings


def _parse(command: str, kind: Any, arguments: list[str]) -> dict[str, str | None]:
    parser = argparse.ArgumentParser(prog=f"cranklane {command}")
    parser.add_argument("--settings", help="TOML file with settings; flags go before it")
    for item in fields(kind):
        parser.add_argument(f"--{item.name.replace('_', '-')}", help=item.metadata["help"])
    return vars(parser.parse_args(arguments))


def run(command: str, arguments: list[str], **parts: Any) -> int:
    """Run a daemon; return its exit status.

    :param parts: further arguments of the daemon's class.
    """
    process_kind, settings_kind = _kinds(command)
    flags = _parse(command, settings_kind, arguments)
    path = flags.pop("settings")

    def read_settings() -> Any:
        return load(settings_kind, path, flags)

    try:
        settings = read_settings()
    except SettingsError as error:
        print("\n".join(error.problems), file=sys.stderr)
        return EXIT_SETTINGS
    lines = configure_logs()
    _stop_at_broken_invariants()
    process: Process = process_kind(RealRuntime(), settings, **parts)
    stop_requested = _stop_signal()
    failure = _start(process, settings)
    if failure is not None:
        return failure
    reload = getattr(process, "reload", None)
    if path and reload is not None:
        _watch_settings(path, read_settings, reload)
    _settle_collector()
    stop_requested.wait()
    try:
        return 0 if process.stop() else EXIT_UNFINISHED
    finally:
        # The last lines are still in the queue; they state how the process ended.
        lines.write_now()


def _stop_at_broken_invariants() -> None:
    """Let an InvariantError in any task end the process, not only the task."""
    hub = gevent.get_hub()
    hub.SYSTEM_ERROR = (*hub.SYSTEM_ERROR, InvariantError)


def _start(process: Process, settings: Any) -> int | None:
    """Start a daemon; return the exit status when it cannot start."""
    try:
        process.start()
    except CorruptedLogError as error:
        print(f"{settings.data}: {error}", file=sys.stderr)
        return EXIT_DAMAGED
    except OSError as error:
        print(f"cannot start: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    return None


def _settle_collector() -> None:
    """Let the garbage collector leave alone what lives as long as the process."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def _stop_signal() -> Event:
    """Return an event that is set when the process is to stop."""
    stop_requested = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop_requested.set)
    return stop_requested


def _watch_settings(path: str, read: Callable[[], Any], reload: Callable[[Any], None]) -> None:
    """Reload settings on SIGHUP, and when the file is seen to have changed."""
    reload_requested = Event()
    gevent.signal_handler(signal.SIGHUP, reload_requested.set)
    log = logger(process="settings")

    def watch() -> None:
        seen = _stamp(path)
        while True:
            signalled = reload_requested.wait(SETTINGS_CHECK_SECONDS)
            reload_requested.clear()
            stamp = _stamp(path)
            if not signalled and stamp == seen:
                continue
            seen = stamp
            try:
                reload(read())
                log.info("settings_reloaded", path=path, signal=bool(signalled))
            except SettingsError as error:
                # The settings in force stay.
                log.error("settings_refused", path=path, problems=error.problems)

    gevent.spawn(watch)


def _stamp(path: str) -> tuple[int, int, int]:
    """Return what changes with a file's content; zeros while there is no file."""
    try:
        status = os.stat(path)
    except OSError:
        return (0, 0, 0)
    return status.st_mtime_ns, status.st_size, status.st_ino
