"""Changes of a route table's rows, kept until deletions are many.

Owned by :class:`RouteTableStore`, which states all rows of each new table.
"""

from __future__ import annotations

from cranklane.distribution.row_history import RowHistory
from cranklane.records.messages import ConfigRow

SPARE_DELETIONS = 1000
"""Deletions kept beyond the number of rows, for nodes that are behind. A choice: it bounds
what is held, and a node further behind gets the whole table."""


class RowChanges:
    """The rows of the table in force and the revisions from which changes are known."""

    def __init__(self) -> None:
        self._rows = RowHistory()
        self._complete_since = 0

    def start(self, revision: int, values: dict[str, bytes]) -> None:
        """Begin with these rows, whose earlier changes are not known."""
        self._rows.restore(ConfigRow(revision, key, value) for key, value in values.items())
        self._complete_since = revision

    def replace(self, revision: int, values: dict[str, bytes]) -> None:
        """Replace the rows by those of a revision."""
        difference = self._rows.difference(values)
        for key in difference.deleted:
            self._rows.put(revision, key, b"")
        for key, value in difference.changed.items():
            self._rows.put(revision, key, value)
        deletions = len(self._rows) - len(values)
        if deletions > len(values) + SPARE_DELETIONS:
            self.start(revision, values)

    def since(self, revision: int) -> list[ConfigRow] | None:
        """Return the rows changed after a revision; None when that is not known."""
        if revision < self._complete_since:
            return None
        return self._rows.since(revision)
