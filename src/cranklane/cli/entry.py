"""Entry point of ``cranklane``: runs a daemon or an operator command.

Daemons don't import Typer, which with its dependencies needs more memory than their own
modules; they parse their flags with argparse.
"""

from __future__ import annotations

import os
import signal
import sys
from typing import Any, NoReturn, TextIO


def _is_daemon(arguments: list[str]) -> bool:
    """Return whether the arguments start a daemon.

    ``control`` followed by a flag starts the daemon; followed by a word, it is an operator
    command.

    >>> _is_daemon(["control", "--name", "c1"]), _is_daemon(["control", "list"])
    (True, False)
    """
    command = arguments[0] if arguments else ""
    if command in ("node", "edge", "ledger", "sidecar", "controller"):
        return True
    return command == "control" and len(arguments) > 1 and arguments[1].startswith("--")


def run_daemon(command: str, arguments: list[str], **process_arguments: Any) -> int:
    """Run a daemon until a signal stops it; return the exit status.

    A SIGHUP that arrives while it starts is ignored instead of ending it: the settings file is
    read later.

    :param process_arguments: additional keyword arguments for the daemon's class.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from cranklane.cli.daemon import run

    return run(command, arguments, **process_arguments)


def exit_daemon(status: int) -> NoReturn:
    """End the process at once, without the interpreter's finalization.

    That takes a tenth of a second beside open connections, which the end of a planned stop does
    not have. Files are synced when they are written, and the log lines have been written.
    """
    for output in (sys.stdout, sys.stderr):
        _flush_without_waiting(output)
    os._exit(status)


def _flush_without_waiting(output: TextIO) -> None:
    """Flush an output, unless its reader is gone or does not read."""
    try:
        os.set_blocking(output.fileno(), False)
        output.flush()
    except (OSError, ValueError):
        # Nobody can be told: the output itself has failed, or is closed.
        return


def main() -> None:
    """Run the daemon or operator command named by the first argument."""
    arguments = sys.argv[1:]
    if _is_daemon(arguments):
        exit_daemon(run_daemon(arguments[0], arguments[1:]))
    from cranklane.cli.main import application

    application()


if __name__ == "__main__":
    main()
