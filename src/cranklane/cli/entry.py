"""Entry point of ``cranklane``: daemons start without loading the command line.

Typer and what it brings cost a daemon more memory than its own parts, so the
daemons read their few flags with the standard library.
"""

from __future__ import annotations

import sys


def _is_daemon(arguments: list[str]) -> bool:
    """Return whether to run a daemon.

    ``control`` followed by flags is the daemon; followed by a word, it is one of
    the operators' commands on control.

    >>> _is_daemon(["control", "--name", "c1"]), _is_daemon(["control", "list"])
    (True, False)
    """
    command = arguments[0] if arguments else ""
    if command in ("node", "edge", "ledger", "sidecar", "controller"):
        return True
    return command == "control" and len(arguments) > 1 and arguments[1].startswith("--")


def main() -> None:
    """Run the command that the first argument names."""
    arguments = sys.argv[1:]
    if _is_daemon(arguments):
        from cranklane.cli.daemon import run

        sys.exit(run(arguments[0], arguments[1:]))
    from cranklane.cli.main import application

    application()


if __name__ == "__main__":
    main()
