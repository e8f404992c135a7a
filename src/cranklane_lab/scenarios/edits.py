"""History of operators' edits and reads, checked for linearizability."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field

from cranklane_lab.scenarios.linearizability import NO_RESPONSE, Operation, is_linearizable
from cranklane_lab.simulation.world import World
from cranklane_lab.standins.operator import OperatorAnswer, SimulatedOperator

CONFLICT = 409
UNKNOWN_VERSION = -1
"""Version of an edit that may have been accepted but got no response."""


@dataclass(frozen=True)
class EditInvocation:
    """An edit of the document, based on version ``base``."""

    base: int
    text: str


@dataclass(frozen=True)
class ReadInvocation:
    """A read of the document."""


@dataclass(frozen=True)
class DocumentState:
    """The current version and text of the document."""

    version: int
    text: str


@dataclass
class EditHistory:
    """The operations of one run on a document.

    :ivar first: state before all operations.
    :ivar accepted: version of each accepted edit, by request id.
    """

    world: World
    document: str
    first: DocumentState
    operations: list[Operation] = field(default_factory=list)
    accepted: dict[str, int] = field(default_factory=dict)

    @property
    def newest(self) -> int:
        """The newest version that control reported as accepted."""
        return max(self.accepted.values(), default=self.first.version)

    def read(self, operator: SimulatedOperator, seconds: float = 20) -> OperatorAnswer:
        """Read the document and record the response."""
        started = self.world.loop.now()
        answer = operator.call("GET", f"/v1/documents/{self.document}", None, seconds)
        self.record_read(started, answer)
        return answer

    def record_read(self, started: float, answer: OperatorAnswer) -> None:
        """Record a successful read; a failed one doesn't constrain the history."""
        if answer.status == 200:
            state = DocumentState(answer.media["version"], answer.media["text"])
            now = self.world.loop.now()
            self.operations.append(Operation(started, now, ReadInvocation(), state))

    def edit(
        self, operator: SimulatedOperator, text: str, base: int, request: str, seconds: float = 20
    ) -> OperatorAnswer:
        """Edit the document and record the response.

        :param base: version that the edit is based on.
        :param request: request id, the same on each retry.
        """
        started = self.world.loop.now()
        answer = operator.edit(self.document, text, base, request, seconds)
        invocation = EditInvocation(base, text)
        if answer.accepted:
            self.accepted[request] = answer.media["version"]
        if answer.accepted or answer.status == CONFLICT:
            ended = self.world.loop.now()
            response = (answer.accepted, answer.media["version"])
            self.operations.append(Operation(started, ended, invocation, response))
        else:
            self.operations.append(Operation(started, NO_RESPONSE, invocation))
        self.world.log(f"edit {request} {answer.status} {answer.media.get('version')}")
        return answer

    def is_linearizable(self) -> bool:
        """Return whether the recorded edits and reads are linearizable."""
        return is_linearizable(self.operations, self.first, _step)


def _step(state: DocumentState, operation: Operation) -> list[Hashable]:
    invocation = operation.invocation
    if isinstance(invocation, ReadInvocation):
        read: DocumentState = operation.response
        same = read.text == state.text and _may_have_version(state, read.version)
        return [read] if same else []
    if operation.response is None:
        # The edit may have been accepted; its version is then unknown.
        edited = DocumentState(UNKNOWN_VERSION, invocation.text)
        return [edited, state] if _may_have_version(state, invocation.base) else [state]
    accepted, version = operation.response
    if accepted:
        follows = _may_have_version(state, invocation.base) and version > invocation.base
        return [DocumentState(version, invocation.text)] if follows else []
    conflicts = _may_have_version(state, version) and invocation.base != version
    return [DocumentState(version, state.text)] if conflicts else []


def _may_have_version(state: DocumentState, version: int) -> bool:
    return state.version in (version, UNKNOWN_VERSION)
