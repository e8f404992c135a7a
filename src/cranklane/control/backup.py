"""Back-ups of the configuration: taken from a leader, checked and restored offline.

Owns the format: a checksum and a LogSnapshot. Offline work reads and writes the files of a
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
"""Revisions by which a restored group starts above its back-up: more edits than can have been
accepted after it. A choice: two years at 1,300 a day."""


@dataclass(frozen=True)
class Inspection:
    """What a back-up or a data folder holds.

    :ivar entries: entries after the snapshot; they may not all be committed.
    :ivar documents: (name, version) by name.
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


def take(replica: Replica) -> bytes:
    """Return a back-up of all that is applied at a leader, with its checksum."""
    return add_checksum(replica.snapshot().pack())


def read(data: bytes) -> LogSnapshot:
    """Return a back-up's snapshot.

    :raises CorruptedLogError: when it is damaged.
    """
    payload = verified_payload(data)
    if payload is None:
        raise CorruptedLogError("the back-up is damaged: its checksum does not match")
    try:
        snapshot = LogSnapshot.unpack(payload)
        StoreState.unpack(snapshot.state)
    except MalformedRecordError as error:
        raise CorruptedLogError(f"the back-up is damaged: {error}") from error
    return snapshot


def inspect_backup(data: bytes) -> Inspection:
    """Return what a back-up holds.

    :raises CorruptedLogError: when it is damaged.
    """
    snapshot = read(data)
    return _inspection(snapshot, snapshot.index, [], 0)


def inspect_folder(storage: Storage) -> Inspection:
    """Return what the data folder of a stopped process holds.

    A torn tail is cut, as the process itself would do when it starts.

    :raises CorruptedLogError: when it cannot be trusted.
    """
    log = Log(storage)
    torn = log.open()
    if storage.read(VOTE_FILE) is not None:
        VoteFile(storage).open(Random(), has_log=True)
    elif log.last_index:
        raise CorruptedLogError("the vote file is missing beside a log")
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
    """Put a back-up into an empty data folder.

    The folder becomes a new replica that belongs to no group. Started as the
    founder, it founds one with the back-up's state. Its revisions go on far above
    those that nodes may have from edits after the back-up, so that each node takes
    the whole state in place of its own.

    :raises CorruptedLogError: when the back-up is damaged.
    :raises FileExistsError: when the folder is not empty.
    """
    snapshot = read(data)
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
