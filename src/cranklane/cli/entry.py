"""Entry point of ``cranklane``: runs a daemon or an operator command.

Daemons don't import Typer, which with its dependencies needs more memory than their own
modules; they parse their flags with argparse.
"""

from __future__ import annotations

import sys


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


def main() -> None:
    """Run the daemon or operator command named by the first argument."""
    arguments = sys.argv[1:]
    if _is_daemon(arguments):
        from cranklane.cli.daemon import run

        sys.exit(run(arguments[0], arguments[1:]))
    from cranklane.cli.main import application

    application()


if __name__ == "__main__":
    main()
