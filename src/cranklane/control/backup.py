"""Backups of the configuration: created by a leader, inspected and restored offline.

Owns the format: a checksum and a LogSnapshot. Inspection and restoration work on the files of a
stopped process, with the same code as the process itself.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from cranklane.common.checksummed import add_checksum, verified_payload
from cranklane.errors import CorruptedLogError, MalformedRecordError
from cranklane.records.messages import EditCommand, LogSnapshot, StoreState
from cranklane.replication.log import SNAPSHOT_FILE, Log
from cranklane.replication.replica import Replica
from cranklane.replication.state import EntryKind
from cranklane.replication.vote_file import VOTE_FILE, VoteFile
from cranklane.runtime.interface import Storage

REVISIONS_SKIPPED = 1_000_000
"""Revisions that a restored group skips. Exceeds the number of edits that may have been accepted
after the backup, so that no node has a later revision."""


@dataclass(frozen=True)
class Inspection:
    """Contents of a backup or a data folder.

    :ivar entries: number of log entries after the snapshot; some may not be committed.
    :ivar edits: number of edits among these entries.
    :ivar torn_bytes: bytes of a torn tail that were truncated from the log.
    :ivar documents: (name, version) of each document, sorted by name.
    """

    term: int
    snapshot_index: int
    last_index: int
    entries: int
    edits: int
    torn_bytes: int
    revision: int
    documents: list[tuple[str, int]]
    replicas: list[str]


def create(replica: Replica) -> bytes:
    """Return a backup of a leader's applied state, with its checksum."""
    return add_checksum(replica.snapshot().pack())


def decode(data: bytes) -> LogSnapshot:
    """Return the snapshot in a backup.

    :raises CorruptedLogError: when the backup is corrupted.
    """
    payload = verified_payload(data)
    if payload is None:
        raise CorruptedLogError("the backup is corrupted: its checksum does not match")
    try:
        snapshot = LogSnapshot.unpack(payload)
        StoreState.unpack(snapshot.state)
    except MalformedRecordError as error:
        raise CorruptedLogError(f"the backup is corrupted: {error}") from error
    return snapshot


def inspect_backup(data: bytes) -> Inspection:
    """Return the contents of a backup.

    :raises CorruptedLogError: when the backup is corrupted.
    """
    snapshot = decode(data)
    return _inspection(snapshot, snapshot.index, [], 0)


def inspect_folder(storage: Storage) -> Inspection:
    """Return the contents of a stopped process's data folder.

    Truncates a torn tail of the log, as the process does when it starts.

    :raises CorruptedLogError: when the log or the vote file is corrupted, or the vote file is
        missing.
    """
    log = Log(storage)
    torn = log.open()
    if storage.read(VOTE_FILE) is not None:
        VoteFile(storage).open(Random(), has_log=True)
    elif log.last_index:
        raise CorruptedLogError("found a log but no vote file")
    entries = log.between(log.snapshot.index + 1, log.last_index)
    edits = [EditCommand.unpack(entry.data) for entry in entries if entry.kind == EntryKind.COMMAND]
    return _inspection(log.snapshot, log.last_index, edits, torn, len(entries))


def _inspection(
    snapshot: LogSnapshot,
    last_index: int,
    edits: list[EditCommand],
    torn: int,
    entries: int = 0,
) -> Inspection:
    state = StoreState.unpack(snapshot.state) if snapshot.state else StoreState()
    return Inspection(
        term=snapshot.term,
        snapshot_index=snapshot.index,
        last_index=last_index,
        entries=entries,
        edits=len(edits),
        torn_bytes=torn,
        revision=state.revision,
        documents=[(document.name, document.version) for document in state.documents],
        replicas=[member.name for member in snapshot.members],
    )


def restore(storage: Storage, data: bytes) -> LogSnapshot:
    """Write a backup into an empty data folder.

    A process started on this folder as the founder forms a new group with the backup's state.
    Skips ``REVISIONS_SKIPPED`` revisions, so that nodes with edits newer than the backup
    replace their whole configuration.

    :raises CorruptedLogError: when the backup is corrupted.
    :raises FileExistsError: when the folder is not empty.
    """
    snapshot = decode(data)
    if storage.names():
        raise FileExistsError("the data folder is not empty")
    snapshot.members = []
    state = StoreState.unpack(snapshot.state)
    state.revision += REVISIONS_SKIPPED
    state.whole_below = state.revision
    snapshot.state = state.pack()
    VoteFile(storage).open(Random(), has_log=False)
    storage.replace(SNAPSHOT_FILE, add_checksum(snapshot.pack()))
    return snapshot
