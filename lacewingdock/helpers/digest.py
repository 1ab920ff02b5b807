"""Support for digests of several parts."""

import hashlib
from typing import Final

DIGEST_BYTES: Final = 16


def digest(*parts: bytes) -> str:
    """Return a digest of parts; where one ends and the next begins counts.

    Returns:
        32 hex digits.
    """
    found = hashlib.sha256()
    for part in parts:
        found.update(len(part).to_bytes(4, "big") + part)
    return found.digest()[:DIGEST_BYTES].hex()
