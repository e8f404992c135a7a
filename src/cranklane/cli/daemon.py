"""Runs a daemon until SIGTERM or SIGINT.

Covers what all daemons share: flags, settings and their reload, signals, exit statuses and
tuning of the garbage collector.
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

from cranklane.cli.stop_signals import StopSignals
from cranklane.common.logs import configure_logs, logger
from cranklane.errors import CorruptedLogError, InvariantError, SettingsError
from cranklane.runtime.real import RealRuntime
from cranklane.runtime.restarting import run_restarting
from cranklane.settings import load

GC_THRESHOLDS = (10_000, 20, 20)
"""Thresholds of the three garbage collector generations; Python's lower defaults would run a
collection every few requests."""

EXIT_DRAIN_INCOMPLETE = 1
"""Exit status when a planned stop aborted requests in flight."""

EXIT_START_FAILED = 2
"""Exit status for invalid settings, or an operating system error such as a port in use."""

EXIT_DATA_CORRUPTED = 3
"""Exit status for corrupted files in the data folder."""

SETTINGS_POLL_SECONDS = 2.0
"""Interval at which the settings file is checked for changes."""


class Process(Protocol):
    """Interface of a daemon."""

    def start(self) -> None:
        """Open the listening ports.

        :raises CorruptedLogError: when files in the data folder are corrupted.
        :raises OSError: when a port or file cannot be opened.
        """

    def stop(self, signalled_at: float | None = None, /) -> bool:
        """Drain and stop; return whether all requests in flight finished.

        :param signalled_at: monotonic second of the signal; None: now.
        """


def _kinds(command: str) -> tuple[Any, Any]:
    """Return the classes of a daemon and its settings; imports only that daemon's modules."""
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


def _parse(command: str, settings_class: Any, arguments: list[str]) -> dict[str, str | None]:
    parser = argparse.ArgumentParser(prog=f"cranklane {command}")
    parser.add_argument("--settings", help="TOML settings file; flags override its values")
    for setting in fields(settings_class):
        parser.add_argument(f"--{setting.name.replace('_', '-')}", help=setting.metadata["help"])
    return vars(parser.parse_args(arguments))


def run(command: str, arguments: list[str], **process_arguments: Any) -> int:
    """Run a daemon until a signal stops it; return the exit status.

    :param command: name of the daemon, such as ``sidecar``.
    :param arguments: flags.
    :param process_arguments: additional keyword arguments for the daemon's class.
    """
    process_class, settings_class = _kinds(command)
    flags = _parse(command, settings_class, arguments)
    path = flags.pop("settings")

    def read_settings() -> Any:
        return load(settings_class, path, flags)

    try:
        settings = read_settings()
    except SettingsError as error:
        print("\n".join(error.problems), file=sys.stderr)
        return EXIT_START_FAILED
    log_queue = configure_logs()
    _exit_on_invariant_error()
    runtime = RealRuntime()
    process: Process = process_class(runtime, settings, **process_arguments)
    stop_signals = StopSignals(runtime.monotonic)
    exit_status = _start(process, settings)
    if exit_status is not None:
        return exit_status
    reload = getattr(process, "reload", None)
    if path and reload is not None:
        _watch_settings(path, read_settings, reload)
    else:
        # Without a file to reload, a closed terminal ends the process.
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
    _tune_garbage_collector()
    signalled_at = stop_signals.wait()
    try:
        return 0 if process.stop(signalled_at) else EXIT_DRAIN_INCOMPLETE
    finally:
        stop_signals.log_exit()
        # Flushes queued log lines, which record the outcome of the stop.
        log_queue.write_now()


def _exit_on_invariant_error() -> None:
    """Make an InvariantError in any greenlet exit the process instead of the greenlet alone."""
    hub = gevent.get_hub()
    hub.SYSTEM_ERROR = (*hub.SYSTEM_ERROR, InvariantError)


def _start(process: Process, settings: Any) -> int | None:
    """Start a daemon; return the exit status if it fails to start, else None."""
    try:
        process.start()
    except CorruptedLogError as error:
        print(f"{settings.data}: {error}", file=sys.stderr)
        return EXIT_DATA_CORRUPTED
    except OSError as error:
        print(f"cannot start: {error}", file=sys.stderr)
        return EXIT_START_FAILED
    return None


def _tune_garbage_collector() -> None:
    """Exempt objects created at startup from garbage collection, and collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def _watch_settings(path: str, read: Callable[[], Any], reload: Callable[[Any], None]) -> None:
    """Reload settings on SIGHUP and when the settings file changes."""
    reload_requested = Event()
    gevent.signal_handler(signal.SIGHUP, reload_requested.set)
    log = logger(process="settings")

    def watch() -> None:
        last_signature = _file_signature(path)
        while True:
            signalled = reload_requested.wait(SETTINGS_POLL_SECONDS)
            reload_requested.clear()
            signature = _file_signature(path)
            if not signalled and signature == last_signature:
                continue
            last_signature = signature
            try:
                reload(read())
                log.info("settings_reloaded", path=path, signal=bool(signalled))
            except SettingsError as error:
                # Keeps the current settings.
                log.error("settings_refused", path=path, problems=error.problems)

    gevent.spawn(run_restarting, watch)


def _file_signature(path: str) -> tuple[int, int, int]:
    """Return a file's modification time, size and inode number; zeros if it cannot be read."""
    try:
        status = os.stat(path)
    except OSError:
        return (0, 0, 0)
    return status.st_mtime_ns, status.st_size, status.st_ino
