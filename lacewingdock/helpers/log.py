"""Logging as JSON lines."""

import sys
from typing import Any, Final

import logbook
import msgspec

_LEVELS: Final = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}


def _format(record: Any, handler: Any) -> str:
    line = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "logger": record.channel,
        "message": record.message,
        **record.extra,
        **record.kwargs,
    }
    if record.exc_info:
        line["exception"] = record.formatted_exception
    return msgspec.json.encode(line, enc_hook=str).decode()


def start_logging(level: str, stream: Any = None, **common: str) -> None:
    """Send all logs to a stream as JSON lines.

    Args:
        level: Lowest level that is logged.
        stream: Stream to write to; standard error by default.
        **common: Fields added to every line.
    """
    stream = sys.stderr if stream is None else stream
    handler = logbook.StreamHandler(stream, level=_LEVELS[level])
    handler.formatter = _format
    handler.push_application()

    def inject(record: Any) -> None:
        record.extra.update(common)

    logbook.Processor(inject).push_application()


def get_logger(name: str) -> logbook.Logger:
    """Return a named logger; keyword arguments of its calls become fields."""
    return logbook.Logger(name)
