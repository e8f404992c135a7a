"""Bodies that a client can check to the last byte.

A body is a line of JSON that names the request it answers, and a filling that
depends on that request.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterator

CHUNK_BYTES = 32 * 1024


def _filling(nonce: str) -> bytes:
    block = hashlib.sha256(nonce.encode()).digest()
    return block * (CHUNK_BYTES // len(block))


def body_chunks(nonce: str, worker: str, size: int) -> Iterator[bytes]:
    """Yield a body of about ``size`` bytes in pieces; a short one is one piece."""
    line = json.dumps({"nonce": nonce, "worker": worker, "size": size}).encode() + b"\n"
    filling = _filling(nonce)
    yield line + filling[: min(size, len(filling))]
    left = size - len(filling)
    while left > 0:
        yield filling[: min(left, len(filling))]
        left -= len(filling)


def wrong_with(body: bytes, nonce: str) -> str:
    """Return what is wrong with a body as the answer to ``nonce``; empty when right.

    >>> wrong_with(b"".join(body_chunks("a", "w", 70_000)), "a")
    ''
    >>> wrong_with(b"".join(body_chunks("a", "w", 70_000))[:-1], "a")
    'the body is not whole'
    >>> wrong_with(b"".join(body_chunks("b", "w", 10)), "a")
    "the answer is another request's"
    """
    line, _, filling = body.partition(b"\n")
    try:
        head = json.loads(line)
    except ValueError:
        return "the body is not the worker's"
    if head.get("nonce") != nonce:
        return "the answer is another request's"
    if len(filling) != head["size"]:
        return "the body is not whole"
    expected = _filling(nonce)
    for start in range(0, len(filling), len(expected)):
        piece = filling[start : start + len(expected)]
        if piece != expected[: len(piece)]:
            return "the body's bytes are wrong"
    return ""
