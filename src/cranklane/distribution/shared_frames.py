"""Frames that many subscribers get alike, encoded once for all of them."""

from __future__ import annotations

from collections.abc import Callable


class NewestFrames:
    """Frames that bring subscribers from where they are to the newest state.

    Subscribers that get everything and are at the same place get the same bytes; frames of
    an older state are dropped.
    """

    def __init__(self) -> None:
        self._newest = -1
        self._by_base: dict[int, bytes] = {}

    def get(self, span: tuple[int, int], make: Callable[[], bytes]) -> bytes:
        """Return the frame for a span of states, from a base to the newest.

        :param make: encodes it where it is not there yet.
        """
        base, newest = span
        if newest != self._newest:
            self._newest = newest
            self._by_base.clear()
        frame = self._by_base.get(base)
        if frame is None:
            frame = self._by_base[base] = make()
        return frame
