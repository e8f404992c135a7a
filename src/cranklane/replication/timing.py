"""Timeouts and intervals of elections, leases and replication, in seconds.

All count on a monotonic clock that includes machine suspensions. Clocks of different
machines need not agree, but a lease is safe only while their rates differ by less than half.
"""

from __future__ import annotations

from random import Random

MIN_ELECTION_TIMEOUT_SECONDS = 1.0
"""Shortest election timeout. A replica that heard from its leader within this time grants no
vote to another candidate. Longer than ``REPLY_TIMEOUT_SECONDS``, so that one slow reply does not
end a leadership."""

LEASE_SECONDS = 0.6
"""Duration of a leader lease, counted from requests that a quorum answered. 1.5 times the lease
is below ``MIN_ELECTION_TIMEOUT_SECONDS``, which bounds the tolerated difference between clock
rates."""

HEARTBEAT_INTERVAL_SECONDS = 0.2
"""Interval of requests to a replica that is up to date; three fit into a lease."""

REPLY_TIMEOUT_SECONDS = 0.8
"""Timeout of an append request or heartbeat; below ``MIN_ELECTION_TIMEOUT_SECONDS``."""

SNAPSHOT_REPLY_TIMEOUT_SECONDS = 5.0
"""Timeout of a snapshot chunk. The reply to the last chunk follows the write of the whole
snapshot to disk."""

REPLICATION_RETRY_SECONDS = 0.2
"""Delay before a request to a replica that did not reply is retried."""

VOTE_TIMEOUT_SECONDS = 0.5
"""Timeout of a vote request; below the range over which election timeouts are spread."""

STOP_SECONDS = 3.0
"""Time that a stopping replica's process waits for operators' requests in flight. Covers the
election of another leader."""

DISK_FAILURE_PAUSE_SECONDS = 4.0
"""Addition to the election timeout of a replica whose disk failed: two of the longest election
timeouts, so that another replica is elected first."""

CAMPAIGN_RETRY_SECONDS = 0.1
"""Delay between candidacies of a restarted replica that replaces the former leader."""

CANDIDACY_STAGGER_SECONDS = 0.1
"""Delay between candidacies of replicas that replace a leader with a lost disk. The delays
follow the order of identities, so that candidacies do not split the votes."""


def election_timeout(random: Random) -> float:
    """Return a random election timeout in seconds.

    Timeouts are spread from ``MIN_ELECTION_TIMEOUT_SECONDS`` to twice that, so that simultaneous
    candidacies are rare.
    """
    return MIN_ELECTION_TIMEOUT_SECONDS * (1 + random.random())
