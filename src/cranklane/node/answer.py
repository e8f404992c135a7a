"""The types of a call to make and of its answer."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

from cranklane.outcome import Outcome, Reason


class AnswerBodyLike(Protocol):
    """Pieces of a body, to be read to the end or closed."""

    @property
    def is_whole(self) -> bool:
        """Whether reading it does not wait any more."""

    def __iter__(self) -> Iterator[bytes]: ...

    def close(self) -> None:
        """End the call; an answer not read whole is cancelled."""


class EmptyBody:
    """The body of an answer without one."""

    is_whole = True

    def __iter__(self) -> Iterator[bytes]:
        return iter(())

    def close(self) -> None:
        """Do nothing."""


@dataclass(slots=True)
class Request:
    """One call to make.

    :ivar caller: full name of the calling service, or ``tenant.edge``.
    :ivar path: with its query.
    :ivar key: the idempotency key, or empty.
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
        """What makes two child calls of one request the same call."""
        return (f"{self.tenant}.{self.service}", f"{self.method} {self.path}", self.key)


@dataclass(slots=True)
class Answer:
    """How a call ended.

    :ivar body: pieces of the body; raises TruncatedAnswerError when it is not whole.
        To be read to its end or closed.
    :ivar retry_after_ms: milliseconds after which a refused call may be retried; 0 states none.
    :ivar attempts: attempts made, the first included.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: AnswerBodyLike = field(default_factory=EmptyBody)
    retry_after_ms: int = 0
    attempts: int = 0


def refused(reason: Reason, retry_after_ms: int = 0) -> Answer:
    """Return the answer of a call that was not run.

    :param retry_after_ms: milliseconds after which it may be retried; 0 states none.
    """
    return Answer(Outcome.NOT_RUN, reason, retry_after_ms=retry_after_ms)
