"""Connect timeouts and backoff of connection attempts to control.

A round tries all control processes once.
"""

from __future__ import annotations

from random import Random

MAX_CONNECT_TIMEOUT_SECONDS = 1.0
"""Longest connect timeout, in later rounds."""

FIRST_CONNECT_TIMEOUT_SECONDS = 0.25
"""Connect timeout in the first round, doubled in each further one. Short, so that unreachable
machines do not delay a connection to the next one."""

MIN_BACKOFF_SECONDS = 0.1
"""Mean pause after the first round, doubled after each further one."""

MAX_BACKOFF_SECONDS = 3.0
"""Longest mean pause between rounds; spreads many subscribers that reconnect at once."""


class Reconnect:
    """Connect timeout and backoff of one subscriber.

    :param max_backoff: longest mean pause, in seconds.
    :ivar connect_timeout: current connect timeout, in seconds.
    """

    def __init__(self, max_backoff: float = MAX_BACKOFF_SECONDS) -> None:
        self._max_backoff = max_backoff
        self._backoff = MIN_BACKOFF_SECONDS
        self.connect_timeout = FIRST_CONNECT_TIMEOUT_SECONDS

    def reset(self) -> None:
        """Reset timeout and backoff after a control process served this subscriber."""
        self._backoff = MIN_BACKOFF_SECONDS
        self.connect_timeout = FIRST_CONNECT_TIMEOUT_SECONDS

    def end_round(self) -> None:
        """Double the connect timeout for the next round."""
        self.connect_timeout = min(MAX_CONNECT_TIMEOUT_SECONDS, self.connect_timeout * 2)

    def accepts_out_of_touch(self) -> bool:
        """Return whether to subscribe to a control process that is out of touch with its group.

        This is the case from the second consecutive round on in which none served.
        """
        return self._backoff > MIN_BACKOFF_SECONDS

    def next_pause(self, random: Random) -> float:
        """Return a random pause before the next round, in seconds, and double the mean.

        Pauses vary by up to half of the mean, so that subscribers do not reconnect all at once.
        """
        seconds = self._backoff * (0.5 + random.random())
        self._backoff = min(self._max_backoff, self._backoff * 2)
        return seconds
