"""Rows of configuration in the order in which they changed."""

from __future__ import annotations

from collections import OrderedDict

from cranklane.records.messages import ConfigRow

SPARE_DELETIONS = 1000
"""Deletions kept beyond the number of rows, for nodes that are behind."""


class RowChanges:
    """The newest value of each row and the revision that brought it.

    Deletions are kept as rows without a value, until they are many: a node that
    is further behind then gets everything.
    """

    def __init__(self) -> None:
        # In the order of their revisions, so that a reader sees only what is new.
        self._rows: OrderedDict[str, ConfigRow] = OrderedDict()
        self._complete_since = 0

    def start(self, revision: int, values: dict[str, bytes]) -> None:
        """Begin with these rows, whose earlier changes are not known."""
        self._rows = OrderedDict(
            (key, ConfigRow(revision, key, value)) for key, value in values.items()
        )
        self._complete_since = revision

    def replace(self, revision: int, values: dict[str, bytes]) -> None:
        """Take what the rows are at a revision."""
        gone = [key for key, row in self._rows.items() if row.value and key not in values]
        for key in gone:
            self._put(revision, key, b"")
        for key, value in values.items():
            known = self._rows.get(key)
            if known is None or known.value != value:
                self._put(revision, key, value)
        deleted = len(self._rows) - len(values)
        if deleted > len(values) + SPARE_DELETIONS:
            self.start(revision, values)

    def _put(self, revision: int, key: str, value: bytes) -> None:
        self._rows[key] = ConfigRow(revision, key, value)
        self._rows.move_to_end(key)

    def since(self, revision: int) -> list[ConfigRow] | None:
        """Return the rows changed after a revision; None when that is not known."""
        if revision < self._complete_since:
            return None
        changed = []
        for row in reversed(self._rows.values()):
            if row.revision <= revision:
                break
            changed.append(row)
        changed.reverse()
        return changed
