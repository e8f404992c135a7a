"""Keeps the adopted configuration on disk, so that a restart never goes back.

Owns one file of the process's storage. A damaged file counts as none: control sends
everything again.
"""

from __future__ import annotations

from cranklane.common.checksummed import add_checksum, verified_payload
from cranklane.records.messages import ConfigDelta, ConfigRow
from cranklane.runtime.interface import Storage

_FILE = "configuration"


class ConfigurationFile:
    """The file of one process."""

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self._rows: dict[str, ConfigRow] = {}

    def load(self) -> ConfigDelta | None:
        """Return what was adopted last, or None when there is nothing usable."""
        data = self._storage.read(_FILE)
        payload = verified_payload(data) if data is not None else None
        if payload is None:
            return None
        delta = ConfigDelta.unpack(payload)
        self._rows = {row.key: row for row in delta.rows}
        return delta

    def save(self, delta: ConfigDelta) -> None:
        """Put the state after a delta on disk, synced.

        :raises OSError: when the disk refuses it.
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
