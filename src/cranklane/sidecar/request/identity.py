"""Identity of a request: a digest that repetitions of the same request share.

It covers service, tenant, method, target, host and body, but neither the id, deadline and other
headers nor the receiving sidecar, which differ between repetitions. The tenant is included so
that no tenant can get another tenant's requests quarantined.
"""

from __future__ import annotations

from cranklane.common.secret_digest import sha256
from cranklane.sidecar.request.attempt import MAX_BUFFERED_BODY_BYTES

IDENTITY_BYTES = 16
"""Size of the truncated digest; resists accidental collisions and constructed ones with another
tenant's request. Any two of 10**9 requests collide with a probability of 10**-21."""

_HOST_PREFIX = b"\r\nhost:"

Identity = bytes


def identity_of(service: str, tenant: str, lines: bytes, body: bytes, length: int) -> Identity:
    """Return the identity of a request.

    :param lines: request line and headers.
    :param body: the bytes of the body read so far, of which ``MAX_BUFFERED_BODY_BYTES`` are used.
    :param length: declared size of the body in bytes; 0 for the size of ``body``.

    >>> lines = b"GET /a HTTP/1.1\\r\\nHost: h\\r\\nId: 1\\r\\n"
    >>> repetition = b"GET /a HTTP/1.1\\r\\nId: 2\\r\\nhost:h\\r\\n"
    >>> identity_of("s", "", lines, b"", 0) == identity_of("s", "", repetition, b"", 0)
    True
    >>> identity_of("s", "t", lines, b"", 0) == identity_of("s", "u", lines, b"", 0)
    False
    """
    fields = (
        service.encode(),
        tenant.encode(),
        lines[: lines.index(b"\r\n")],
        _host_header(lines),
        b"%d" % (length or len(body)),
        body[:MAX_BUFFERED_BODY_BYTES],
    )
    digest = sha256()
    for field in fields:
        # The length prefix keeps the boundaries between fields unambiguous.
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return bytes(digest.digest()[:IDENTITY_BYTES])


def _host_header(lines: bytes) -> bytes:
    start = lines.lower().find(_HOST_PREFIX)
    if start < 0:
        return b""
    start += len(_HOST_PREFIX)
    return lines[start : lines.index(b"\r\n", start)].strip().lower()
