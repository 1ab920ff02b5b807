"""Generates the tables in the docs that are derived from the code.

`python -m lacewingdock.helpers.reference` rewrites them in place; a test
compares the pages with the code.
"""

import re
from pathlib import Path
from typing import Any, Final

from lacewingdock.daemons.router_timing import propagation_paths
from lacewingdock.exceptions import ERROR_RESPONSES, ErrorKind
from lacewingdock.helpers.describe import Setting, describe
from lacewingdock.helpers.source_tables import (
    constant_table,
    log_table,
    markdown_table,
)
from lacewingdock.settings import (
    OTHER_SETTINGS,
    SECRET_SETTINGS,
    ClientSettings,
    DaemonSettings,
    EntrySettings,
    SidecarSettings,
    variable_name,
)
from lacewingdock.world.host import Bounds
from lacewingdock.world.objects import Objective, Operation, Step
from lacewingdock.world.world import CLASSES

DOCS: Final = Path("docs")
# Marker around a generated table; the fields are begin or end, and its name.
MARK: Final = "<!-- {0} {1} -->"
# Classes of nested fields, which have tables of their own.
NESTED: Final = (Step, Objective, Operation)


def tables() -> dict[str, dict[str, str]]:
    """Return the generated tables, by page and by table name."""
    settings = {"daemons": _settings(DaemonSettings)}
    shared = {setting.name for setting in describe(DaemonSettings)}
    # ClientSettings only has the URL of the platform.
    others = [cls for cls in OTHER_SETTINGS if cls is not ClientSettings]
    for cls in (EntrySettings, SidecarSettings, *others):
        name = cls.__name__.removesuffix("Settings").lower()
        settings[name] = _settings(cls, shared)
    kinds = {kind: _fields(cls) for kind, cls in CLASSES.items()}
    kinds |= {cls.__name__: _fields(cls) for cls in NESTED}
    return {
        "logs.md": {"logs": log_table()},
        "configuration.md": settings | kinds | {"constants": constant_table()},
        "errors.md": {"errors": _errors()},
        "promises.md": {"propagation": _propagation()},
    }


def fill(page: str, contents: dict[str, str]) -> str:
    """Replace the tables between their markers in a page.

    Raises:
        ValueError: The page lacks the markers of a table.
    """
    for name, table in contents.items():
        begin, end = MARK.format("begin", name), MARK.format("end", name)
        pattern = f"{re.escape(begin)}.*?{re.escape(end)}"
        if not re.search(pattern, page, re.DOTALL):
            raise ValueError(f"no {begin} and {end}")
        filled = f"{begin}\n{table}\n{end}"
        page = re.sub(pattern, lambda _: filled, page, flags=re.DOTALL)  # noqa: B023
    return page


def _settings(cls: type[Any], without: set[str] | None = None) -> str:
    return markdown_table(
        ("flag", "variable", "meaning", "allowed", "default"),
        [
            (
                "-" if s.name in SECRET_SETTINGS else f"`--{s.name}`",
                f"`{variable_name(s.name)}`",
                s.meaning,
                s.allowed,
                _default(s),
            )
            for s in describe(cls)
            if s.name not in (without or ())
        ],
    )


def _fields(cls: type[Any]) -> str:
    return markdown_table(
        ("field", "meaning", "allowed", "default"),
        [
            (f"`{s.name}`", s.meaning, s.allowed, _default(s))
            for s in describe(cls)
        ],
    )


def _default(setting: Setting) -> str:
    return "required" if setting.default is None else setting.default


def _propagation() -> str:
    return markdown_table(
        ("promise", "path", "delays, s", "worst, s", "bound, s", "margin, s"),
        [
            (
                path.promise,
                path.name,
                ", ".join(f"{d.name} {d.seconds:.2f}" for d in path.delays),
                f"{path.worst_s:.2f}",
                f"{path.bound} {path.bound_s:.2f}",
                f"{path.margin_s:.2f}",
            )
            for path in propagation_paths(Bounds())
        ],
    )


def _errors() -> str:
    return markdown_table(
        ("code", "status", "ran", "Retry-After", "exit status", "title"),
        [
            (
                f"`{kind}`",
                str(answer.status),
                answer.ran,
                "-"
                if answer.retry_after_s is None
                else f"{answer.retry_after_s:g} s",
                str(answer.exit_status),
                answer.title,
            )
            for kind, answer in ((k, ERROR_RESPONSES[k]) for k in ErrorKind)
        ],
    )


def main() -> None:
    """Write the tables into their pages; a new table is appended."""
    for name, contents in tables().items():
        path = DOCS / name
        page = path.read_text("utf-8")
        for table in contents:
            begin, end = MARK.format("begin", table), MARK.format("end", table)
            if begin not in page:
                page += f"\n### {table}\n\n{begin}\n{end}\n"
        path.write_text(fill(page, contents), "utf-8")


if __name__ == "__main__":
    main()
