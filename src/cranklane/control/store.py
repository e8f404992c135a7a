"""The configuration store: documents, compiled rows, history, answered requests.

The store changes only by applying committed commands in order, so that every
replica comes to the same state. It owns that state; the replica owns its order.
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
"""Name of the document with the settings above all tenants."""

HISTORY_LIMIT = 2000
"""Accepted edits kept with their texts. A choice: about a day and a half at 1,300 a day."""

REQUEST_LIMIT = 10_000
"""Answers to operators' requests kept for resends: a week at 1,300 a day."""


class EditResult(IntEnum):
    """What became of an edit."""

    ACCEPTED = 0
    CONFLICT = 1
    STALE = 2
    """Compiled against a state that has changed; to be compiled again."""


@dataclass(frozen=True)
class EditAnswer:
    """Answer to an edit.

    :ivar version: the document's version now; for an accepted edit, the new one.
    :ivar repeated: whether this is the first answer given again.
    """

    result: EditResult
    version: int
    repeated: bool = False


class ConfigurationStore:
    """State of the configuration at one replica.

    :ivar revision: number of the newest accepted edit, of any document.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._whole_below = 0
        self._documents: dict[str, Document] = {}
        self._rows = RowHistory()
        self._history: list[HistoryEntry] = []
        self._requests: OrderedDict[tuple[str, str], RequestAnswer] = OrderedDict()

    def document(self, name: str) -> Document | None:
        """Return a document, or None."""
        return self._documents.get(name)

    def documents(self) -> list[Document]:
        """Return all documents by name."""
        return [self._documents[name] for name in sorted(self._documents)]

    def history(self, name: str) -> list[HistoryEntry]:
        """Return a document's accepted edits, newest first."""
        return [entry for entry in reversed(self._history) if entry.document == name]

    def answered(self, operator: str, request: str) -> EditAnswer | None:
        """Return the answer given to a request before, or None."""
        known = self._requests.get((operator, request))
        if known is None:
            return None
        return EditAnswer(EditResult(known.result), known.version, repeated=True)

    def changed_rows(self, compiled: dict[str, bytes]) -> list[ConfigRow]:
        """Return the rows in which a whole compiled policy differs from this state.

        A row without a value is a deletion.
        """
        difference = self._rows.difference(compiled)
        changed = [ConfigRow(key=key, value=value) for key, value in difference.changed.items()]
        deleted = [ConfigRow(key=key) for key in difference.deleted]
        return changed + deleted

    def apply(self, data: bytes) -> EditAnswer:
        """Apply a committed edit and return its answer.

        :param data: an EditCommand.
        """
        return self.edit(EditCommand.unpack(data))

    def edit(self, command: EditCommand) -> EditAnswer:
        """Apply an edit and return its answer."""
        known = self.answered(command.operator, command.request)
        if known is not None:
            return known
        document = self._documents.get(command.document)
        version = document.version if document is not None else 0
        if command.base != version:
            return self._answer(command, EditResult.CONFLICT, version)
        if command.compiled_at != self.revision:
            # Not an answer to the operator: the leader compiles again.
            return EditAnswer(EditResult.STALE, version)
        self.revision += 1
        self._documents[command.document] = Document(self.revision, command.document, command.text)
        for row in command.rows:
            self._rows.put(self.revision, row.key, row.value)
        self._remember(command)
        return self._answer(command, EditResult.ACCEPTED, self.revision)

    def _remember(self, command: EditCommand) -> None:
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
        del self._history[:-HISTORY_LIMIT]

    def _answer(self, command: EditCommand, result: EditResult, version: int) -> EditAnswer:
        self._requests[command.operator, command.request] = RequestAnswer(
            version, result, command.operator, command.request
        )
        while len(self._requests) > REQUEST_LIMIT:
            self._requests.popitem(last=False)
        return EditAnswer(result, version)

    def value(self, key: str) -> bytes:
        """Return a row's value, empty when there is none."""
        return self._rows.value(key)

    def delta(self, base: int) -> ConfigDelta:
        """Return what a subscriber at ``base`` needs to be current."""
        if base == 0 or base < self._whole_below or base > self.revision:
            return ConfigDelta(0, self.revision, True, self._rows.live())
        return ConfigDelta(base, self.revision, False, self._rows.since(base))

    def pack(self) -> bytes:
        """Return the whole state for a snapshot."""
        return StoreState(
            revision=self.revision,
            whole_below=self._whole_below,
            documents=self.documents(),
            rows=self._rows.all(),
            history=self._history,
            requests=list(self._requests.values()),
        ).pack()

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot's."""
        state = StoreState.unpack(data) if data else StoreState()
        self.revision = state.revision
        self._whole_below = state.whole_below
        self._documents = {document.name: document for document in state.documents}
        self._rows.restore(state.rows)
        self._history = list(state.history)
        self._requests = OrderedDict(
            ((answer.operator, answer.request), answer) for answer in state.requests
        )
