"""What operators asked of control and were told, checked as one history."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field

from cranklane_lab.scenarios.linearizability import FOR_EVER, Operation, is_linearizable
from cranklane_lab.simulation.world import World
from cranklane_lab.standins.operator import OperatorAnswer, SimulatedOperator

CONFLICT = 409
NOT_TOLD = -1
"""Version of an edit that may have been accepted without an answer."""


@dataclass(frozen=True)
class EditAsked:
    """An edit of the document; ``base`` is the version it started from."""

    base: int
    text: str


@dataclass(frozen=True)
class ReadAsked:
    """A read of the document."""


@dataclass(frozen=True)
class DocumentState:
    """The document: its newest version and text."""

    version: int
    text: str


@dataclass
class EditHistory:
    """All operations of a run on one document."""

    world: World
    document: str
    first: DocumentState
    operations: list[Operation] = field(default_factory=list)
    accepted: dict[str, int] = field(default_factory=dict)

    @property
    def newest(self) -> int:
        """The newest version that an operator was told is accepted."""
        return max(self.accepted.values(), default=self.first.version)

    def read(self, operator: SimulatedOperator, seconds: float = 20) -> OperatorAnswer:
        """Read the document and record the answer."""
        started = self.world.loop.now()
        answer = operator.call("GET", f"/v1/documents/{self.document}", None, seconds)
        self.record_read(started, answer)
        return answer

    def record_read(self, started: float, answer: OperatorAnswer) -> None:
        """Record a read; one without an answer says nothing."""
        if answer.status == 200:
            state = DocumentState(answer.media["version"], answer.media["text"])
            now = self.world.loop.now()
            self.operations.append(Operation(started, now, ReadAsked(), state))

    def edit(
        self, operator: SimulatedOperator, text: str, base: int, request: str, seconds: float = 20
    ) -> OperatorAnswer:
        """Edit the document and record the answer."""
        started = self.world.loop.now()
        answer = operator.edit(self.document, text, base, request, seconds)
        asked = EditAsked(base, text)
        if answer.accepted:
            self.accepted[request] = answer.media["version"]
        if answer.accepted or answer.status == CONFLICT:
            ended = self.world.loop.now()
            answered = (answer.accepted, answer.media["version"])
            self.operations.append(Operation(started, ended, asked, answered))
        else:
            self.operations.append(Operation(started, FOR_EVER, asked))
        self.world.log(f"edit {request} {answer.status} {answer.media.get('version')}")
        return answer

    def is_linearizable(self) -> bool:
        """Return whether one order of all edits and reads explains all answers."""
        return is_linearizable(self.operations, self.first, _step)


def _step(state: DocumentState, operation: Operation) -> list[Hashable]:
    asked = operation.asked
    if isinstance(asked, ReadAsked):
        read: DocumentState = operation.answered
        same = read.text == state.text and _may_be(state, read.version)
        return [read] if same else []
    if operation.answered is None:
        # An accepted edit whose version no operator knows.
        taken = DocumentState(NOT_TOLD, asked.text)
        return [taken, state] if _may_be(state, asked.base) else [state]
    accepted, version = operation.answered
    if accepted:
        follows = _may_be(state, asked.base) and version > asked.base
        return [DocumentState(version, asked.text)] if follows else []
    conflicts = _may_be(state, version) and asked.base != version
    return [DocumentState(version, state.text)] if conflicts else []


def _may_be(state: DocumentState, version: int) -> bool:
    return state.version in (version, NOT_TOLD)
