"""Support for ids."""

import secrets
from typing import Final

ID_BYTES: Final = 8


def new_id() -> str:
    """Return 16 hex digits that no other id has, for all practical ends."""
    return secrets.token_hex(ID_BYTES)
