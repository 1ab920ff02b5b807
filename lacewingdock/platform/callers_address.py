"""Reading of the callers' address before other modules are loaded."""

import tomllib
from pathlib import Path

from lacewingdock.helpers.address import split_address


def read_callers_address(path: str) -> tuple[str, int]:
    """Return the address that callers connect to, as (host, port).

    The rest of the settings file is not checked.

    Raises:
        OSError, ValueError, KeyError, TypeError: The file has no valid
            address. `profile.load_profile` reports the reason, with key and
            value.
    """
    found = tomllib.loads(Path(path).read_text("utf-8"))
    return split_address(found["listen"]["front"])
