"""Recognises the same request when it comes again, whoever sends it and under whichever id.

A request that comes again has another id, deadline and other headers; what it asks of a worker
is given by its service, tenant, method, target, host and body. The caller's machine is no part
of the identity: the same request may enter anywhere. The tenant is: no tenant can have a
request quarantined that another one sends.
"""

from __future__ import annotations

from cranklane.common.secret_digest import sha256
from cranklane.sidecar.request.attempt import SMALL_BODY_BYTES

IDENTITY_BYTES = 16
"""Bytes of the digest that are kept: any two of 10 ** 9 requests collide with probability
10 ** -21, and nobody can construct a collision with another's request."""

_HOST = b"\r\nhost:"

Identity = bytes


def identity_of(service: str, tenant: str, lines: bytes, body: bytes, length: int) -> Identity:
    """Return the identity of a request.

    :param lines: its request line and headers.
    :param body: what of the body has been read. Of a large one the first 64 KiB count, and
        the length that it was announced with.
    :param length: announced bytes of the body.

    >>> lines = b"GET /a HTTP/1.1\\r\\nHost: h\\r\\nId: 1\\r\\n"
    >>> again = b"GET /a HTTP/1.1\\r\\nId: 2\\r\\nhost:h\\r\\n"
    >>> identity_of("s", "", lines, b"", 0) == identity_of("s", "", again, b"", 0)
    True
    >>> identity_of("s", "t", lines, b"", 0) == identity_of("s", "u", lines, b"", 0)
    False
    """
    parts = (
        service.encode(),
        tenant.encode(),
        lines[: lines.index(b"\r\n")],
        _host_in(lines),
        b"%d" % (length or len(body)),
        body[:SMALL_BODY_BYTES],
    )
    digest = sha256()
    for part in parts:
        # With its length before it, no part can pass for the end of another.
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return bytes(digest.digest()[:IDENTITY_BYTES])


def _host_in(lines: bytes) -> bytes:
    start = lines.lower().find(_HOST)
    if start < 0:
        return b""
    start += len(_HOST)
    return lines[start : lines.index(b"\r\n", start)].strip().lower()
