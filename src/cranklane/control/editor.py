"""Turns operators' edits into committed commands, one at a time."""

from __future__ import annotations

from dataclasses import dataclass, field

from gevent.lock import Semaphore
from result import Err, Ok, Result

from cranklane.control.compilation import DocumentCompiler
from cranklane.control.replica import Replica
from cranklane.control.store import ConfigurationStore, EditAnswer, EditResult
from cranklane.records.messages import EditCommand
from cranklane.runtime.interface import Runtime

_INVALID = 422
_UNAVAILABLE = 503
_MAX_COMPILATIONS = 5


@dataclass(frozen=True)
class Edit:
    """What an operator asks for.

    :ivar base: the document's version the edit started from.
    :ivar request: an id that a resend carries again.
    """

    document: str
    text: str
    base: int
    operator: str
    request: str


@dataclass(frozen=True)
class EditProblem:
    """Why an edit was not accepted.

    :ivar status: HTTP status.
    :ivar not_run: whether the edit certainly changed nothing.
    """

    status: int
    problems: list[str] = field(default_factory=list)
    not_run: bool = True


class Editor:
    """Checks, compiles and commits edits."""

    def __init__(self, runtime: Runtime, store: ConfigurationStore, replica: Replica) -> None:
        self._runtime = runtime
        self._store = store
        self._replica = replica
        self._compiler = DocumentCompiler(store)
        self._editing = Semaphore()

    def submit(self, edit: Edit) -> Result[EditAnswer, EditProblem]:
        """Commit an edit; a resend gets the first answer."""
        with self._editing:
            for _ in range(_MAX_COMPILATIONS):
                known = self._store.answered(edit.operator, edit.request)
                if known is not None:
                    return Ok(known)
                compiled = self._compiler.compile(edit.document, edit.text)
                if isinstance(compiled, Err):
                    return Err(EditProblem(_INVALID, compiled.err_value.problems))
                answer = self._replica.propose(self._command(edit, compiled.ok_value))
                if answer.result is not EditResult.STALE:
                    return Ok(answer)
        return Err(EditProblem(_UNAVAILABLE, ["other edits came in between; try again"]))

    def _command(self, edit: Edit, rows: list) -> EditCommand:
        return EditCommand(
            base=edit.base,
            compiled_at=self._store.revision,
            when=self._runtime.wall(),
            document=edit.document,
            operator=edit.operator,
            request=edit.request,
            text=edit.text,
            rows=rows,
        )
