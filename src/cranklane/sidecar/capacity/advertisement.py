"""What a sidecar tells its callers about the capacity of its worker, with each reply.

The encoded form may grow: bytes after the known fields are ignored, and missing ones mean that
nothing is stated, so that sidecars of other releases are understood.
"""

from __future__ import annotations

from struct import Struct
from typing import NamedTuple

from cranklane.sidecar.worker.load_header import USUAL_RUN_TIME_PERCENT

MAX_ADMISSION_LEVEL = 65535
"""Admission level that admits every rank."""

_MAX_FIELD = 65535
_LAYOUT = Struct("!HHH")


class Advertisement(NamedTuple):
    """Capacity of a worker as stated with a reply.

    :ivar run_time_percent: current run time of the worker in percent of the usual one.
    :ivar run_time_age_ms: age of that figure in milliseconds at the time of the reply.
    :ivar admission_level: last rank of call trees for which there is capacity, here and in the
        services that the run called.
    """

    run_time_percent: int = USUAL_RUN_TIME_PERCENT
    run_time_age_ms: int = 0
    admission_level: int = MAX_ADMISSION_LEVEL

    def pack(self) -> bytes:
        r"""Return the encoded advertisement; empty if it states nothing unusual.

        >>> Advertisement(250, 12).pack(), NO_ADVERTISEMENT.pack()
        (b'\x00\xfa\x00\x0c\xff\xff', b'')
        """
        if self == NO_ADVERTISEMENT:
            return b""
        age_ms = min(_MAX_FIELD, self.run_time_age_ms)
        return _LAYOUT.pack(self.run_time_percent, age_ms, self.admission_level)


NO_ADVERTISEMENT = Advertisement()


def unpack_advertisement(data: bytes) -> Advertisement:
    """Return the advertisement in a record's field.

    >>> unpack_advertisement(Advertisement(250, 12).pack() + b"later")
    Advertisement(run_time_percent=250, run_time_age_ms=12, admission_level=65535)
    >>> unpack_advertisement(b"") is NO_ADVERTISEMENT
    True
    """
    if len(data) < _LAYOUT.size:
        return NO_ADVERTISEMENT
    return Advertisement(*_LAYOUT.unpack_from(data))
