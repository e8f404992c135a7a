"""Loads of a soak run: tenants of different size, and uploads whose bodies can be checked."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from random import Random
from typing import Any, NamedTuple

UPLOAD_ROUTE = "up"
UPLOAD_PREFIX = f"/{UPLOAD_ROUTE}/".encode()
"""Prefix of the target of each upload; the rest is the size of its body."""

SIGNATURE_BODY = b"x" * 500
"""Body of a request on the route ``sign``."""

NOT_IDEMPOTENT_ROUTES = ("sign", UPLOAD_ROUTE)

ROUTES: dict[str, dict[str, Any]] = {
    "read": {"prefix": "/read/", "service": "s"},
    "sign": {"prefix": "/sign/", "service": "t", "repeat": "unsafe"},
    "both": {
        "prefix": "/both/",
        "split": [{"service": "s", "weight": 3}, {"service": "t", "weight": 1}],
    },
    UPLOAD_ROUTE: {"prefix": f"/{UPLOAD_ROUTE}/", "service": "t", "repeat": "upload"},
}

TURNED_ROUTE = "turned"
"""Route whose whole share changes between the two services with each version of the table."""

TURNED_WEIGHTS = (1, 100, 100_000)
"""Weights of the service that has the whole share; the other one has 0."""

UNREADABLE_PARTS = (b"\xed\xa0\xbd\xed\xb8\x80", b"\xff", b'", "x": NaN, "y": "', b"\\ud800")
"""Texts that make a document unreadable in the place of one of its strings."""

UNREADABLE_FRACTION = 0.2
"""Fraction of the versions before which a version that cannot be read is sent."""

ROUTE_CHOICES = ("read", "sign", "both") * 5 + (UPLOAD_ROUTE,)
"""Routes of callers' requests; one of 16 is an upload."""

UPLOAD_BYTES = (80_000, 400_000)
"""Smallest and largest body of most uploads; sidecars do not buffer bodies of this size whole."""

LARGE_UPLOAD_BYTES = 12_000_000
"""Size of the other uploads: more than the socket buffers of all connections on the way hold."""

LARGE_UPLOAD_FRACTION = 0.1

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Limit on the size of a body in the route tables."""

UPLOAD_PAUSES_SECONDS = (0.0, 0.02)
"""Pauses of callers between the pieces of an upload."""

CHUNK_BYTES = 30_000
"""Size of a chunk of an upload in chunked framing."""


class SoakTenant(NamedTuple):
    """A tenant of the soak.

    :ivar rate_per_s: limit of its requests per second; 0 for none.
    :ivar callers: number of its callers.
    """

    name: str
    priority: int
    rate_per_s: int
    callers: int

    @property
    def key(self) -> str:
        """Its API key."""
        return f"key-of-{self.name}"


TENANTS = (
    SoakTenant("large", 1, 0, 6),
    SoakTenant("medium", 0, 60, 3),
    SoakTenant("small", 0, 5, 1),
)
"""Tenants whose callers compete. Those of the limited ones together send more than the limit."""

UNLIMITED = TENANTS[0]


def tenant_entries() -> dict[str, dict[str, Any]]:
    """Return the tenants of the route table."""
    return {
        tenant.name: {
            "keys": [tenant.key],
            "priority": tenant.priority,
            "rate_per_s": tenant.rate_per_s,
            "burst": tenant.rate_per_s,
        }
        for tenant in TENANTS
    }


def turned_split(version: int) -> tuple[dict[str, Any], str]:
    """Return the turned route of a version, and the service that gets its requests.

    >>> turned_split(3)[1], turned_split(5)[1]
    ('t', 's')
    """
    service, other = ("s", "t") if version // 2 % 2 == 0 else ("t", "s")
    weight = TURNED_WEIGHTS[version % len(TURNED_WEIGHTS)]
    shares = [{"service": other, "weight": 0}, {"service": service, "weight": weight}]
    return {"prefix": f"/{TURNED_ROUTE}/", "split": shares}, service


def upload_body(request_id: str, size: int) -> bytes:
    """Return the body of an upload, which differs for each request.

    >>> len(upload_body("a", 70)), upload_body("a", 70) == upload_body("b", 70)
    (70, False)
    """
    block = hashlib.sha256(request_id.encode()).digest()
    return (block * (size // len(block) + 1))[:size]


def is_whole_upload(request_id: str, target: bytes, body: bytes) -> bool:
    """Return whether a worker has received the whole body of an upload unchanged.

    :param target: request target; its last part is the size of the body.
    """
    return body == upload_body(request_id, upload_size(target))


def upload_size(target: bytes) -> int:
    """Return the size of an upload's body by its request target.

    >>> upload_size(b"/up/80000")
    80000
    """
    return int(target.rpartition(b"/")[2])


def chunked(body: bytes) -> Iterator[bytes]:
    """Yield a body in chunked framing."""
    for start in range(0, len(body), CHUNK_BYTES):
        chunk = body[start : start + CHUNK_BYTES]
        yield b"%x\r\n%s\r\n" % (len(chunk), chunk)
    yield b"0\r\n\r\n"


def random_upload_size(random: Random) -> int:
    """Return the size of a random upload in bytes."""
    if random.random() < LARGE_UPLOAD_FRACTION:
        return LARGE_UPLOAD_BYTES
    return random.randint(*UPLOAD_BYTES)
