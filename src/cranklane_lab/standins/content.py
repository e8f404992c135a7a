"""Response bodies that a client can verify completely.

A body is a line of JSON that names its request, followed by padding derived from the
request's nonce.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterator

CHUNK_BYTES = 32 * 1024


def _padding(nonce: str) -> bytes:
    block = hashlib.sha256(nonce.encode()).digest()
    return block * (CHUNK_BYTES // len(block))


def body_chunks(nonce: str, worker: str, size: int) -> Iterator[bytes]:
    """Yield a body with ``size`` bytes of padding in chunks; a short one is one chunk."""
    line = json.dumps({"nonce": nonce, "worker": worker, "size": size}).encode() + b"\n"
    padding = _padding(nonce)
    yield line + padding[: min(size, len(padding))]
    remaining_bytes = size - len(padding)
    while remaining_bytes > 0:
        yield padding[: min(remaining_bytes, len(padding))]
        remaining_bytes -= len(padding)


def body_defect(body: bytes, nonce: str) -> str:
    """Return the defect of a body as the response to ``nonce``; empty if there is none.

    >>> body_defect(b"".join(body_chunks("a", "w", 70_000)), "a")
    ''
    >>> body_defect(b"".join(body_chunks("a", "w", 70_000))[:-1], "a")
    'the body is not whole'
    >>> body_defect(b"".join(body_chunks("b", "w", 10)), "a")
    "the answer is another request's"
    """
    line, _, padding = body.partition(b"\n")
    try:
        head = json.loads(line)
    except ValueError:
        return "the body does not begin with a JSON line"
    if head.get("nonce") != nonce:
        return "the answer is another request's"
    if len(padding) != head["size"]:
        return "the body is not whole"
    expected = _padding(nonce)
    for start in range(0, len(padding), len(expected)):
        chunk = padding[start : start + len(expected)]
        if chunk != expected[: len(chunk)]:
            return "the padding differs from the expected bytes"
    return ""
