"""Every exception the product raises on purpose.

Outcomes of calls are values (:mod:`cranklane.outcome`); exceptions are for a
broken connection, a broken file or input that cannot be read.
"""

from __future__ import annotations


class CranklaneError(Exception):
    """Base of every error raised by this package."""


class MalformedRecordError(CranklaneError):
    """A record's bytes do not match its schema."""


class ConnectionLostError(CranklaneError):
    """The connection to a peer ended or stayed silent for too long."""


class AnswerCutError(CranklaneError):
    """An answer ended before its last byte; it must never look complete."""


class SettingsError(CranklaneError):
    """A settings file or flag of a process is invalid.

    :ivar problems: one line for each invalid key.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class PolicyError(CranklaneError):
    """A policy text does not compile.

    :ivar problems: one line for each problem, with line and column.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class DamagedLogError(CranklaneError):
    """A log file is damaged before its end: records would be lost if it were used."""


class InvariantError(CranklaneError):
    """An invariant is broken; the process stops."""
