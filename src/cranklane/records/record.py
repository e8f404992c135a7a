"""Base class of the generated records.

Records are generated as plain classes with slots because creating data classes would slow
the start of each process.
"""

from __future__ import annotations

from struct import Struct
from typing import Any, ClassVar, Self


class Record:
    """Base class of records; records of one class are equal if their fields are."""

    __slots__: tuple[str, ...] = ()
    KIND: ClassVar[int]
    LAYOUT: ClassVar[Struct]

    def pack(self) -> bytes:
        """Return the encoded record.

        :raises MalformedRecordError: if a number is out of its field's range, or a text has a
            surrogate, which UTF-8 cannot encode.
        """
        raise NotImplementedError

    def replaced(self, **changes: Any) -> Self:
        """Return a copy with some fields changed.

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
