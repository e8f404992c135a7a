"""Definition of a record of the schema."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Record:
    """Definition of a record.

    :ivar kind: number on the wire.
    :ivar purpose: doc text of the generated class.
    :ivar fields: ``name:type`` of each field, separated by spaces.
    """

    kind: int
    name: str
    purpose: str
    fields: str
