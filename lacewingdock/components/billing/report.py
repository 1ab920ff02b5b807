"""Support for formatting the statement of a workspace and day."""

import time
from typing import Any

import msgspec

from lacewingdock.components.billing.const import MICROS
from lacewingdock.components.billing.reader import (
    DAY_FORMAT,
    Statement,
    StatementLine,
    read_statement,
)
from lacewingdock.platform.store import ObjectStore

COLUMNS = (
    "target",
    "runs",
    "input_tokens",
    "output_tokens",
    "cost",
    "uncharged",
    "uncharged_cost",
)


def show_statement(
    store: ObjectStore, workspace: str, day: str, as_json: bool
) -> str:
    """Return a workspace's statement of a day as a table or as JSON.

    Args:
        store: The platform's object store.
        workspace: Name of the workspace.
        day: "YYYYMMDD", or empty for today (UTC).
        as_json: Whether to return JSON.

    Raises:
        LacewingdockError: The same errors as `read_statement`.
    """
    day = day or time.strftime(DAY_FORMAT, time.gmtime())
    statement = read_statement(store, workspace, day)
    return _json(statement) if as_json else _table(statement)


def _row(line: StatementLine) -> dict[str, Any]:
    row = {name: getattr(line, name) for name in COLUMNS}
    for name in ("cost", "uncharged_cost"):
        row[name] /= MICROS
    return row


def _json(statement: Statement) -> str:
    lines = [_row(line) for _, line in sorted(statement.lines.items())]
    document = {
        "workspace": statement.workspace,
        "day": statement.day,
        "requests": statement.requests,
        "cost": statement.cost / MICROS,
        "lines": lines,
    }
    return msgspec.json.encode(document).decode()


def _table(statement: Statement) -> str:
    text = [
        f"{statement.workspace} {statement.day}: {statement.requests} "
        f"requests, cost {statement.cost / MICROS:.6f}",
        f"{COLUMNS[0]:24}" + "".join(f"{name:>15}" for name in COLUMNS[1:]),
    ]
    for _, line in sorted(statement.lines.items()):
        row = _row(line)
        cells = (
            f"{row[n]:15.6f}" if "cost" in n else f"{row[n]:15d}"
            for n in COLUMNS[1:]
        )
        text.append(f"{line.target:24}" + "".join(cells))
    return "\n".join(text)
