"""Memory that a process may hold for clients, whatever they send and however many they are."""

from __future__ import annotations

import os

CLIENT_FRACTION = 1 / 4
"""Fraction of the machine's memory for what is held for clients. The rest is for the process itself
and for what the allocator needs beyond the sizes of objects."""

ORDINARY_BYTES = 4 * 1024
"""Size up to which a request or a response is ordinary: its memory is part of its connection's."""

BYTES_PER_MB = 1024 * 1024


class MemoryBudget:
    """Counts the bytes held for clients against a limit.

    :ivar limit_bytes: limit on all of them.
    :ivar used_bytes: bytes held now; above the limit only by answers that workers have given.
    """

    __slots__ = ("limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    @classmethod
    def of_machine(cls, memory_mb: int) -> MemoryBudget:
        """Return the budget of a process.

        :param memory_mb: memory that the process may use; 0: that of the machine.
        """
        memory_bytes = memory_mb * BYTES_PER_MB or physical_memory_bytes()
        return cls(int(memory_bytes * CLIENT_FRACTION))

    def fits(self, size: int, fraction: float = 1.0) -> bool:
        """Return whether further bytes fit into a fraction of the limit."""
        return self.used_bytes + size <= self.limit_bytes * fraction

    def charge(self, size: int) -> None:
        """Count further bytes as held; a negative size releases them."""
        self.used_bytes += size


def physical_memory_bytes() -> int:
    """Return the size of the machine's memory."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
