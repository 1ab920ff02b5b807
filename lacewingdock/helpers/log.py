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


class LineHandler(logbook.Handler):
    """Writes each record as a line to a stream that bears concurrent writes.

    A lock of the handler around the write would be one more that the threads of
    all requests queue for.

    Attributes:
        stream: The stream.
    """

    def __init__(self, stream: Any, level: int) -> None:
        """Create a handler of a stream."""
        super().__init__(level)
        self.stream = stream

    def emit(self, record: Any) -> None:
        """Write a record."""
        self.stream.write(self.format(record) + "\n")


def start_logging(level: str, stream: Any = None, **common: str) -> None:
    """Send all logs to a stream as JSON lines.

    Args:
        level: Lowest level that is logged.
        stream: Stream to write to, from several threads at once; standard
            error by default.
        **common: Fields added to every line.
    """
    stream = sys.stderr if stream is None else stream
    handler = LineHandler(stream, _LEVELS[level])
    handler.formatter = _format
    handler.push_application()

    def inject(record: Any) -> None:
        record.extra.update(common)

    logbook.Processor(inject).push_application()


def get_logger(name: str) -> logbook.Logger:
    """Return a named logger; keyword arguments of its calls become fields."""
    return logbook.Logger(name)
