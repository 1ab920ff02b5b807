"""Support for commands whose arguments stay text until they are checked."""

import functools
import inspect
import textwrap
from collections.abc import Callable, Sequence
from typing import Any, Final

from fire.decorators import SetParseFn

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.describe import describe
from lacewingdock.settings import SECRET_SETTINGS, variable_name

WIDTH: Final = 78
_INDENT: Final = "      "


def command(*settings: type[Any]) -> Callable[[Callable[..., Any]], Any]:
    """Make a method a command.

    `fire` reads arguments as Python values ("007" becomes 7, "1e3" a float),
    answers what it does not know in its own words, and goes on into the
    command's result ("version upper"). Here arguments stay text, errors are
    coded, and the result is printed.

    Args:
        *settings: Classes whose settings the command takes as flags.
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

        # fire would read the wrapped method's signature and refuse before
        # the checks above.
        del checked.__wrapped__
        checked.command = (function, settings)  # type: ignore[attr-defined]
        return SetParseFn(str)(checked)

    return decorate


def usage(
    function: Callable[..., Any], settings: Sequence[type[Any]] = ()
) -> str:
    """Return the help of a command: what it does and every setting."""
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
    """Return one line for each command."""
    lines = [inspect.getdoc(commands) or "", "", "Commands:"]
    for name, (function, _) in command_table(commands).items():
        first = (inspect.getdoc(function) or "").partition("\n")[0]
        lines.append(f"  {name:10}{first}")
    return "\n".join([*lines, "", "lacewingdock COMMAND --help says more."])


def command_table(
    commands: type[Any],
) -> dict[str, tuple[Callable[..., Any], Sequence[type[Any]]]]:
    """Return each command's function and settings by its name."""
    return {
        name: method.command
        for name, method in vars(commands).items()
        if hasattr(method, "command")
    }
