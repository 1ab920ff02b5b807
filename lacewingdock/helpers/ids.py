"""Random identifiers."""

import secrets
from typing import Final

# Random bytes in an id.
ID_BYTES: Final = 8


def new_id() -> str:
    """Return a random id of 16 hex digits; collisions are negligible."""
    return secrets.token_hex(ID_BYTES)
