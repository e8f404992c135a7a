"""Times of elections, leases and replication, in seconds, and the rules that tie them.

All of them count on a steady clock that includes suspensions of the machine. None needs
clocks of different machines to agree; a lease needs their rates to differ by less than half.
"""

from __future__ import annotations

from random import Random

ELECTION_SECONDS = 1.0
"""Shortest time without a leader's heartbeat after which a replica stands for election; until
then it votes for nobody else. A choice: five heartbeats, so that one slow reply
(``REPLY_SECONDS``) does not end a leadership."""

LEASE_SECONDS = 0.6
"""Age of a quorum's replies up to which a leader is certainly the only one. A choice: 1.5
times it is below ``ELECTION_SECONDS``, which bounds how far clock rates may differ; a shorter
lease would be lost by frozen leaders and slow disks."""

HEARTBEAT_SECONDS = 0.2
"""Between requests to a replica that has everything. A choice: three in a lease."""

REPLY_SECONDS = 0.8
"""Wait for the reply to entries or a heartbeat. A choice: below ``ELECTION_SECONDS``."""

SNAPSHOT_REPLY_SECONDS = 5.0
"""Wait for the reply to a chunk of a snapshot. A choice: the last chunk is answered after
the whole snapshot is on disk."""

REPLICATION_RETRY_SECONDS = 0.2
"""Before a replica that gave no reply is tried again. A choice: as heartbeats."""

VOTE_SECONDS = 0.5
"""Wait for a vote. A choice: below the time by which election timeouts are spread."""

DISK_PAUSE_SECONDS = 4.0
"""Time for which a replica whose disk failed leaves elections to the others. A choice: two
of the longest election timeouts, so that another one leads meanwhile."""

CAMPAIGN_RETRY_SECONDS = 0.1
"""Between attempts to replace a former leader right after a restart. A choice."""

TURN_SECONDS = 0.1
"""Offset between replicas that would replace a lost leader, by the order of their
identities, so that they do not split the votes. A choice."""


def election_timeout(random: Random) -> float:
    """Return the time without a heartbeat after which to stand for election, in seconds.

    Spread over once to twice ``ELECTION_SECONDS``, so that rarely two stand at once.
    """
    return ELECTION_SECONDS * (1 + random.random())
