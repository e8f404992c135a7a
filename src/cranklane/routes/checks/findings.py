"""Findings of a review of a route table document."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Severity(Enum):
    """Severity of a finding."""

    ERROR = "error"
    """A controller refuses the document."""
    WARNING = "warning"
    """A controller accepts the document, but the entry is likely a mistake."""


class Finding(NamedTuple):
    """One problem of a document.

    :ivar field: path of the entry or field; empty for the document as a whole.
    """

    severity: Severity
    field: str
    message: str


def error(field: str, message: str) -> Finding:
    """Return a finding for which a controller refuses the document."""
    return Finding(Severity.ERROR, field, message)


def warning(field: str, message: str) -> Finding:
    """Return a finding that a controller accepts."""
    return Finding(Severity.WARNING, field, message)
