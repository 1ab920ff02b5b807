"""Support for parsing the operators' language.

Only imported when a command comes: the library and its tables take memory
that an entry has other uses for.
"""

from pathlib import Path
from typing import Any, Final

import lark

from lacewingdock.components.language.const import (
    MAX_LINE_CHARS,
    SHOW_KINDS,
)
from lacewingdock.components.language.statements import (
    Change,
    CommandError,
    Comparison,
    Explain,
    Release,
    RollOut,
    SetState,
    Show,
    Statement,
    Stop,
    Tail,
    Unload,
    Word,
)

MAX_ID_CHARS: Final = 64
MAX_NUMBER: Final = 1e15
STATES: Final = {"offer": "offered", "withdraw": "withdrawn"}

_PARSER: Final = lark.Lark(
    Path(__file__).with_name("grammar.lark").read_text("utf-8"),
    parser="lalr",
    # One lexer for all places: with one for each place "showleases" would
    # pass for "show leases".
    lexer="basic",
    maybe_placeholders=False,
)
# Terminals as people know them, for what an error says was expected.
_NAMES: Final = {
    "WORD": "a name",
    "STRING": "a name",
    "OPERATOR": "= != < <= > >= ~",
    "COMMA": "','",
    "$END": "the end",
}


def parse(line: str) -> Statement:
    """Parse one command.

    Raises:
        CommandError: BAD_COMMAND with the place of the fault.
    """
    if len(line) > MAX_LINE_CHARS:
        raise CommandError(
            f"longer than {MAX_LINE_CHARS} characters", MAX_LINE_CHARS
        )
    try:
        tree = _PARSER.parse(line)
    except lark.UnexpectedCharacters as error:
        column = error.pos_in_stream or 0
        raise CommandError(
            f"{line[column]!r} does not belong here"
            f"{_expected(error.allowed or ())}",
            column,
        ) from None
    except lark.UnexpectedToken as error:
        at_end = error.token.type == "$END"
        column = len(line) if at_end else error.token.start_pos or 0
        what = "the command ends" if at_end else f"{str(error.token)!r}"
        raise CommandError(
            f"{what} where this was expected{_expected(error.expected)}",
            column,
        ) from None
    return _statement(tree.children[0])


def _expected(terminals: Any) -> str:
    names = sorted({_NAMES.get(t, t.lower()) for t in terminals})
    return f": {', '.join(names)}" if names else ""


def _statement(tree: Any) -> Statement:
    match tree.data:
        case "show":
            return _show(tree)
        case "explain":
            workspace, model = map(_word, tree.children)
            return Explain(workspace, model)
        case "roll_out":
            return _roll_out(tree)
        case "unload":
            return _unload(tree)
        case "change":
            verb, model, *rest = tree.children
            return Change(str(verb), _word(model), _tail(rest))
        case "set_state":
            verb, version, *rest = tree.children
            return SetState(_word(version), STATES[str(verb)], _tail(rest))
        case "release":
            fingerprint, *rest = tree.children
            return Release(_word(fingerprint), _tail(rest))
        case _:
            instance, *rest = tree.children
            return Stop(_word(instance), _tail(rest))


def _show(tree: Any) -> Show:
    kind, *rest = tree.children
    if str(kind) not in SHOW_KINDS:
        raise CommandError(
            f"can't show {_word(kind).text!r}, only {', '.join(SHOW_KINDS)}",
            kind.start_pos,
        )
    parts = {part.data: part.children for part in rest}
    order = parts.get("order", [])
    limit = parts.get("limit")
    return Show(
        _word(kind),
        [
            [_comparison(comparison) for comparison in conjunction.children]
            for conjunction in parts.get("where", [])
        ],
        _word(order[0]) if order else None,
        len(order) > 1 and str(order[1]) == "desc",
        _whole(limit[0], 0) if limit else None,
    )


def _comparison(tree: Any) -> Comparison:
    column, operator, value = tree.children
    return Comparison(_word(column), str(operator), _word(value))


def _roll_out(tree: Any) -> RollOut:
    version, *rest = tree.children
    parts = _parts(rest, ("steps", "every", "parallel", "evidence", "pool"))
    return RollOut(
        _word(version),
        _tail([p for p in rest if p.data not in parts]),
        [_number(s, 0.0, 1.0) for s in parts["steps"]]
        if "steps" in parts
        else None,
        _number(parts["every"][0], 0.0, 86400.0) if "every" in parts else None,
        _whole(parts["parallel"][0], 1) if "parallel" in parts else None,
        _word(parts["pool"][0]).text if "pool" in parts else None,
        _whole(parts["evidence"][0], 0) if "evidence" in parts else None,
    )


def _unload(tree: Any) -> Unload:
    version, *rest = tree.children
    parts = _parts(rest, ("parallel", "pool"))
    return Unload(
        _word(version),
        _tail([p for p in rest if p.data not in parts]),
        _whole(parts["parallel"][0], 1) if "parallel" in parts else None,
        _word(parts["pool"][0]).text if "pool" in parts else None,
    )


def _tail(rest: list[Any]) -> Tail:
    parts = _parts(rest, ("if_revision", "dry_run", "command_id"))
    return Tail(
        _whole(parts["if_revision"][0], 0) if "if_revision" in parts else None,
        "dry_run" in parts,
        _command_id(parts["command_id"][0]) if "command_id" in parts else "",
    )


def _parts(trees: list[Any], names: tuple[str, ...]) -> dict[str, list[Any]]:
    """Return the named parts, each given at most once."""
    parts: dict[str, list[Any]] = {}
    for tree in trees:
        if tree.data not in names:
            continue
        if tree.data in parts:
            word = next(iter(tree.scan_values(lambda _: True)), None)
            raise CommandError(
                f"{tree.data.replace('_', ' ')} is given twice",
                getattr(word, "start_pos", 0) or 0,
            )
        parts[tree.data] = tree.children
    return parts


def _word(token: Any) -> Word:
    text = str(token)
    if token.type == "STRING":
        return Word(text[1:-1], token.start_pos + 1)
    return Word(text, token.start_pos)


def _command_id(token: Any) -> str:
    word = _word(token)
    check_command_id(word.text, word.column)
    return word.text


def check_command_id(text: str, column: int) -> None:
    """Refuse an id that can't name a command.

    Raises:
        CommandError: BAD_COMMAND at the column.
    """
    # "r-" begins the ids of the roll-outs' own writes, which must not be
    # feigned: the controller takes them for its own.
    clean = text.replace("-", "").replace(".", "").isalnum() and text.isascii()
    if not clean or len(text) > MAX_ID_CHARS or text.startswith("r-"):
        raise CommandError(
            f"want an id of up to {MAX_ID_CHARS} letters, digits, '-' and "
            "'.', not starting with 'r-'",
            column,
        )


def _number(token: Any, low: float, high: float) -> float:
    word = _word(token)
    try:
        number = float(word.text)
    except ValueError:
        raise CommandError(f"{word.text!r} is no number", word.column) from None
    # Written so that not-a-number fails it too.
    if not low <= number <= high:
        raise CommandError(
            f"{word.text} is not from {low:g} to {high:g}", word.column
        )
    return number


def _whole(token: Any, low: int) -> int:
    number = _number(token, low, MAX_NUMBER)
    if number != int(number):
        word = _word(token)
        raise CommandError(f"{word.text!r} is no whole number", word.column)
    return int(number)
