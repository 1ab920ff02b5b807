"""Reads the state of a running router and formats it as text."""

from dataclasses import fields
from typing import Any, Final

import msgspec

from lacewingdock.components.inspection.state import (
    CopyState,
    PeerState,
    RollOutState,
    RouterState,
    ServiceState,
    UpstreamState,
)
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.http_client import get
from lacewingdock.helpers.text_table import as_cell, text_table

_TABLES: Final[dict[str, type[Any]]] = {
    "copies": CopyState,
    "services": ServiceState,
    "upstreams": UpstreamState,
    "roll_outs": RollOutState,
    "routers": PeerState,
}


def read_state(router: str) -> RouterState:
    """Fetch the state of a router.

    Args:
        router: URL of the router's metrics port.

    Raises:
        LacewingdockError: BAD_COMMAND, when the answer is not a router's
            state.
        OSError: When the request fails or is answered with an error status.
    """
    try:
        return msgspec.json.decode(get(f"{router}/state"), type=RouterState)
    except msgspec.DecodeError as error:
        raise LacewingdockError(
            ErrorKind.BAD_COMMAND, f"{router} is no router: {error}"
        ) from error


def show_state(state: RouterState) -> str:
    """Return a router's state as readable text, with a table per list."""
    lines = [
        f"{one.name:15} {as_cell(getattr(state, one.name))}"
        for one in fields(state)
        if one.name not in _TABLES
    ]
    for name, kind in _TABLES.items():
        rows = getattr(state, name)
        lines += ["", f"{name} ({len(rows)})"]
        if rows:
            columns = [one.name for one in fields(kind)]
            cells = [[getattr(row, c) for c in columns] for row in rows]
            lines += text_table(columns, cells)
    return "\n".join(lines)
