"""State machine of the configuration: documents, compiled rows, history and answers to requests.

The store changes only when committed commands are applied in log order, so every replica reaches
the same state. Owns that state; the replica owns the log.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import IntEnum

from cranklane.distribution.row_history import RowHistory
from cranklane.records.messages import (
    ConfigDelta,
    ConfigRow,
    Document,
    EditCommand,
    HistoryEntry,
    RequestAnswer,
    StoreState,
)

ROOT = "root"
"""Name of the document with the settings for all tenants."""

HISTORY_ENTRIES_KEPT = 2000
"""Number of accepted edits kept with their texts."""

REQUESTS_KEPT = 10_000
"""Number of answers to operators' requests kept for retries."""


class EditResult(IntEnum):
    """Result of an edit."""

    ACCEPTED = 0
    CONFLICT = 1
    STALE = 2
    """Compiled against an earlier revision; must be compiled again."""


@dataclass(frozen=True)
class EditAnswer:
    """Answer to an edit.

    :ivar version: current version of the document; the new one for an accepted edit.
    :ivar repeated: whether this is the stored answer of an earlier attempt.
    """

    result: EditResult
    version: int
    repeated: bool = False


class ConfigurationStore:
    """Configuration of one replica.

    :ivar revision: number of the latest accepted edit of any document.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._whole_below = 0
        self._documents: dict[str, Document] = {}
        self._rows = RowHistory()
        self._history: list[HistoryEntry] = []
        self._requests: OrderedDict[tuple[str, str], RequestAnswer] = OrderedDict()

    def document(self, name: str) -> Document | None:
        """Return a document, or None if it does not exist."""
        return self._documents.get(name)

    def documents(self) -> list[Document]:
        """Return all documents, sorted by name."""
        return [self._documents[name] for name in sorted(self._documents)]

    def history(self, name: str) -> list[HistoryEntry]:
        """Return a document's accepted edits, newest first."""
        return [entry for entry in reversed(self._history) if entry.document == name]

    def earlier_answer(self, operator: str, request: str) -> EditAnswer | None:
        """Return the stored answer to a request, or None."""
        stored = self._requests.get((operator, request))
        if stored is None:
            return None
        return EditAnswer(EditResult(stored.result), stored.version, repeated=True)

    def changed_rows(self, compiled: dict[str, bytes]) -> list[ConfigRow]:
        """Return the rows in which a complete compiled policy differs from the store.

        A row without a value is a deletion.
        """
        difference = self._rows.difference(compiled)
        changed = [ConfigRow(key=key, value=value) for key, value in difference.changed.items()]
        deleted = [ConfigRow(key=key) for key in difference.deleted]
        return changed + deleted

    def apply(self, data: bytes) -> EditAnswer:
        """Apply a committed edit and return its answer.

        :param data: an encoded EditCommand.
        """
        return self.edit(EditCommand.unpack(data))

    def edit(self, command: EditCommand) -> EditAnswer:
        """Apply an edit and return its answer."""
        earlier = self.earlier_answer(command.operator, command.request)
        if earlier is not None:
            return earlier
        document = self._documents.get(command.document)
        version = document.version if document is not None else 0
        if command.base != version:
            return self._store_answer(command, EditResult.CONFLICT, version)
        if command.compiled_at != self.revision:
            # Not stored as an answer: the leader compiles the edit again.
            return EditAnswer(EditResult.STALE, version)
        self.revision += 1
        self._documents[command.document] = Document(self.revision, command.document, command.text)
        for row in command.rows:
            self._rows.put(self.revision, row.key, row.value)
        self._add_to_history(command)
        return self._store_answer(command, EditResult.ACCEPTED, self.revision)

    def _add_to_history(self, command: EditCommand) -> None:
        self._history.append(
            HistoryEntry(
                version=self.revision,
                base=command.base,
                when=command.when,
                document=command.document,
                operator=command.operator,
                request=command.request,
                text=command.text,
            )
        )
        del self._history[:-HISTORY_ENTRIES_KEPT]

    def _store_answer(self, command: EditCommand, result: EditResult, version: int) -> EditAnswer:
        self._requests[command.operator, command.request] = RequestAnswer(
            version, result, command.operator, command.request
        )
        while len(self._requests) > REQUESTS_KEPT:
            self._requests.popitem(last=False)
        return EditAnswer(result, version)

    def value(self, key: str) -> bytes:
        """Return the value of a row, empty if the row does not exist."""
        return self._rows.value(key)

    def delta(self, base: int) -> ConfigDelta:
        """Return the update for a subscriber at revision ``base``: changed rows, or all rows."""
        if base == 0 or base < self._whole_below or base > self.revision:
            return ConfigDelta(0, self.revision, True, self._rows.live())
        return ConfigDelta(base, self.revision, False, self._rows.since(base))

    def pack(self) -> bytes:
        """Return the encoded state for a snapshot."""
        return StoreState(
            revision=self.revision,
            whole_below=self._whole_below,
            documents=self.documents(),
            rows=self._rows.all(),
            history=self._history,
            requests=list(self._requests.values()),
        ).pack()

    def restore(self, data: bytes) -> None:
        """Replace the state with that of a snapshot."""
        state = StoreState.unpack(data) if data else StoreState()
        self.revision = state.revision
        self._whole_below = state.whole_below
        self._documents = {document.name: document for document in state.documents}
        self._rows.restore(state.rows)
        self._history = list(state.history)
        self._requests = OrderedDict(
            ((answer.operator, answer.request), answer) for answer in state.requests
        )
