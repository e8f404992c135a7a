"""An answer that is passed on piece by piece while its request keeps its slot.

Owns the end of such an answer: whatever becomes of it, the slot is given back exactly once.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from cranklane.errors import TruncatedAnswerError


class StreamedAnswer:
    """The further pieces of an answer; iterating it reads them from the worker.

    Not a generator: one that was never started would give nothing back when closed.

    :param pieces: reads the pieces; raises TruncatedAnswerError when they end too early.
    :param on_end: called once, at the end, at a failure or by :meth:`close`.
    :param on_cut: called when the answer ends too early, before ``on_end``.
    :param on_whole: called when its last piece was read, before ``on_end``.
    """

    def __init__(
        self,
        pieces: Iterator[bytes],
        on_end: Callable[[], None],
        on_cut: Callable[[], object] = bool,
        on_whole: Callable[[], object] = bool,
    ) -> None:
        self._pieces = pieces
        self._on_cut = on_cut
        self._on_whole = on_whole
        self._on_end: Callable[[], None] | None = on_end

    def __iter__(self) -> StreamedAnswer:
        """Return itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next piece."""
        try:
            return next(self._pieces)
        except StopIteration:
            self._on_whole()
            self.close()
            raise
        except TruncatedAnswerError:
            self._on_cut()
            self.close()
            raise
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Give the slot back, however much was read."""
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            self._pieces.close()  # type: ignore[attr-defined]
            on_end()
