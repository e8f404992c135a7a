"""HTTP headers between nodes and their callers and workers.

The sidecar's headers, which an adapter can rename, are in
:mod:`~cranklane.common.header_names`.
"""

from __future__ import annotations

from cranklane.common.units import MILLISECONDS

CONTEXT = "Cranklane-Context"
"""Context token of a call; a worker copies it into its child calls."""

OUTCOME = "Cranklane-Outcome"
"""``answered``, ``not_run`` or ``unknown``; on every response to a caller."""

REASON = "Cranklane-Reason"
"""Label of the :class:`~cranklane.outcome.Reason` why a call failed or was refused."""

ATTEMPTS = "Cranklane-Attempts"
"""Number of attempts made for the call, including the first."""

RETRY_AFTER_MS = "Cranklane-Retry-After-Ms"
"""Milliseconds to wait before a retry; more precise than ``Retry-After``."""

DEADLINE_MS = "Cranklane-Deadline-Ms"
"""Time until the root request's deadline, in milliseconds; a client may lower it."""

IDEMPOTENCY_KEY = "Idempotency-Key"
"""Idempotency key of a ``once`` request; a resend has the same key."""

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
"""Hop-by-hop headers; never forwarded."""


def is_reserved_header(name: str) -> bool:
    """Return whether a header name is reserved, so that callers cannot forge the header.

    >>> is_reserved_header("cranklane-context"), is_reserved_header("Content-Type")
    (True, False)
    """
    return name.lower().startswith("cranklane-")


def retry_after_seconds(milliseconds: int) -> str:
    """Return the value of ``Retry-After``: seconds, rounded up, at least 1.

    >>> retry_after_seconds(1200)
    '2'
    """
    return str(max(1, -(-milliseconds // MILLISECONDS)))
