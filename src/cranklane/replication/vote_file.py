"""The term, the vote and the identity of a replica, on disk.

Owns one file. A replica must never vote twice in a term, so it is synced before it is in force.
"""

from __future__ import annotations

from random import Random

from cranklane.common.checksummed import add_checksum, verified_payload
from cranklane.errors import DamagedLogError
from cranklane.records.messages import VoteState
from cranklane.runtime.interface import Storage

VOTE_FILE = "vote"
_IDENTITY_BITS = 63
"""Random bits of an identity: enough that two replicas never draw the same one."""


class VoteFile:
    """What a replica must never forget.

    :ivar state: the term, this replica's identity, and in ``voted_for`` who leads the
        term, once that is known, or else who got this replica's vote in it.
    """

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self.state = VoteState()

    def open(self, random: Random, has_log: bool) -> None:
        """Read the file; an empty data folder becomes a replica of its own.

        :param has_log: whether the folder holds a log or a snapshot.
        :raises DamagedLogError: when the file is damaged, or missing beside a log.
        """
        data = self._storage.read(VOTE_FILE)
        if data is None:
            if has_log:
                raise DamagedLogError(
                    "the vote file is missing beside a log: this replica may have voted; "
                    "empty the data folder so that it rejoins as a new one"
                )
            self._write(VoteState(identity=random.getrandbits(_IDENTITY_BITS) | 1))
            return
        payload = verified_payload(data)
        if payload is None:
            raise DamagedLogError(
                "the vote file is damaged; empty the data folder so that this replica "
                "rejoins as a new one"
            )
        self.state = VoteState.unpack(payload)

    def save(self, term: int, voted_for: int) -> None:
        """Put a term and a vote on disk, synced, and then in force.

        :raises OSError: when the disk refuses them; the former ones stay in force.
        """
        self._write(VoteState(term, self.state.identity, voted_for))

    def _write(self, state: VoteState) -> None:
        self._storage.replace(VOTE_FILE, add_checksum(state.pack()))
        self.state = state
