"""Names of the headers that a sidecar reads and sets.

An adapter for another platform replaces the defaults. The headers of nodes are in
:mod:`~cranklane.common.headers`.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class HeaderNames:
    """Names of the headers between callers, sidecars and workers.

    :ivar request: request id, set by the caller and repeated in the worker's response.
    :ivar deadline: time until the caller's deadline, in milliseconds.
    :ivar instance: worker instance (process start) that the request is bound to.
    :ivar instance_answer: on a response: instance of the worker that sent it.
    :ivar caller: service of the machine that sent the request.
    :ivar integrity: on a response: integrity mark, required on every success.
    :ivar not_run: on a response: the worker did not run the request.
    :ivar load: on a response: the worker's running and queued requests and its slots.
    :ivar rate_limit: on a response: requests per second that the worker accepts from all callers.
    :ivar leaving: on a response: 1 if the worker is about to exit.
    :ivar key: API key of the tenant; never forwarded.
    :ivar tenant: name of the tenant, set on requests to workers.
    """

    request: bytes = b"Cranklane-Request-Id"
    deadline: bytes = b"Cranklane-Deadline-Ms"
    instance: bytes = b"Cranklane-Instance"
    instance_answer: bytes = b"Cranklane-Instance"
    caller: bytes = b"Cranklane-Caller"
    integrity: bytes = b"Cranklane-Integrity"
    not_run: bytes = b"Cranklane-Not-Run"
    load: bytes = b"Cranklane-Load"
    rate_limit: bytes = b"Cranklane-Rate-Limit"
    leaving: bytes = b"Cranklane-Leaving"
    key: bytes = b"Cranklane-Api-Key"
    tenant: bytes = b"Cranklane-Tenant"

    @property
    def managed_request_headers(self) -> frozenset[bytes]:
        """Lower-case names of the request headers that a sidecar sets or removes."""
        names = (self.deadline, self.instance, self.caller, self.key, self.tenant)
        return frozenset(name.lower() for name in names)
