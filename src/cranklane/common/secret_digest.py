"""Digests of secrets; secrets are neither stored nor compared in plain text."""

from __future__ import annotations

try:
    # hashlib would load OpenSSL, which uses several megabytes in each process.
    from _sha256 import sha256  # type: ignore[import-not-found,unused-ignore]
except ImportError:
    from hashlib import sha256


def secret_digest(secret: bytes) -> str:
    """Return the SHA-256 digest of a token or an API key, in hexadecimal.

    Lookups by digest are safe against timing attacks: an attacker cannot choose secrets
    whose digests share a prefix with a valid one.

    >>> secret_digest(b"")[:8]
    'e3b0c442'
    """
    digest: str = sha256(secret).hexdigest()
    return digest
