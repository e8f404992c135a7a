"""Data types of an outbound call and its answer."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

from cranklane.outcome import Outcome, Reason


class AnswerBodyStream(Protocol):
    """Body as an iterator of chunks; read it to the end or close it."""

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has arrived, so that reading does not block."""

    def __iter__(self) -> Iterator[bytes]: ...

    def close(self) -> None:
        """End the call; cancel it if the answer was not read to the end."""


class EmptyBody:
    """Empty body of an answer."""

    is_complete = True

    def __iter__(self) -> Iterator[bytes]:
        return iter(())

    def close(self) -> None:
        """Do nothing."""


@dataclass(slots=True)
class Request:
    """An outbound call.

    :ivar caller: full name of the calling service, or ``tenant.edge``.
    :ivar path: path including the query.
    :ivar key: idempotency key, or empty.
    """

    tenant: str
    service: str
    caller: str
    method: str
    path: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    key: str = ""

    @property
    def target(self) -> tuple[str, str, str]:
        """Identity of the call among the child calls of one parent call."""
        return (f"{self.tenant}.{self.service}", f"{self.method} {self.path}", self.key)


@dataclass(slots=True)
class Answer:
    """Result of a call.

    :ivar body: iterator of chunks that raises TruncatedAnswerError when the body is truncated.
        Read it to the end or close it.
    :ivar retry_after_ms: milliseconds before a retry of a refused call; 0 for no stated delay.
    :ivar attempts: number of attempts, including the first.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: AnswerBodyStream = field(default_factory=EmptyBody)
    retry_after_ms: int = 0
    attempts: int = 0


def refused_answer(reason: Reason, retry_after_ms: int = 0) -> Answer:
    """Return the answer of a call that was not run.

    :param retry_after_ms: milliseconds before a retry; 0 for no stated delay.
    """
    return Answer(Outcome.NOT_RUN, reason, retry_after_ms=retry_after_ms)
