"""Support for reports as a terminal table and as JSON."""

import msgspec

from lacewingdock.components.reports.burn import Burn, WindowBurn
from lacewingdock.components.reports.const import WINDOWS

COLUMNS = ("workspace", "objective", "target", *WINDOWS, "left", "alert")
NOTHING = "-"


def table(burns: list[Burn]) -> str:
    """Return the burn rates as a table for terminals.

    A window that the samples speak for in part only is marked with "~".
    """
    rows = [list(COLUMNS), *(cells(burn) for burn in burns)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) if place < 2 else cell.rjust(width)
            for place, (cell, width) in enumerate(zip(row, widths, strict=True))
        ).rstrip()
        for row in rows
    )


def cells(burn: Burn) -> list[str]:
    """Return an objective's cells, as in `COLUMNS`."""
    left = burn.budget_left
    return [
        burn.workspace,
        burn.label(),
        f"{burn.target:.5g}",
        *(_burn_cell(window) for window in burn.windows),
        NOTHING if left is None else f"{left:.0%}",
        burn.alert,
    ]


def _burn_cell(window: WindowBurn) -> str:
    if window.burn is None:
        return NOTHING
    part = window.covered_s < 0.9 * WINDOWS[window.window]
    return f"{'~' if part else ''}{window.burn:.2f}"


def as_json(burns: list[Burn], faults: dict[str, str]) -> str:
    """Return the report as one JSON object."""
    whole = {"objectives": burns, "unreachable": faults}
    return msgspec.json.encode(whole).decode()
