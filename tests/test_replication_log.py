"""Log and vote file on disk: torn tails, corruption, snapshots and compaction."""

from __future__ import annotations

import os
from random import Random

import pytest

from cranklane.control.compilation import DocumentCompiler
from cranklane.control.store import ConfigurationStore
from cranklane.errors import CorruptedLogError
from cranklane.records.messages import EditCommand, LogEntry, LogSnapshot
from cranklane.replication.log import LOG_FILE, SNAPSHOT_FILE, Log
from cranklane.replication.vote_file import VOTE_FILE, VoteFile
from cranklane.runtime.real import FileStorage


@pytest.fixture
def storage(tmp_path):
    return FileStorage(tmp_path / "data")


def entry(index, term=1, data=b"data"):
    return LogEntry(term, index, 1, data)


def filled(storage, count):
    log = Log(storage)
    log.open()
    for index in range(1, count + 1):
        log.append([entry(index)])
        log.sync()
    return log


def reopened(storage):
    log = Log(storage)
    torn_bytes = log.open()
    return log, torn_bytes


def change(storage, name, position):
    data = bytearray(storage.read(name))
    data[position] ^= 1
    storage.replace(name, bytes(data))


def test_synced_entries_are_restored(storage):
    filled(storage, 5)
    log, torn_bytes = reopened(storage)
    assert (log.last_index, log.last_term, torn_bytes) == (5, 1, 0)
    assert [item.index for item in log.between(2, 4)] == [2, 3, 4]


def test_entries_of_a_process_that_ended_before_its_sync_are_synced(tmp_path, monkeypatch):
    log = filled(FileStorage(tmp_path), 2)
    log.append([entry(3)])
    synced = []
    monkeypatch.setattr(os, "fdatasync", lambda descriptor: synced.append(os.fstat(descriptor)))
    log, _ = reopened(FileStorage(tmp_path))
    assert (log.last_index, log.is_synced) == (3, False)
    assert log.sync() == 3
    assert [status.st_ino for status in synced] == [(tmp_path / LOG_FILE).stat().st_ino]
    assert log.is_synced


def test_a_torn_tail_is_truncated_at_any_offset(storage):
    filled(storage, 3)
    whole = storage.read(LOG_FILE)
    length = len(whole) // 3
    for cut in range(2 * length + 1, 3 * length):
        storage.replace(LOG_FILE, whole[:cut])
        log, torn_bytes = reopened(storage)
        assert (log.last_index, torn_bytes) == (2, cut - 2 * length)


def test_corruption_below_a_synced_offset_is_refused(storage):
    filled(storage, 4)
    length = len(storage.read(LOG_FILE)) // 4
    for position in (3, length - 1, length + 20, 2 * length + 1):
        before = storage.read(LOG_FILE)
        change(storage, LOG_FILE, position)
        with pytest.raises(CorruptedLogError, match="empty data folder"):
            reopened(storage)
        storage.replace(LOG_FILE, before)


def test_a_corrupted_snapshot_is_refused(storage):
    log = filled(storage, 3)
    log.compact(LogSnapshot(1, 2, [], b"state"))
    change(storage, SNAPSHOT_FILE, 10)
    with pytest.raises(CorruptedLogError, match="snapshot"):
        reopened(storage)


def test_a_conflicting_tail_is_replaced_durably(storage):
    log = filled(storage, 5)
    log.append([entry(3, term=2), entry(4, term=2)])
    log.sync()
    for opened in (log, reopened(storage)[0]):
        assert opened.last_index == 4
        assert [opened.term_at(index) for index in (1, 2, 3, 4)] == [1, 1, 2, 2]


def test_a_snapshot_replaces_old_entries_and_keeps_new_ones(storage):
    log = filled(storage, 10)
    size = log.size
    log.compact(LogSnapshot(1, 7, [], b"state"))
    assert log.size < size / 2
    log, _ = reopened(storage)
    assert (log.snapshot.index, log.last_index, log.snapshot.state) == (7, 10, b"state")
    assert log.term_at(6) is None
    assert log.term_at(7) == 1


def test_a_snapshot_ahead_of_the_log_replaces_the_whole_log(storage):
    log = filled(storage, 3)
    log.compact(LogSnapshot(4, 9, [], b"state"))
    log, _ = reopened(storage)
    assert (log.last_index, log.last_term) == (9, 4)


def test_an_empty_folder_gets_an_identity_and_keeps_it(storage):
    votes = VoteFile(storage)
    votes.open(Random(1), has_log=False)
    votes.save(7, 42)
    again = VoteFile(storage)
    again.open(Random(2), has_log=True)
    assert (again.state.term, again.state.voted_for) == (7, 42)
    assert again.state.identity == votes.state.identity


def test_a_lost_or_corrupted_vote_file_beside_a_log_is_refused(storage):
    VoteFile(storage).open(Random(1), has_log=False)
    change(storage, VOTE_FILE, 6)
    with pytest.raises(CorruptedLogError):
        VoteFile(storage).open(Random(1), has_log=True)
    storage.remove(VOTE_FILE)
    with pytest.raises(CorruptedLogError, match="may have voted"):
        VoteFile(storage).open(Random(1), has_log=True)


def test_a_compacted_log_stays_small_and_restores_the_store(storage):
    """Guards against a log that grows without bound."""
    limit = 256 * 1024
    store = ConfigurationStore()
    compiler = DocumentCompiler(store)
    log = Log(storage)
    log.open()
    sizes = []
    for number in range(1, 2001):
        text = f"tenant a {{\n  share {number}\n}}"
        rows = compiler.compile("a", text).unwrap()
        command = EditCommand(
            store.revision, store.revision, 0.0, "a", "tester", f"r{number}", text, rows
        )
        log.append([LogEntry(1, number, 1, command.pack())])
        log.sync()
        store.edit(command)
        if log.size > limit:
            log.compact(LogSnapshot(1, number, [], store.pack()))
        sizes.append(log.size)
    assert max(sizes) <= limit + 4096

    log, _ = reopened(storage)
    restored_store = ConfigurationStore()
    restored_store.restore(log.snapshot.state)
    for log_entry in log.between(log.snapshot.index + 1, log.last_index):
        restored_store.apply(log_entry.data)
    assert restored_store.revision == store.revision == 2000
    assert restored_store.pack() == store.pack()
