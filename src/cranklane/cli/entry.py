"""Entry point of ``cranklane``: daemons start without loading the command line.

Typer and what it brings cost a daemon more memory than its own parts, so the
daemons read their few flags with the standard library.
"""

from __future__ import annotations

import sys


def main() -> None:
    """Run the command that the first argument names."""
    command = sys.argv[1] if len(sys.argv) > 1 else ""
    if command in ("node", "edge", "control"):
        from cranklane.cli.daemon import run

        sys.exit(run(command, sys.argv[2:]))
    from cranklane.cli.main import application

    application()


if __name__ == "__main__":
    main()
