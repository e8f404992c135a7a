"""How long to wait for a connection to control, and between rounds of attempts.

A round asks all control processes once. Owns only the state of one follower's attempts.
"""

from __future__ import annotations

from random import Random

CONNECT_SECONDS = 1.0
"""Longest wait for a connection. A choice."""

FIRST_CONNECT_SECONDS = 0.25
"""Wait for a connection in the first round: a machine without power does not answer at all, and
another one may be there. Each further round allows twice as long. A choice."""

MIN_BACKOFF_SECONDS = 0.1
"""Mean pause after the first round; each further one is twice as long. A choice."""

MAX_BACKOFF_SECONDS = 3.0
"""Longest mean pause between rounds. A choice: many followers that return at once spread
over it."""


class Reconnect:
    """Connection time and pauses of one follower.

    :param max_backoff: longest mean pause, in seconds.
    :ivar connect_seconds: wait for a connection now.
    """

    def __init__(self, max_backoff: float = MAX_BACKOFF_SECONDS) -> None:
        self._max_backoff = max_backoff
        self._backoff = MIN_BACKOFF_SECONDS
        self.connect_seconds = FIRST_CONNECT_SECONDS

    def served(self) -> None:
        """Start anew: a control process has served this follower."""
        self._backoff = MIN_BACKOFF_SECONDS
        self.connect_seconds = FIRST_CONNECT_SECONDS

    def round_ended(self) -> None:
        """Allow connections of the next round twice as long."""
        self.connect_seconds = min(CONNECT_SECONDS, self.connect_seconds * 2)

    def needs_any(self) -> bool:
        """Return whether to take a control process that is out of touch with its group.

        So from the second round on in which none served: none may be in touch.
        """
        return self._backoff > MIN_BACKOFF_SECONDS

    def pause(self, random: Random) -> float:
        """Return the pause before the next round, in seconds, and double the one after it.

        Spread by half on either side, so that followers do not return all at once.
        """
        seconds = self._backoff * (0.5 + random.random())
        self._backoff = min(self._max_backoff, self._backoff * 2)
        return seconds
