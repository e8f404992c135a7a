"""How many connections a process accepts, so that descriptors remain for those that it opens."""

from __future__ import annotations

import resource
from typing import NamedTuple

RESERVED_DESCRIPTORS = 264
"""Descriptors for files, control, the worker's and the operator's ports and the log."""

MAX_RESERVED_FRACTION = 1 / 4
"""Upper limit on the reserved descriptors as a fraction of all."""


class DescriptorLimits(NamedTuple):
    """Limits on the connections that a sidecar accepts.

    A request of a caller may take a connection to another sidecar, so the callers' connections
    leave a share of the same size for those.
    """

    callers: int
    peers: int

    @classmethod
    def of_process(cls, max_descriptors: int) -> DescriptorLimits:
        """Return the limits for a number of descriptors.

        :param max_descriptors: limit on the open files of the process; 0: that of the system.

        >>> DescriptorLimits.of_process(4100)
        DescriptorLimits(callers=1278, peers=1278)
        """
        system_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        limit = min(max_descriptors or system_limit, system_limit)
        reserved = min(RESERVED_DESCRIPTORS, int(limit * MAX_RESERVED_FRACTION))
        share = max(1, (limit - reserved) // 3)
        return cls(callers=share, peers=share)
