"""What every record can do.

Records are plain classes with slots, generated as such: data classes would be built
anew, one after the other, at each start of a process.
"""

from __future__ import annotations

from struct import Struct
from typing import Any, ClassVar, Self


class Record:
    """Base of every record; records of one class with equal fields are equal."""

    __slots__: tuple[str, ...] = ()
    KIND: ClassVar[int]
    LAYOUT: ClassVar[Struct]

    def pack(self) -> bytes:
        """Return the record's bytes."""
        raise NotImplementedError

    def replaced(self, **changes: Any) -> Self:
        """Return a record with some fields changed.

        >>> from cranklane.records.messages import Ping
        >>> Ping(3).replaced(version=4)
        Ping(version=4)
        """
        values = {name: getattr(self, name) for name in self.__slots__}
        return type(self)(**{**values, **changes})

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return all(getattr(self, name) == getattr(other, name) for name in self.__slots__)

    __hash__ = None  # type: ignore[assignment]

    def __repr__(self) -> str:
        values = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({values})"
