"""Names of the headers that a sidecar reads and sets; those of nodes are in ``headers``.

The defaults are the product's own; an adapter to another platform gives its
names. Names are lower case where they are compared and as sent where they are
written.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class HeaderNames:
    """Headers between callers, sidecars and workers.

    :ivar request: id of one request of a caller; a worker's answer repeats it.
    :ivar deadline: milliseconds the caller still waits.
    :ivar instance: the worker's start that alone may run the request.
    :ivar instance_answer: on a worker's answer: its own start.
    :ivar caller: service of the machine where the request began.
    :ivar integrity: the worker's mark on its answers; every success has it.
    :ivar not_run: on a worker's answer: the request was not run.
    :ivar load: on a worker's answer: running, waiting, slots.
    :ivar key: API key of the tenant whose request it is; never passed on.
    :ivar tenant: name of that tenant, passed to workers.
    """

    request: bytes = b"Cranklane-Request-Id"
    deadline: bytes = b"Cranklane-Deadline-Ms"
    instance: bytes = b"Cranklane-Instance"
    instance_answer: bytes = b"Cranklane-Instance"
    caller: bytes = b"Cranklane-Caller"
    integrity: bytes = b"Cranklane-Integrity"
    not_run: bytes = b"Cranklane-Not-Run"
    load: bytes = b"Cranklane-Load"
    key: bytes = b"Cranklane-Api-Key"
    tenant: bytes = b"Cranklane-Tenant"

    @property
    def set_here(self) -> frozenset[bytes]:
        """Lower-case names of the request headers that a sidecar sets itself or keeps."""
        names = (self.deadline, self.instance, self.caller, self.key, self.tenant)
        return frozenset(name.lower() for name in names)
