"""Tables for the docs, extracted from the source of the router."""

import ast
from collections.abc import Sequence
from pathlib import Path
from typing import Final

# Component folders of the router.
ROUTER_COMPONENTS: Final = (
    "gateway",
    "inspection",
    "mirror",
    "overload",
    "poison_requests",
    "routers",
    "routes",
    "traffic_shifting",
    "upstreams",
)
# Further modules of the router, outside of these folders.
ROUTER_MODULES: Final = (
    "components/admission/fleet_budget.py",
    "components/host_watch.py",
    "components/readiness.py",
    "daemons/router.py",
    "daemons/router_mirrors.py",
    "daemons/router_timing.py",
    "helpers/listening.py",
    "helpers/log_stream.py",
    "helpers/server_connection.py",
    "helpers/sockets.py",
)
_ROOT: Final = Path(__file__).parents[1]


def markdown_table(
    heads: tuple[str, ...], rows: Sequence[tuple[str, ...]]
) -> str:
    """Return a Markdown table, with the pipes in cells escaped."""
    lines = [heads, tuple("---" for _ in heads), *rows]
    return "\n".join(
        "| " + " | ".join(cell.replace("|", "\\|") for cell in line) + " |"
        for line in lines
    )


def log_table() -> str:
    """Return a table of the log messages of a router."""
    rows: set[tuple[str, ...]] = set()
    for path in _sources():
        tree = ast.parse(path.read_text("utf-8"))
        channel = _channel(tree)
        for node in ast.walk(tree):
            if isinstance(node, ast.Call) and (row := _log_row(node)):
                rows.add((channel, *row))
    return markdown_table(
        ("logger", "message", "level", "fields"), sorted(rows)
    )


def constant_table() -> str:
    """Return a table of the numeric constants of a router."""
    rows = [
        (f"`{path.relative_to(_ROOT)}`", *row)
        for path in _sources()
        for row in _constants(path.read_text("utf-8"))
    ]
    return markdown_table(("module", "constant", "value", "meaning"), rows)


def _sources() -> list[Path]:
    found = [
        path
        for folder in ROUTER_COMPONENTS
        for path in sorted((_ROOT / "components" / folder).glob("*.py"))
    ]
    return [*found, *(_ROOT / name for name in ROUTER_MODULES)]


def _constants(source: str) -> list[tuple[str, str, str]]:
    """Return name, value and comment of a module's numeric constants.

    Consecutive constants share the comment above the first of them.
    """
    lines = source.splitlines()
    found: list[tuple[str, str, str]] = []
    last_line, comment = 0, ""
    for node in ast.parse(source).body:
        if not isinstance(node, ast.AnnAssign) or node.value is None:
            continue
        value = ast.unparse(node.value)
        name = ast.unparse(node.target)
        if name.startswith("_") or not _is_final(node) or not _is_number(value):
            continue
        above = _comment_above(lines, node.lineno)
        if above or last_line != node.lineno - 1:
            comment = above
        last_line = node.end_lineno or node.lineno
        found.append((f"`{name}`", value, comment))
    return found


def _is_final(node: ast.AnnAssign) -> bool:
    return ast.unparse(node.annotation).startswith("Final")


def _is_number(text: str) -> bool:
    """Whether an expression consists of numbers and operators only."""
    return all(
        isinstance(
            node,
            (
                ast.Expression,
                ast.BinOp,
                ast.UnaryOp,
                ast.operator,
                ast.unaryop,
                ast.Constant,
            ),
        )
        and not isinstance(getattr(node, "value", 0), str | bytes)
        for node in ast.walk(ast.parse(text, mode="eval"))
    )


def _comment_above(lines: list[str], line: int) -> str:
    start = line - 1
    while start and lines[start - 1].startswith("#"):
        start -= 1
    return " ".join(one.lstrip("# ") for one in lines[start : line - 1])


def _channel(tree: ast.AST) -> str:
    for node in ast.walk(tree):
        if (
            isinstance(node, ast.Call)
            and ast.unparse(node.func) == "get_logger"
        ):
            return str(ast.literal_eval(node.args[0]))
    return ""


def _log_row(node: ast.Call) -> tuple[str, str, str] | None:
    """Return message, level and fields of a log call; None for other calls."""
    name, _, level = ast.unparse(node.func).rpartition(".")
    if name != "log" or not node.args:
        return None
    first = node.args[0]
    choices = [first.body, first.orelse] if isinstance(first, ast.IfExp) else []
    texts = [str(ast.literal_eval(one)) for one in choices or [first]]
    fields = ", ".join(f"`{one.arg}`" for one in node.keywords if one.arg)
    return " / ".join(texts), level, fields
