"""History of a route table's rows, bounded by the number of deleted rows.

Owned by :class:`RouteTableStore`.
"""

from __future__ import annotations

from cranklane.distribution.row_history import RowHistory
from cranklane.records.messages import ConfigRow

EXTRA_DELETIONS = 1000
"""Number of deleted rows kept beyond the number of live rows. Bounds the memory of the history;
nodes further behind get the whole table."""


class RowChanges:
    """Rows of the table in force with the revisions of their changes."""

    def __init__(self) -> None:
        self._rows = RowHistory()
        self._oldest_revision = 0

    def reset(self, revision: int, values: dict[str, bytes]) -> None:
        """Discard the history and set the rows of a revision."""
        self._rows.restore(ConfigRow(revision, key, value) for key, value in values.items())
        self._oldest_revision = revision

    def replace(self, revision: int, values: dict[str, bytes]) -> None:
        """Set the rows of a new revision and record the changes."""
        difference = self._rows.difference(values)
        for key in difference.deleted:
            self._rows.put(revision, key, b"")
        for key, value in difference.changed.items():
            self._rows.put(revision, key, value)
        deletions = len(self._rows) - len(values)
        if deletions > len(values) + EXTRA_DELETIONS:
            self.reset(revision, values)

    def since(self, revision: int) -> list[ConfigRow] | None:
        """Return the rows changed after a revision, or None if its history was discarded."""
        if revision < self._oldest_revision:
            return None
        return self._rows.since(revision)
