"""Support for reading the callers' address before anything else is loaded."""

import tomllib
from pathlib import Path

from lacewingdock.helpers.address import split_address


def read_callers_address(path: str) -> tuple[str, int]:
    """Return where callers connect; nothing else of the file is checked.

    Raises:
        OSError, ValueError, KeyError, TypeError: There is none. Why is told by
            `profile.load_profile`, which names key and value.
    """
    found = tomllib.loads(Path(path).read_text("utf-8"))
    return split_address(found["listen"]["front"])
