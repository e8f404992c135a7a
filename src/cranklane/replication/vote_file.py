"""Durable term, vote and identity of a replica.

Owns one file. The file is synced before a new term or vote takes effect, so that a restarted
replica never votes twice in a term.
"""

from __future__ import annotations

from random import Random

from cranklane.common.checksummed import add_checksum, verified_payload
from cranklane.errors import CorruptedLogError
from cranklane.records.messages import VoteState
from cranklane.runtime.interface import Storage

VOTE_FILE = "vote"
_IDENTITY_BITS = 63
"""Random bits of an identity; enough to make collisions negligible."""


class VoteFile:
    """File with the term, vote and identity of one replica.

    :ivar state: term, identity and ``voted_for``: the leader of the term, once known, or
        else the candidate that got this replica's vote.
    """

    def __init__(self, storage: Storage) -> None:
        self._storage = storage
        self.state = VoteState()

    def open(self, random: Random, has_log: bool) -> None:
        """Read the file, or create it with a new identity in an empty data folder.

        :param has_log: whether the folder contains a log or a snapshot.
        :raises CorruptedLogError: when the file is corrupted, or missing although there is a log.
        :raises OSError: when the file cannot be written.
        """
        data = self._storage.read(VOTE_FILE)
        if data is None:
            if has_log:
                raise CorruptedLogError(
                    "found a log but no vote file, so this replica may have voted; "
                    "start this replica with an empty data folder so that it rejoins as a new one"
                )
            self._write(VoteState(identity=random.getrandbits(_IDENTITY_BITS) | 1))
            return
        payload = verified_payload(data)
        if payload is None:
            raise CorruptedLogError(
                "the vote file is corrupted; start this replica with an empty data folder so that "
                "it rejoins as a new one"
            )
        self.state = VoteState.unpack(payload)

    def save(self, term: int, voted_for: int) -> None:
        """Write and sync a term and a vote, then adopt them.

        :raises OSError: when the write fails; the previous term and vote stay in effect.
        """
        self._write(VoteState(term, self.state.identity, voted_for))

    def _write(self, state: VoteState) -> None:
        self._storage.replace(VOTE_FILE, add_checksum(state.pack()))
        self.state = state
