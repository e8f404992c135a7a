"""Bounds the share of the time that a process spends on heads of very many lines.

Such a head takes as long as several ordinary requests. They are parsed one at a time, with pauses
in which other callers, heartbeats and control go on.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.lock import BoundedSemaphore

from cranklane.errors import OverloadedError

LONG_HEAD_LINES = 256
"""Lines from which on a head waits for its turn; ordinary ones have some tens."""

PAUSE_FACTOR = 3.0
"""Pause after a long head, as a multiple of the time that its parsing took."""

MAX_WAIT_SECONDS = 3.0
"""Longest wait for a turn; a caller waits no longer than this for a head to be read."""


class ParsingTurns:
    """Lets long heads be parsed one after the other.

    :param clock: returns monotonic seconds; None: all are parsed at once.
    """

    def __init__(self, clock: Callable[[], float] | None) -> None:
        self._clock = clock
        self._turn = BoundedSemaphore(1)
        self._free_at = 0.0

    def take(self, head: bytes, parse: Callable[[bytes], None]) -> None:
        """Parse a head, a long one as soon as it has a turn.

        :raises OverloadedError: if it has none in time.
        """
        if self._clock is None or head.count(b"\n") <= LONG_HEAD_LINES:
            parse(head)
            return
        if not self._turn.acquire(timeout=MAX_WAIT_SECONDS):
            raise OverloadedError("no time for a head of very many lines")
        try:
            self._parse_in_turn(head, parse, self._clock)
        finally:
            self._turn.release()

    def _parse_in_turn(
        self, head: bytes, parse: Callable[[bytes], None], clock: Callable[[], float]
    ) -> None:
        began_at = clock()
        if began_at < self._free_at:
            gevent.sleep(self._free_at - began_at)
            began_at = clock()
        parse(head)
        ended_at = clock()
        self._free_at = ended_at + PAUSE_FACTOR * (ended_at - began_at)


PARSE_AT_ONCE = ParsingTurns(None)
"""For connections of processes that are trusted."""
