"""Configuration rows ordered by the revision of their last change.

A store owns the rows and changes them only by applying committed commands; publishers read the
changes since a revision.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import takewhile

from cranklane.records.messages import ConfigRow


@dataclass(frozen=True)
class RowDifference:
    """Difference between new values and the current rows.

    :ivar changed: new and changed values by key.
    :ivar deleted: keys of deleted rows.
    """

    changed: dict[str, bytes]
    deleted: list[str]


class RowHistory:
    """Newest value and revision of each row; a row without a value is a deletion."""

    def __init__(self) -> None:
        # Ordered by revision, so that readers scan only new rows from the end.
        self._rows: OrderedDict[str, ConfigRow] = OrderedDict()

    def __len__(self) -> int:
        return len(self._rows)

    def restore(self, rows: Iterable[ConfigRow]) -> None:
        """Replace all rows; ``rows`` must be in order of revision."""
        self._rows = OrderedDict((row.key, row) for row in rows)

    def put(self, revision: int, key: str, value: bytes) -> None:
        """Set a row's value; ``revision`` must not be below that of any row."""
        self._rows[key] = ConfigRow(revision, key, value)
        self._rows.move_to_end(key)

    def all(self) -> list[ConfigRow]:
        """Return all rows, including deletions."""
        return list(self._rows.values())

    def live(self) -> list[ConfigRow]:
        """Return the rows that have a value."""
        return [row for row in self._rows.values() if row.value]

    def value(self, key: str) -> bytes:
        """Return a row's value, empty when the row is missing or deleted."""
        row = self._rows.get(key)
        return row.value if row is not None else b""

    def since(self, revision: int) -> list[ConfigRow]:
        """Return the rows changed after a revision, including deletions."""
        newer = list(takewhile(lambda row: row.revision > revision, reversed(self._rows.values())))
        newer.reverse()
        return newer

    def difference(self, values: dict[str, bytes]) -> RowDifference:
        """Return the difference between the complete new ``values`` and the current rows."""
        changed = {}
        for key, value in values.items():
            row = self._rows.get(key)
            if row is None or row.value != value:
                changed[key] = value
        deleted = [key for key, row in self._rows.items() if row.value and key not in values]
        return RowDifference(changed, deleted)
