"""Support for `lacewingdock ask`: one command, or a prompt."""

import sys
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final

import msgspec
import pycurl

from lacewingdock.const import RAN_UNKNOWN
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.http_client import send
from lacewingdock.helpers.ids import new_id
from lacewingdock.helpers.json import decode_json
from lacewingdock.helpers.text_table import text_table

TIMEOUT_S: Final = 15.0
HISTORY: Final = Path("~/.lacewingdock_history")
HISTORY_LINES: Final = 1000


class Client:
    """Talks to an entry's admin port as an operator.

    Attributes:
        entry: URL of the admin port.
        key: The operator's bearer key.
    """

    __slots__ = ("entry", "key")

    def __init__(self, entry: str, key: str) -> None:
        """Take where to and who asks."""
        self.entry = entry.rstrip("/")
        self.key = key

    def ask(self, text: str, command: str = "") -> dict[str, Any]:
        """Send a command and return its reply.

        The id is made here, so that an order whose answer is lost with the
        entry can be sent again to another.

        Raises:
            LacewingdockError: What the entry answers; PLATFORM_UNAVAILABLE
                with ran "unknown" when it doesn't. Its `command` is the id.
        """
        command = command or f"c-{new_id()}"
        body = msgspec.json.encode({"text": text, "id": command})
        try:
            reply: dict[str, Any] = self._call("/ask", body)
        except LacewingdockError as error:
            error.command = command  # type: ignore[attr-defined]
            raise
        return reply

    def words(self) -> list[str]:
        """Return what a line may complete to."""
        words: list[str] = self._call("/words", None)
        return words

    def _call(self, path: str, body: bytes | None) -> Any:
        headers = [
            f"Authorization: Bearer {self.key}",
            "Content-Type: application/json",
        ]
        try:
            reply = send(
                self.entry + path, body, headers=headers, timeout_s=TIMEOUT_S
            )
            answer = decode_json(reply.body)
        except (pycurl.error, msgspec.DecodeError) as error:
            raise LacewingdockError(
                ErrorKind.PLATFORM_UNAVAILABLE,
                f"{self.entry} does not answer: {error}",
                ran="unknown",
            ) from error
        if reply.status >= HTTPStatus.BAD_REQUEST:
            raise _error(answer)
        return answer


def _error(problem: Any) -> LacewingdockError:
    try:
        kind = ErrorKind(problem["code"])
    except (KeyError, TypeError, ValueError):
        return LacewingdockError(ErrorKind.INTERNAL, f"answer: {problem!r}")
    error = LacewingdockError(
        kind, problem.get("detail", ""), problem.get("ran")
    )
    # Where the line is faulty, for whoever points at it.
    error.column = problem.get("column")  # type: ignore[attr-defined]
    return error


def pointed(line: str, error: LacewingdockError) -> str:
    """Return the error, under the line with its place marked."""
    column = getattr(error, "column", None)
    unsettled = error.kind is ErrorKind.PLATFORM_UNAVAILABLE
    if unsettled and error.ran == RAN_UNKNOWN:
        command = getattr(error, "command", "")
        return f"{error}\nsend the same line again with --id {command}"
    if column is None:
        return str(error)
    return f"  {line}\n  {' ' * column}^\n{error}"


def as_table(reply: dict[str, Any]) -> str:
    """Return a reply as people read it."""
    columns = reply["columns"]
    lines = [reply["message"]] if reply["message"] else []
    if reply["command"]:
        lines.append(f"command {reply['command']}")
    if columns:
        rows = [[row[c] for c in columns] for row in reply["rows"]]
        lines += text_table(columns, rows)
        lines.append(f"({len(rows)} rows, from {reply['source']})")
    return "\n".join(lines)


def as_text(reply: dict[str, Any], as_json: bool) -> str:
    """Return a reply as JSON or as a table."""
    return msgspec.json.encode(reply).decode() if as_json else as_table(reply)


def prompt(client: Client, as_json: bool) -> None:
    """Read commands until the end of input, with history and completion."""
    import atexit
    import readline

    history = HISTORY.expanduser()
    if history.exists():
        readline.read_history_file(history)
    readline.set_history_length(HISTORY_LINES)
    atexit.register(readline.write_history_file, history)
    words = client.words()

    def complete(text: str, state: int) -> str | None:
        found = [f"{word} " for word in words if word.startswith(text)]
        return found[state] if state < len(found) else None

    readline.set_completer(complete)
    readline.set_completer_delims(" ,")
    readline.parse_and_bind("tab: complete")
    while True:
        try:
            line = input("lacewingdock> ").strip()
        except (EOFError, KeyboardInterrupt):
            print()
            return
        if not line:
            continue
        try:
            print(as_text(client.ask(line), as_json))
        except LacewingdockError as error:
            print(pointed(line, error), file=sys.stderr)
