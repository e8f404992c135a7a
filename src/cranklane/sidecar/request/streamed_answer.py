"""Streams a response body while the request holds a slot or a connection.

Releases it exactly once, also after an error or an early close.
"""

from __future__ import annotations

from collections.abc import Callable, Generator

from cranklane.errors import TruncatedAnswerError


class StreamedAnswer:
    """Iterator over the remaining chunks of a response body.

    A generator is unsuitable, because closing one that was never started skips its cleanup.

    :param chunks: the chunks; raises TruncatedAnswerError on a truncated response.
    :param on_end: called once: after the last chunk, on an error or by :meth:`close`.
    :param on_truncated: called before ``on_end`` if the response is truncated.
    :param on_complete: called before ``on_end`` if the response is complete.
    :ivar is_complete: whether the last chunk has been read.
    """

    def __init__(
        self,
        chunks: Generator[bytes, None, None] | StreamedAnswer,
        on_end: Callable[[], None],
        on_truncated: Callable[[], object] = bool,
        on_complete: Callable[[], object] = bool,
    ) -> None:
        self._chunks = chunks
        self._on_truncated = on_truncated
        self._on_complete = on_complete
        self._on_end: Callable[[], None] | None = on_end
        self.is_complete = False

    def __iter__(self) -> StreamedAnswer:
        """Return the iterator itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next chunk.

        :raises TruncatedAnswerError: the response ended too early.
        """
        try:
            return next(self._chunks)
        except StopIteration:
            self.is_complete = True
            self._on_complete()
            self.close()
            raise
        except TruncatedAnswerError:
            self._on_truncated()
            self.close()
            raise
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Release what the request holds; unread chunks are discarded."""
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            self._chunks.close()
            on_end()
