"""Compiles and commits operators' edits, one at a time.

Owns the order of edits in this process; the replica commits them and the store applies them.
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

MAX_COMPILE_ATTEMPTS = 5
"""Maximum number of compilations of one edit; each edit committed in between requires another."""


@dataclass(frozen=True)
class Edit:
    """Replacement of one document's text by an operator.

    :ivar base: version of the document that the edit is based on, 0 for a new document.
    :ivar request: id of the request; a retry carries the same id.
    """

    document: str
    text: str
    base: int
    operator: str
    request: str


@dataclass(frozen=True)
class EditProblem:
    """Reason why an edit was not accepted.

    :ivar status: HTTP status of the response.
    :ivar not_run: True if the edit has changed nothing; False if that is unknown.
    :ivar leader: address of the leader's operator API, if known and another process.
    """

    status: HTTPStatus
    problems: list[str] = field(default_factory=list)
    not_run: bool = True
    leader: str = ""


class Editor:
    """Compiles and commits edits."""

    def __init__(self, runtime: Runtime, store: ConfigurationStore, replica: Replica) -> None:
        self._runtime = runtime
        self._store = store
        self._replica = replica
        self._compiler = DocumentCompiler(store)
        self._edit_lock = Semaphore()

    def submit(self, edit: Edit) -> Result[EditAnswer, EditProblem]:
        """Commit an edit and return its answer; a retry gets the answer of the first attempt."""
        with self._edit_lock:
            for _ in range(MAX_COMPILE_ATTEMPTS):
                if not self._replica.may_read:
                    return Err(self.not_leader_problem())
                earlier = self._store.earlier_answer(edit.operator, edit.request)
                if earlier is not None:
                    return Ok(earlier)
                compiled = self._compiler.compile(edit.document, edit.text)
                if isinstance(compiled, Err):
                    return Err(
                        EditProblem(HTTPStatus.UNPROCESSABLE_ENTITY, compiled.err_value.problems)
                    )
                command = self._command(edit, compiled.ok_value)
                proposed = self._replica.propose(command.pack())
                if isinstance(proposed, Err):
                    return Err(self._commit_problem(proposed.err_value))
                answer: EditAnswer = proposed.ok_value
                if answer.result is not EditResult.STALE:
                    return Ok(answer)
        return Err(
            EditProblem(
                HTTPStatus.SERVICE_UNAVAILABLE, ["other edits were committed in between; try again"]
            )
        )

    def not_leader_problem(self) -> EditProblem:
        """Return the problem of a request to a process without the leader's lease."""
        leader = self._replica.leader_member()
        if leader is None or leader.identity == self._replica.identity:
            return EditProblem(HTTPStatus.SERVICE_UNAVAILABLE, ["no leader is known; try again"])
        problem = (
            f"this control process is not the leader; the leader is {leader.name} at {leader.http}"
        )
        return EditProblem(HTTPStatus.SERVICE_UNAVAILABLE, [problem], leader=leader.http)

    def _commit_problem(self, failure: ProposalFailure) -> EditProblem:
        if failure is ProposalFailure.NOT_LEADER:
            return self.not_leader_problem()
        return EditProblem(
            HTTPStatus.SERVICE_UNAVAILABLE,
            ["it is unknown whether the edit was accepted; retry with the same request id"],
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
