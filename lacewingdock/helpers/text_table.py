"""Text tables for terminals."""

from collections.abc import Sequence
from typing import Any, Final

# Characters in a cell, above which the text is truncated.
MAX_CELL_CHARS: Final = 60


def text_table(
    columns: Sequence[str], rows: Sequence[Sequence[Any]]
) -> list[str]:
    """Return the lines of a table, with each column padded to its width."""
    cells = [list(columns), *([as_cell(one) for one in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]


def as_cell(value: Any) -> str:
    """Format a value for display, truncated to `MAX_CELL_CHARS`."""
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
        case list():
            text = ",".join(map(str, value)) or "-"
        case dict():
            text = ",".join(f"{k}={as_cell(v)}" for k, v in value.items())
        case _:
            text = str(value)
    if len(text) <= MAX_CELL_CHARS:
        return text
    return text[: MAX_CELL_CHARS - 3] + "..."
