"""Simulated disks: unsynced data is lost when the machine loses power."""

from __future__ import annotations

import errno
from dataclasses import dataclass, field
from random import Random

import gevent

from cranklane.runtime.interface import Storage

SYNC_SECONDS = 0.002
"""Mean duration of a sync."""

_STALL_POLL_SECONDS = 0.01


@dataclass
class _File:
    durable: bytes = b""
    pending: bytes = b""


@dataclass
class Disk:
    """The files of one machine, which persist across its processes.

    :ivar full: injected fault: every write fails with ENOSPC; an append writes half its data.
    :ivar lose_syncs: injected fault: a sync returns without making data durable.
    :ivar stalled: injected fault: a sync does not return; appended data is not durable.
    :ivar failing_syncs: injected fault: number of syncs to come that fail with EIO.
    """

    random: Random
    files: dict[str, _File] = field(default_factory=dict)
    lose_syncs: bool = False
    full: bool = False
    stalled: bool = False
    failing_syncs: int = 0
    syncs: int = 0

    def lose_power(self) -> None:
        """Drop unsynced data, except for a random prefix of each file's pending bytes."""
        for file in self.files.values():
            kept_size = self.random.randrange(len(file.pending) + 1) if file.pending else 0
            file.durable += file.pending[:kept_size]
            file.pending = b""

    def wipe(self) -> None:
        """Delete all files."""
        self.files.clear()

    def damage(self, name: str, position: int) -> None:
        """Flip one bit of a file."""
        file = self.files[name]
        data = bytearray(file.durable)
        data[position] ^= 0x10
        file.durable = bytes(data)


class SimulatedStorage(Storage):
    """Files of a data folder on a simulated disk."""

    def __init__(self, disk: Disk, folder: str) -> None:
        self._disk = disk
        self._folder = folder

    def _name(self, name: str) -> str:
        return f"{self._folder}/{name}"

    def _wait(self) -> None:
        gevent.sleep(SYNC_SECONDS * (0.5 + self._disk.random.random()))
        while self._disk.stalled:
            gevent.sleep(_STALL_POLL_SECONDS)
        self._disk.syncs += 1

    def _refuse_when_full(self) -> None:
        if self._disk.full:
            raise OSError(errno.ENOSPC, "no space left on device")

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, or None if it doesn't exist."""
        file = self._disk.files.get(self._name(name))
        return file.durable + file.pending if file is not None else None

    def replace(self, name: str, data: bytes) -> None:
        """Replace a file atomically and sync it."""
        self._wait()
        self._refuse_when_full()
        self._disk.files[self._name(name)] = _File(durable=bytes(data))

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; the data is durable only after :meth:`sync`."""
        file = self._disk.files.setdefault(self._name(name), _File())
        if self._disk.full:
            file.pending += data[: len(data) // 2]
        self._refuse_when_full()
        file.pending += data

    def sync(self, name: str) -> None:
        """Make the data appended before this call durable."""
        file = self._disk.files.get(self._name(name))
        if file is None:
            return
        size = len(file.pending)
        self._wait()
        if self._disk.failing_syncs:
            self._disk.failing_syncs -= 1
            raise OSError(errno.EIO, "input/output error")
        if self._disk.lose_syncs or self._disk.files.get(self._name(name)) is not file:
            return
        size = min(size, len(file.pending))
        file.durable += file.pending[:size]
        file.pending = file.pending[size:]

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file and sync it."""
        self._refuse_when_full()
        data = self.read(name) or b""
        self._disk.files[self._name(name)] = _File(durable=data[:size])

    def remove(self, name: str) -> None:
        """Delete a file if it exists."""
        self._disk.files.pop(self._name(name), None)

    def names(self) -> list[str]:
        """Return the names of the folder's files, sorted."""
        prefix = f"{self._folder}/"
        return sorted(
            name.removeprefix(prefix) for name in self._disk.files if name.startswith(prefix)
        )
