"""Command line commands whose arguments stay text until validated."""

import functools
import inspect
import textwrap
from collections.abc import Callable, Sequence
from typing import Any, Final

from fire.decorators import SetParseFn

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.describe import describe
from lacewingdock.settings import SECRET_SETTINGS, variable_name

# Columns of the help text.
WIDTH: Final = 78
_INDENT: Final = "      "


def command(*settings: type[Any]) -> Callable[[Callable[..., Any]], Any]:
    """Make a method a command.

    `fire` parses arguments as Python values ("007" becomes 7, "1e3" a float),
    reports unknown arguments in its own format, and applies further arguments
    to the command's result ("version upper" calls `upper` on the version).
    Here arguments stay text, errors have codes, and the result is printed.

    Args:
        *settings: Settings classes whose attributes the command accepts as
            flags.
    """

    def decorate(function: Callable[..., Any]) -> Callable[..., None]:
        @functools.wraps(function)
        def checked(self: Any, *arguments: str, **flags: str) -> None:
            if {"help", "h"} & flags.keys():
                print(usage(function, settings))
                return
            try:
                inspect.signature(function).bind(self, *arguments, **flags)
            except TypeError as error:
                raise LacewingdockError(
                    ErrorKind.BAD_COMMAND, f"{function.__name__}: {error}"
                ) from error
            result = function(self, *arguments, **flags)
            if result is not None:
                print(result)

        # With `__wrapped__`, fire would check arguments against the signature
        # of the wrapped method and reject them before the checks above.
        del checked.__wrapped__
        checked.command = (function, settings)  # type: ignore[attr-defined]
        return SetParseFn(str)(checked)

    return decorate


def usage(
    function: Callable[..., Any], settings: Sequence[type[Any]] = ()
) -> str:
    """Return the help text of a command and of each of its settings."""
    lines = [f"lacewingdock {function.__name__}{_positional(function)}", ""]
    lines += [inspect.getdoc(function) or ""]
    if settings:
        lines += [
            "",
            "Settings: a flag --NAME=VALUE or an environment variable",
        ]
    for cls in settings:
        for setting in describe(cls):
            names = f"--{setting.name}  ({variable_name(setting.name)})"
            if setting.name in SECRET_SETTINGS:
                names = variable_name(setting.name)
            lines += ["", f"  {names}"]
            lines += textwrap.wrap(
                setting.meaning,
                WIDTH,
                initial_indent=_INDENT,
                subsequent_indent=_INDENT,
            )
            default = (
                "required"
                if setting.default is None
                else f"default {setting.default}"
            )
            lines.append(f"{_INDENT}{setting.allowed}; {default}")
    return "\n".join(lines)


def _positional(function: Callable[..., Any]) -> str:
    parameters = inspect.signature(function).parameters.values()
    return "".join(
        f" {p.name.upper()}" if p.default is p.empty else f" [{p.name.upper()}]"
        for p in parameters
        if p.kind is p.POSITIONAL_OR_KEYWORD and p.name != "self"
    )


def overview(commands: type[Any]) -> str:
    """Return the list of commands, with one line of help for each."""
    lines = [inspect.getdoc(commands) or "", "", "Commands:"]
    for name, (function, _) in command_table(commands).items():
        first = (inspect.getdoc(function) or "").partition("\n")[0]
        lines.append(f"  {name:10}{first}")
    return "\n".join([*lines, "", "lacewingdock COMMAND --help says more."])


def command_table(
    commands: type[Any],
) -> dict[str, tuple[Callable[..., Any], Sequence[type[Any]]]]:
    """Return the function and the settings classes of each command."""
    return {
        name: method.command
        for name, method in vars(commands).items()
        if hasattr(method, "command")
    }
