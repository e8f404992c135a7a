"""Durable copy of the adopted configuration, so that a restart never reverts to an older one.

Owns one file of the process's storage. A corrupted file is ignored, because control sends the
whole configuration again.
"""

from __future__ import annotations

from cranklane.common.checksummed import add_checksum, verified_payload
from cranklane.records.messages import ConfigDelta, ConfigRow
from cranklane.runtime.interface import Storage

_FILE = "configuration"


class ConfigurationFile:
    """Configuration file of one process."""

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._rows: dict[str, ConfigRow] = {}

    def load(self) -> ConfigDelta | None:
        """Return the configuration saved last, or None when it is missing or corrupted."""
        data = self._storage.read(_FILE)
        payload = verified_payload(data) if data is not None else None
        if payload is None:
            return None
        delta = ConfigDelta.unpack(payload)
        self._rows = {row.key: row for row in delta.rows}
        return delta

    def save(self, delta: ConfigDelta) -> None:
        """Apply a delta to the saved configuration, and write and sync the file.

        :raises OSError: when the write fails.
        """
        if delta.whole:
            self._rows.clear()
        for row in delta.rows:
            if row.value:
                self._rows[row.key] = row
            else:
                self._rows.pop(row.key, None)
        whole = ConfigDelta(version=delta.version, whole=True, rows=list(self._rows.values()))
        self._storage.replace(_FILE, add_checksum(whole.pack()))
