"""Support for reading an engine's report of its work."""

import http.client

import msgspec

from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.world.engine_load import EngineLoad

PATH = "/report"
MAX_BYTES = 1024 * 1024


class _Report(msgspec.Struct):
    active: int
    queued: int
    # Each run is (request id, tokens in memory, events made, priority).
    runs: list[tuple[str, int, int, int]] = []


def decode_report(body: bytes) -> EngineLoad:
    """Decode a report.

    Raises:
        LacewingdockError: UPSTREAM_FAILED where it is none.
    """
    try:
        found = msgspec.json.decode(body, type=_Report)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise _unread(str(error)) from error
    if found.active < 0 or found.queued < 0:
        raise _unread("fewer requests than none")
    events = {request: events for request, _, events, _ in found.runs}
    return EngineLoad(found.active, found.queued, events)


class ReportReader:
    """Reads the report of the engine on this instance, again and again.

    Attributes:
        host: The engine's IP number.
        port: Its port.
        timeout_s: Seconds after which a read has failed.
    """

    __slots__ = ("_connection", "host", "port", "timeout_s")

    def __init__(self, host: str, port: int, timeout_s: float) -> None:
        """Take where the engine is; `read` connects."""
        self.host = host
        self.port = port
        self.timeout_s = timeout_s
        self._connection: http.client.HTTPConnection | None = None

    def read(self) -> EngineLoad:
        """Read the report.

        Raises:
            LacewingdockError: UPSTREAM_FAILED.
        """
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self.host, self.port, timeout=self.timeout_s
            )
        try:
            self._connection.request("GET", PATH)
            answer = self._connection.getresponse()
            body = answer.read(MAX_BYTES)
        except (OSError, http.client.HTTPException) as error:
            self.close()
            raise _unread(repr(error)) from error
        if answer.status != http.HTTPStatus.OK:
            self.close()
            raise _unread(f"status {answer.status}")
        return decode_report(body)

    def close(self) -> None:
        """Close the connection; the next read opens another."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _unread(detail: str) -> LacewingdockError:
    return LacewingdockError(ErrorKind.UPSTREAM_FAILED, f"report: {detail}")
