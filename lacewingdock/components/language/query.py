"""Support for choosing and ordering rows."""

from typing import Any

from lacewingdock.components.language.const import MAX_ROWS
from lacewingdock.components.language.statements import (
    CommandError,
    Comparison,
    Show,
    Word,
)

Row = dict[str, Any]


def select_rows(show: Show, columns: tuple[str, ...], rows: list[Row]) -> Any:
    """Return the rows that a `show` asks for, in its order.

    Raises:
        CommandError: A column that there isn't, at its place.
    """
    for conjunction in show.where:
        for comparison in conjunction:
            _check_column(comparison.column, columns)
    chosen = [
        row
        for row in rows
        if not show.where
        or any(all(_holds(c, row) for c in conj) for conj in show.where)
    ]
    order = show.order
    if order is not None:
        _check_column(order, columns)
        chosen.sort(key=lambda r: _key(r[order.text]), reverse=show.descending)
    limit = MAX_ROWS if show.limit is None else min(show.limit, MAX_ROWS)
    return chosen[:limit]


def _check_column(word: Word, columns: tuple[str, ...]) -> None:
    if word.text not in columns:
        raise CommandError(
            f"no column {word.text!r}; there are {', '.join(columns)}",
            word.column,
        )


def _key(cell: Any) -> tuple[int, float, str]:
    """Order numbers before texts, and nothing before both."""
    match cell:
        case None:
            return (0, 0.0, "")
        case bool() | int() | float():
            return (1, float(cell), "")
        case _:
            return (2, 0.0, str(cell))


def _holds(comparison: Comparison, row: Row) -> bool:
    cell = row[comparison.column.text]
    wanted = comparison.value.text
    if isinstance(cell, list | dict):
        return _holds_in(comparison.operator, [str(c) for c in cell], wanted)
    if comparison.operator == "~":
        return wanted in str(cell)
    match cell:
        case bool():
            left, right = _key(str(cell).lower()), _key(wanted.lower())
        case int() | float():
            left, right = _key(cell), _key(_number(wanted))
        case _:
            left, right = _key(cell), _key(wanted)
    match comparison.operator:
        case "=":
            return left == right
        case "!=":
            return left != right
        case "<":
            return left < right
        case "<=":
            return left <= right
        case ">":
            return left > right
        case _:
            return left >= right


def _holds_in(operator: str, cells: list[str], wanted: str) -> bool:
    """Compare with a list: "=" asks whether it has the value."""
    match operator:
        case "=":
            return wanted in cells
        case "!=":
            return wanted not in cells
        case "~":
            return any(wanted in cell for cell in cells)
        case _:
            return False


def _number(text: str) -> float | str:
    try:
        return float(text)
    except ValueError:
        return text
