"""Turns operators' edits into committed commands, one at a time.

Owns the order of edits on this process; the replica commits them and the store applies them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

from gevent.lock import Semaphore
from result import Err, Ok, Result

from cranklane.control.compilation import DocumentCompiler
from cranklane.control.store import ConfigurationStore, EditAnswer, EditResult
from cranklane.records.messages import EditCommand
from cranklane.replication.proposals import ProposalFailure
from cranklane.replication.replica import Replica
from cranklane.runtime.interface import Runtime

MAX_COMPILATIONS = 5
"""Compilations of one edit, as other edits commit meanwhile, before the operator is asked to
try again. A choice, made to bound the loop."""


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
    :ivar leader: where operators reach the leader, when this is another process.
    """

    status: HTTPStatus
    problems: list[str] = field(default_factory=list)
    not_run: bool = True
    leader: str = ""


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
            for _ in range(MAX_COMPILATIONS):
                if not self._replica.may_read:
                    return Err(self.not_leading())
                known = self._store.answered(edit.operator, edit.request)
                if known is not None:
                    return Ok(known)
                compiled = self._compiler.compile(edit.document, edit.text)
                if isinstance(compiled, Err):
                    return Err(
                        EditProblem(HTTPStatus.UNPROCESSABLE_ENTITY, compiled.err_value.problems)
                    )
                command = self._command(edit, compiled.ok_value)
                proposed = self._replica.propose(command.pack())
                if isinstance(proposed, Err):
                    return Err(self._not_committed(proposed.err_value))
                answer: EditAnswer = proposed.ok_value
                if answer.result is not EditResult.STALE:
                    return Ok(answer)
        return Err(
            EditProblem(HTTPStatus.SERVICE_UNAVAILABLE, ["other edits came in between; try again"])
        )

    def not_leading(self) -> EditProblem:
        """Return the answer of a process that does not lead for certain."""
        leader = self._replica.leader_member()
        if leader is None or leader.identity == self._replica.identity:
            return EditProblem(
                HTTPStatus.SERVICE_UNAVAILABLE, ["no control process leads now; try again"]
            )
        problem = f"this control process does not lead; {leader.name} at {leader.http} does"
        return EditProblem(HTTPStatus.SERVICE_UNAVAILABLE, [problem], leader=leader.http)

    def _not_committed(self, failure: ProposalFailure) -> EditProblem:
        if failure is ProposalFailure.NOT_LEADER:
            return self.not_leading()
        return EditProblem(
            HTTPStatus.SERVICE_UNAVAILABLE,
            ["whether the edit was accepted is not known; send it again with its request id"],
            not_run=False,
        )

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
