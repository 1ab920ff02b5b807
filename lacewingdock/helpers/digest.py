"""Digests of several byte strings."""

import hashlib
from typing import Final

# Bytes kept of a SHA-256 digest.
DIGEST_BYTES: Final = 16


def digest(*parts: bytes) -> str:
    """Return a digest of the parts, each prefixed with its length.

    The prefix makes ("ab", "c") differ from ("a", "bc").

    Returns:
        32 hex digits.
    """
    found = hashlib.sha256()
    for part in parts:
        found.update(len(part).to_bytes(4, "big") + part)
    return found.digest()[:DIGEST_BYTES].hex()
