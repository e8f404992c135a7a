"""Headers of the nodes' HTTP, towards callers and workers.

The sidecar's are in :mod:`~cranklane.common.header_names`: an adapter can rename them.
"""

from __future__ import annotations

from cranklane.common.units import MILLISECONDS

CONTEXT = "Cranklane-Context"
"""Token given to a worker with a request; the worker copies it into the calls that it makes
for that request."""

OUTCOME = "Cranklane-Outcome"
"""``answered``, ``not_run`` or ``unknown``; on every answer to a caller."""

REASON = "Cranklane-Reason"
"""Why a call was not answered; the label of a :class:`~cranklane.outcome.Reason`."""

ATTEMPTS = "Cranklane-Attempts"
"""Attempts made for this call, the first included."""

RETRY_AFTER_MS = "Cranklane-Retry-After-Ms"
"""Milliseconds after which to try again; beside the standard ``Retry-After``."""

DEADLINE_MS = "Cranklane-Deadline-Ms"
"""Time left for the root request, in milliseconds; a client may shorten it."""

IDEMPOTENCY_KEY = "Idempotency-Key"
"""Names a once-request; a resend carries the same key."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
"""Headers of one connection, never passed on."""


def is_own(name: str) -> bool:
    """Return whether a header is the product's, so that callers cannot forge it.

    >>> is_own("cranklane-context"), is_own("Content-Type")
    (True, False)
    """
    return name.lower().startswith("cranklane-")


def retry_after_seconds(milliseconds: int) -> str:
    """Return the value of ``Retry-After``: whole seconds, rounded up, at least one.

    >>> retry_after_seconds(1200)
    '2'
    """
    return str(max(1, -(-milliseconds // MILLISECONDS)))
