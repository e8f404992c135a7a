"""Slot time used for one request, by service, to account for work wasted on failed requests.

Each sidecar sees only the runs of the local worker, so the sums are returned up the call tree
with the answers and are complete at the sidecar that received the root request.
"""

from __future__ import annotations

from collections.abc import Iterator


class SlotWork:
    """Milliseconds of slot time by service.

    A lower bound, because a lost answer loses its sums.
    """

    __slots__ = ("_milliseconds",)

    def __init__(self) -> None:
        self._milliseconds: dict[str, int] = {}

    def add(self, service: str, milliseconds: int) -> None:
        """Add the slot time of a run.

        >>> work = SlotWork()
        >>> work.add("stock", 20)
        >>> work.add("stock", 5)
        >>> list(work)
        [('stock', 25)]
        """
        totals = self._milliseconds
        totals[service] = totals.get(service, 0) + milliseconds

    def add_all(self, downstream: SlotWork) -> None:
        """Add the slot time of a downstream call."""
        for service, milliseconds in downstream:
            self.add(service, milliseconds)

    def __iter__(self) -> Iterator[tuple[str, int]]:
        """Iterate over services and their milliseconds."""
        return iter(self._milliseconds.items())

    def __bool__(self) -> bool:
        """Return whether any run has been added."""
        return bool(self._milliseconds)
