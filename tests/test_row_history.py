"""Rows ordered by the revision of their last change."""

from __future__ import annotations

import pytest

from cranklane.distribution.row_history import RowHistory
from cranklane.records.messages import ConfigRow


@pytest.fixture
def rows():
    history = RowHistory()
    history.put(1, "a", b"1")
    history.put(2, "b", b"2")
    history.put(3, "a", b"3")
    history.put(4, "c", b"4")
    history.put(5, "c", b"")
    return history


@pytest.mark.parametrize(
    ("revision", "keys"),
    [(0, ["b", "a", "c"]), (1, ["b", "a", "c"]), (2, ["a", "c"]), (4, ["c"]), (5, [])],
)
def test_rows_since_a_revision_are_in_order_of_change(rows, revision, keys):
    assert [row.key for row in rows.since(revision)] == keys


def test_a_deletion_is_kept_as_a_row_without_a_value(rows):
    assert rows.since(4) == [ConfigRow(5, "c", b"")]
    assert [row.key for row in rows.live()] == ["b", "a"]
    assert (rows.value("a"), rows.value("c"), rows.value("d")) == (b"3", b"", b"")
    assert len(rows) == 3


def test_a_difference_contains_new_changed_and_deleted_rows(rows):
    difference = rows.difference({"a": b"3", "b": b"new", "c": b"back", "d": b"added"})
    assert difference.changed == {"b": b"new", "c": b"back", "d": b"added"}
    assert difference.deleted == []
    assert rows.difference({"a": b"3"}).deleted == ["b"]


def test_restored_rows_keep_their_order(rows):
    restored = RowHistory()
    restored.restore(rows.all())
    assert restored.all() == rows.all()
    assert restored.since(2) == rows.since(2)
