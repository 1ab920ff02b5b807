"""Support for the tables of the docs that come from the code.

`python -m lacewingdock.helpers.reference` writes them anew; a test compares.
"""

import ast
import re
from pathlib import Path
from typing import Any, Final

from lacewingdock.exceptions import ANSWERS, ErrorKind
from lacewingdock.helpers.describe import Setting, describe
from lacewingdock.settings import (
    OTHER_SETTINGS,
    SECRETS,
    ClientSettings,
    DaemonSettings,
    EntrySettings,
    SidecarSettings,
    variable,
)
from lacewingdock.world.objects import Objective, Operation, Step
from lacewingdock.world.world import CLASSES

DOCS: Final = Path("docs")
# What stands between a table's two marks is generated.
MARK: Final = "<!-- {0} {1} -->"
NESTED: Final = (Step, Objective, Operation)
# Folders of components that a router is made of.
ROUTER_COMPONENTS: Final = (
    "gateway",
    "mirror",
    "routers",
    "routes",
    "shifts",
    "upstreams",
)


def tables() -> dict[str, dict[str, str]]:
    """Return the generated tables by page and name."""
    settings = {"daemons": _settings(DaemonSettings)}
    shared = {setting.name for setting in describe(DaemonSettings)}
    # ClientSettings has nothing but the platform's URL.
    others = [cls for cls in OTHER_SETTINGS if cls is not ClientSettings]
    for cls in (EntrySettings, SidecarSettings, *others):
        name = cls.__name__.removesuffix("Settings").lower()
        settings[name] = _settings(cls, shared)
    kinds = {kind: _fields(cls) for kind, cls in CLASSES.items()}
    kinds |= {cls.__name__: _fields(cls) for cls in NESTED}
    return {
        "logs.md": {"logs": _logs()},
        "configuration.md": settings | kinds,
        "errors.md": {"errors": _errors()},
    }


def fill(page: str, contents: dict[str, str]) -> str:
    """Put tables between their marks in a page.

    Raises:
        ValueError: The page lacks a table's marks.
    """
    for name, table in contents.items():
        begin, end = MARK.format("begin", name), MARK.format("end", name)
        pattern = f"{re.escape(begin)}.*?{re.escape(end)}"
        if not re.search(pattern, page, re.DOTALL):
            raise ValueError(f"no {begin} and {end}")
        filled = f"{begin}\n{table}\n{end}"
        page = re.sub(pattern, lambda _: filled, page, flags=re.DOTALL)  # noqa: B023
    return page


def _table(heads: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    lines = [heads, tuple("---" for _ in heads), *rows]
    return "\n".join(
        "| " + " | ".join(cell.replace("|", "\\|") for cell in line) + " |"
        for line in lines
    )


def _settings(cls: type[Any], without: set[str] | None = None) -> str:
    return _table(
        ("flag", "variable", "meaning", "allowed", "default"),
        [
            (
                "-" if s.name in SECRETS else f"`--{s.name}`",
                f"`{variable(s.name)}`",
                s.meaning,
                s.allowed,
                _default(s),
            )
            for s in describe(cls)
            if s.name not in (without or ())
        ],
    )


def _fields(cls: type[Any]) -> str:
    return _table(
        ("field", "meaning", "allowed", "default"),
        [
            (f"`{s.name}`", s.meaning, s.allowed, _default(s))
            for s in describe(cls)
        ],
    )


def _default(setting: Setting) -> str:
    return "required" if setting.default is None else setting.default


def _errors() -> str:
    return _table(
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
            for kind, answer in ((k, ANSWERS[k]) for k in ErrorKind)
        ],
    )


def _logs() -> str:
    """Return every line that a router logs, read from its source."""
    rows: set[tuple[str, ...]] = set()
    for path in _router_sources():
        tree = ast.parse(path.read_text("utf-8"))
        channel = _channel(tree)
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and (row := _log_row(node)):
                rows.add((channel, *row))
    return _table(("logger", "message", "level", "fields"), sorted(rows))


def _router_sources() -> list[Path]:
    package = Path(__file__).parents[1]
    found = [
        path
        for folder in ROUTER_COMPONENTS
        for path in sorted((package / "components" / folder).glob("*.py"))
    ]
    return [
        *found,
        package / "components/readiness.py",
        package / "daemons/router.py",
        package / "helpers/sockets.py",
    ]


def _channel(tree: ast.AST) -> str:
    for node in ast.walk(tree):
        if (
            isinstance(node, ast.Call)
            and ast.unparse(node.func) == "get_logger"
        ):
            return str(ast.literal_eval(node.args[0]))
    return ""


def _log_row(node: ast.Call) -> tuple[str, str, str] | None:
    """Return message, level and fields of a call that logs; None of others."""
    name, _, level = ast.unparse(node.func).rpartition(".")
    if name != "log" or not node.args:
        return None
    first = node.args[0]
    choices = [first.body, first.orelse] if isinstance(first, ast.IfExp) else []
    texts = [str(ast.literal_eval(one)) for one in choices or [first]]
    fields = ", ".join(f"`{one.arg}`" for one in node.keywords if one.arg)
    return " / ".join(texts), level, fields


def main() -> None:
    """Write every generated table into its page; new ones get a heading."""
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
