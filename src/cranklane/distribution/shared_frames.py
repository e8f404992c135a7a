"""Cache of encoded frames that are sent to many subscribers."""

from __future__ import annotations

from collections.abc import Callable


class SharedFrameCache:
    """Encoded deltas from base positions to the newest position.

    Subscribers of everything with the same base share a frame. A newer position clears the
    cache.
    """

    def __init__(self) -> None:
        self._newest = -1
        self._by_base: dict[int, bytes] = {}

    def get(self, span: tuple[int, int], encode: Callable[[], bytes]) -> bytes:
        """Return the frame for a span from a base to the newest position.

        :param encode: encodes the frame if it is not cached.
        """
        base, newest = span
        if newest != self._newest:
            self._newest = newest
            self._by_base.clear()
        frame = self._by_base.get(base)
        if frame is None:
            frame = self._by_base[base] = encode()
        return frame
