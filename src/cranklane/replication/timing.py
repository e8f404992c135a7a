"""Times that election and lease depend on together, in seconds."""

from __future__ import annotations

ELECTION_SECONDS = 1.0
"""A replica that hears nothing from a leader for this long, or up to twice as
long, tries to become leader; until then it votes for nobody else."""

LEASE_SECONDS = 0.6
"""A leader that a quorum has answered within this time is still the only one,
as long as clocks differ in rate by less than a half."""
