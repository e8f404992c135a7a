"""Exceptions of this package.

Exceptions report failed connections, corrupted files and invalid input; the results of
calls are values (:mod:`cranklane.outcome`).
"""

from __future__ import annotations


class CranklaneError(Exception):
    """Base class of the errors raised by this package."""


class MalformedRecordError(CranklaneError):
    """The bytes of a record do not match its schema, or a value does not fit its field."""


class ConnectionLostError(CranklaneError):
    """The connection to a peer ended, failed or timed out."""


class TruncatedAnswerError(CranklaneError):
    """A response ended before its last byte; it must not be passed on as complete."""


class SettingsError(CranklaneError):
    """A settings file or a flag is invalid.

    :ivar problems: one line per invalid, missing or unknown key.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class PolicyError(CranklaneError):
    """A policy is invalid.

    :ivar problems: one line per problem, with line and column.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class CorruptedLogError(CranklaneError):
    """A log file is corrupted before its end; using it would lose entries."""


class OverloadedError(CranklaneError):
    """The process lacks the memory or the time to read or keep a request, which has not run."""


class InvariantError(CranklaneError):
    """An invariant is violated; the process stops."""
