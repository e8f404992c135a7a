"""Rows of configuration in the order in which they changed.

Holds the newest value of each row with the revision that brought it. Owned by a store, which
changes it only by applying committed commands; publishers read what changed since a revision.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import takewhile

from cranklane.records.messages import ConfigRow


@dataclass(frozen=True)
class RowDifference:
    """How given values differ from the rows held.

    :ivar changed: new and changed values by key.
    :ivar deleted: keys of rows that are no more.
    """

    changed: dict[str, bytes]
    deleted: list[str]


class RowHistory:
    """The newest value of each row; a row without a value is a deletion."""

    def __init__(self) -> None:
        # In the order of their revisions, so that a reader sees only what is new.
        self._rows: OrderedDict[str, ConfigRow] = OrderedDict()

    def __len__(self) -> int:
        return len(self._rows)

    def restore(self, rows: Iterable[ConfigRow]) -> None:
        """Replace everything by rows in the order of their revisions."""
        self._rows = OrderedDict((row.key, row) for row in rows)

    def put(self, revision: int, key: str, value: bytes) -> None:
        """Set a row at the newest revision."""
        self._rows[key] = ConfigRow(revision, key, value)
        self._rows.move_to_end(key)

    def all(self) -> list[ConfigRow]:
        """Return all rows, deletions included."""
        return list(self._rows.values())

    def live(self) -> list[ConfigRow]:
        """Return the rows that have a value."""
        return [row for row in self._rows.values() if row.value]

    def value(self, key: str) -> bytes:
        """Return a row's value, empty when there is none."""
        row = self._rows.get(key)
        return row.value if row is not None else b""

    def since(self, revision: int) -> list[ConfigRow]:
        """Return the rows changed after a revision, deletions included."""
        newer = list(takewhile(lambda row: row.revision > revision, reversed(self._rows.values())))
        newer.reverse()
        return newer

    def difference(self, values: dict[str, bytes]) -> RowDifference:
        """Return in what these values of all rows differ from the rows held."""
        changed = {}
        for key, value in values.items():
            row = self._rows.get(key)
            if row is None or row.value != value:
                changed[key] = value
        deleted = [key for key, row in self._rows.items() if row.value and key not in values]
        return RowDifference(changed, deleted)
