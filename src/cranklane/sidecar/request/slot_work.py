"""Time that the workers of each service spent for one request.

A run for a request that fails in the end was wasted. Each sidecar sees only the runs of its
own worker, so the sums travel up the call tree with the answers, and the sidecar at which the
request began knows them all when it ends.
"""

from __future__ import annotations

from collections.abc import Iterator


class SlotWork:
    """Milliseconds that slots were taken, by service.

    An answer that is lost takes its sums along: what is known here is a lower bound.
    """

    __slots__ = ("_milliseconds",)

    def __init__(self) -> None:
        self._milliseconds: dict[str, int] = {}

    def add(self, service: str, milliseconds: int) -> None:
        """Count a run.

        >>> work = SlotWork()
        >>> work.add("stock", 20)
        >>> work.add("stock", 5)
        >>> list(work)
        [('stock', 25)]
        """
        known = self._milliseconds
        known[service] = known.get(service, 0) + milliseconds

    def add_all(self, other: SlotWork) -> None:
        """Add the sums of a call made for the same request."""
        for service, milliseconds in other:
            self.add(service, milliseconds)

    def __iter__(self) -> Iterator[tuple[str, int]]:
        """Return each service with its milliseconds."""
        return iter(self._milliseconds.items())

    def __bool__(self) -> bool:
        """Return whether anything was spent."""
        return bool(self._milliseconds)
